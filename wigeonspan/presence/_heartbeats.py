"""Live entries according to their heartbeats at one control host."""

import hashlib
import random
from collections.abc import Mapping

from msgspec import UNSET
from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, encode
from wigeonspan.presence._directory import caller_addresses
from wigeonspan.presence._messages import Beat, EntryInfo, EntryState
from wigeonspan.presence._weights import EntryWeights

LIVENESS_TIMEOUT_S = 1.6
"""Seconds after its last heartbeat during which an entry counts as alive; three missed
heartbeats at an interval of half a second."""

RETENTION_S = 15.0
"""Seconds after its last heartbeat during which an entry is still listed if most
entries stop sending heartbeats at once, because then this host itself is probably
isolated."""

REFRESH_INTERVAL_S = 0.1
"""Minimum seconds between two passes over all entries. A pass for each heartbeat would
cost time that grows with the square of the number of entries. The interval is short
compared with ``LIVENESS_TIMEOUT_S``."""

ISOLATED_SHARE = 0.5
"""Share of the remembered entries that must be alive. With fewer, this host is
assumed to be isolated, rather than the entries to be gone."""


class _LastBeat:
    def __init__(self, beat: Beat, at: float) -> None:
        self.beat = beat
        self.at = at


class EntryHeartbeats:
    """Keep the last heartbeat of each entry and its time."""

    def __init__(self) -> None:
        self._last_beats: dict[HostId, _LastBeat] = {}
        self._last_pass_at = float("-inf")
        self._digest = ("", float("-inf"))
        self._weights = EntryWeights()

    @property
    def listed_weights(self) -> Mapping[HostId, int]:
        """Weights in the list of live entries, without those of 100 percent."""
        return self._weights.listed

    @property
    def spills(self) -> Mapping[DomainName, float]:
        """Share of the callers of each domain that go to other domains."""
        return self._weights.spills

    def record(self, beat: Beat, now: float) -> None:
        """Record a heartbeat."""
        before = self._last_beats.get(beat.entry.host)
        self._last_beats[beat.entry.host] = _LastBeat(beat, now)
        if before is None or before.beat.entry != beat.entry:
            self._digest = ("", float("-inf"))
        if beat.entry.state is EntryState.READY:
            load = None if beat.load is UNSET else beat.load
            self._weights.record(beat.entry.host, load, now)
        if now - self._last_pass_at < REFRESH_INTERVAL_S:
            return
        self._last_pass_at = now
        for host in [
            h for h, s in self._last_beats.items() if now - s.at > RETENTION_S
        ]:
            del self._last_beats[host]
        self._update_weights(now)

    def live(self, now: float) -> list[EntryInfo]:
        """Return the entries that count as alive, sorted by host.

        Their weights are in coarse steps, so that the list seldom changes.
        """
        return self._live(self._weights.listed, now)

    def _live(self, weights: Mapping[HostId, int], now: float) -> list[EntryInfo]:
        remembered = [s for s in self._last_beats.values() if now - s.at <= RETENTION_S]
        alive = [s for s in remembered if now - s.at <= LIVENESS_TIMEOUT_S]
        chosen = remembered if len(alive) < ISOLATED_SHARE * len(remembered) else alive
        entries = sorted((s.beat.entry for s in chosen), key=lambda e: e.host)
        if not weights:
            return entries
        return [replace(e, weight=weights.get(e.host, UNSET)) for e in entries]

    def _update_weights(self, now: float) -> None:
        ready = {
            h: s.at
            for h, s in self._last_beats.items()
            if s.beat.entry.state is EntryState.READY
        }
        alive = [h for h, at in ready.items() if now - at <= LIVENESS_TIMEOUT_S]
        domains = {h: self._last_beats[h].beat.entry.domain for h in ready}
        self._weights.update(domains, alive, now)

    def digest(self, now: float) -> str:
        """Return a digest of the live entries, at most ``REFRESH_INTERVAL_S`` old.

        It is needed for each heartbeat and therefore cached. A changed entry
        invalidates the cache at once.
        """
        digest, computed_at = self._digest
        if now - computed_at >= REFRESH_INTERVAL_S:
            live = encode(self.live(now))
            digest = hashlib.blake2s(live, digest_size=8).hexdigest()
            self._digest = (digest, now)
        return digest

    def beats(self, now: float) -> list[Beat]:
        """Return the last heartbeats that are not older than ``LIVENESS_TIMEOUT_S``."""
        return [
            s.beat
            for s in self._last_beats.values()
            if now - s.at <= LIVENESS_TIMEOUT_S
        ]

    def addresses(
        self,
        domain: DomainName,
        limit: int,
        rng: random.Random,
        now: float,
        asked: str = "",
    ) -> list[str]:
        """Return entry addresses for a caller in a domain; see `caller_addresses`."""
        entries = self._live(self._weights.weights, now)
        spills = self._weights.spills
        return caller_addresses(entries, domain, limit, rng, spills, asked)
