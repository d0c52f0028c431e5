"""Each error kind has one row in the answer table."""

import pytest

from wigeonspan.common import ANSWERS, ErrorKind, Ran, WigeonspanError, decode, encode
from wigeonspan.common._errors import ErrorBody


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_a_row(kind):
    """A kind without a row would fail only when it is raised."""
    assert 400 <= ANSWERS[kind].status < 600
    assert ANSWERS[kind].retry == (ANSWERS[kind].retry_after_s > 0)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_body_survives_the_codec(kind):
    """A process must be able to pass on another process's error."""
    body = WigeonspanError(kind, "x", ran=Ran.UNKNOWN).body
    assert decode(encode(body), ErrorBody) == body
