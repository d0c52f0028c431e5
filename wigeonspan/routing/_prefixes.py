"""Estimate of the prompt prefixes that an engine holds in its cache."""

from collections import OrderedDict

from wigeonspan.common import EngineId
from wigeonspan.engines import CacheEvents
from wigeonspan.routing._messages import PromptPrefix, RoutingSettings

HOLDERS_KEPT = 4
"""Engines remembered for a prefix; more would only add to the cost of a choice."""

PREFIXES_INDEXED = 8
"""Longest prefixes of a prompt that are indexed, to bound the cost of a request."""


class PrefixEstimate:
    """Prefixes that one engine probably holds.

    Events arrive late and with gaps, so a prefix is believed less the longer ago it
    was confirmed, and a gap halves the belief in all prefixes known before it.

    Parameters
    ----------
    settings : RoutingSettings
        Bound of the memory and speed of the decay.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._incarnation: str | None = None
        self._last_seq = 0
        self._gaps = 0
        self._confirmed: OrderedDict[str, tuple[float, int]] = OrderedDict()

    @property
    def last_seq(self) -> int:
        """Sequence number of the newest event, for the next poll."""
        return self._last_seq

    def __len__(self) -> int:
        return len(self._confirmed)

    def note_incarnation(self, incarnation: str) -> None:
        """Clear everything when the engine has restarted."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._last_seq = 0
            self._confirmed.clear()

    def note_events(self, events: CacheEvents, now: float) -> None:
        """Apply cache events; those older than the newest known are ignored."""
        self.note_incarnation(events.incarnation)
        for event in events.events:
            if event.seq <= self._last_seq:
                continue
            if self._last_seq and event.seq > self._last_seq + 1:
                self._gaps += 1
            self._last_seq = event.seq
            if event.stored:
                self._confirm(event.prefix, now)
            else:
                self._confirmed.pop(event.prefix, None)

    def note_run(self, prefixes: tuple[PromptPrefix, ...], now: float) -> None:
        """Note that the engine ran a prompt, so that it now holds its prefixes."""
        for prefix in prefixes:
            self._confirm(prefix.prefix, now)

    def expected_tokens(self, prefixes: tuple[PromptPrefix, ...], now: float) -> float:
        """Return the expected number of prompt tokens that need no prefill.

        Parameters
        ----------
        prefixes : tuple of PromptPrefix
            Prefixes of the prompt, shortest first.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Largest product of length and belief.
        """
        best = 0.0
        for prefix in prefixes:
            known = self._confirmed.get(prefix.prefix)
            if known is not None:
                best = max(best, prefix.tokens * self._belief(known, now))
        return best

    def _belief(self, known: tuple[float, int], now: float) -> float:
        confirmed_at, gaps = known
        halvings = (now - confirmed_at) / self._settings.cache_half_life_s
        return 0.5 ** (halvings + self._gaps - gaps)

    def _confirm(self, prefix: str, now: float) -> None:
        self._confirmed[prefix] = (now, self._gaps)
        self._confirmed.move_to_end(prefix)
        while len(self._confirmed) > self._settings.cache_prefixes:
            self._confirmed.popitem(last=False)


class HolderIndex:
    """Engines that lately ran a prompt prefix.

    A large fleet is sampled, so the engine that holds a prefix would seldom be among
    those compared; the index adds it.

    Parameters
    ----------
    capacity : int
        Prefixes remembered.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._engines: OrderedDict[str, list[EngineId]] = OrderedDict()

    def note_run(self, prefixes: tuple[PromptPrefix, ...], engine: EngineId) -> None:
        """Note that an engine ran a prompt with these prefixes."""
        for prefix in prefixes[-PREFIXES_INDEXED:]:
            engines = self._engines.setdefault(prefix.prefix, [])
            if engine in engines:
                engines.remove(engine)
            engines.insert(0, engine)
            del engines[HOLDERS_KEPT:]
            self._engines.move_to_end(prefix.prefix)
        while len(self._engines) > self._capacity:
            self._engines.popitem(last=False)

    def engines(self, prefixes: tuple[PromptPrefix, ...]) -> list[EngineId]:
        """Return engines that ran the longest known of these prefixes."""
        for prefix in reversed(prefixes[-PREFIXES_INDEXED:]):
            if prefix.prefix in self._engines:
                return self._engines[prefix.prefix]
        return []
