"""HTTP handler and background task of the record.

They are separate from the rest of the package because they import tornado.
"""

from wigeonspan.record._http import (
    RECORD_PATH,
    RecordHandler,
    fetch_chunk,
    maintain_record,
)

__all__ = ["RECORD_PATH", "RecordHandler", "fetch_chunk", "maintain_record"]
