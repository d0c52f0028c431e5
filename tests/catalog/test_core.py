import msgspec
import pytest

from wigeonspan.catalog import (
    AddLearner,
    ApplyChange,
    Catalog,
    DrainEngine,
    Engine,
    EnginePhase,
    EntryHost,
    Member,
    ModelService,
    ModelVersion,
    OutcomeKind,
    PinRole,
    PlainService,
    PlainTarget,
    Policy,
    PromoteLearner,
    PutObject,
    RemoveMember,
    RemoveObject,
    Role,
    SetEngineState,
    SetMembers,
    Tenant,
    WithdrawEngine,
)

VERSION = ModelVersion("granite", "v1", 5)
SERVICE = ModelService("quote", "granite", "v1")
ENGINE = Engine("e1", "127.0.0.1:80", "szeged", service="quote")
ENTRY = EntryHost("entry-1", "127.0.0.1:81", "szeged")


def change(index, what, base=0, op=None, operator="ana"):
    return ApplyChange(op or f"op-{index}", operator, "a reason", base, what, 1000)


def filled():
    """Catalog with one object of each kind that other objects refer to."""
    catalog = Catalog()
    for index, value in enumerate([VERSION, SERVICE, ENGINE, ENTRY], start=1):
        outcome = catalog.apply(index, change(index, PutObject(value)))
        assert outcome.kind is OutcomeKind.ACCEPTED, outcome
    return catalog


REFUSED = [
    (PutObject(ModelService("s", "granite", "v9")), "granite@v9 does not exist"),
    (PutObject(ModelService("s", "granite", "v1", ("a",))), "adapter/a does not"),
    (PutObject(Engine("e2", "127.0.0.1:9", "d", service="x")), "model_service/x"),
    (PutObject(Engine("e2", "127.0.0.1:80", "d")), "used by engine/e1"),
    (PutObject(Engine("e2", "host:80", "d")), "not of the form IP:port"),
    (PutObject(Engine("e2", "127.0.0.1:0", "d")), "not of the form IP:port"),
    (PutObject(Tenant("")), "name is empty"),
    (PutObject(Tenant("a b")), "characters other than"),
    (PutObject(Tenant("t", weight=0.0)), "weight is 0.0"),
    (PutObject(Tenant("t", rate_per_s=float("nan"))), "rate_per_s is nan"),
    (PutObject(Policy("other")), "the only policy"),
    (PutObject(PlainService("p", ())), "targets is empty"),
    (PutObject(PlainService("quote", ())), "used by model_service/quote"),
    (
        PutObject(PlainService("p", (PlainTarget("1.2.3.4:5", "d"),), ("loans",))),
        "not of the form METHOD /path",
    ),
    (PinRole("e9", Role.MIXED), "engine/e9 does not exist"),
    (RemoveObject("tenant", "t"), "tenant/t does not exist"),
    (RemoveMember("c1"), "member/c1 does not exist"),
    (AddLearner("c1", "127.0.0.1:1", "d", ""), "disk identity is empty"),
]


@pytest.mark.parametrize(("what", "message"), REFUSED)
def test_apply_refuses_with_the_fault(what, message):
    """Bad input once reached the state, or was refused without saying why."""
    catalog = filled()
    before = catalog.objects()
    outcome = catalog.apply(9, change(9, what))
    assert outcome.kind is OutcomeKind.INVALID
    assert message in outcome.message
    assert catalog.objects() == before


@pytest.mark.parametrize(
    ("kind", "name", "user"),
    [
        ("model_version", "granite@v1", "used by model_service/quote"),
        ("model_service", "quote", "used by engine/e1"),
        ("entry_host", "entry-1", "drain it"),
    ],
)
def test_removal_of_an_object_in_use_is_refused(kind, name, user):
    """Removing a model version would leave a service that no engine can load."""
    catalog = filled()
    version = catalog.get(kind, name).version
    outcome = catalog.apply(9, change(9, RemoveObject(kind, name), version))
    assert outcome.kind is OutcomeKind.INVALID
    assert user in outcome.message


def test_second_operator_with_the_same_base_sees_the_winner():
    """The loser of a race must not overwrite the change that it has not seen."""
    catalog = filled()
    first = change(5, PinRole("e1", Role.PREFILL), 3, operator="ana")
    second = change(6, PinRole("e1", Role.DECODE), 3, operator="bo")
    assert catalog.apply(5, first).kind is OutcomeKind.ACCEPTED
    outcome = catalog.apply(6, second)
    assert outcome.kind is OutcomeKind.CONFLICT
    assert outcome.version == 5
    assert "ana changed it at 1970-01-01T00:00:01Z: a reason" in outcome.winner
    assert catalog.engine("e1").pinned_role is Role.PREFILL


