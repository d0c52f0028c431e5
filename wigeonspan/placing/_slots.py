"""Forecast of the wait for a stream's slot at the decode engines."""

from collections import Counter

INITIAL_STREAM_S = 1.0
"""Assumed duration of a stream in seconds before any has ended."""

DURATION_WEIGHT = 0.05
"""Weight of a new stream in the moving averages of the duration."""

MAX_URGENT_SHARE = 0.9
"""Maximum share of the slots that more urgent streams are assumed to keep, so that the
wait stays finite when they take all."""


class SlotForecast:
    """Expected wait for a slot, from the time for which streams take one.

    Engines with a dozen slots and streams of a second are full long before their
    prefill is: the wait depends on slots and durations, not on the number of engines.
    """

    def __init__(self) -> None:
        self._mean_s = INITIAL_STREAM_S
        # Mean duration by urgency: the less laxity, the shorter the answer tends to be.
        self._mean_s_by_urgency: dict[int, float] = {}

    @property
    def stream_s(self) -> float:
        """Mean duration of a stream in seconds, without its wait for a slot."""
        return self._mean_s

    def record_stream(self, urgency: int, duration_s: float) -> None:
        """Record the seconds from the first event of a stream to its end."""
        self._mean_s += DURATION_WEIGHT * (duration_s - self._mean_s)
        mean_s = self._mean_s_by_urgency.get(urgency, self._mean_s)
        mean_s += DURATION_WEIGHT * (duration_s - mean_s)
        self._mean_s_by_urgency[urgency] = mean_s

    def wait_ms(
        self,
        slots: int,
        open_streams: Counter[int],
        urgency: int,
        expected: Counter[int] | None = None,
    ) -> float:
        """Return the expected milliseconds until a new stream gets a slot.

        Streams that arrive later and are more urgent get slots first. As in a queue
        with priorities (Cobham, "Priority Assignment in Waiting Line Problems",
        Operations Research, 1954), the wait grows with the share of the slots that
        such streams use.

        Parameters
        ----------
        slots : int
            Slots of the engines that may run the stream.
        open_streams : Counter
            Number of streams that take or await one of them, by urgency.
        urgency : int
            Rank of the new stream.
        expected : Counter or None
            Number of streams whose prompts are in prefill, by urgency.
        """
        streams = open_streams + expected if expected is not None else open_streams
        ahead = Counter({rank: n for rank, n in streams.items() if rank <= urgency})
        urgent = sum(n for rank, n in open_streams.items() if rank < urgency)
        urgent_share = min(MAX_URGENT_SHARE, urgent / max(1, slots))
        return self.backlog_ms(slots, ahead) / (1.0 - urgent_share)

    def backlog_ms(self, slots: int, streams: Counter[int]) -> float:
        """Return the expected milliseconds until streams leave a slot for one more.

        Parameters
        ----------
        slots : int
            Slots of the engines that run the streams.
        streams : Counter
            Number of streams that take or await one of them, by urgency.
        """
        number = streams.total()
        excess = number + 1 - slots
        if excess <= 0:
            return 0.0
        total_s = sum(n * self._duration_s(rank) for rank, n in streams.items())
        mean_s = total_s / number if number else self._mean_s
        return 1000.0 * excess * mean_s / max(1, slots)

    def _duration_s(self, urgency: int) -> float:
        return self._mean_s_by_urgency.get(urgency, self._mean_s)
