"""Answers of the directory, which control hosts and entries give."""

import math
import random
from collections.abc import Iterable, Mapping
from hashlib import blake2s
from types import MappingProxyType

from msgspec import UNSET

from wigeonspan.common import DomainName
from wigeonspan.presence._messages import EntryInfo, EntryState

MIN_LOCAL_ENTRIES = 2
"""Minimum number of entries in the caller's own domain for which entries of other
domains are left out. If one fails, the caller still has a local one."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in an answer; callers read no more."""

PLACES_FOR_OTHER = 2
"""Places of an answer for each entry of another domain that it names. One place each
would leave none to follow the weights; more would load few entries."""

MEAN_WEIGHT = 100.0
"""Weight in percent of an entry whose weight is left out."""


def caller_addresses(
    entries: Iterable[EntryInfo],
    domain: DomainName,
    limit: int,
    rng: random.Random,
    spills: Mapping[DomainName, float] = MappingProxyType({}),
    asked: str = "",
) -> list[str]:
    """Return entry addresses for a caller in a domain, in random order.

    Only entries of that domain are returned if there are enough of them, because
    traffic between domains is slow; otherwise all ready entries are. Where entries have
    weights, addresses are repeated so that callers follow them on average, and entries
    of other domains are added where those of the caller's have too little left.

    Parameters
    ----------
    entries : iterable of EntryInfo
        Entries that count as alive.
    limit : int
        Maximum number of addresses.
    spills : mapping
        Share of the callers of each domain that go to other domains.
    asked : str
        Host that answers, which determines the entries of other domains.
    """
    ready = [e for e in entries if e.state is EntryState.READY]
    local = [e for e in ready if e.domain == domain]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else ready
    addresses = [e.caller_address for e in chosen]
    spill = spills.get(domain, 0.0) if chosen is local else 0.0
    has_weights = any(e.weight is not UNSET for e in chosen)
    if (spill or has_weights) and len(chosen) < limit:
        with_room = [
            e for e in ready if e.domain != domain and spills.get(e.domain, 0.0) < spill
        ]
        places = min(round(spill * limit), limit - len(chosen))
        shares = _shares(chosen, _choose_others(with_room, places, asked), spill)
        counts = _counts([share for _, share in shares], limit, rng)
        addresses = [
            entry.caller_address
            for (entry, _), count in zip(shares, counts, strict=True)
            for _ in range(count)
        ]
    rng.shuffle(addresses)
    return addresses[:limit]


def _choose_others(others: list[EntryInfo], places: int, asked: str) -> list[EntryInfo]:
    """Return the entries of other domains that an answer names.

    They are always the same ones at a host that is asked, because callers close
    connections to entries that their next answer leaves out; hosts differ in them, so
    that all of them get some callers.
    """
    ordered = sorted(
        others, key=lambda e: blake2s(f"{asked}/{e.host}".encode()).digest()
    )
    return ordered[: places // PLACES_FOR_OTHER]


def _shares(
    chosen: list[EntryInfo], others: list[EntryInfo], spill: float
) -> list[tuple[EntryInfo, float]]:
    """Return the entries of both lists with their shares of the callers."""
    own = (1.0 - spill if others else 1.0) / sum(_weight(e) for e in chosen)
    away = spill / sum(_weight(e) for e in others) if others else 0.0
    return [
        *((e, _weight(e) * own) for e in chosen),
        *((e, _weight(e) * away) for e in others),
    ]


def _weight(entry: EntryInfo) -> float:
    return MEAN_WEIGHT if entry.weight is UNSET else float(entry.weight)


def _counts(shares: list[float], total: int, rng: random.Random) -> list[int]:
    """Return how often each entry is listed, which is at least once.

    The remaining places follow the shares. Parts of a place go to entries at random,
    so that the shares over many answers are exact.
    """
    wanted = [max(0.0, share * total - 1.0) for share in shares]
    scale = (total - len(shares)) / sum(wanted)
    counts, reached = [], rng.random()
    for want in wanted:
        before, reached = math.floor(reached), reached + want * scale
        counts.append(1 + math.floor(reached) - before)
    return counts
