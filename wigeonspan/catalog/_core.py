"""Replicated configuration: applies committed changes and keeps their answers."""

import hashlib
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec

from wigeonspan.catalog._changes import Edit, Refusal, make_edit
from wigeonspan.catalog._messages import (
    ApplyChange,
    CatalogSnapshot,
    ChangeNote,
    ChangeOutcome,
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
from wigeonspan.catalog._validation import Key, check_form
from wigeonspan.common import EngineId, LogIndex, Version, encode

OPERATIONS_KEPT = 20_000
"""Operation ids that are kept: over five days at 3,700 changes a day."""

UPDATES_KEPT = 10_000
"""Steps kept for entries that are behind; one further behind gets a snapshot."""

REMOVED_NOTES_KEPT = 1_000
"""Notes on removed objects that are kept to explain conflicts."""

_PHASES_AFTER: dict[EnginePhase, frozenset[EnginePhase]] = {
    EnginePhase.LEAVING: frozenset({EnginePhase.LEAVING, EnginePhase.WITHDRAWN}),
    EnginePhase.WITHDRAWN: frozenset({EnginePhase.WITHDRAWN}),
}
"""Phases that may follow; a phase that is absent allows any."""

Guard = Callable[[ApplyChange], str | None]
"""Check of a change against state outside the catalogue."""


def object_key(value: CatalogObject) -> Key:
    """Return kind and name of an object."""
    return str(value.__struct_config__.tag), value.name


def object_kinds() -> list[str]:
    """Return the kinds of objects, sorted."""
    return sorted(str(kind.__struct_config__.tag) for kind in CatalogObject.__args__)


class Catalog:
    """Configuration of a deployment, as a state machine.

    Parameters
    ----------
    guard : callable or None
        Extra check of operators' changes. It must depend on replicated state only.
    """

    def __init__(self, guard: Guard | None = None) -> None:
        self._guard = guard
        self._reset(Version(0))

    def _reset(self, version: Version) -> None:
        self._version = version
        self._floor = version
        self._objects: dict[Key, CatalogObject] = {}
        self._notes: dict[Key, ChangeNote] = {}
        self._operations: dict[str, StoredOperation] = {}
        self._updates: deque[ObjectUpdate] = deque()

    @property
    def version(self) -> Version:
        """Log index of the last change; 0 when the configuration is empty."""
        return self._version

    @property
    def policy(self) -> Policy:
        """Settings of the decisions; the defaults when nobody set them."""
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
        """Return the objects of a kind (all kinds when empty), sorted by key."""
        keys = sorted(key for key in self._objects if kind in ("", key[0]))
        return [self._objects[key] for key in keys]

    def updates_after(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the steps after a version, in order.

        Parameters
        ----------
        version : Version
            Version that the asker has.

        Returns
        -------
        list of ObjectUpdate or None
            None when the steps are no longer kept, so that a snapshot is needed.
        """
        if version < self._floor or version > self._version:
            return None
        return [update for update in self._updates if update.version > version]

    def apply(
        self, index: LogIndex, command: ApplyChange | SetEngineState | SetMembers
    ) -> ChangeOutcome:
        """Apply a committed command.

        Parameters
        ----------
        index : LogIndex
            Log index of the command; greater than that of all before.
        command : ApplyChange, SetEngineState or SetMembers
            What to change.

        Returns
        -------
        ChangeOutcome
            The answer. The same command with the same operation id gets the same.
        """
        if isinstance(command, SetEngineState):
            return self._set_engine_state(Version(index), command)
        if isinstance(command, SetMembers):
            return self._set_members(Version(index), command)
        return self._apply_change(Version(index), command)

    def is_resent(self, command: ApplyChange) -> bool:
        """Whether this change by this operator was already answered."""
        stored = self._operations.get(command.op_id)
        return stored is not None and stored.fingerprint == _fingerprint(command)

    def preview(self, command: ApplyChange) -> ChangeOutcome | None:
        """Return the answer that a change has or would get without being accepted.

        Returns
        -------
        ChangeOutcome or None
            None when the change would be accepted now.
        """
        stored = self._operations.get(command.op_id)
        if stored is not None:
            return self._answer_again(stored, command)
        edit = self._check(command)
        return edit if isinstance(edit, ChangeOutcome) else None

    def has_members(self, members: tuple[Member, ...]) -> bool:
        """Whether the member objects are exactly these, but for their versions."""
        present = {value.name: value for value in self.objects("member")}
        if present.keys() != {member.name for member in members}:
            return False
        return all(_same_member(member, present[member.name]) for member in members)

    def snapshot(self) -> CatalogSnapshot:
        """Return the whole state."""
        return CatalogSnapshot(
            version=self._version,
            objects=self.objects(),
            notes=[self._notes[key] for key in sorted(self._notes)],
            operations=list(self._operations.values()),
        )

    def restore(self, snapshot: CatalogSnapshot) -> None:
        """Replace the state with a snapshot.

        The steps before the snapshot are gone, so entries that are behind it get a
        whole configuration.
        """
        self._reset(snapshot.version)
        self._objects = {object_key(value): value for value in snapshot.objects}
        self._notes = {(note.kind, note.name): note for note in snapshot.notes}
        self._operations = {stored.op_id: stored for stored in snapshot.operations}

    def _apply_change(self, index: Version, command: ApplyChange) -> ChangeOutcome:
        stored = self._operations.get(command.op_id)
        if stored is not None:
            return self._answer_again(stored, command)
        outcome = self._decide(index, command)
        self._operations[command.op_id] = StoredOperation(
            command.op_id, _fingerprint(command), outcome
        )
        while len(self._operations) > OPERATIONS_KEPT:
            del self._operations[next(iter(self._operations))]
        return outcome

    def _answer_again(
        self, stored: StoredOperation, command: ApplyChange
    ) -> ChangeOutcome:
        if stored.fingerprint == _fingerprint(command):
            return stored.outcome
        return self._invalid(
            f"operation id {command.op_id} was used for another change"
        )

    def _check(self, command: ApplyChange) -> Edit | ChangeOutcome:
        """Return the edit that a change makes, or why it is not accepted."""
        fault = check_form(command)
        if fault is not None:
            return self._invalid(fault)
        edit = make_edit(command.change, self._objects)
        if isinstance(edit, Refusal):
            if command.base_version and edit.key in self._notes:
                return self._conflict(edit.key, Version(0), command.base_version)
            return self._invalid(f"{_show(edit.key)} does not exist")
        if not self._matches_base(edit.key, command.base_version):
            present = self._objects.get(edit.key)
            version = present.version if present is not None else Version(0)
            return self._conflict(edit.key, version, command.base_version)
        fault = edit.fault or (self._guard(command) if self._guard else None)
        if fault is not None:
            return self._invalid(f"{_show(edit.key)}: {fault}")
        return edit

    def _matches_base(self, key: Key, base: Version) -> bool:
        """Whether no operator has changed the object after the base version.

        Steps of the system on an engine do not count: they change its state and not
        what operators want of it, and they are too frequent to race against.
        """
        present = self._objects.get(key)
        if present is None:
            return base == 0
        return self._notes[key].version <= base <= present.version

    def _decide(self, index: Version, command: ApplyChange) -> ChangeOutcome:
        edit = self._check(command)
        if isinstance(edit, ChangeOutcome):
            return edit
        self._store(
            index, edit, ActorNote(command.operator, command.reason, command.wall_ms)
        )
        done = "is removed" if edit.value is None else "is changed"
        return ChangeOutcome(
            OutcomeKind.ACCEPTED, index, f"{_show(edit.key)} {done} in version {index}"
        )

    def _set_engine_state(
        self, index: Version, command: SetEngineState
    ) -> ChangeOutcome:
        engine = self.engine(command.engine)
        if engine is None:
            return self._invalid(f"engine/{command.engine} does not exist")
        key = ("engine", engine.name)
        if engine.version != command.expected_version:
            return self._conflict(key, engine.version, command.expected_version)
        allowed = _PHASES_AFTER.get(engine.phase)
        if command.phase is not None and allowed is not None:
            if command.phase not in allowed:
                return self._invalid(
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
        self._store(index, edit, None)
        return ChangeOutcome(
            OutcomeKind.ACCEPTED, index, f"{_show(key)} is changed in version {index}"
        )

    def _set_members(self, index: Version, command: SetMembers) -> ChangeOutcome:
        wanted = {object_key(member): member for member in command.members}
        present = {
            key: value
            for key, value in self._objects.items()
            if isinstance(value, Member)
        }
        note = ActorNote("control", "members of the log", command.wall_ms)
        for key in sorted(present.keys() | wanted.keys()):
            value = wanted.get(key)
            before = present.get(key)
            if value is None or before is None:
                self._store(index, Edit(key, value), note)
            elif not _same_member(value, before):
                # An observation is nobody's change, so it conflicts with none.
                observed = _differs_by_observation(value, before)
                self._store(index, Edit(key, value), None if observed else note)
        return ChangeOutcome(OutcomeKind.ACCEPTED, self._version, "members are set")

    def _store(self, index: Version, edit: Edit, note: "ActorNote | None") -> None:
        """Put or remove one object as the step ``index``.

        A step without a note is one of the system on an existing object.
        """
        value = edit.value
        if value is None:
            self._objects.pop(edit.key, None)
        else:
            value = msgspec.structs.replace(value, version=index)
            self._objects[edit.key] = value
        kind, name = edit.key
        if note is not None:
            self._notes[edit.key] = ChangeNote(
                kind, name, index, note.actor, note.reason, note.wall_ms, value is None
            )
            self._drop_old_notes()
        self._version = index
        self._updates.append(ObjectUpdate(index, kind, name, value))
        while len(self._updates) > UPDATES_KEPT:
            self._floor = self._updates.popleft().version

    def _drop_old_notes(self) -> None:
        removed = [note for note in self._notes.values() if note.removed]
        if len(removed) > REMOVED_NOTES_KEPT:
            oldest = min(removed, key=lambda note: (note.version, note.kind, note.name))
            del self._notes[(oldest.kind, oldest.name)]

    def _invalid(self, message: str) -> ChangeOutcome:
        return ChangeOutcome(OutcomeKind.INVALID, self._version, message)

    def _conflict(self, key: Key, present: Version, base: Version) -> ChangeOutcome:
        note = self._notes.get(key)
        state = f"is at version {present}" if present else "does not exist"
        message = f"{_show(key)} {state}, but the change was based on version {base}"
        return ChangeOutcome(
            OutcomeKind.CONFLICT,
            note.version if note is not None else present,
            message,
            _describe(note) if note is not None else "",
        )


class ActorNote(msgspec.Struct, frozen=True):
    """Who makes a change, why and when."""

    actor: str
    reason: str
    wall_ms: int


def _fingerprint(command: ApplyChange) -> str:
    """Identify a change and its operator.

    The base version is left out: an operator who resends by hand reads the object
    again first and must still get the first answer.
    """
    change = command.change
    if isinstance(change, PutObject):
        value = msgspec.structs.replace(change.value, version=Version(0))
        change = PutObject(value)
    data: Any = [command.operator, change]
    return hashlib.sha256(encode(data)).hexdigest()


def _describe(note: ChangeNote) -> str:
    at = datetime.fromtimestamp(note.wall_ms // 1000, UTC)
    action = "removed it" if note.removed else "changed it"
    return f"{note.actor} {action} at {at:%Y-%m-%dT%H:%M:%SZ}: {note.reason}"


def _show(key: Key) -> str:
    return f"{key[0]}/{key[1]}"


def _same_member(value: Member, present: CatalogObject | None) -> bool:
    return isinstance(present, Member) and value == msgspec.structs.replace(
        present, version=value.version
    )


def _differs_by_observation(member: Member, before: Member) -> bool:
    """Whether only what the system itself observes of a member has changed."""
    seen = msgspec.structs.replace(before, operators_address=member.operators_address)
    return _same_member(member, seen)
