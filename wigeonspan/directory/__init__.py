"""Directory: which entries a caller may use, and when an entry may stop."""

from wigeonspan.directory._core import (
    KEEP_S,
    DirectoryAnswer,
    DirectoryEntry,
    Drain,
    list_entries,
)

__all__ = ["KEEP_S", "DirectoryAnswer", "DirectoryEntry", "Drain", "list_entries"]
