"""Tests of the error kinds and their HTTP responses."""

import pytest

from wigeonspan.common import (
    ERROR_RESPONSES,
    ErrorKind,
    ExecutionState,
    WigeonspanError,
    decode,
    encode,
)
from wigeonspan.common._errors import ErrorBody


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_a_response(kind):
    """A kind without a response would fail only when the error is raised."""
    assert 400 <= ERROR_RESPONSES[kind].status < 600
    assert ERROR_RESPONSES[kind].retry == (ERROR_RESPONSES[kind].retry_after_s > 0)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_error_body_round_trip(kind):
    """A process can forward an error that it received from another process."""
    body = WigeonspanError(kind, "x", ran=ExecutionState.UNKNOWN).body
    assert decode(encode(body), ErrorBody) == body
