"""State machine of the control group."""

import errno
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.calls import CallState, CloseCall, ExpireCalls, OpenCall
from wigeonspan.catalog import (
    ApplyChange,
    Engine,
    EnginePhase,
    OutcomeKind,
    PinRole,
    PutObject,
    RemoveObject,
    Role,
    SetEngineState,
    Tenant,
)
from wigeonspan.common import WigeonspanError, encode
from wigeonspan.consensus import StorageFailed, StorageFull
from wigeonspan.controld._state import ControlState
from wigeonspan.engines import OrderAction, OrderRequest
from wigeonspan.orders import CloseOrder, OpenOrder, OrderResult
from wigeonspan.record import RecordAuthority, RecordDecision, verify

WALL_MS = st.integers(0, 10**9)
NAMES = st.sampled_from(["e1", "e2"])
KEYS = st.sampled_from(["k1", "k2"])
REQUEST = OrderRequest("", OrderAction.CHANGE_ROLE, role=Role.DECODE)
CHANGES = st.one_of(
    st.builds(Tenant, NAMES).map(PutObject),
    st.builds(Engine, NAMES, NAMES.map(lambda n: f"10.0.0.1:{n[1]}"), NAMES).map(
        PutObject
    ),
    st.builds(RemoveObject, st.just("engine"), NAMES),
    st.builds(PinRole, NAMES, st.sampled_from(Role)),
)
COMMANDS = st.one_of(
    st.builds(
        ApplyChange,
        st.integers(0, 9).map(str),
        NAMES,
        st.just("why"),
        st.integers(0, 12),
        CHANGES,
        WALL_MS,
    ),
    st.builds(
        SetEngineState,
        NAMES,
        st.integers(1, 9),
        st.just("why"),
        WALL_MS,
        st.sampled_from(EnginePhase),
    ),
    st.builds(OpenOrder, NAMES, st.just(REQUEST), st.just("why"), WALL_MS),
    st.builds(
        CloseOrder,
        NAMES,
        st.integers(1, 20).map(lambda n: f"e1-{n}"),
        st.sampled_from(OrderResult),
        st.just("answer"),
        WALL_MS,
    ),
    st.builds(
        OpenCall,
        NAMES,
        NAMES,
        KEYS,
        KEYS,
        NAMES,
        KEYS,
        WALL_MS,
        WALL_MS,
    ),
    st.builds(CloseCall, NAMES, NAMES, KEYS, KEYS, st.sampled_from(CallState)),
    st.builds(ExpireCalls, WALL_MS),
    st.builds(
        RecordDecision,
        st.just("planning"),
        st.just(("engine/e1",)),
        st.just("s"),
        st.just({"a": 0.1}),
        st.just([{}]),
        st.just("r"),
        WALL_MS,
    ),
    st.builds(RecordAuthority, NAMES, st.integers(1, 9), st.just("leads"), WALL_MS),
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(commands=st.lists(COMMANDS, max_size=40), snapshot_at=st.integers(0, 40))
def test_restored_host_has_the_same_state_and_record(commands, snapshot_at):
    """A host that restored a snapshot must have the same state and record as others.

    Its record differed from theirs in an earlier version.
    """
    with tempfile.TemporaryDirectory() as name:
        continuous = ControlState(Path(name) / "plain")
        restored = ControlState(Path(name) / "other")
        engines = [Engine(f"e{n}", f"10.0.0.1:{n}", "d") for n in (1, 2)]
        initial = [
            ApplyChange(f"put-{e.name}", "ana", "why", 0, PutObject(e), 1)
            for e in engines
        ]
        for index, command in enumerate([*initial, *commands], start=1):
            data = encode(command)
            assert encode(continuous.apply(index, data)) == encode(
                restored.apply(index, data)
            )
            if index == snapshot_at:
                snapshot = restored.snapshot()
                restored.flush()
                restored = ControlState(Path(name) / "other")
                restored.restore(snapshot)
        assert continuous.snapshot() == restored.snapshot()
        for state in (continuous, restored):
            state.flush()
        if continuous.record.head.seq:
            checked = [verify(Path(name) / each) for each in ("plain", "other")]
            assert checked[0] == checked[1]
            assert checked[0].faults == []


@pytest.fixture
def state(tmp_path):
    new_state = ControlState(tmp_path / "record")
    put = PutObject(Engine("e1", "10.0.0.1:1", "d"))
    outcome = new_state.apply(1, encode(ApplyChange("op1", "ana", "why", 0, put, 5)))
    assert outcome.kind is OutcomeKind.ACCEPTED
    return new_state


def remove(index, base):
    change = RemoveObject("engine", "e1")
    return encode(ApplyChange(f"op{index}", "ana", "why", base, change, 5))


def test_engine_with_an_open_order_is_not_removed(state):
    """An order to a removed engine could never be closed, and the engine could get a
    second order after being added again."""
    opened = state.apply(2, encode(OpenOrder("e1", REQUEST, "why", 5)))
    assert opened.accepted
    outcome = state.apply(3, remove(3, 1))
    assert "an order to it is open" in outcome.message
    closed = CloseOrder("e1", opened.order.request.order_id, OrderResult.APPLIED, "", 5)
    assert state.apply(4, encode(closed)).accepted
    assert state.apply(5, remove(5, 1)).kind is OutcomeKind.ACCEPTED
    assert not state.apply(6, encode(OpenOrder("e1", REQUEST, "why", 5))).accepted


def test_command_that_cannot_be_decoded_stops_the_host(state):
    """An unknown command must stop the host.

    A host that skipped a command of a newer version diverged from the others.
    """
    assert state.failure is None
    with pytest.raises(WigeonspanError):
        state.apply(2, b'{"type":"from_the_future"}')
    assert state.failure is not None


def test_snapshot_of_another_format_is_refused(state):
    """Fields can have another meaning in another format version, so it is rejected."""
    data = state.snapshot().replace(b'"format":1', b'"format":2')
    with pytest.raises(WigeonspanError, match="snapshot format 2 is not 1"):
        state.restore(data)


@pytest.mark.parametrize(
    ("number", "kind"),
    [
        (errno.ENOSPC, StorageFull),
        (errno.EDQUOT, StorageFull),
        (errno.EIO, StorageFailed),
    ],
)
def test_failed_flush_raises_the_matching_storage_error(
    state, monkeypatch, number, kind
):
    """A full disk must not stop the host; a failed disk must."""

    def fail():
        raise OSError(number, "failed")

    monkeypatch.setattr(state.record, "flush", fail)
    with pytest.raises(kind):
        state.flush()
