"""Messages about metered use."""

from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.common import TenantName

_Count = Annotated[int, Meta(ge=0, le=10**9)]
_Window = Annotated[int, Meta(ge=0, le=2**53)]
_WallMs = Annotated[int, Meta(ge=0, le=2**53)]


class UsageShare(Struct, frozen=True, array_like=True):
    """Use that one entry has counted, as sent in its heartbeats.

    Parameters
    ----------
    incarnation : str
        Random id of this start of the entry.
    sequence : int
        Number that grows with each message of the incarnation.
    wall_ms : int
        The entry's estimate of the true time, in milliseconds since 1970.
    windows : dict
        Counts by tenant of the recent windows, by window.
    """

    incarnation: str
    sequence: Annotated[int, Meta(ge=0, le=2**53)]
    wall_ms: _WallMs
    windows: dict[_Window, dict[TenantName, _Count]] = {}


class DecideWindow(Struct, frozen=True, tag="usage_decided"):
    """Command that decides the counts of a window, sorted by tenant, once for ever."""

    window: _Window
    counts: tuple[tuple[TenantName, _Count], ...]


class WindowReported(Struct, frozen=True, tag="usage_reported"):
    """Command that records that the platform has acknowledged a window's report."""

    window: _Window
