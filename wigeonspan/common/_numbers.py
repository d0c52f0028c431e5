"""Numbers in header fields."""

import math


def parse_positive(value: str | None) -> float:
    """Parse a positive decimal number; 0 when the value is none.

    Targets in trouble send other texts, which must not make the rest of an answer
    unreadable.
    """
    try:
        number = float(value or 0.0)
    except ValueError:
        return 0.0
    return number if math.isfinite(number) and number > 0.0 else 0.0
