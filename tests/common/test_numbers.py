"""Numbers that others write into header fields."""

import pytest

from wigeonspan.common import parse_count, parse_decimal, parse_positive

NO_NUMBERS = [
    "",
    "-3",
    "nan",
    "inf",
    "1_0",
    "\u0663",
    "\xb2",
    "0x10",
    "9" * 5000,
    "3 4",
]


@pytest.mark.parametrize("text", [*NO_NUMBERS, "1.5", "11", "9" * 19])
def test_text_that_is_no_count_is_refused(text):
    """``int`` accepts some of these texts, and has a limit of its own for digits."""
    with pytest.raises(ValueError, match="is not a number from 0 to 10"):
        parse_count(text, 10)


@pytest.mark.parametrize("text", [*NO_NUMBERS, "1e999", "9" * 400, "."])
def test_text_that_is_no_finite_decimal_is_refused(text):
    """``float`` accepts some of these texts, and their use fails later."""
    with pytest.raises(ValueError, match="is not a finite positive number"):
        parse_decimal(text)
    assert parse_positive(text) == 0.0


@pytest.mark.parametrize(
    ("text", "number"), [("10", 10.0), (" 0.25 ", 0.25), (".5", 0.5), ("1e3", 1000.0)]
)
def test_sound_decimal_is_read(text, number):
    """The stricter check must not refuse the usual forms of a number."""
    assert parse_decimal(text) == parse_positive(text) == number


def test_sound_count_is_read():
    """Spaces around the elements of a list are allowed."""
    assert parse_count(" 10 ", 10) == 10
