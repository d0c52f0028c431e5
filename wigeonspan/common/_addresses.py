"""Helpers for network addresses."""

import re

_ADDRESS_PATTERN = re.compile(r"([!-~]{1,255}):([0-9]{1,5})")


def bind_address(address: str, bind: str) -> str:
    """Return the local address to listen on for an advertised address.

    Parameters
    ----------
    address : str
        Advertised address ``host:port``, to which other processes connect.
    bind : str
        Local interface to listen on when connections arrive through a forwarder;
        empty to listen on the advertised address. The port stays the same.
    """
    if not bind:
        return address
    return f"{bind}:{address.rpartition(':')[2]}"


def split_address(address: str) -> tuple[str, int]:
    """Split an address ``host:port`` that another process has sent.

    Raises
    ------
    ValueError
        When it does not have this form or the port is not one of 1 to 65535. ``int``
        also accepts signs, spaces and digits of other scripts, and sockets raise
        ``OverflowError`` for a port that is too large.
    """
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 1 <= int(match[2]) <= 65535:
        raise ValueError(f"address is {address[:80]!r}, expected host:port")
    return match[1], int(match[2])
