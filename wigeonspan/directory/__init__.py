"""Directory of the entry hosts that callers may use, and draining of an entry."""

from wigeonspan.directory._core import (
    KEEP_S,
    DirectoryEntry,
    DirectoryResponse,
    Drain,
    list_entries,
)

__all__ = ["KEEP_S", "DirectoryResponse", "DirectoryEntry", "Drain", "list_entries"]
