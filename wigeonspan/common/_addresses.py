"""Addresses to listen on."""


def bind_address(address: str, bind: str) -> str:
    """Return where to listen for what others send to an address.

    Parameters
    ----------
    address : str
        Address ``host:port`` that others use.
    bind : str
        Interface to listen on when a forwarder stands before it; empty when there is
        none. The port stays the same.
    """
    if not bind:
        return address
    return f"{bind}:{address.rpartition(':')[2]}"
