"""Estimate of the true time from the wall clocks of several hosts.

It answers clocks that jump by seconds, and back, on some of the hosts: counts of a
window would move to another one with the clock of the host that counts them.
"""

from collections.abc import Callable
from statistics import median

MAX_SAMPLE_AGE_S = 10.0
"""Seconds after which the clock of a host that no longer answers is left out."""


class TrueTime:
    """Wall-clock time as the median over other hosts.

    Offsets are relative to a clock that never jumps, so that an estimate holds between
    two samples.

    Parameters
    ----------
    wall_ms : callable
        Returns the wall-clock time of this host in milliseconds; used before the first
        sample.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self._own_wall_ms = wall_ms
        # Offset in milliseconds by host, with the time of the sample.
        self._samples: dict[str, tuple[float, float]] = {}

    def record(self, host: str, wall_ms: float, at: float) -> None:
        """Record the wall-clock time of a host.

        Parameters
        ----------
        at : float
            Time in seconds on the clock that never jumps.
        """
        # Those that are older are not used while this one is recent.
        self._samples = {
            name: sample
            for name, sample in self._samples.items()
            if at - sample[1] <= MAX_SAMPLE_AGE_S
        }
        self._samples[host] = (wall_ms - at * 1000.0, at)

    def wall_ms(self, now: float) -> int:
        """Return the estimated true time in milliseconds since 1970."""
        recent = [
            offset
            for offset, at in self._samples.values()
            if now - at <= MAX_SAMPLE_AGE_S
        ]
        if not recent:
            # Old samples are better than the clock of a single host.
            recent = [offset for offset, _ in self._samples.values()]
        if not recent:
            return self._own_wall_ms()
        return round(median(recent) + now * 1000.0)
