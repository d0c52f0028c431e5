"""Parsing of days and times that operators and auditors enter."""

import re
from datetime import UTC, datetime, timedelta

_DAY = re.compile(r"\d{4}-\d{2}-\d{2}")


def parse_time(text: str, end: bool = False) -> int:
    """Convert a day or time to wall-clock milliseconds.

    Parameters
    ----------
    text : str
        Day or time in ISO 8601 format, for example ``2026-12-03`` or
        ``2026-12-03T04:10``; in UTC unless it includes an offset.
    end : bool
        Whether to convert a day to its last millisecond instead of its first.

    Returns
    -------
    int
        Milliseconds since 1970-01-01 UTC.

    Raises
    ------
    ValueError
        When the text is not a valid day or time.
    """
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(
            f"{text!r} is not a day or time such as 2026-12-03 or 2026-12-03T04:10"
        ) from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    if end and _DAY.fullmatch(text):
        parsed += timedelta(days=1) - timedelta(milliseconds=1)
    return round(parsed.timestamp() * 1000)
