"""Forwarding of loguru messages to the decision log."""

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from wigeonspan.trail._log import EventLog

if TYPE_CHECKING:
    from loguru import Message

MIN_LEVEL = "INFO"
"""Minimum level to forward; lower levels include a line for each message that was lost
between processes."""


def bridge_logs(event_log: EventLog) -> None:
    """Forward all loguru messages to the decision log and remove other loguru sinks.

    Messages may come from worker threads; they are written by the running event loop.
    """
    loop = asyncio.get_running_loop()

    def forward(message: "Message") -> None:
        record = message.record
        level = record["level"].name
        exception = record["exception"]

        def write_line() -> None:
            event_log.write(
                record["extra"].get("part", "process"),
                "noted",
                failure=level != MIN_LEVEL,
                level=level,
                text=record["message"],
                **({"why": repr(exception.value)} if exception is not None else {}),
            )

        if not loop.is_closed():
            loop.call_soon_threadsafe(write_line)

    logger.remove()
    logger.add(forward, level=MIN_LEVEL)