@pytest.mark.parametrize("restored", [False, True])
def test_change_of_a_removed_object_is_a_conflict_with_the_removal(restored):
    """An operator with an old view was told that the object never existed."""
    catalog = Catalog()
    catalog.apply(1, change(1, PutObject(Tenant("t"))))
    catalog.apply(2, change(2, RemoveObject("tenant", "t"), 1))
    if restored:
        snapshot = catalog.snapshot()
        catalog = Catalog()
        catalog.restore(snapshot)
    outcome = catalog.apply(3, change(3, RemoveObject("tenant", "t"), 1))
    assert outcome.kind is OutcomeKind.CONFLICT
    assert "removed it" in outcome.winner


@pytest.mark.parametrize("operator", ["ana", "bo"])
def test_operation_id_with_another_change_is_refused(operator):
    """Two operators with one operation id must not both believe they succeeded."""
    catalog = filled()
    catalog.apply(5, change(5, DrainEngine("e1", True), 3, op="same"))
    other = change(6, DrainEngine("e1", operator == "bo"), 5, "same", operator)
    outcome = catalog.apply(6, other)
    assert outcome.kind is OutcomeKind.INVALID
    assert "used for another change" in outcome.message
    assert catalog.engine("e1").version == 5


def test_put_of_an_engine_keeps_its_state():
    """A put by an operator once reset the phase that orders had reached."""
    catalog = filled()
    state = SetEngineState("e1", 3, "ready", 1000, EnginePhase.SERVING, Role.DECODE)
    assert catalog.apply(5, state).kind is OutcomeKind.ACCEPTED
    put = PutObject(Engine("e1", "127.0.0.1:80", "szeged", checks_fence=True))
    assert catalog.apply(6, change(6, put, 5)).kind is OutcomeKind.ACCEPTED
    engine = catalog.engine("e1")
    assert (engine.phase, engine.role) == (EnginePhase.SERVING, Role.DECODE)
    assert engine.checks_fence
    moved = PutObject(Engine("e1", "127.0.0.1:99", "szeged"))
    assert "cannot change in phase" in catalog.apply(7, change(7, moved, 6)).message


def test_leaving_engine_is_never_brought_back():
    """The lagging host list must not return an engine that was withdrawn."""
    catalog = filled()
    catalog.apply(5, change(5, WithdrawEngine("e1"), 3))
    # Through another phase it could come back in a second step.
    for phase in set(EnginePhase) - {EnginePhase.LEAVING, EnginePhase.WITHDRAWN}:
        outcome = catalog.apply(6, SetEngineState("e1", 5, "back", 1000, phase))
        assert outcome.kind is OutcomeKind.INVALID
    gone = SetEngineState("e1", 5, "gone", 1000, EnginePhase.WITHDRAWN)
    assert catalog.apply(6, gone).kind is OutcomeKind.ACCEPTED
    outcome = catalog.apply(7, change(7, DrainEngine("e1", False), 6))
    assert outcome.kind is OutcomeKind.INVALID


def test_set_engine_state_on_an_old_version_is_a_conflict():
    """A leader that has not seen a change must not overwrite it."""
    catalog = filled()
    outcome = catalog.apply(5, SetEngineState("e1", 2, "late", 1, EnginePhase.SERVING))
    assert outcome.kind is OutcomeKind.CONFLICT


def test_updates_after_an_unknown_version_ask_for_a_snapshot():
    """An entry with a version that this state never had got no steps at all."""
    catalog = filled()
    assert [u.version for u in catalog.updates_after(2)] == [3, 4]
    assert catalog.updates_after(5) is None
    restored = Catalog()
    restored.restore(catalog.snapshot())
    assert restored.updates_after(3) is None
    assert restored.updates_after(4) == []


def test_observed_address_does_not_conflict_with_an_operator():
    """The control daemon's note of a member's address raised its version, and the
    operator's promotion of it lost a race against nobody."""
    member = Member("control-2", "127.0.0.1:9", "d", "disk", False)
    catalog = Catalog()
    catalog.apply(1, change(1, AddLearner("control-2", "127.0.0.1:9", "d", "disk")))
    seen = msgspec.structs.replace(member, operators_address="127.0.0.1:10")
    catalog.apply(2, SetMembers((seen,), 5))
    outcome = catalog.apply(3, change(3, PromoteLearner("control-2"), base=1))
    assert outcome.kind is OutcomeKind.ACCEPTED, outcome
