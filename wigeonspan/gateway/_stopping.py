"""Time that a stopping entry leaves to its requests, without I/O."""

import math

from wigeonspan.common import ErrorKind, WigeonspanError

OTHER_ENTRY_RETRY_S = 0.1
"""Seconds after which a refused caller may retry while another entry is ready."""

RESTART_S = 1.0
"""Seconds from the end of this process until a successor is probably ready."""


class StopWindow:
    """Compares the expected time of a request with the time until the process ends."""

    def __init__(self) -> None:
        self._end_at = math.inf
        self._has_ready_peer = True

    @property
    def begun(self) -> bool:
        """Whether this entry is stopping."""
        return self._end_at < math.inf

    def begin(self, end_at: float) -> None:
        """Record that requests which are open at a monotonic time are ended then."""
        self._end_at = end_at

    def set_ready_peer(self, present: bool) -> None:
        """Record whether another entry is ready, to which callers can turn."""
        self._has_ready_peer = present

    def remaining_s(self, now: float) -> float:
        """Return the seconds until open requests are ended."""
        return self._end_at - now

    def check(self, expected_s: float, now: float) -> None:
        """Check that a request can be completed before the process ends.

        Parameters
        ----------
        expected_s : float
            Seconds until its response is complete.

        Raises
        ------
        WigeonspanError
            ``DRAINING`` when it cannot.
        """
        remaining_s = self.remaining_s(now)
        if expected_s <= remaining_s:
            return
        retry_after_s = OTHER_ENTRY_RETRY_S
        if not self._has_ready_peer:
            retry_after_s = max(0.0, remaining_s) + RESTART_S
        raise WigeonspanError(
            ErrorKind.DRAINING,
            f"this entry stops in {remaining_s:.2f} s, "
            f"and the response may take {expected_s:.2f} s",
            retry_after_s=retry_after_s,
        )
