"""Kernel timer that kills the process before it can send an order without a lease."""

import signal
from collections.abc import Callable

from wigeonspan.common import Clock

SIGNAL_MARGIN_S = 0.1
"""The timer expires this long before the lease, as signals can be delivered late."""

MIN_LEASE_S = 0.2
"""Minimum time for which the timer is armed; connecting takes milliseconds."""


class LeaseLost(Exception):
    """Raised when the lease has expired or is too short to send an order."""


class LeaseGuard:
    """Keeps a kernel timer armed while orders are being sent.

    ``setitimer(ITIMER_REAL)`` keeps counting while the process is stopped. If the
    process is frozen past its lease, SIGALRM is pending when it resumes, and the
    default action kills it before it runs another instruction. Checking the lease
    before each write is not enough: the process could freeze between check and write.

    A process has only one such timer, so it must have only one guard.

    Parameters
    ----------
    clock : Clock
        Source of time; must be the clock that the lease is measured by.
    lease_valid_until : callable
        Returns the time when the leader's lease ends; 0 on a follower.
    """

    def __init__(self, clock: Clock, lease_valid_until: Callable[[], float]) -> None:
        self._clock = clock
        self._lease_valid_until = lease_valid_until
        self._active_sends = 0

    @property
    def is_armed(self) -> bool:
        """Whether the timer is armed."""
        return self._active_sends > 0

    def acquire(self) -> None:
        """Arm the timer before an order is sent; calls may overlap.

        Raises
        ------
        LeaseLost
            When the remaining lease is too short; nothing may be sent.
        """
        self._arm()
        self._active_sends += 1

    def release(self) -> None:
        """Report that a send has finished; disarm the timer after the last one."""
        self._active_sends -= 1
        if self._active_sends == 0:
            signal.setitimer(signal.ITIMER_REAL, 0.0)

    def extend(self) -> None:
        """Reset the timer to the end of the renewed lease.

        Raises
        ------
        LeaseLost
            When the lease was not renewed. The timer stays armed: the sender must
            close its connection before it calls :meth:`release`.
        """
        if self._active_sends > 0:
            self._arm()

    def _arm(self) -> None:
        until = self._lease_valid_until() - SIGNAL_MARGIN_S
        armed_late = False
        while True:
            remaining_s = until - self._clock.now()
            if remaining_s < MIN_LEASE_S:
                if armed_late:
                    self._undo_late_arming(remaining_s)
                raise LeaseLost
            # With SIGALRM handled or blocked, the process would survive the timer.
            signal.signal(signal.SIGALRM, signal.SIG_DFL)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})
            signal.setitimer(signal.ITIMER_REAL, remaining_s)
            # A freeze between reading the clock and arming delays the timer's expiry.
            armed_late = self._clock.now() + remaining_s > until + SIGNAL_MARGIN_S
            if not armed_late:
                return

    def _undo_late_arming(self, remaining_s: float) -> None:
        """Disarm or shorten a timer that was armed too late."""
        if self._active_sends == 0:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
        else:
            signal.setitimer(signal.ITIMER_REAL, max(remaining_s, 0.001))
