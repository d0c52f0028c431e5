from collections import Counter
from pathlib import Path

import pytest

from wigeonspan.catalog import (
    ApplyChange,
    Catalog,
    Engine,
    EntryHost,
    OutcomeKind,
    PlainService,
    PutObject,
)
from wigeonspan.common import load_settings
from wigeonspan.controld import ControlSettings
from wigeonspan.entryd import EntrySettings
from wigeonspan.operators._fields import load_objects

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
DEPLOYMENTS = [("ipoh", 6, "POST /loans"), ("tisza", 9, "POST /bookings")]


def load(name, pattern, kind):
    paths = sorted((EXAMPLES / name).glob(pattern))
    return [load_settings(path, kind) for path in paths]


@pytest.mark.parametrize(("name", "engines", "call"), DEPLOYMENTS)
def test_settings_fit_together(name, engines, call):
    """Guard against wrong control addresses: with one, an entry never gets a lease."""
    controls = load(name, "control-*.yaml", ControlSettings)
    entries = load(name, "entry-*.yaml", EntrySettings)
    assert (len(controls), len(entries)) == (3, 8)
    assert len({control.domain for control in controls}) == 3
    assert all(control.members == controls[0].members for control in controls)
    assert {member.host for member in controls[0].members} == {
        control.host for control in controls
    }
    internal = {control.address for control in controls}
    assert all(set(entry.control) == internal for entry in entries)
    entries_per_domain = Counter(entry.domain for entry in entries)
    assert sorted(entries_per_domain.values()) == [2, 3, 3]


@pytest.mark.parametrize(("name", "engines", "call"), DEPLOYMENTS)
def test_objects_apply_in_order(name, engines, call):
    """Guard against example objects that the system refuses to apply."""
    catalog = Catalog()
    values = load_objects(str(EXAMPLES / name / "objects.yaml"))
    for index, value in enumerate(values, start=1):
        put = ApplyChange(f"op{index}", "ana", "why", 0, PutObject(value), 1)
        outcome = catalog.apply(index, put)
        assert outcome.kind is OutcomeKind.ACCEPTED, outcome.message
    engine_objects = [value for value in values if isinstance(value, Engine)]
    assert len(engine_objects) == engines
    assert set(Counter(e.domain for e in engine_objects).values()) == {engines // 3}
    assert any(engine.pinned_role is not None for engine in engine_objects)
    [plain] = [value for value in values if isinstance(value, PlainService)]
    assert (len(plain.targets), plain.non_idempotent) == (3, (call,))
    hosts = {(v.name, v.address) for v in values if isinstance(v, EntryHost)}
    entries = load(name, "entry-*.yaml", EntrySettings)
    assert hosts == {(entry.host, entry.address) for entry in entries}
