"""Properties of the replicated call state over random histories."""

from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.calls import (
    RETENTION_MS,
    CallOutcome,
    CallState,
    CallTable,
    CallTableSnapshot,
    CloseCall,
    ExpireCalls,
    OpenCall,
    OpenResult,
)

KEYS = ["k1", "k2"]
NONCES = [f"n{i}" for i in range(6)]

OPEN = st.tuples(
    st.just("open"),
    st.sampled_from(KEYS),
    st.sampled_from(NONCES),
    st.sampled_from(["a", "b"]),
)
CLOSE = st.tuples(
    st.just("close"),
    st.sampled_from(KEYS),
    st.sampled_from(NONCES),
    st.sampled_from(list(CallState)),
)
TIME = st.tuples(st.just("time"), st.integers(-5_000, 60_000))
EXPIRE = st.tuples(st.just("expire"))
SNAPSHOT = st.tuples(st.just("snapshot"))

HISTORY = st.lists(st.one_of(OPEN, OPEN, CLOSE, TIME, EXPIRE, SNAPSHOT), max_size=40)


class SimulatedEntries:
    """Simulated entries that count executions.

    An entry executes a call at most once for each granted nonce. It closes a call as
    not run only if it has not executed it, and does not execute it afterwards.
    """

    def __init__(self):
        self.executed = Counter()
        self.executors = set()
        self.not_run = set()

    def command(self, action, now):
        """Return the command for an action, or None if no entry would send it."""
        kind, *values = action
        if kind == "expire":
            return ExpireCalls(now)
        key, nonce, last = values
        nonce = f"{key}{nonce}"
        if kind == "open":
            return OpenCall("t", "s", key, last, "e", nonce, now + 5_000, wall_ms=now)
        if last is CallState.NOT_RUN:
            if nonce in self.executors:
                return None
            self.not_run.add(nonce)
        outcome = CallOutcome(200, "", b"x") if last is CallState.DONE else None
        return CloseCall("t", "s", key, nonce, last, outcome, now)

    def record_reply(self, command, reply):
        """Count an execution when a reply grants a call that may still be executed."""
        granted = getattr(reply, "result", None) is OpenResult.GRANTED
        if granted and command.nonce not in self.executors | self.not_run:
            self.executors.add(command.nonce)
            self.executed[command.key] += 1


def _copy(table):
    """Return a copy that is restored from an encoded snapshot."""
    data = msgspec.json.encode(table.snapshot())
    copy = CallTable()
    copy.restore(msgspec.json.decode(data, type=CallTableSnapshot))
    return copy


@settings(derandomize=True, deadline=None, max_examples=600)
@given(HISTORY)
def test_a_key_is_granted_at_most_once(history):
    """A key must not be granted to a second executor.

    A second grant once executed a loan release twice.
    """
    table, replica, entries = CallTable(), CallTable(), SimulatedEntries()
    now = 1_000_000
    for action in history:
        if action[0] == "time":
            now = max(0, now + action[1])
            continue
        if action[0] == "snapshot":
            table = _copy(table)
            continue
        command = entries.command(action, now)
        if command is not None:
            reply = table.apply(1, command)
            # A replica that was never restored from a snapshot must reply the same.
            assert reply == replica.apply(1, command)
            entries.record_reply(command, reply)
        assert all(count <= 1 for count in entries.executed.values())
    assert table.snapshot() == _copy(table).snapshot()


@settings(derandomize=True, deadline=None, max_examples=300)
@given(HISTORY, st.integers(0, RETENTION_MS))
def test_completed_call_keeps_its_first_outcome(history, age_ms):
    """A stored outcome must not change, because it may have been returned to a caller.

    It once changed after it was returned.
    """
    table = CallTable()
    table.apply(1, OpenCall("t", "s", "k1", "a", "e", "owner", 10_000, 5_000))
    first = CallOutcome(201, "text/plain", b"first")
    table.apply(
        1, CloseCall("t", "s", "k1", "owner", CallState.DONE, first, wall_ms=5_000)
    )
    for action in history:
        if action[0] not in ("time", "snapshot"):
            table.apply(1, SimulatedEntries().command(action, 5_000))
    resent = OpenCall("t", "s", "k1", "a", "e2", "late", 10_000, 5_000 + age_ms)
    reply = _copy(table).apply(1, resent)
    assert (reply.result, reply.outcome) == (OpenResult.DONE, first)
