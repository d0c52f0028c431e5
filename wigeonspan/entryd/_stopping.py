"""Time that a stopping entry daemon has, and the end of what is open then."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from wigeonspan.common import Clock, ErrorKind, WigeonspanError

FINAL_RESPONSES_S = 0.5
"""Seconds before the process is killed at which open requests are ended, so that their
final responses are sent in time."""

COMMIT_S = 3.0
"""Seconds before that at which non-idempotent calls are ended, so that their outcomes
are committed. An election of the leader takes about 2.5 s."""

STOP_MESSAGE = "this entry stops"


class OpenResponse(Protocol):
    """Response of a request that is arriving, running or being sent."""

    def refuse_incomplete(self) -> None:
        """Refuse the request if it has not arrived completely."""

    def enlarge_send_buffer(self) -> None:
        """Let the kernel take what the caller has not read yet."""


class StopWindow:
    """Compares deadlines with the end of the process, and ends what is open then.

    Only the deadline bounds the time of every request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end_at: float | None = None
        # Timeouts of the open requests, with the seconds that they end before the end.
        self._timeouts: dict[asyncio.Timeout, float] = {}

    def begin(self, end_at: float) -> None:
        """Set the end of all requests, a monotonic time in seconds."""
        self._end_at = end_at
        for timeout, before_end_s in self._timeouts.items():
            timeout.reschedule(self._loop_time(before_end_s))

    def remaining_s(self) -> float:
        """Return the seconds until open requests are ended; infinite before a stop."""
        if self._end_at is None:
            return float("inf")
        return self._end_at - self._clock.now()

    def check(self, deadline: float, before_end_s: float = 0.0) -> None:
        """Check that a request is complete before the process ends.

        Parameters
        ----------
        deadline : float
            Deadline of the request, a monotonic time in seconds.
        before_end_s : float
            Seconds that are needed after the deadline.

        Raises
        ------
        WigeonspanError
            ``DRAINING`` when that is not certain.
        """
        if self._end_at is None or deadline + before_end_s <= self._end_at:
            return
        raise WigeonspanError(
            ErrorKind.DRAINING,
            f"this entry stops in {self.remaining_s():.2f} s, "
            "and the deadline of the request is later",
        )

    @asynccontextmanager
    async def end_in_time(
        self, make_error: Callable[[], WigeonspanError], before_end_s: float = 0.0
    ) -> AsyncIterator[None]:
        """Cancel the body of the context at the end, and raise an error instead.

        Parameters
        ----------
        make_error : callable
            Returns the error, which says whether the request may have run.
        before_end_s : float
            Seconds that are needed after the body.
        """
        timeout = asyncio.timeout_at(self._loop_time(before_end_s))
        try:
            async with timeout:
                self._timeouts[timeout] = before_end_s
                yield
        except TimeoutError:
            if not timeout.expired():
                raise
            raise make_error() from None
        finally:
            self._timeouts.pop(timeout, None)

    def _loop_time(self, before_end_s: float) -> float | None:
        if self._end_at is None:
            return None
        loop_time = asyncio.get_running_loop().time()
        return loop_time + self.remaining_s() - before_end_s


def stop_error(may_have_run: bool) -> WigeonspanError:
    """Return the error of a request that is ended with the process."""
    kind = ErrorKind.TARGET_FAILED if may_have_run else ErrorKind.DRAINING
    return WigeonspanError(kind, STOP_MESSAGE)
