"""Logging configuration: one line per message, prefixed with the component's name."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[part]}: {message}"


def set_up_logs(level: str) -> None:
    """Configure logging to standard error.

    Parameters
    ----------
    level : str
        Minimum level to log, for example ``INFO``.
    """
    logger.remove()
    logger.configure(extra={"part": "process"})
    logger.add(sys.stderr, format=FORMAT, level=level, backtrace=False, diagnose=False)


def part_logger(part: str) -> "Logger":
    """Return a logger that prefixes its lines with the name of a component.

    Parameters
    ----------
    part : str
        Name of the component, for example ``orders``.
    """
    return logger.bind(part=part)
