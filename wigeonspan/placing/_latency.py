"""Latency of a prefill request beyond the engine time of the prefill itself."""

from collections import deque

MAX_SAMPLES = 32
"""Number of latest samples used for the estimate, so that it follows a change of the
engines."""

QUANTILE = 0.3
"""Quantile of the samples that is used as the estimate. It is below the median because
work of other entries that this one did not know of when it sent a prompt can only
make a sample too large."""

MIN_SAMPLES = 4
"""Minimum number of samples for an estimate."""


class PrefillLatency:
    """Estimate the time from sending a prompt to an idle engine to its answer.

    The engine time of the prefill is excluded. This latency does not occupy the engine:
    one that answers 95 ms after each prefill already works on the next prompt
    meanwhile.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._ms = 0.0

    @property
    def ms(self) -> float:
        """Estimate in milliseconds; 0 until there are ``MIN_SAMPLES`` samples."""
        return self._ms

    def observe(self, excess_ms: float) -> None:
        """Record the answer time at an idle engine minus the expected prefill time."""
        self._samples.append(excess_ms)
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._ms = max(0.0, ordered[int(QUANTILE * len(ordered))])
