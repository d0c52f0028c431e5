"""Types and helpers shared by all packages."""

from typing import TYPE_CHECKING

from wigeonspan.common._addresses import bind_address, split_address
from wigeonspan.common._clock import BootClock, Clock, ManualClock, SystemClock
from wigeonspan.common._codec import (
    DECODE_ERRORS,
    PROTOCOL_VERSION,
    VERSION_HEADER,
    check_version,
    decode,
    encode,
)
from wigeonspan.common._elements import split_array, split_member_array, split_object
from wigeonspan.common._errors import (
    ERROR_RESPONSES,
    ErrorBody,
    ErrorDetail,
    ErrorKind,
    ErrorResponse,
    ExecutionState,
    WigeonspanError,
)
from wigeonspan.common._ids import (
    AttemptId,
    DomainName,
    EngineId,
    HostId,
    LogIndex,
    ModelName,
    OperationId,
    RequestId,
    ServiceName,
    TenantName,
    Term,
    Version,
)
from wigeonspan.common._lazy import load_on_use
from wigeonspan.common._numbers import parse_count, parse_decimal, parse_positive
from wigeonspan.common._signals import on_stop_signal
from wigeonspan.common._supervise import (
    describe_error,
    keep_running,
    start_unless_stopped,
)
from wigeonspan.common._traffic import TrafficCounter
from wigeonspan.common._watch import watch_settings

if TYPE_CHECKING:
    from wigeonspan.common._logs import part_logger, set_up_logs
    from wigeonspan.common._metrics import (
        Metrics,
        MetricsSettings,
        NoMetrics,
        StatsdMetrics,
        make_metrics,
        metric_name,
    )
    from wigeonspan.common._settings import (
        SettingsErrors,
        SettingsFault,
        load_settings,
    )

__getattr__ = load_on_use(
    __name__,
    {
        "part_logger": "_logs",
        "set_up_logs": "_logs",
        "Metrics": "_metrics",
        "MetricsSettings": "_metrics",
        "NoMetrics": "_metrics",
        "StatsdMetrics": "_metrics",
        "make_metrics": "_metrics",
        "metric_name": "_metrics",
        "SettingsErrors": "_settings",
        "SettingsFault": "_settings",
        "load_settings": "_settings",
    },
)

__all__ = [
    "DECODE_ERRORS",
    "ERROR_RESPONSES",
    "PROTOCOL_VERSION",
    "VERSION_HEADER",
    "AttemptId",
    "BootClock",
    "Clock",
    "DomainName",
    "EngineId",
    "ErrorBody",
    "ErrorDetail",
    "ErrorKind",
    "ErrorResponse",
    "HostId",
    "LogIndex",
    "ManualClock",
    "Metrics",
    "MetricsSettings",
    "ModelName",
    "NoMetrics",
    "OperationId",
    "ExecutionState",
    "RequestId",
    "ServiceName",
    "SettingsErrors",
    "SettingsFault",
    "StatsdMetrics",
    "SystemClock",
    "TenantName",
    "Term",
    "TrafficCounter",
    "Version",
    "WigeonspanError",
    "bind_address",
    "check_version",
    "decode",
    "describe_error",
    "encode",
    "load_settings",
    "make_metrics",
    "metric_name",
    "on_stop_signal",
    "parse_count",
    "parse_decimal",
    "parse_positive",
    "part_logger",
    "set_up_logs",
    "split_address",
    "split_array",
    "split_member_array",
    "split_object",
    "keep_running",
    "load_on_use",
    "watch_settings",
    "start_unless_stopped",
]
