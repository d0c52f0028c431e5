"""Prefix cache of the stand-in engine, with delayed and lost cache events."""

from collections import OrderedDict

from standins._text import PIECE_TOKENS, prefix_hashes
from wigeonspan.engines import CacheEvent


class PrefixCache:
    """Cache of prompt prefixes in pieces, with least-recently-used eviction.

    Parameters
    ----------
    pieces : int
        Capacity in pieces.
    lag_s : float
        Delay of cache events in seconds.
    gap_every : int
        Events whose sequence number is a multiple of this are lost; 0 for none.
    """

    def __init__(self, pieces: int, lag_s: float, gap_every: int) -> None:
        self._pieces = pieces
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._seq = 0

    @property
    def used_pieces(self) -> int:
        """Number of pieces in use."""
        return len(self._cached)

    def cached_tokens(self, tokens: list[str]) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        cached = 0
        for prefix, length in prefix_hashes(tokens):
            if prefix not in self._cached:
                break
            self._cached.move_to_end(prefix)
            cached = length
        return cached

    def store(self, tokens: list[str], now: float) -> None:
        """Cache all prefixes of a prompt."""
        for prefix, length in prefix_hashes(tokens):
            if prefix not in self._cached:
                self._cached[prefix] = length
                self._record_event(prefix, length, True, now)
            self._cached.move_to_end(prefix)
        while len(self._cached) > self._pieces:
            prefix, length = self._cached.popitem(last=False)
            self._record_event(prefix, length, False, now)

    def clear(self) -> None:
        """Clear cache and events and reset the sequence number, as a restart does."""
        self._cached.clear()
        self._events.clear()
        self._seq = 0

    def events_after(self, seq: int, now: float) -> list[CacheEvent]:
        """Return the events after a sequence number whose delay is over."""
        return [
            event
            for at, event in self._events
            if event.seq > seq and at + self._lag_s <= now
        ]

    def pieces_for(self, tokens: int) -> int:
        """Return the number of pieces needed for a number of tokens."""
        return -(-tokens // PIECE_TOKENS)

    def _record_event(self, prefix: str, tokens: int, stored: bool, now: float) -> None:
        self._seq += 1
        if self._gap_every and self._seq % self._gap_every == 0:
            return
        self._events.append((now, CacheEvent(self._seq, prefix, tokens, stored)))
        del self._events[:-10_000]
