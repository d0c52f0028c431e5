"""Entry daemon: directory, admission, routing, model streams and plain calls."""

from wigeonspan.entryd._settings import EntrySettings, RelaySettings, split_address

__all__ = ["EntrySettings", "RelaySettings", "split_address"]
