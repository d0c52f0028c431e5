"""Entry daemon: directory, admission, routing, completions and plain calls."""

from wigeonspan.entryd._daemon import EntryDaemon
from wigeonspan.entryd._settings import EntrySettings, RelaySettings, split_address

__all__ = ["EntryDaemon", "EntrySettings", "RelaySettings", "split_address"]
