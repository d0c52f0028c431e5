"""gRPC service and command line for the operators of a deployment.

Only the submodules import gRPC, so importing a type from this package is cheap.
"""

from wigeonspan.operators._backend import (
    ControlBackend,
    ControlStatus,
    InForceReport,
    RecordEntryView,
    RecordQuery,
    Stranger,
)

__all__ = [
    "ControlBackend",
    "ControlStatus",
    "InForceReport",
    "RecordEntryView",
    "RecordQuery",
    "Stranger",
]
