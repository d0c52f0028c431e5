"""Translation of an operator's change into an edit of one object."""

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
    ObjectKey,
    ObjectsByKey,
    check_learner,
    check_object,
    check_removal,
)
from wigeonspan.common import EngineId, HostId

_ADDRESS_CHANGE_PHASES = frozenset({EnginePhase.NEW, EnginePhase.FAILED})
"""Phases in which an engine's address may change, as no entry sends work to it."""


class Edit(Struct, frozen=True):
    """Replacement or removal of one object.

    Parameters
    ----------
    value : CatalogObject or None
        The object after the edit; None removes it.
    error : str or None
        Why the edit is rejected. It is reported only when the base version matches;
        otherwise the operator has an outdated view and gets a conflict that shows
        the change made in the meantime.
    """

    key: ObjectKey
    value: CatalogObject | None
    error: str | None = None


class MissingObject(Struct, frozen=True):
    """Result for a change that refers to an object that does not exist."""

    key: ObjectKey


def make_edit(change: Change, objects: ObjectsByKey) -> Edit | MissingObject:
    """Return the edit that carries out a change.

    Parameters
    ----------
    change : Change
        Change requested by the operator.
    objects : mapping
        Configuration before the change.

    Returns
    -------
    Edit or MissingObject
        The edit, which may carry an error.
    """
    return _EDIT_BUILDERS[type(change)](change, objects)


def _put_object(change: PutObject, objects: ObjectsByKey) -> Edit | MissingObject:
    value = change.value
    key = (str(value.__struct_config__.tag), value.name)
    current = objects.get(key)
    error = check_object(value, objects)
    if isinstance(value, Engine):
        return _put_engine(key, value, current, error)
    if isinstance(value, EntryHost) and isinstance(current, EntryHost):
        value = msgspec.structs.replace(value, state=current.state)
    return Edit(key, value, error)


def _put_engine(
    key: ObjectKey, value: Engine, current: CatalogObject | None, error: str | None
) -> Edit:
    if not isinstance(current, Engine):
        new_engine = Engine(
            name=value.name,
            address=value.address,
            domain=value.domain,
            checks_fence=value.checks_fence,
            service=value.service,
        )
        return Edit(key, new_engine, error)
    phase = current.phase
    if value.address != current.address:
        if phase not in _ADDRESS_CHANGE_PHASES:
            error = error or (
                f"its address cannot change in phase {phase.value}; "
                "withdraw the engine, remove it and put it again"
            )
        phase = EnginePhase.NEW
    merged = msgspec.structs.replace(
        current,
        address=value.address,
        domain=value.domain,
        checks_fence=value.checks_fence,
        service=value.service,
        phase=phase,
    )
    return Edit(key, merged, error)


def _remove_object(change: RemoveObject, objects: ObjectsByKey) -> Edit | MissingObject:
    key = (change.kind, change.name)
    current = objects.get(key)
    if current is None:
        return _missing(key)
    return Edit(key, None, check_removal(current, objects))


def _pin_role(change: PinRole, objects: ObjectsByKey) -> Edit | MissingObject:
    updates: dict[str, Any] = {"pinned_role": change.role}
    if change.role is not None:
        updates["wanted_role"] = change.role
    return _edit_engine(change.engine, objects, updates)


def _drain_engine(change: DrainEngine, objects: ObjectsByKey) -> Edit | MissingObject:
    edit = _edit_engine(change.engine, objects, {"drain": change.drain})
    if isinstance(edit, Edit) and not change.drain:
        current = objects[edit.key]
        if isinstance(current, Engine) and current.phase is EnginePhase.LEAVING:
            return Edit(edit.key, edit.value, "it is leaving and cannot come back")
    return edit


def _withdraw_engine(
    change: WithdrawEngine, objects: ObjectsByKey
) -> Edit | MissingObject:
    updates = {"drain": True, "phase": EnginePhase.LEAVING}
    return _edit_engine(change.engine, objects, updates)


def _edit_engine(
    name: EngineId, objects: ObjectsByKey, updates: dict[str, Any]
) -> Edit | MissingObject:
    key = ("engine", name)
    engine = objects.get(key)
    if not isinstance(engine, Engine):
        return _missing(key)
    error = None
    if engine.phase is EnginePhase.WITHDRAWN:
        error = "it is withdrawn; remove it and put it again to use it"
    return Edit(key, msgspec.structs.replace(engine, **updates), error)


def _drain_entry(change: DrainEntry, objects: ObjectsByKey) -> Edit | MissingObject:
    key = ("entry_host", change.entry)
    entry = objects.get(key)
    if not isinstance(entry, EntryHost):
        return _missing(key)
    state = EntryState.DRAINING if change.drain else EntryState.ACTIVE
    return Edit(key, msgspec.structs.replace(entry, state=state))


def _add_learner(change: AddLearner, objects: ObjectsByKey) -> Edit | MissingObject:
    member = Member(
        name=change.name,
        address=change.address,
        domain=change.domain,
        disk_id=change.disk_id,
        voter=False,
        operators_address=change.operators_address,
    )
    return Edit(("member", change.name), member, check_learner(change, objects))


def _promote_learner(
    change: PromoteLearner, objects: ObjectsByKey
) -> Edit | MissingObject:
    member = _get_member(change.name, objects)
    if member is None:
        return _missing(("member", change.name))
    error = "it is already a voter" if member.voter else None
    promoted = msgspec.structs.replace(member, voter=True)
    return Edit(("member", change.name), promoted, error)


def _remove_member(change: RemoveMember, objects: ObjectsByKey) -> Edit | MissingObject:
    member = _get_member(change.name, objects)
    if member is None:
        return _missing(("member", change.name))
    voters = [v for v in objects.values() if isinstance(v, Member) and v.voter]
    error = "it is the only voter" if voters == [member] else None
    return Edit(("member", change.name), None, error)


def _get_member(name: HostId, objects: ObjectsByKey) -> Member | None:
    value = objects.get(("member", name))
    return value if isinstance(value, Member) else None


def _missing(key: ObjectKey) -> MissingObject:
    return MissingObject(key)


_EDIT_BUILDERS: dict[type, Any] = {
    PutObject: _put_object,
    RemoveObject: _remove_object,
    PinRole: _pin_role,
    DrainEngine: _drain_engine,
    WithdrawEngine: _withdraw_engine,
    DrainEntry: _drain_entry,
    AddLearner: _add_learner,
    PromoteLearner: _promote_learner,
    RemoveMember: _remove_member,
}
