import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.catalog import (
    Adapter,
    AddLearner,
    ApplyChange,
    Catalog,
    CatalogSnapshot,
    DrainEngine,
    DrainEntry,
    Engine,
    EnginePhase,
    EntryHost,
    ModelService,
    ModelVersion,
    OutcomeKind,
    PinRole,
    Policy,
    PromoteLearner,
    PutObject,
    RemoveMember,
    RemoveObject,
    Role,
    SetEngineState,
    Tenant,
    WithdrawEngine,
    object_key,
)
from wigeonspan.common import decode, encode

NAMES = st.sampled_from(["a", "b"])
ADDRESSES = st.integers(1, 3).map(lambda port: f"10.0.0.1:{port}")
OBJECTS = st.one_of(
    st.builds(Tenant, NAMES, rate_per_s=st.sampled_from([-1.0, 1.0, 5.0])),
    st.builds(ModelVersion, NAMES, st.sampled_from(["v1", "v2"])),
    st.builds(Adapter, NAMES, NAMES),
    st.builds(
        ModelService,
        NAMES,
        NAMES,
        st.sampled_from(["v1", "v2"]),
        st.lists(NAMES, max_size=1).map(tuple),
    ),
    st.builds(Engine, NAMES, ADDRESSES, NAMES, service=st.none() | NAMES),
    st.builds(EntryHost, NAMES, ADDRESSES, NAMES),
    st.builds(Policy, minimum_stay_s=st.sampled_from([0.0, 60.0])),
)
KINDS = ["tenant", "model_version", "adapter", "model_service", "engine", "entry_host"]
CHANGES = st.one_of(
    st.builds(PutObject, OBJECTS),
    st.builds(PutObject, OBJECTS),
    st.builds(RemoveObject, st.sampled_from(KINDS), NAMES | st.just("a@v1")),
    st.builds(PinRole, NAMES, st.none() | st.sampled_from(Role)),
    st.builds(DrainEngine, NAMES, st.booleans()),
    st.builds(WithdrawEngine, NAMES),
    st.builds(DrainEntry, NAMES, st.booleans()),
    st.builds(AddLearner, NAMES, ADDRESSES, NAMES, NAMES),
    st.builds(PromoteLearner, NAMES),
    st.builds(RemoveMember, NAMES),
)
STEPS = st.lists(
    st.one_of(
        # The base version is the current one, an earlier one, or 0.
        st.tuples(
            st.just("change"), CHANGES, st.sampled_from(["now", "old", "none"]), NAMES
        ),
        st.tuples(st.just("resend"), st.integers(0, 30)),
        st.tuples(st.just("reuse"), st.integers(0, 30), CHANGES),
        st.tuples(
            st.just("engine"), NAMES, st.sampled_from(EnginePhase), st.booleans()
        ),
        st.tuples(st.just("snapshot")),
    ),
    min_size=15,
    max_size=60,
)


START = [
    ModelVersion("a", "v1"),
    ModelVersion("b", "v2"),
    Adapter("a", "a"),
    ModelService("a", "a", "v1", ("a",)),
    Engine("a", "10.0.0.1:1", "d", service="a"),
    Engine("b", "10.0.0.1:2", "d"),
    Tenant("a"),
]


class History:
    """Apply commands to a catalog and keep them with their outcomes."""

    def __init__(self):
        self.catalog = Catalog()
        self.index = 0
        self.commands = []
        self.sent = []
        self.read_versions = {}
        for value in START:
            self.change(PutObject(value), "now", "ana")

    def apply(self, command):
        self.index += 1
        self.commands.append((self.index, command))
        return self.catalog.apply(self.index, command)

    def run(self, step):
        kind, *rest = step
        if kind == "change":
            self.change(*rest)
        elif kind == "resend" and self.sent:
            command, outcome = self.sent[rest[0] % len(self.sent)]
            resent = msgspec.structs.replace(command, base_version=99, wall_ms=9)
            before = self.state()
            assert self.apply(resent) == outcome
            assert self.state() == before
        elif kind == "reuse" and self.sent:
            self.reuse(*rest)
        elif kind == "engine":
            self.engine(*rest)
        elif kind == "snapshot":
            data = encode(self.catalog.snapshot())
            restored = Catalog()
            restored.restore(decode(data, CatalogSnapshot))
            assert encode(restored.snapshot()) == data
            self.catalog = restored

    def change(self, requested, view, operator):
        key = key_of(requested)
        present = self.catalog.get(*key)
        version = present.version if present is not None else 0
        base = {"now": version, "old": self.read_versions.get(key, 0), "none": 0}[view]
        if view == "now":
            self.read_versions[key] = version
        command = ApplyChange(
            f"op{len(self.sent)}", operator, "why", base, requested, 1
        )
        outcome = self.apply(command)
        self.sent.append((command, outcome))
        assert outcome.kind is not OutcomeKind.CONFLICT or view != "now"
        if outcome.kind is OutcomeKind.ACCEPTED:
            assert outcome.version == self.catalog.version == self.index

    def reuse(self, position, requested):
        command, _ = self.sent[position % len(self.sent)]
        before = self.state()
        other = msgspec.structs.replace(command, operator="someone", change=requested)
        assert self.apply(other).kind is OutcomeKind.INVALID
        assert self.state() == before

    def engine(self, name, phase, use_current_version):
        engine = self.catalog.engine(name)
        version = engine.version if engine is not None and use_current_version else 1
        self.apply(SetEngineState(name, version, "why", 1, phase))

    def state(self):
        return self.catalog.objects(), self.catalog.version


