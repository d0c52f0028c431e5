"""Presence of entries at control hosts, and what callers are told of it."""

from wigeonspan.presence._board import EntryBoard
from wigeonspan.presence._messages import (
    BEAT_PATH,
    Beat,
    BeatReply,
    EntryInfo,
    EntryState,
)

__all__ = ["BEAT_PATH", "Beat", "BeatReply", "EntryBoard", "EntryInfo", "EntryState"]
