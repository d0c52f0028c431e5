"""Answers of the directory, which control hosts and entries give."""

import random
from collections.abc import Iterable

from wigeonspan.common import DomainName
from wigeonspan.presence._messages import EntryInfo, EntryState

MIN_LOCAL_ENTRIES = 2
"""Minimum number of entries in the caller's own domain for which entries of other
domains are left out. If one fails, the caller still has a local one."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in an answer; callers read no more."""


def caller_addresses(
    entries: Iterable[EntryInfo], domain: DomainName, limit: int, rng: random.Random
) -> list[str]:
    """Return entry addresses for a caller in a domain, in random order.

    Only entries of that domain are returned if there are enough of them, because
    traffic between domains is slow; otherwise all ready entries are.

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
    rng.shuffle(addresses)
    return addresses[:limit]
