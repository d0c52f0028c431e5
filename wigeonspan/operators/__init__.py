"""Operators' service and command line.

The package loads gRPC in its modules only, so that importing a type of it is cheap.
"""

from wigeonspan.operators._backend import (
    ControlBackend,
    ControlStatus,
    InForceReport,
    RecordLine,
    RecordQuery,
    Stranger,
)

__all__ = [
    "ControlBackend",
    "ControlStatus",
    "InForceReport",
    "RecordLine",
    "RecordQuery",
    "Stranger",
]
