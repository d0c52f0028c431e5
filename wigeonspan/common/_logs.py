"""Log set-up: one line per message, with the prefix of the part that wrote it."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[part]}: {message}"


def set_up_logs(level: str) -> None:
    """Send log lines to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is written, for example ``INFO``.
    """
    logger.remove()
    logger.configure(extra={"part": "process"})
    logger.add(sys.stderr, format=FORMAT, level=level, backtrace=False, diagnose=False)


def part_logger(part: str) -> "Logger":
    """Return a logger whose lines start with the name of a part.

    Parameters
    ----------
    part : str
        Name of the part, for example ``orders``.
    """
    return logger.bind(part=part)
