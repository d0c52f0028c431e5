"""Heartbeats of entries to control hosts, and the entry addresses for callers."""

from wigeonspan.presence._directory import MAX_ADDRESSES, caller_addresses
from wigeonspan.presence._heartbeats import RETENTION_S, EntryHeartbeats
from wigeonspan.presence._messages import (
    ADDRESS_KEEP_S,
    BEAT_PATH,
    Beat,
    BeatReply,
    EntryInfo,
    EntryLoad,
    EntryState,
    Resources,
)
from wigeonspan.presence._packing import InvalidValue, pack, pack_once, unpack
from wigeonspan.presence._stopping import StoppingEntries
from wigeonspan.presence._weights import HeldSpills

__all__ = [
    "ADDRESS_KEEP_S",
    "BEAT_PATH",
    "MAX_ADDRESSES",
    "RETENTION_S",
    "HeldSpills",
    "InvalidValue",
    "Beat",
    "BeatReply",
    "EntryHeartbeats",
    "EntryInfo",
    "EntryLoad",
    "EntryState",
    "Resources",
    "StoppingEntries",
    "caller_addresses",
    "pack",
    "pack_once",
    "unpack",
]
