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


def change(index, requested, base=0, op=None, operator="ana"):
    return ApplyChange(op or f"op-{index}", operator, "a reason", base, requested, 1000)


def make_catalog():
    """Return a catalog with a model version, a service, an engine and an entry host."""
    catalog = Catalog()
    for index, value in enumerate([VERSION, SERVICE, ENGINE, ENTRY], start=1):
        outcome = catalog.apply(index, change(index, PutObject(value)))
        assert outcome.kind is OutcomeKind.ACCEPTED, outcome
    return catalog


REJECTED = [
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


@pytest.mark.parametrize(("requested", "message"), REJECTED)
def test_apply_rejects_invalid_change_with_reason(requested, message):
    """Guard against invalid changes being stored, or rejected without the reason."""
    catalog = make_catalog()
    before = catalog.objects()
    outcome = catalog.apply(9, change(9, requested))
    assert outcome.kind is OutcomeKind.INVALID
    assert message in outcome.message
    assert catalog.objects() == before


@pytest.mark.parametrize(
    ("kind", "name", "reason"),
    [
        ("model_version", "granite@v1", "used by model_service/quote"),
        ("model_service", "quote", "used by engine/e1"),
        ("entry_host", "entry-1", "drain it"),
    ],
)
def test_removal_of_object_in_use_is_rejected(kind, name, reason):
    """Removing a model version in use leaves a service that no engine can load."""
    catalog = make_catalog()
    version = catalog.get(kind, name).version
    outcome = catalog.apply(9, change(9, RemoveObject(kind, name), version))
    assert outcome.kind is OutcomeKind.INVALID
    assert reason in outcome.message


def test_second_change_with_same_base_gets_conflict():
    """An operator must not overwrite a change made since the object was read.

    The conflict names the author and reason of that change.
    """
    catalog = make_catalog()
    first = change(5, PinRole("e1", Role.PREFILL), 3, operator="ana")
    second = change(6, PinRole("e1", Role.DECODE), 3, operator="bo")
    assert catalog.apply(5, first).kind is OutcomeKind.ACCEPTED
    outcome = catalog.apply(6, second)
    assert outcome.kind is OutcomeKind.CONFLICT
    assert outcome.version == 5
    assert "ana changed it at 1970-01-01T00:00:01Z: a reason" in outcome.winner
    assert catalog.engine("e1").pinned_role is Role.PREFILL


@pytest.mark.parametrize("restored", [False, True])
def test_change_of_removed_object_conflicts_with_removal(restored):
    """Guard against the error "does not exist" for an object that was removed.

    An operator with an outdated view must learn who removed it, also from a catalog
    that was restored from a snapshot.
    """
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
def test_reused_operation_id_is_rejected(operator):
    """An operation id used for two changes must not report success for both."""
    catalog = make_catalog()
    catalog.apply(5, change(5, DrainEngine("e1", True), 3, op="same"))
    other = change(6, DrainEngine("e1", operator == "bo"), 5, "same", operator)
    outcome = catalog.apply(6, other)
    assert outcome.kind is OutcomeKind.INVALID
    assert "used for another change" in outcome.message
    assert catalog.engine("e1").version == 5


def test_put_of_engine_keeps_its_state():
    """Guard against an operator's put resetting the phase that orders had set."""
    catalog = make_catalog()
    state = SetEngineState("e1", 3, "ready", 1000, EnginePhase.SERVING, Role.DECODE)
    assert catalog.apply(5, state).kind is OutcomeKind.ACCEPTED
    put = PutObject(Engine("e1", "127.0.0.1:80", "szeged", checks_fence=True))
    assert catalog.apply(6, change(6, put, 5)).kind is OutcomeKind.ACCEPTED
    engine = catalog.engine("e1")
    assert (engine.phase, engine.role) == (EnginePhase.SERVING, Role.DECODE)
    assert engine.checks_fence
    with_new_address = PutObject(Engine("e1", "127.0.0.1:99", "szeged"))
    assert (
        "cannot change in phase"
        in catalog.apply(7, change(7, with_new_address, 6)).message
    )


def test_leaving_engine_never_returns_to_service():
    """An outdated host list must not return a withdrawn engine to service."""
    catalog = make_catalog()
    catalog.apply(5, change(5, WithdrawEngine("e1"), 3))
    # From any other phase, a second change could return it to service.
    for phase in set(EnginePhase) - {EnginePhase.LEAVING, EnginePhase.WITHDRAWN}:
        outcome = catalog.apply(6, SetEngineState("e1", 5, "back", 1000, phase))
        assert outcome.kind is OutcomeKind.INVALID
    withdrawn = SetEngineState("e1", 5, "gone", 1000, EnginePhase.WITHDRAWN)
    assert catalog.apply(6, withdrawn).kind is OutcomeKind.ACCEPTED
    outcome = catalog.apply(7, change(7, DrainEngine("e1", False), 6))
    assert outcome.kind is OutcomeKind.INVALID


def test_set_engine_state_with_old_version_gets_conflict():
    """A leader must not overwrite a change that it has not seen."""
    catalog = make_catalog()
    outcome = catalog.apply(5, SetEngineState("e1", 2, "late", 1, EnginePhase.SERVING))
    assert outcome.kind is OutcomeKind.CONFLICT


def test_updates_after_unknown_version_require_snapshot():
    """Guard against an empty list of updates for a version that never existed.

    The entry would keep its configuration although it differs.
    """
    catalog = make_catalog()
    assert [u.version for u in catalog.updates_after(2)] == [3, 4]
    assert catalog.updates_after(5) is None
    restored = Catalog()
    restored.restore(catalog.snapshot())
    assert restored.updates_after(3) is None
    assert restored.updates_after(4) == []


def test_observed_address_does_not_conflict_with_operator():
    """Guard against a conflict without another operator's change.

    When the control daemon recorded the address of a member, it raised the member's
    version, and an operator's promotion of the member was rejected.
    """
    member = Member("control-2", "127.0.0.1:9", "d", "disk", False)
    catalog = Catalog()
    catalog.apply(1, change(1, AddLearner("control-2", "127.0.0.1:9", "d", "disk")))
    observed = msgspec.structs.replace(member, operators_address="127.0.0.1:10")
    catalog.apply(2, SetMembers((observed,), 5))
    outcome = catalog.apply(3, change(3, PromoteLearner("control-2"), base=1))
    assert outcome.kind is OutcomeKind.ACCEPTED, outcome
