"""Tests of the replicated state of at-most-once calls."""

import pytest

from wigeonspan.calls import (
    MAX_STORED_BODY_BYTES,
    OVERDUE_MARGIN_MS,
    RETENTION_MS,
    CallOutcome,
    CallState,
    CallTable,
    CloseCall,
    ExpireCalls,
    OpenCall,
    OpenReply,
    OpenResult,
    _table,
)

ANSWER = CallOutcome(201, "application/json", b"{}")


def open_call(nonce, body="a", wall_ms=0, key="k"):
    return OpenCall("archive", "loans", key, body, "entry-1", nonce, 1000, wall_ms)


def close_call(nonce, state, wall_ms=0, outcome=None, key="k"):
    return CloseCall("archive", "loans", key, nonce, state, outcome, wall_ms)


DONE = close_call("n1", CallState.DONE, outcome=ANSWER)
NOT_RUN = close_call("n1", CallState.NOT_RUN)
UNKNOWN = close_call("n1", CallState.UNKNOWN)
OVERDUE = 1000 + OVERDUE_MARGIN_MS + 1


@pytest.mark.parametrize(
    ("history", "command", "expected"),
    [
        ([], open_call("n1"), OpenResult.GRANTED),
        ([open_call("n1")], open_call("n2"), OpenResult.IN_PROGRESS),
        ([open_call("n1")], open_call("n1"), OpenResult.GRANTED),
        ([open_call("n1")], open_call("n2", body="b"), OpenResult.CONFLICT),
        ([open_call("n1"), DONE], open_call("n2"), OpenResult.DONE),
        ([open_call("n1"), DONE], open_call("n1"), OpenResult.DONE),
        ([open_call("n1"), UNKNOWN], open_call("n2"), OpenResult.UNKNOWN),
        ([open_call("n1"), NOT_RUN], open_call("n2"), OpenResult.GRANTED),
        ([open_call("n1"), NOT_RUN], open_call("n1"), OpenResult.IN_PROGRESS),
        ([open_call("n1")], open_call("n2", wall_ms=OVERDUE), OpenResult.UNKNOWN),
        (
            [open_call("n1"), DONE],
            open_call("n2", wall_ms=RETENTION_MS + 1),
            OpenResult.GRANTED,
        ),
    ],
)
def test_open_is_granted_only_when_nothing_can_have_run(history, command, expected):
    """A key must not be granted again while its call may have run.

    A booking once ran twice because its key was granted to two requests.
    """
    table = CallTable()
    for index, earlier in enumerate(history):
        table.apply(index + 1, earlier)
    assert table.apply(len(history) + 1, command).result is expected


@pytest.mark.parametrize(
    ("history", "command", "expected"),
    [
        ([open_call("n1")], DONE, CallState.DONE),
        ([open_call("n1")], close_call("n2", CallState.NOT_RUN), CallState.OPEN),
        ([open_call("n1"), DONE], NOT_RUN, CallState.DONE),
        ([open_call("n1"), NOT_RUN], DONE, CallState.NOT_RUN),
        ([open_call("n1"), ExpireCalls(OVERDUE)], DONE, CallState.DONE),
        ([open_call("n1")], close_call("n1", CallState.DONE), CallState.UNKNOWN),
        ([], DONE, CallState.UNKNOWN),
    ],
)
def test_only_the_owner_closes_a_call(history, command, expected):
    """A second entry must not close a call that another entry is still running."""
    table = CallTable()
    for index, earlier in enumerate(history):
        table.apply(index + 1, earlier)
    assert table.apply(len(history) + 1, command).state is expected


def test_only_the_status_of_a_large_response_is_stored():
    """The body of a large response must not be stored.

    Bodies without a size limit would fill every snapshot.
    """
    table = CallTable()
    table.apply(1, open_call("n1"))
    large = CallOutcome(200, "text/plain", b"x" * (MAX_STORED_BODY_BYTES + 1))
    table.apply(2, close_call("n1", CallState.DONE, outcome=large))
    expected = CallOutcome(200, "text/plain", b"", status_only=True)
    assert table.apply(3, open_call("n2")) == OpenReply(OpenResult.DONE, expected)


@pytest.mark.parametrize("restored", [False, True])
def test_oldest_bodies_are_dropped_beyond_the_total_limit(monkeypatch, restored):
    """The total size of the stored bodies must be limited.

    The bodies of 72 h of calls would fill the memory of every control host.
    """
    monkeypatch.setattr(_table, "MAX_STORED_TOTAL_BYTES", 25)
    table = CallTable()
    for number in range(4):
        key, nonce = f"k{number}", f"n{number}"
        table.apply(2 * number + 1, open_call(nonce, key=key))
        answer = CallOutcome(201, "text/plain", b"x" * 10)
        close = close_call(nonce, CallState.DONE, outcome=answer, key=key)
        table.apply(2 * number + 2, close)
        if restored:
            table, old = CallTable(), table
            table.restore(old.snapshot())
    kept = [table.get("archive", "loans", f"k{n}").outcome for n in range(4)]
    assert [outcome.status_only for outcome in kept] == [True, True, False, False]
    assert [outcome.status for outcome in kept] == [201] * 4
    assert table.body_bytes == 20
    table.apply(9, ExpireCalls(RETENTION_MS + 1))
    assert (table.size, table.body_bytes) == (0, 0)


def test_expiry_marks_overdue_calls_and_drops_old_keys():
    """An expiry must end overdue calls and drop keys that were stored long enough.

    Otherwise calls of a crashed entry would stay in progress forever.
    """
    table = CallTable()
    table.apply(1, open_call("n1"))
    assert not table.needs_expiry(OVERDUE - 1)
    assert table.needs_expiry(OVERDUE)
    assert table.apply(2, ExpireCalls(OVERDUE)) == 1
    assert table.get("archive", "loans", "k").state is CallState.UNKNOWN
    assert not table.needs_expiry(OVERDUE + RETENTION_MS)
    assert table.apply(3, ExpireCalls(OVERDUE + RETENTION_MS + 1)) == 1
    assert table.size == 0
