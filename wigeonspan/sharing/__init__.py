"""Datagrams by which entries share work, failures and the list of targets."""

from wigeonspan.sharing._messages import (
    EntryStopping,
    Event,
    ListRead,
    Packet,
    RetriesLent,
    RetriesWanted,
    TargetLeaving,
    TargetLimited,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.sharing._relay import Relay
from wigeonspan.sharing._task import PeerLink

__all__ = [
    "EntryStopping",
    "Event",
    "ListRead",
    "Packet",
    "PeerLink",
    "Relay",
    "RetriesLent",
    "RetriesWanted",
    "TargetLeaving",
    "TargetLimited",
    "TargetSuspended",
    "WorkBegun",
    "WorkEnded",
]
