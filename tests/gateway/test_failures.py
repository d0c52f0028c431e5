"""Tests of the errors for requests that no target answered."""

import pytest

from wigeonspan.common import ErrorKind, ExecutionState
from wigeonspan.gateway._failures import describe_failure


@pytest.mark.parametrize(
    ("ran", "over", "kind"),
    [
        (False, False, ErrorKind.NO_TARGET),
        (False, True, ErrorKind.NO_TARGET),
        (True, False, ErrorKind.TARGET_FAILED),
        (True, True, ErrorKind.DEADLINE_EXCEEDED),
    ],
)
def test_request_that_may_have_run_is_not_reported_as_not_run(ran, over, kind):
    """A caller repeats a request whose error says that it has not run."""
    error = describe_failure("lost", ran=ran, over=over)
    assert error.kind is kind
    if ran:
        assert error.ran is not ExecutionState.NO
        assert error.status in (502, 504)
