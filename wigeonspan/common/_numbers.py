"""Numbers in header fields.

``int`` and ``float`` also accept signs, underscores, digits of other scripts, ``nan``
and infinity, and ``int`` refuses thousands of digits with an error of its own.
"""

import math
import re

_COUNT_PATTERN = re.compile(r"[0-9]{1,18}")
_DECIMAL_PATTERN = re.compile(
    r"([0-9]{1,400}(\.[0-9]{0,400})?|\.[0-9]{1,400})([eE][+-]?[0-9]{1,4})?"
)


def parse_count(text: str, largest: int) -> int:
    """Parse a whole number of decimal digits, between spaces.

    Raises
    ------
    ValueError
        When the text is no such number or is larger than ``largest``.
    """
    text = text.strip()
    if not _COUNT_PATTERN.fullmatch(text) or int(text) > largest:
        raise ValueError(f"{text[:80]!r} is not a number from 0 to {largest}")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parse a finite decimal number without a sign, between spaces.

    Raises
    ------
    ValueError
        When the text is no such number.
    """
    text = text.strip()
    number = float(text) if _DECIMAL_PATTERN.fullmatch(text) else math.nan
    if not math.isfinite(number):
        raise ValueError(f"{text[:80]!r} is not a finite positive number")
    return number


def parse_positive(value: str | None) -> float:
    """Parse a positive decimal number; 0 when the value is none.

    Targets in trouble send other texts, which must not make the rest of an answer
    unreadable.
    """
    try:
        return parse_decimal(value or "")
    except ValueError:
        return 0.0
