"""Reporting of unexpected errors in the decision log and the metrics."""

import asyncio
from collections.abc import Callable
from typing import Any

from wigeonspan.common import describe_error
from wigeonspan.trail._log import EventLog
from wigeonspan.trail._meters import ProcessMetrics


def make_error_reporter(
    event_log: EventLog, metrics: ProcessMetrics
) -> Callable[[BaseException], None]:
    """Return a function that logs and counts an unexpected error.

    The error does not end the process.
    """

    def report(error: BaseException) -> None:
        metrics.count("unexpected_errors", kind=type(error).__name__)
        event_log.write(
            "process", "unexpected_error", failure=True, why=describe_error(error)
        )

    return report


def report_loop_errors(report: Callable[[BaseException], None]) -> None:
    """Report errors of the running event loop that no task handles."""

    def handle_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        report(context.get("exception") or RuntimeError(context["message"]))

    asyncio.get_running_loop().set_exception_handler(handle_error)
