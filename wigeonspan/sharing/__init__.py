"""Datagrams by which entries share work, failures and the list of targets."""

from wigeonspan.sharing._messages import (
    Event,
    ListSeen,
    Packet,
    TargetLeaving,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.sharing._relay import Relay
from wigeonspan.sharing._task import PeerLink

__all__ = [
    "Event",
    "ListSeen",
    "Packet",
    "PeerLink",
    "Relay",
    "TargetLeaving",
    "TargetSuspended",
    "WorkBegun",
    "WorkEnded",
]
