"""Tests of the time that a stopping entry leaves to its requests."""

import pytest

from wigeonspan.common import ErrorKind, ExecutionState, WigeonspanError
from wigeonspan.gateway._stopping import (
    FORECAST_WINDOW_S,
    RESTART_S,
    StopWindow,
)


def refusal(window, bound_s, now, expected_s=0.5):
    with pytest.raises(WigeonspanError) as raised:
        window.check(bound_s, expected_s, now)
    return raised.value


def test_request_is_refused_only_when_it_outlasts_the_process():
    """A fixed time after the stop refused requests that could have been finished."""
    window = StopWindow()
    window.check(1000.0, 1000.0, 0.0)
    window.begin(2.5, 10.0)
    window.check(2.0, 2.0, 7.9)
    error = refusal(window, 2.0, 8.1)
    assert error.kind is ErrorKind.DRAINING
    assert error.status == 503 and error.ran is ExecutionState.NO


def test_forecast_is_no_promise_while_another_entry_is_ready():
    """Requests were accepted that most others would have ended in time, and cut."""
    window = StopWindow()
    window.begin(2.5, 10.0)
    refusal(window, 8.0, 2.6, expected_s=0.1)
    refusal(window, 4.1, 6.0, expected_s=0.1)


def test_forecast_is_enough_at_first_when_no_other_entry_is_ready():
    """When all entries stopped at once, callers were refused until the restart."""
    window = StopWindow()
    window.begin(2.5, 10.0)
    window.set_ready_peer(False)
    window.check(8.0, 7.0, 2.6)
    refusal(window, 8.0, 2.6, expected_s=7.5)
    # From here on the platform excuses no cut.
    refusal(window, 8.0, 2.5 + FORECAST_WINDOW_S + 0.01, expected_s=0.1)


def test_refused_caller_returns_at_once_only_if_another_entry_is_ready():
    """Callers came back before the restart, and were refused for good."""
    window = StopWindow()
    window.begin(2.5, 10.0)
    assert refusal(window, 5.0, 8.0).body.error.retry_after_s < 0.5
    window.set_ready_peer(False)
    assert refusal(window, 5.0, 8.0).body.error.retry_after_s == 2.0 + RESTART_S
