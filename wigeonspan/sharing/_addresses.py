"""Addresses of datagrams, as entries report them in heartbeats."""

import ipaddress
from collections.abc import Iterable
from functools import lru_cache

from wigeonspan.common import split_address

MAX_CACHED = 4096
"""Number of parsed addresses that are kept; each datagram needs those of all entries of
a relay."""


def parse_addresses(addresses: Iterable[str]) -> list[tuple[str, int]]:
    """Return the IP address and port of each address; skip those that have none.

    Host names are skipped, because to resolve them would block the process.
    """
    return [parsed for parsed in map(_parse, addresses) if parsed is not None]


@lru_cache(MAX_CACHED)
def _parse(address: str) -> tuple[str, int] | None:
    try:
        host, port = split_address(address)
        return str(ipaddress.ip_address(host.strip("[]"))), port
    except ValueError:
        return None
