"""Adapters of the record, apart from the core because they load tornado."""

from wigeonspan.record._http import (
    RECORD_PATH,
    RecordHandler,
    fetch_chunk,
    keep_record,
)

__all__ = ["RECORD_PATH", "RecordHandler", "fetch_chunk", "keep_record"]
