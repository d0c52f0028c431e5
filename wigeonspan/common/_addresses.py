"""Helper for listen addresses."""


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
