"""Log lines and metrics about the bounds on callers."""

from collections.abc import Callable

from wigeonspan.serving._guard import CallerGuard, RecordLimit
from wigeonspan.serving._shedding import CloseReason, Holding


def make_limit_recorder(
    write: Callable[..., None], count: Callable[..., None]
) -> RecordLimit:
    """Return a function that logs and counts callers that are refused or closed.

    Parameters
    ----------
    write : callable
        Writes an event to the decision log.
    count : callable
        Adds to a counter.
    """

    def record(reason: CloseReason, holding: Holding) -> None:
        count("callers_limited", reason=reason.value)
        if reason in (CloseReason.IDLE, CloseReason.AFTER_REFUSAL):
            # Kept connections end like this every day.
            return
        write(
            "callers",
            "caller_limited",
            failure=True,
            reason=reason.value,
            phase=holding.phase.value,
            held_bytes=holding.held_bytes,
            slow_ms=round(holding.slow_s * 1000),
        )

    return record


def show_limits(guard: CallerGuard, gauge: Callable[..., None]) -> None:
    """Set the gauges of what callers hold and may hold."""
    gauge("caller_bytes", guard.held_bytes)
    gauge("caller_bytes_limit", guard.held_limit)
    gauge("caller_connections", guard.connections)
    gauge("caller_connections_limit", guard.connections_limit)
