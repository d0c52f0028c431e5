"""Answers of the directory, which control hosts and entries give."""

import math
import random
from collections.abc import Iterable

from msgspec import UNSET

from wigeonspan.common import DomainName
from wigeonspan.presence._messages import EntryInfo, EntryState

MIN_LOCAL_ENTRIES = 2
"""Minimum number of entries in the caller's own domain for which entries of other
domains are left out. If one fails, the caller still has a local one."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in an answer; callers read no more."""

MEAN_WEIGHT = 100.0
"""Weight in percent of an entry whose weight is left out."""


def caller_addresses(
    entries: Iterable[EntryInfo], domain: DomainName, limit: int, rng: random.Random
) -> list[str]:
    """Return entry addresses for a caller in a domain, in random order.

    Only entries of that domain are returned if there are enough of them, because
    traffic between domains is slow; otherwise all ready entries are. Where entries have
    weights, addresses are repeated so that callers follow them on average.

    Parameters
    ----------
    entries : iterable of EntryInfo
        Entries that count as alive.
    limit : int
        Maximum number of addresses.
    """
    ready = [e for e in entries if e.state is EntryState.READY]
    local = [e for e in ready if e.domain == domain]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else ready
    addresses = [e.caller_address for e in chosen]
    if len(chosen) < limit and any(e.weight is not UNSET for e in chosen):
        counts = _counts([_weight(e) for e in chosen], limit, rng)
        addresses = [
            a for a, n in zip(addresses, counts, strict=True) for _ in range(n)
        ]
    rng.shuffle(addresses)
    return addresses[:limit]


def _weight(entry: EntryInfo) -> float:
    return MEAN_WEIGHT if entry.weight is UNSET else float(entry.weight)


def _counts(weights: list[float], total: int, rng: random.Random) -> list[int]:
    """Return how often each entry is listed, which is at least once.

    The remaining places follow the weights. Parts of a place go to entries at random,
    so that the shares over many answers are exact.
    """
    scale = total / sum(weights)
    wanted = [max(0.0, weight * scale - 1.0) for weight in weights]
    scale = (total - len(weights)) / sum(wanted)
    counts, reached = [], rng.random()
    for want in wanted:
        before, reached = math.floor(reached), reached + want * scale
        counts.append(1 + math.floor(reached) - before)
    return counts
