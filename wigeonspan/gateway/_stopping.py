"""Requests that a stopping entry still accepts, without I/O."""

import math

from wigeonspan.common import ErrorKind, WigeonspanError

OTHER_ENTRY_RETRY_S = 0.1
"""Seconds after which a refused caller may retry while another entry is ready."""

RESTART_S = 1.0
"""Seconds from the end of this process until a successor is probably ready."""

FORECAST_WINDOW_S = 2.7
"""Seconds after the stop signal in which a forecast is enough for a request when no
other entry is ready. The platform allows a request that was sent up to 3 s after the
signal to be cut off while its target still works on it."""


class StopWindow:
    """Compares the time that a request may take with the time until the process ends.

    Only the deadline bounds the time of every request. A forecast does not: the slowest
    requests take longer.
    """

    def __init__(self) -> None:
        self._forecast_until = math.inf
        self._end_at = math.inf
        self._has_ready_peer = True

    @property
    def begun(self) -> bool:
        """Whether this entry is stopping."""
        return self._end_at < math.inf

    def begin(self, signalled_at: float, end_at: float) -> None:
        """Record the stop signal and when the requests that are open then are ended.

        Both are monotonic times in seconds.
        """
        self._forecast_until = signalled_at + FORECAST_WINDOW_S
        self._end_at = end_at

    def set_ready_peer(self, present: bool) -> None:
        """Record whether another entry is ready, to which callers can turn."""
        self._has_ready_peer = present

    def remaining_s(self, now: float) -> float:
        """Return the seconds until open requests are ended."""
        return self._end_at - now

    def may_forecast(self, now: float) -> bool:
        """Whether a forecast is enough to accept a request."""
        return not self._has_ready_peer and now <= self._forecast_until

    def check(self, bound_s: float, expected_s: float, now: float) -> None:
        """Check that a request is complete before the process ends.

        Parameters
        ----------
        bound_s : float
            Seconds until its deadline.
        expected_s : float
            Forecast of the seconds until its response is complete.

        Raises
        ------
        WigeonspanError
            ``DRAINING`` when that is not certain and another entry is ready, or not
            likely and no other entry is.
        """
        remaining_s = self.remaining_s(now)
        if bound_s <= remaining_s:
            return
        if self.may_forecast(now) and expected_s <= remaining_s:
            return
        retry_after_s = OTHER_ENTRY_RETRY_S
        if not self._has_ready_peer:
            retry_after_s = max(0.0, remaining_s) + RESTART_S
        raise WigeonspanError(
            ErrorKind.DRAINING,
            f"this entry stops in {remaining_s:.2f} s, "
            f"and the request may take {bound_s:.2f} s",
            retry_after_s=retry_after_s,
        )
