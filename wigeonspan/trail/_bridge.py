"""Lines that slices write with loguru, as lines of the trail."""

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from wigeonspan.trail._log import Trail

if TYPE_CHECKING:
    from loguru import Message

LEVEL = "INFO"
"""Lowest level that is written; below it are lines for each lost message."""


def bridge_logs(trail: Trail) -> None:
    """Write what slices log with loguru to a trail, and nowhere else.

    Lines may come from worker threads; they are written in the running event loop.
    """
    loop = asyncio.get_running_loop()

    def write(message: "Message") -> None:
        record = message.record
        level = record["level"].name
        raised = record["exception"]

        def note() -> None:
            trail.note(
                record["extra"].get("part", "process"),
                "noted",
                failure=level != LEVEL,
                level=level,
                text=record["message"],
                **({"why": repr(raised.value)} if raised is not None else {}),
            )

        if not loop.is_closed():
            loop.call_soon_threadsafe(note)

    logger.remove()
    logger.add(write, level=LEVEL)
