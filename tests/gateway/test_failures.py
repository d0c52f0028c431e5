"""Tests of the errors for requests that got no response from a target."""

import pytest

from wigeonspan.common import ErrorKind, ExecutionState
from wigeonspan.gateway._failures import failure_error


@pytest.mark.parametrize(
    ("ran", "deadline_passed", "kind"),
    [
        (False, False, ErrorKind.NO_TARGET),
        (False, True, ErrorKind.NO_TARGET),
        (True, False, ErrorKind.TARGET_FAILED),
        (True, True, ErrorKind.DEADLINE_EXCEEDED),
    ],
)
def test_request_that_may_have_run_is_not_reported_as_not_run(
    ran, deadline_passed, kind
):
    """A caller repeats a request whose error says that it has not run."""
    error = failure_error("lost", ran=ran, deadline_passed=deadline_passed)
    assert error.kind is kind
    if ran:
        assert error.ran is not ExecutionState.NO
        assert error.status in (502, 504)
