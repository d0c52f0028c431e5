"""Which entries are alive, as one control host hears it from their heartbeats."""

import hashlib
import random

from wigeonspan.common import DomainName, HostId, encode
from wigeonspan.presence._messages import Beat, EntryInfo, EntryState

FRESH_S = 1.6
"""Seconds after its last heartbeat in which an entry counts as alive; three missed
heartbeats of half a second."""

REMEMBER_S = 15.0
"""Seconds after its last heartbeat in which an entry is named when nearly all entries
fall silent at once, because then this host itself is probably cut off."""

SWEEP_S = 0.1
"""Seconds between two looks at all entries, whose cost would otherwise grow with the
square of their number; short against the time after which an entry counts as gone."""

ISOLATED_SHARE = 0.5
"""Share of the remembered entries below which the fresh ones mean that this host is
cut off, not that the entries are gone."""

MIN_OWN_DOMAIN = 2
"""Entries of the caller's own domain that make other domains unnecessary: one may fail
and the caller still has a close one."""


class _Seen:
    def __init__(self, beat: Beat, at: float) -> None:
        self.beat = beat
        self.at = at


class EntryBoard:
    """Entries by name, with the time of their last heartbeat."""

    def __init__(self) -> None:
        self._seen: dict[HostId, _Seen] = {}
        self._swept_at = float("-inf")
        self._digest = ("", float("-inf"))

    def record(self, beat: Beat, now: float) -> None:
        """Note a heartbeat."""
        before = self._seen.get(beat.entry.host)
        self._seen[beat.entry.host] = _Seen(beat, now)
        if before is None or before.beat.entry != beat.entry:
            self._digest = ("", float("-inf"))
        if now - self._swept_at < SWEEP_S:
            return
        self._swept_at = now
        for host in [h for h, s in self._seen.items() if now - s.at > REMEMBER_S]:
            del self._seen[host]

    def live(self, now: float) -> list[EntryInfo]:
        """Return the entries that count as alive, by name."""
        named = [s for s in self._seen.values() if now - s.at <= REMEMBER_S]
        fresh = [s for s in named if now - s.at <= FRESH_S]
        chosen = named if len(fresh) < ISOLATED_SHARE * len(named) else fresh
        return sorted((s.beat.entry for s in chosen), key=lambda e: e.host)

    def digest(self, now: float) -> str:
        """Return a digest of the live entries, at most ``SWEEP_S`` old.

        Each heartbeat asks for it; it changes at once with what an entry says.
        """
        digest, made_at = self._digest
        if now - made_at >= SWEEP_S:
            live = encode(self.live(now))
            digest = hashlib.blake2s(live, digest_size=8).hexdigest()
            self._digest = (digest, now)
        return digest

    def beats(self, now: float) -> list[Beat]:
        """Return the last heartbeat of each entry that is heard now."""
        return [s.beat for s in self._seen.values() if now - s.at <= FRESH_S]

    def addresses(
        self, domain: DomainName, limit: int, rng: random.Random, now: float
    ) -> list[str]:
        """Return the addresses that a caller of a domain should use.

        Entries of its own domain come alone when there are enough of them, because
        bytes between domains cost time; else all ready entries are named.
        """
        ready = [e for e in self.live(now) if e.state is EntryState.READY]
        own = [e for e in ready if e.domain == domain]
        chosen = own if len(own) >= MIN_OWN_DOMAIN else ready
        addresses = [e.caller_address for e in chosen]
        rng.shuffle(addresses)
        return addresses[:limit]
