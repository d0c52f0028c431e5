"""Tests of the time that a stopping entry leaves to its requests."""

import pytest

from wigeonspan.common import ErrorKind, ExecutionState, WigeonspanError
from wigeonspan.gateway._stopping import RESTART_S, StopWindow


def refusal(window, expected_s, now):
    with pytest.raises(WigeonspanError) as raised:
        window.check(expected_s, now)
    return raised.value


def test_request_is_refused_only_when_it_outlasts_the_process():
    """A fixed time after the stop refused requests that could have been finished."""
    window = StopWindow()
    window.check(1000.0, 0.0)
    window.begin(10.0)
    window.check(2.0, 7.9)
    error = refusal(window, 2.0, 8.1)
    assert error.kind is ErrorKind.DRAINING
    assert error.status == 503 and error.ran is ExecutionState.NO


def test_refused_caller_returns_at_once_only_if_another_entry_is_ready():
    """Callers came back before the restart, and were refused for good."""
    window = StopWindow()
    window.begin(10.0)
    assert refusal(window, 5.0, 8.0).body.error.retry_after_s < 0.5
    window.set_ready_peer(False)
    assert refusal(window, 5.0, 8.0).body.error.retry_after_s == 2.0 + RESTART_S
