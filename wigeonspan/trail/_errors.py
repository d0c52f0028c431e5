"""Unexpected errors in the log and the metrics of a process."""

import asyncio
from collections.abc import Callable
from typing import Any

from wigeonspan.common import describe_error
from wigeonspan.trail._log import Trail
from wigeonspan.trail._meters import Meters


def note_errors(trail: Trail, meters: Meters) -> Callable[[BaseException], None]:
    """Return a function that logs and counts an error, which costs what it met."""

    def note(error: BaseException) -> None:
        meters.count("unexpected_errors", kind=type(error).__name__)
        trail.note(
            "process", "unexpected_error", failure=True, why=describe_error(error)
        )

    return note


def watch_loop(note: Callable[[BaseException], None]) -> None:
    """Note errors of the running loop that no task waits for."""

    def hear(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        note(context.get("exception") or RuntimeError(context["message"]))

    asyncio.get_running_loop().set_exception_handler(hear)
