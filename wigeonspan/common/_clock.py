"""Clock interface and its implementations.

Code that needs the time takes a clock as an argument, so that tests can control it.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970-01-01 UTC."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970-01-01 UTC."""
        return time.time_ns() // 1_000_000


class BootClock:
    """Clock that also counts the time in which the machine is suspended.

    Use it for leases: a lease that expires while the host is suspended counts as
    expired as soon as the host resumes.
    """

    def now(self) -> float:
        """Return the time since the machine booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970-01-01 UTC."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that only changes through :meth:`advance`, for tests and benchmarks.

    Parameters
    ----------
    now : float
        Initial monotonic time in seconds.
    wall_ms : int
        Initial wall-clock time in milliseconds.
    """

    def __init__(self, now: float = 0.0, wall_ms: int = 0) -> None:
        self._now = now
        self._wall_ms = wall_ms

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970-01-01 UTC."""
        return self._wall_ms

    def advance(self, seconds: float) -> None:
        """Advance both the monotonic and the wall-clock time.

        Parameters
        ----------
        seconds : float
            Time to add; must not be negative.
        """
        if seconds < 0:
            raise ValueError("time cannot move backwards")
        self._now += seconds
        self._wall_ms += round(seconds * 1000)
