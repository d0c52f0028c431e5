"""State machine of the configuration: applies committed changes."""

import hashlib
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec

from wigeonspan.catalog._changes import Edit, MissingObject, make_edit
from wigeonspan.catalog._messages import (
    ApplyChange,
    CatalogSnapshot,
    ChangeOutcome,
    LastChange,
    ObjectUpdate,
    OutcomeKind,
    PutObject,
    SetEngineState,
    SetMembers,
    StoredOperation,
)
from wigeonspan.catalog._objects import (
    CatalogObject,
    Engine,
    EnginePhase,
    Member,
    Policy,
)
from wigeonspan.catalog._validation import ObjectKey, check_change_metadata
from wigeonspan.common import EngineId, LogIndex, Version, encode

MAX_STORED_OPERATIONS = 20_000
"""Number of operation ids that are kept: over five days at 3,700 changes a day."""

MAX_STORED_UPDATES = 10_000
"""Number of updates that are kept for entries that are behind.

An entry that is further behind gets a snapshot.
"""

MAX_STORED_REMOVALS = 1_000
"""Number of removals whose author and reason are kept to explain conflicts."""

_ALLOWED_TRANSITIONS: dict[EnginePhase, frozenset[EnginePhase]] = {
    EnginePhase.LEAVING: frozenset({EnginePhase.LEAVING, EnginePhase.WITHDRAWN}),
    EnginePhase.WITHDRAWN: frozenset({EnginePhase.WITHDRAWN}),
}
"""Phases that may follow a phase; a phase without an item may go to any other."""

Guard = Callable[[ApplyChange], str | None]
"""Check of a change against replicated state outside the catalog.

Returns an error message, or None when the change is allowed.
"""


def object_key(value: CatalogObject) -> ObjectKey:
    """Return the key of an object: its kind and name."""
    return str(value.__struct_config__.tag), value.name


def object_kinds() -> list[str]:
    """Return all kinds of objects, sorted."""
    return sorted(str(kind.__struct_config__.tag) for kind in CatalogObject.__args__)


