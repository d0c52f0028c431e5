"""Turns an operator's change into an edit of one object."""

from typing import Any

import msgspec
from msgspec import Struct

from wigeonspan.catalog._messages import (
    AddLearner,
    Change,
    DrainEngine,
    DrainEntry,
    PinRole,
    PromoteLearner,
    PutObject,
    RemoveMember,
    RemoveObject,
    WithdrawEngine,
)
from wigeonspan.catalog._objects import (
    CatalogObject,
    Engine,
    EnginePhase,
    EntryHost,
    EntryState,
    Member,
)
from wigeonspan.catalog._validation import (
    Key,
    Objects,
    check_learner,
    check_object,
    check_removal,
)
from wigeonspan.common import EngineId, HostId

_MOVABLE_PHASES = frozenset({EnginePhase.NEW, EnginePhase.FAILED})
"""Phases in which an engine's address may change: no entry sends to it."""


class Edit(Struct, frozen=True):
    """Edit of one object.

    Parameters
    ----------
    value : CatalogObject or None
        The object after the edit; None removes it.
    fault : str or None
        Why the edit is refused. It counts only once the base version has matched,
        because an operator with an old view needs to see the change that won.
    """

    key: Key
    value: CatalogObject | None
    fault: str | None = None


class Refusal(Struct, frozen=True):
    """Change of an object that does not exist."""

    key: Key


def make_edit(change: Change, objects: Objects) -> Edit | Refusal:
    """Return the edit that a change asks for.

    Parameters
    ----------
    change : Change
        What the operator wants.
    objects : mapping
        Configuration before the change.

    Returns
    -------
    Edit or Refusal
        The edit, possibly with a fault.
    """
    return _MAKERS[type(change)](change, objects)


def _put(change: PutObject, objects: Objects) -> Edit | Refusal:
    value = change.value
    key = (str(value.__struct_config__.tag), value.name)
    present = objects.get(key)
    fault = check_object(value, objects)
    if isinstance(value, Engine):
        return _put_engine(key, value, present, fault)
    if isinstance(value, EntryHost) and isinstance(present, EntryHost):
        value = msgspec.structs.replace(value, state=present.state)
    return Edit(key, value, fault)


def _put_engine(
    key: Key, value: Engine, present: CatalogObject | None, fault: str | None
) -> Edit:
    if not isinstance(present, Engine):
        fresh = Engine(
            name=value.name,
            address=value.address,
            domain=value.domain,
            checks_fence=value.checks_fence,
            service=value.service,
        )
        return Edit(key, fresh, fault)
    phase = present.phase
    if value.address != present.address:
        if phase not in _MOVABLE_PHASES:
            fault = fault or (
                f"its address cannot change in phase {phase.value}; "
                "withdraw the engine, remove it and put it again"
            )
        phase = EnginePhase.NEW
    merged = msgspec.structs.replace(
        present,
        address=value.address,
        domain=value.domain,
        checks_fence=value.checks_fence,
        service=value.service,
        phase=phase,
    )
    return Edit(key, merged, fault)


def _remove(change: RemoveObject, objects: Objects) -> Edit | Refusal:
    key = (change.kind, change.name)
    present = objects.get(key)
    if present is None:
        return _absent(key)
    return Edit(key, None, check_removal(present, objects))


def _pin_role(change: PinRole, objects: Objects) -> Edit | Refusal:
    updates: dict[str, Any] = {"pinned_role": change.role}
    if change.role is not None:
        updates["wanted_role"] = change.role
    return _edit_engine(change.engine, objects, updates)


def _drain_engine(change: DrainEngine, objects: Objects) -> Edit | Refusal:
    edit = _edit_engine(change.engine, objects, {"drain": change.drain})
    if isinstance(edit, Edit) and not change.drain:
        present = objects[edit.key]
        if isinstance(present, Engine) and present.phase is EnginePhase.LEAVING:
            return Edit(edit.key, edit.value, "it is leaving and cannot come back")
    return edit


def _withdraw_engine(change: WithdrawEngine, objects: Objects) -> Edit | Refusal:
    updates = {"drain": True, "phase": EnginePhase.LEAVING}
    return _edit_engine(change.engine, objects, updates)


def _edit_engine(
    name: EngineId, objects: Objects, updates: dict[str, Any]
) -> Edit | Refusal:
    key = ("engine", name)
    engine = objects.get(key)
    if not isinstance(engine, Engine):
        return _absent(key)
    fault = None
    if engine.phase is EnginePhase.WITHDRAWN:
        fault = "it is withdrawn; remove it and put it again to use it"
    return Edit(key, msgspec.structs.replace(engine, **updates), fault)


def _drain_entry(change: DrainEntry, objects: Objects) -> Edit | Refusal:
    key = ("entry_host", change.entry)
    entry = objects.get(key)
    if not isinstance(entry, EntryHost):
        return _absent(key)
    state = EntryState.DRAINING if change.drain else EntryState.ACTIVE
    return Edit(key, msgspec.structs.replace(entry, state=state))


def _add_learner(change: AddLearner, objects: Objects) -> Edit | Refusal:
    member = Member(
        name=change.name,
        address=change.address,
        domain=change.domain,
        disk_id=change.disk_id,
        voter=False,
        operators_address=change.operators_address,
    )
    return Edit(("member", change.name), member, check_learner(change, objects))


def _promote_learner(change: PromoteLearner, objects: Objects) -> Edit | Refusal:
    member = _member(change.name, objects)
    if member is None:
        return _absent(("member", change.name))
    fault = "it is already a voter" if member.voter else None
    promoted = msgspec.structs.replace(member, voter=True)
    return Edit(("member", change.name), promoted, fault)


def _remove_member(change: RemoveMember, objects: Objects) -> Edit | Refusal:
    member = _member(change.name, objects)
    if member is None:
        return _absent(("member", change.name))
    voters = [v for v in objects.values() if isinstance(v, Member) and v.voter]
    fault = "it is the only voter" if voters == [member] else None
    return Edit(("member", change.name), None, fault)


def _member(name: HostId, objects: Objects) -> Member | None:
    value = objects.get(("member", name))
    return value if isinstance(value, Member) else None


def _absent(key: Key) -> Refusal:
    return Refusal(key)


_MAKERS: dict[type, Any] = {
    PutObject: _put,
    RemoveObject: _remove,
    PinRole: _pin_role,
    DrainEngine: _drain_engine,
    WithdrawEngine: _withdraw_engine,
    DrainEntry: _drain_entry,
    AddLearner: _add_learner,
    PromoteLearner: _promote_learner,
    RemoveMember: _remove_member,
}
