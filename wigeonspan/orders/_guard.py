"""Kernel timer that ends the process before it can send an order without a lease."""

import signal
from collections.abc import Callable

from wigeonspan.common import Clock

MARGIN_S = 0.1
"""The timer ends this long before the lease, because signals are delivered late."""

SHORTEST_S = 0.2
"""Shortest lease left with which sending may begin; connecting takes milliseconds."""


class LeaseLost(Exception):
    """The lease is too short to send an order, or has ended."""


class Guard:
    """Holds the process timer while orders are being sent.

    ``setitimer(ITIMER_REAL)`` runs on while the process is stopped. A process that is
    frozen past its lease has SIGALRM pending when it is thawed, and its default
    action ends it before it runs another instruction. A check of the lease before
    each write would let a freeze between check and write through.

    There is one such timer per process, so there must be one guard per process.

    Parameters
    ----------
    clock : Clock
        Source of time; it must be the one that the lease is counted by.
    lease_valid_until : callable
        Returns the end of the leader's lease; 0 when it does not lead.
    """

    def __init__(self, clock: Clock, lease_valid_until: Callable[[], float]) -> None:
        self._clock = clock
        self._lease_valid_until = lease_valid_until
        self._holders = 0

    @property
    def is_armed(self) -> bool:
        """Whether the timer runs."""
        return self._holders > 0

    def enter(self) -> None:
        """Arm the timer for one more order that is being sent.

        Raises
        ------
        LeaseLost
            When the lease left is too short; nothing may be sent.
        """
        self._arm()
        self._holders += 1

    def leave(self) -> None:
        """Note that an order is sent; disarm the timer after the last one."""
        self._holders -= 1
        if self._holders == 0:
            signal.setitimer(signal.ITIMER_REAL, 0.0)

    def extend(self) -> None:
        """Move the timer to the end of the extended lease.

        Raises
        ------
        LeaseLost
            When the lease was not extended. The timer runs on: the sender must close
            its connections and then leave.
        """
        if self._holders > 0:
            self._arm()

    def _arm(self) -> None:
        until = self._lease_valid_until() - MARGIN_S
        was_late = False
        while True:
            left_s = until - self._clock.now()
            if left_s < SHORTEST_S:
                if was_late:
                    self._correct(left_s)
                raise LeaseLost
            # SIGALRM must be neither handled nor blocked, or the process would run on.
            signal.signal(signal.SIGALRM, signal.SIG_DFL)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})
            signal.setitimer(signal.ITIMER_REAL, left_s)
            # A freeze between reading the clock and arming moves the timer's end.
            was_late = self._clock.now() + left_s > until + MARGIN_S
            if not was_late:
                return

    def _correct(self, left_s: float) -> None:
        """Undo an arming that came too late."""
        if self._holders == 0:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
        else:
            signal.setitimer(signal.ITIMER_REAL, max(left_s, 0.001))