class Catalog:
    """Hold the configuration of a deployment as a replicated state machine.

    Parameters
    ----------
    guard : callable or None
        Additional check of operators' changes. It must depend on replicated state
        only, so that all hosts reach the same outcome.
    """

    def __init__(self, guard: Guard | None = None) -> None:
        self._guard = guard
        self._reset(Version(0))

    def _reset(self, version: Version) -> None:
        self._version = version
        self._updates_base = version
        self._objects: dict[ObjectKey, CatalogObject] = {}
        self._last_changes: dict[ObjectKey, LastChange] = {}
        self._operations: dict[str, StoredOperation] = {}
        self._updates: deque[ObjectUpdate] = deque()

    @property
    def version(self) -> Version:
        """Log index of the last change; 0 when the configuration is empty."""
        return self._version

    @property
    def policy(self) -> Policy:
        """Policy object, or the default policy when none has been stored."""
        value = self._objects.get(("policy", "policy"))
        return value if isinstance(value, Policy) else Policy()

    def get(self, kind: str, name: str) -> CatalogObject | None:
        """Return an object, or None when it does not exist."""
        return self._objects.get((kind, name))

    def engine(self, name: EngineId) -> Engine | None:
        """Return an engine, or None when it does not exist."""
        value = self._objects.get(("engine", name))
        return value if isinstance(value, Engine) else None

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind, or of all kinds when it is empty, by key."""
        keys = sorted(key for key in self._objects if kind in ("", key[0]))
        return [self._objects[key] for key in keys]

    def updates_after(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the updates after a version, in order.

        Parameters
        ----------
        version : Version
            Version that the requesting entry has.

        Returns
        -------
        list of ObjectUpdate or None
            None when the updates are no longer kept, so that a snapshot is needed.
        """
        if version < self._updates_base or version > self._version:
            return None
        return [update for update in self._updates if update.version > version]

    def apply(
        self, index: LogIndex, command: ApplyChange | SetEngineState | SetMembers
    ) -> ChangeOutcome:
        """Apply a committed command.

        Parameters
        ----------
        index : LogIndex
            Log index of the command; greater than all earlier ones.
        command : ApplyChange, SetEngineState or SetMembers
            Change to apply.

        Returns
        -------
        ChangeOutcome
            Result of the command. A resent change with the same operation id gets the
            outcome of the first.
        """
        if isinstance(command, SetEngineState):
            return self._set_engine_state(Version(index), command)
        if isinstance(command, SetMembers):
            return self._set_members(Version(index), command)
        return self._apply_change(Version(index), command)

    def is_duplicate(self, command: ApplyChange) -> bool:
        """Return whether the outcome of this operator's change is stored already."""
        stored = self._operations.get(command.op_id)
        return stored is not None and stored.fingerprint == _fingerprint(command)

    def preview(self, command: ApplyChange) -> ChangeOutcome | None:
        """Return the stored outcome of a change, or the reason to reject it.

        The state does not change.

        Returns
        -------
        ChangeOutcome or None
            None when the change is new and would be accepted now.
        """
        stored = self._operations.get(command.op_id)
        if stored is not None:
            return self._repeat_outcome(stored, command)
        edit = self._validate(command)
        return edit if isinstance(edit, ChangeOutcome) else None

    def has_members(self, members: tuple[Member, ...]) -> bool:
        """Return whether the member objects equal these, apart from their versions."""
        current = {value.name: value for value in self.objects("member")}
        if current.keys() != {member.name for member in members}:
            return False
        return all(
            _equals_except_version(member, current[member.name]) for member in members
        )

    def snapshot(self) -> CatalogSnapshot:
        """Return the complete state."""
        return CatalogSnapshot(
            version=self._version,
            objects=self.objects(),
            notes=[self._last_changes[key] for key in sorted(self._last_changes)],
            operations=list(self._operations.values()),
        )

    def restore(self, snapshot: CatalogSnapshot) -> None:
        """Replace the state with a snapshot.

        Updates before the snapshot are lost, so entries that are behind it get the
        complete configuration.
        """
        self._reset(snapshot.version)
        self._objects = {object_key(value): value for value in snapshot.objects}
        self._last_changes = {
            (last_change.kind, last_change.name): last_change
            for last_change in snapshot.notes
        }
        self._operations = {stored.op_id: stored for stored in snapshot.operations}

    def _apply_change(self, index: Version, command: ApplyChange) -> ChangeOutcome:
        stored = self._operations.get(command.op_id)
        if stored is not None:
            return self._repeat_outcome(stored, command)
        outcome = self._apply_new_change(index, command)
        self._operations[command.op_id] = StoredOperation(
            command.op_id, _fingerprint(command), outcome
        )
        while len(self._operations) > MAX_STORED_OPERATIONS:
            del self._operations[next(iter(self._operations))]
        return outcome

    def _repeat_outcome(
        self, stored: StoredOperation, command: ApplyChange
    ) -> ChangeOutcome:
        if stored.fingerprint == _fingerprint(command):
            return stored.outcome
        return self._invalid_outcome(
            f"operation id {command.op_id} was used for another change"
        )

    def _validate(self, command: ApplyChange) -> Edit | ChangeOutcome:
        """Return the edit that a change makes, or the outcome that rejects it."""
        error = check_change_metadata(command)
        if error is not None:
            return self._invalid_outcome(error)
        edit = make_edit(command.change, self._objects)
        if isinstance(edit, MissingObject):
            if command.base_version and edit.key in self._last_changes:
                return self._conflict_outcome(
                    edit.key, Version(0), command.base_version
                )
            return self._invalid_outcome(f"{_format_key(edit.key)} does not exist")
        if not self._is_based_on_latest(edit.key, command.base_version):
            current = self._objects.get(edit.key)
            version = current.version if current is not None else Version(0)
            return self._conflict_outcome(edit.key, version, command.base_version)
        error = edit.error or (self._guard(command) if self._guard else None)
        if error is not None:
            return self._invalid_outcome(f"{_format_key(edit.key)}: {error}")
        return edit

    def _is_based_on_latest(self, key: ObjectKey, base: Version) -> bool:
        """Return whether no operator has changed the object after the base version.

        Updates of an engine by the system itself are ignored: they change its state
        but no setting of an operator, and they are so frequent that operators'
        changes would keep failing with conflicts.
        """
        current = self._objects.get(key)
        if current is None:
            return base == 0
        return self._last_changes[key].version <= base <= current.version

    def _apply_new_change(self, index: Version, command: ApplyChange) -> ChangeOutcome:
        edit = self._validate(command)
        if isinstance(edit, ChangeOutcome):
            return edit
        self._store_edit(
            index, edit, ChangeOrigin(command.operator, command.reason, command.wall_ms)
        )
        done = "is removed" if edit.value is None else "is changed"
        return ChangeOutcome(
            OutcomeKind.ACCEPTED,
            index,
            f"{_format_key(edit.key)} {done} in version {index}",
        )

    def _set_engine_state(
        self, index: Version, command: SetEngineState
    ) -> ChangeOutcome:
        engine = self.engine(command.engine)
        if engine is None:
            return self._invalid_outcome(f"engine/{command.engine} does not exist")
        key = ("engine", engine.name)
        if engine.version != command.expected_version:
            return self._conflict_outcome(key, engine.version, command.expected_version)
        allowed = _ALLOWED_TRANSITIONS.get(engine.phase)
        if command.phase is not None and allowed is not None:
            if command.phase not in allowed:
                return self._invalid_outcome(
                    f"engine/{engine.name} cannot go from {engine.phase.value} "
                    f"to {command.phase.value}"
                )
        fields = ("phase", "role", "wanted_role", "model", "model_version", "adapters")
        changed = {
            name: value
            for name in fields
            if (value := getattr(command, name)) is not None
        }
        edit = Edit(key, msgspec.structs.replace(engine, **changed))
        self._store_edit(index, edit, None)
        return ChangeOutcome(
            OutcomeKind.ACCEPTED,
            index,
            f"{_format_key(key)} is changed in version {index}",
        )

    def _set_members(self, index: Version, command: SetMembers) -> ChangeOutcome:
        wanted = {object_key(member): member for member in command.members}
        current = {
            key: value
            for key, value in self._objects.items()
            if isinstance(value, Member)
        }
        origin = ChangeOrigin("control", "members of the log", command.wall_ms)
        for key in sorted(current.keys() | wanted.keys()):
            value = wanted.get(key)
            before = current.get(key)
            if value is None or before is None:
                self._store_edit(index, Edit(key, value), origin)
            elif not _equals_except_version(value, before):
                # Observed values must not conflict with an operator's change.
                is_observation = _differs_only_in_observed_fields(value, before)
                self._store_edit(
                    index, Edit(key, value), None if is_observation else origin
                )
        return ChangeOutcome(OutcomeKind.ACCEPTED, self._version, "members are set")

    def _store_edit(
        self, index: Version, edit: Edit, origin: "ChangeOrigin | None"
    ) -> None:
        """Store or remove one object and record the update as version ``index``.

        ``origin`` is None when the system itself updates an existing object.
        """
        value = edit.value
        if value is None:
            self._objects.pop(edit.key, None)
        else:
            value = msgspec.structs.replace(value, version=index)
            self._objects[edit.key] = value
        kind, name = edit.key
        if origin is not None:
            self._last_changes[edit.key] = LastChange(
                kind,
                name,
                index,
                origin.actor,
                origin.reason,
                origin.wall_ms,
                value is None,
            )
            self._prune_removals()
        self._version = index
        self._updates.append(ObjectUpdate(index, kind, name, value))
        while len(self._updates) > MAX_STORED_UPDATES:
            self._updates_base = self._updates.popleft().version

    def _prune_removals(self) -> None:
        removed = [
            last_change
            for last_change in self._last_changes.values()
            if last_change.removed
        ]
        if len(removed) > MAX_STORED_REMOVALS:
            oldest = min(
                removed,
                key=lambda last_change: (
                    last_change.version,
                    last_change.kind,
                    last_change.name,
                ),
            )
            del self._last_changes[(oldest.kind, oldest.name)]

    def _invalid_outcome(self, message: str) -> ChangeOutcome:
        return ChangeOutcome(OutcomeKind.INVALID, self._version, message)

    def _conflict_outcome(
        self, key: ObjectKey, current: Version, base: Version
    ) -> ChangeOutcome:
        last_change = self._last_changes.get(key)
        state = f"is at version {current}" if current else "does not exist"
        message = (
            f"{_format_key(key)} {state}, but the change was based on version {base}"
        )
        return ChangeOutcome(
            OutcomeKind.CONFLICT,
            last_change.version if last_change is not None else current,
            message,
            _format_change(last_change) if last_change is not None else "",
        )


