"""Replicated log based on the Raft consensus protocol."""

from wigeonspan.consensus._core import RaftNode
from wigeonspan.consensus._disk import Disk, FolderDisk
from wigeonspan.consensus._files import write_atomically
from wigeonspan.consensus._frames import (
    StorageCorrupt,
    StorageError,
    StorageFailed,
    StorageFull,
    encode_frame,
    read_frame,
)
from wigeonspan.consensus._interface import ReplicatedLog, StateMachine
from wigeonspan.consensus._messages import (
    BootstrapMember,
    Entry,
    HardState,
    LocalMember,
    LogRole,
    Message,
    Peer,
    Persist,
    Ready,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from wigeonspan.consensus._store import LogStore

__all__ = [
    "BootstrapMember",
    "Disk",
    "Entry",
    "FolderDisk",
    "HardState",
    "LocalMember",
    "LogRole",
    "LogStore",
    "LogTask",
    "Message",
    "Peer",
    "Persist",
    "RaftNode",
    "Ready",
    "ReplicatedLog",
    "Snapshot",
    "SnapshotMeta",
    "StateMachine",
    "StorageCorrupt",
    "StorageError",
    "StorageFailed",
    "StorageFull",
    "StoredState",
    "encode_frame",
    "read_frame",
    "write_atomically",
]


def __getattr__(name: str) -> object:
    # Imported on first use: it loads tornado and curl, which code that only
    # uses ``RaftNode`` does not need.
    if name == "LogTask":
        from wigeonspan.consensus._task import LogTask

        return LogTask
    raise AttributeError(name)
