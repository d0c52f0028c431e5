"""Rate limit for model loads, by the bandwidth of the weight store."""


class LoadPacer:
    """Spaces out loads so that they don't exceed the weight store's bandwidth.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._next_start_at = now

    @property
    def next_start_at(self) -> float:
        """Time from which the next load may start."""
        return self._next_start_at

    def may_start(self, now: float) -> bool:
        """Return whether a load may start now."""
        return now >= self._next_start_at

    def record_start(self, weight_bytes: int, bytes_per_s: float, now: float) -> None:
        """Reserve bandwidth for a load that starts now or may already be running.

        Parameters
        ----------
        weight_bytes : int
            Size of the weights in bytes.
        bytes_per_s : float
            Bandwidth of the weight store in bytes per second.
        now : float
            Monotonic time in seconds.
        """
        start_at = max(self._next_start_at, now)
        self._next_start_at = start_at + weight_bytes / max(bytes_per_s, 1.0)
