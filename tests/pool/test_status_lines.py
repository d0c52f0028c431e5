"""Responses whose status line is none of HTTP/1, over loopback."""

import pytest

from tests.pool.test_pool import COMPLETE, run_script
from tests.status_lines import BODIES, NO_STATUS_LINES
from wigeonspan.pool import FailureKind


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("line", NO_STATUS_LINES)
def test_response_without_a_status_fails_at_once(line, body):
    """Statuses of 600 and more were passed on, and 000 was skipped as interim.

    The caller waited until its deadline, or got what the target sent after it.
    """
    answer = line + b"\r\nRequest-Id: 1\r\n" + body
    (failure,), server = run_script([[[answer, COMPLETE]]])
    assert getattr(failure, "kind", failure) is FailureKind.MALFORMED
    assert failure.sent and server.requests == 1


@pytest.mark.parametrize("status", [200, 299, 304, 404, 500, 599])
def test_each_status_of_http_is_passed_on(status):
    """The check must refuse none of the statuses that HTTP defines."""
    answer = b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % status
    assert run_script([[answer]])[0] == [(status, b"")]


def test_interim_responses_are_skipped():
    """The check must not take an interim response for one without a status."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
    assert run_script([[interim + COMPLETE]])[0] == [(200, b"ok")]


def test_response_is_read_however_its_first_bytes_are_split():
    """The check of the first bytes must wait until there are enough of them."""
    parts = [b"\r\n", *(COMPLETE[n : n + 1] for n in range(8)), COMPLETE[8:]]
    assert run_script([[parts]])[0] == [(200, b"ok")]
    (failure,), _ = run_script([[[b"R", b"TSP/1.0 200 OK\r\n\r\n"]]])
    assert failure.kind is FailureKind.MALFORMED