def key_of(change):
    if isinstance(change, PutObject):
        return object_key(change.value)
    if isinstance(change, RemoveObject):
        return change.kind, change.name
    if isinstance(change, PinRole | DrainEngine | WithdrawEngine):
        return "engine", change.engine
    if isinstance(change, DrainEntry):
        return "entry_host", change.entry
    return "member", change.name


def check_references(catalog):
    keys = {object_key(value) for value in catalog.objects()}
    addresses = [e.address for e in catalog.objects("engine")]
    assert len(addresses) == len(set(addresses))
    for service in catalog.objects("model_service"):
        assert ("model_version", f"{service.model}@{service.model_version}") in keys
        assert all(("adapter", name) in keys for name in service.adapters)
    for engine in catalog.objects("engine"):
        assert engine.service is None or ("model_service", engine.service) in keys


@settings(derandomize=True, deadline=None, max_examples=300)
@given(steps=STEPS)
def test_versions_never_decrease_and_references_stay_valid(steps):
    """Guard against concurrent operators leaving a service without its model version.

    Versions of objects must not decrease, and engines that leave must not return.
    """
    history = History()
    versions = {}
    version = 0
    leaving = set()
    for step in steps:
        history.run(step)
        catalog = history.catalog
        assert catalog.version >= version
        version = catalog.version
        check_references(catalog)
        for value in catalog.objects():
            key = object_key(value)
            assert versions.get(key, 0) <= value.version <= version
            versions[key] = value.version
        for engine in catalog.objects("engine"):
            if engine.name in leaving:
                assert engine.phase not in (EnginePhase.NEW, EnginePhase.SERVING)
        leaving = {
            e.name
            for e in catalog.objects("engine")
            if e.phase in (EnginePhase.LEAVING, EnginePhase.WITHDRAWN)
        }


@settings(derandomize=True, deadline=None, max_examples=150)
@given(steps=STEPS, snapshot_index=st.integers(0, 60))
def test_apply_is_deterministic_through_snapshots(steps, snapshot_index):
    """Guard against different outcomes on hosts that restored different snapshots."""
    history = History()
    for step in steps:
        history.run(step)
    uninterrupted, restored = Catalog(), Catalog()
    for index, command in history.commands:
        decoded = decode(encode(command), ApplyChange | SetEngineState)
        outcome = uninterrupted.apply(index, decoded)
        assert restored.apply(index, command) == outcome
        if index == snapshot_index:
            data = encode(restored.snapshot())
            restored = Catalog()
            restored.restore(decode(data, CatalogSnapshot))
    assert encode(uninterrupted.snapshot()) == encode(restored.snapshot())
    assert encode(uninterrupted.snapshot()) == encode(history.catalog.snapshot())


@settings(derandomize=True, deadline=None, max_examples=150)
@given(steps=STEPS, start=st.integers(0, 60))
def test_updates_from_any_version_give_current_configuration(steps, start):
    """Guard against an entry that applies all updates but differs from the leader."""
    history = History()
    steps = [step for step in steps if step[0] != "snapshot"]
    copy, version = {}, 0
    for number, step in enumerate(steps):
        history.run(step)
        if number == start:
            copy = {object_key(v): v for v in history.catalog.objects()}
            version = history.catalog.version
    for update in history.catalog.updates_after(version):
        assert update.version >= version
        version = update.version
        copy[update.kind, update.name] = update.value
    present = {key: value for key, value in copy.items() if value is not None}
    assert present == {object_key(v): v for v in history.catalog.objects()}
    assert version == history.catalog.version


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    roles=st.lists(st.sampled_from(list(Role)), min_size=2, max_size=5),
    system_update=st.sampled_from(["no", "before", "after"]),
)
def test_only_first_change_with_same_base_is_accepted(roles, system_update):
    """Of several changes based on the same version, only the first is accepted.

    An update by the system in between must not cause a conflict with the first.
    """
    history = History()
    if system_update == "before":
        history.engine("a", EnginePhase.SERVING, True)
    base = history.catalog.engine("a").version
    if system_update == "after":
        history.engine("a", EnginePhase.SERVING, True)
    outcomes = [
        history.apply(ApplyChange(f"r{n}", f"o{n}", "why", base, PinRole("a", role), 1))
        for n, role in enumerate(roles)
    ]
    assert [o.kind for o in outcomes] == [
        OutcomeKind.ACCEPTED,
        *[OutcomeKind.CONFLICT] * (len(roles) - 1),
    ]
    assert all("o0 changed it" in outcome.winner for outcome in outcomes[1:])
    assert history.catalog.engine("a").pinned_role is roles[0]
