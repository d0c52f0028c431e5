"""Answer of the platform's host list."""

from enum import Enum

from msgspec import Struct


class HostState(Enum):
    """State of a host on the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(Struct, frozen=True):
    """One host of the list.

    Parameters
    ----------
    name : str
        Name that the platform gives the host.
    address : str
        IP address, or IP:port where several targets share a host.
    """

    name: str
    address: str
    state: HostState
