"""Prefix cache of the stand-in engine, with events that are late and have gaps."""

from collections import OrderedDict

from standins._text import PIECE_TOKENS, prefix_hashes
from wigeonspan.engines import CacheEvent


class PrefixCache:
    """Cached prompt prefixes in pieces, the least recently used evicted first.

    Parameters
    ----------
    pieces : int
        Capacity in pieces.
    lag_s : float
        Seconds after which an event can be seen.
    gap_every : int
        Each event whose number is a multiple of this is lost; 0 loses none.
    """

    def __init__(self, pieces: int, lag_s: float, gap_every: int) -> None:
        self._pieces = pieces
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._held: OrderedDict[str, int] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._seq = 0

    @property
    def used(self) -> int:
        """Pieces that hold a prefix."""
        return len(self._held)

    def cached_tokens(self, tokens: list[str]) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        cached = 0
        for prefix, length in prefix_hashes(tokens):
            if prefix not in self._held:
                break
            self._held.move_to_end(prefix)
            cached = length
        return cached

    def store(self, tokens: list[str], now: float) -> None:
        """Cache all prefixes of a prompt."""
        for prefix, length in prefix_hashes(tokens):
            if prefix not in self._held:
                self._held[prefix] = length
                self._note(prefix, length, True, now)
            self._held.move_to_end(prefix)
        while len(self._held) > self._pieces:
            prefix, length = self._held.popitem(last=False)
            self._note(prefix, length, False, now)

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._held.clear()
        self._events.clear()
        self._seq = 0

    def events_after(self, seq: int, now: float) -> list[CacheEvent]:
        """Return the events after a number that can be seen by now."""
        return [
            event
            for at, event in self._events
            if event.seq > seq and at + self._lag_s <= now
        ]

    def pieces_of(self, tokens: int) -> int:
        """Return the pieces that a number of tokens takes."""
        return -(-tokens // PIECE_TOKENS)

    def _note(self, prefix: str, tokens: int, stored: bool, now: float) -> None:
        self._seq += 1
        if self._gap_every and self._seq % self._gap_every == 0:
            return
        self._events.append((now, CacheEvent(self._seq, prefix, tokens, stored)))
        del self._events[:-10_000]
