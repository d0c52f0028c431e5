"""Estimate of the prompt prefixes that engines have cached."""

from collections import OrderedDict

from wigeonspan.common import EngineId
from wigeonspan.engines import CacheEvents
from wigeonspan.routing._messages import PromptPrefix, RoutingSettings

MAX_ENGINES_PER_PREFIX = 4
"""Engines remembered for a prefix; more would only raise the cost of a choice."""

MAX_INDEXED_PREFIXES = 8
"""Number of prefixes indexed per prompt, the longest first, which bounds the cost of a
request."""


class PrefixEstimate:
    """Estimate which prefixes one engine has cached.

    Cache events arrive late and may be lost. The confidence in a prefix therefore
    decays with the time since it was last confirmed, and each gap in the sequence
    numbers halves the confidence in all prefixes confirmed before it.

    Parameters
    ----------
    settings : RoutingSettings
        Maximum number of prefixes and half-life of the confidence.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._incarnation: str | None = None
        self._last_seq = 0
        self._gaps = 0
        self._confirmed: OrderedDict[str, tuple[float, int]] = OrderedDict()

    @property
    def last_seq(self) -> int:
        """Sequence number of the newest event; the next poll asks for later ones."""
        return self._last_seq

    def __len__(self) -> int:
        return len(self._confirmed)

    def update_incarnation(self, incarnation: str) -> None:
        """Clear the estimate if the engine has restarted."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._last_seq = 0
            self._confirmed.clear()

    def record_events(self, events: CacheEvents, now: float) -> None:
        """Apply cache events; ignore those not newer than the last one applied."""
        self.update_incarnation(events.incarnation)
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

    def record_run(self, prefixes: tuple[PromptPrefix, ...], now: float) -> None:
        """Record that the engine ran a prompt and has therefore cached its prefixes."""
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
            Maximum over the prefixes of their length times the confidence in them.
        """
        best = 0.0
        for prefix in prefixes:
            confirmation = self._confirmed.get(prefix.prefix)
            if confirmation is not None:
                best = max(best, prefix.tokens * self._confidence(confirmation, now))
        return best

    def _confidence(self, confirmation: tuple[float, int], now: float) -> float:
        """Return the estimated probability that a prefix is still cached."""
        confirmed_at, gaps = confirmation
        halvings = (now - confirmed_at) / self._settings.cache_half_life_s
        return 0.5 ** (halvings + self._gaps - gaps)

    def _confirm(self, prefix: str, now: float) -> None:
        """Store a prefix as cached now; drop the oldest ones above the limit."""
        self._confirmed[prefix] = (now, self._gaps)
        self._confirmed.move_to_end(prefix)
        while len(self._confirmed) > self._settings.cache_prefixes:
            self._confirmed.popitem(last=False)


class RecentEngineIndex:
    """Index of the engines that recently ran each prompt prefix.

    In a large fleet a choice compares only a sample of the engines, which would seldom
    contain the engine that has cached a prefix. The router adds the engines found here
    to the sample.

    Parameters
    ----------
    capacity : int
        Maximum number of prefixes in the index.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._engines: OrderedDict[str, list[EngineId]] = OrderedDict()

    def record_run(self, prefixes: tuple[PromptPrefix, ...], engine: EngineId) -> None:
        """Record that an engine ran a prompt with these prefixes, shortest first."""
        for prefix in prefixes[-MAX_INDEXED_PREFIXES:]:
            engines = self._engines.setdefault(prefix.prefix, [])
            if engine in engines:
                engines.remove(engine)
            engines.insert(0, engine)
            del engines[MAX_ENGINES_PER_PREFIX:]
            self._engines.move_to_end(prefix.prefix)
        while len(self._engines) > self._capacity:
            self._engines.popitem(last=False)

    def engines(self, prefixes: tuple[PromptPrefix, ...]) -> list[EngineId]:
        """Return the engines that ran the longest of these prefixes in the index."""
        for prefix in reversed(prefixes[-MAX_INDEXED_PREFIXES:]):
            if prefix.prefix in self._engines:
                return self._engines[prefix.prefix]
        return []
