"""Heartbeats of entries to control hosts, and the entry addresses for callers."""

from wigeonspan.presence._board import EntryBoard
from wigeonspan.presence._messages import (
    BEAT_PATH,
    Beat,
    BeatReply,
    EntryInfo,
    EntryState,
)
from wigeonspan.presence._packing import BadValue, pack, pack_once, unpack

__all__ = [
    "BEAT_PATH",
    "BadValue",
    "Beat",
    "BeatReply",
    "EntryBoard",
    "EntryInfo",
    "EntryState",
    "pack",
    "pack_once",
    "unpack",
]
