"""Reporting of unexpected errors in the decision log and the metrics."""

import asyncio
from collections.abc import Callable
from typing import Any

from wigeonspan.common import describe_error
from wigeonspan.trail._log import Trail
from wigeonspan.trail._meters import Meters


def note_errors(trail: Trail, meters: Meters) -> Callable[[BaseException], None]:
    """Return a function that logs and counts an unexpected error.

    The error does not end the process.
    """

    def report(error: BaseException) -> None:
        meters.count("unexpected_errors", kind=type(error).__name__)
        trail.note(
            "process", "unexpected_error", failure=True, why=describe_error(error)
        )

    return report


def watch_loop(report: Callable[[BaseException], None]) -> None:
    """Report errors of the running event loop that no task handles."""

    def handle_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        report(context.get("exception") or RuntimeError(context["message"]))

    asyncio.get_running_loop().set_exception_handler(handle_error)
