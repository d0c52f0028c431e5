"""Types of the platform's host list."""

from enum import Enum

from msgspec import Struct


class HostState(Enum):
    """State of a host on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(Struct, frozen=True):
    """Host on the platform's list.

    Parameters
    ----------
    name : str
        Name of the host on the platform.
    address : str
        IP address, or IP:port where several targets share a host.
    """

    name: str
    address: str
    state: HostState
