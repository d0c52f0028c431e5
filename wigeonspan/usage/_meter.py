"""Counts of one entry in true time."""

from wigeonspan.common import Clock, TenantName
from wigeonspan.usage._clock import TrueTime
from wigeonspan.usage._counter import UsageCounter
from wigeonspan.usage._messages import UsageShare


class UsageMeter:
    """Count requests that begin to run, at the true time at which they begin.

    Parameters
    ----------
    incarnation : str
        Random id of this start of the process.
    window_s : float
        Length of a window in seconds.
    kept_s : float
        Seconds after its end for which a window is sent again.
    clock : Clock
        Clock whose monotonic time also advances while the host is suspended.
    """

    def __init__(
        self, incarnation: str, window_s: float, kept_s: float, clock: Clock
    ) -> None:
        self._clock = clock
        self._true_time = TrueTime(clock.wall_ms)
        self._counter = UsageCounter(
            incarnation, round(window_s * 1000), round(kept_s * 1000)
        )

    def record_clock(
        self, host: str, wall_ms: int, sent_at: float, received_at: float
    ) -> None:
        """Record the wall-clock time in a reply of a control host.

        Parameters
        ----------
        sent_at, received_at : float
            Times of the heartbeat and the reply on the meter's clock. The host is
            assumed to have read its clock in the middle.
        """
        self._true_time.record(host, wall_ms, (sent_at + received_at) / 2.0)

    def begin(self, tenant: TenantName) -> int:
        """Count a request that begins to run now; return the true time."""
        wall_ms = self._true_time.wall_ms(self._clock.now())
        self._counter.add(tenant, wall_ms)
        return wall_ms

    def withdraw(self, tenant: TenantName, wall_ms: int) -> None:
        """Withdraw a request that was counted at a time and has not run."""
        self._counter.add(tenant, wall_ms, -1)

    def share(self) -> UsageShare:
        """Return the counts for the next heartbeat."""
        return self._counter.share(self._true_time.wall_ms(self._clock.now()))
