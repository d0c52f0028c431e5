"""Pacing of loads to the rate of the weight store."""


class LoadPacer:
    """Starts loads no faster than the weight store can serve them.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._free_at = now

    @property
    def free_at(self) -> float:
        """Time from which the next load may start."""
        return self._free_at

    def may_start(self, now: float) -> bool:
        """Whether a load may start now."""
        return now >= self._free_at

    def start(self, weight_bytes: int, bytes_per_s: float, now: float) -> None:
        """Count a load that starts now, or that may be running already.

        Parameters
        ----------
        weight_bytes : int
            Size of the load in bytes.
        bytes_per_s : float
            Rate of the weight store.
        now : float
            Monotonic time in seconds.
        """
        begin = max(self._free_at, now)
        self._free_at = begin + weight_bytes / max(bytes_per_s, 1.0)