class ChangeOrigin(msgspec.Struct, frozen=True):
    """Author, reason and wall-clock time of a change."""

    actor: str
    reason: str
    wall_ms: int


def _fingerprint(command: ApplyChange) -> str:
    """Return a digest that identifies a change and its operator.

    The base version is left out: an operator who resends a change by hand reads the
    object again first, and must still get the outcome of the first attempt.
    """
    change = command.change
    if isinstance(change, PutObject):
        value = msgspec.structs.replace(change.value, version=Version(0))
        change = PutObject(value)
    data: Any = [command.operator, change]
    return hashlib.sha256(encode(data)).hexdigest()


def _format_change(last_change: LastChange) -> str:
    at = datetime.fromtimestamp(last_change.wall_ms // 1000, UTC)
    action = "removed it" if last_change.removed else "changed it"
    return (
        f"{last_change.actor} {action} at {at:%Y-%m-%dT%H:%M:%SZ}: {last_change.reason}"
    )


def _format_key(key: ObjectKey) -> str:
    return f"{key[0]}/{key[1]}"


def _equals_except_version(value: Member, current: CatalogObject | None) -> bool:
    return isinstance(current, Member) and value == msgspec.structs.replace(
        current, version=value.version
    )


def _differs_only_in_observed_fields(member: Member, before: Member) -> bool:
    """Return whether only fields that the system observes itself have changed."""
    expected = msgspec.structs.replace(
        before, operators_address=member.operators_address
    )
    return _equals_except_version(member, expected)
