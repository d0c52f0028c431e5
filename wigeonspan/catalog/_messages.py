"""Changes that operators and the system make to the configuration."""

from enum import Enum

from msgspec import Struct

from wigeonspan.catalog._objects import (
    CatalogObject,
    EnginePhase,
    Member,
    Role,
)
from wigeonspan.common import (
    DomainName,
    EngineId,
    HostId,
    ModelName,
    OperationId,
    Version,
)


class ObjectUpdate(Struct, frozen=True):
    """One step of the configuration, sent to entries in order of ``version``.

    Parameters
    ----------
    kind : str
        Tag of the object, for example ``engine``.
    name : str
        Key of the object.
    value : CatalogObject or None
        The object after the step; None when it was removed.
    """

    version: Version
    kind: str
    name: str
    value: CatalogObject | None


class PutObject(Struct, frozen=True, tag="put_object"):
    """Create or replace a tenant, version, adapter, service, entry host or policy.

    For an engine, only address, domain, ``checks_fence`` and service are taken.
    """

    value: CatalogObject


class RemoveObject(Struct, frozen=True, tag="remove_object"):
    """Remove an object that nothing refers to."""

    kind: str
    name: str


class PinRole(Struct, frozen=True, tag="pin_role"):
    """Fix the role of an engine; None gives it back to the planner."""

    engine: EngineId
    role: Role | None = None


class DrainEngine(Struct, frozen=True, tag="drain_engine"):
    """Take an engine out of service, or bring it back."""

    engine: EngineId
    drain: bool


class WithdrawEngine(Struct, frozen=True, tag="withdraw_engine"):
    """Take an engine out of service for good."""

    engine: EngineId


class DrainEntry(Struct, frozen=True, tag="drain_entry"):
    """Take an entry host out of the directory, or bring it back."""

    entry: HostId
    drain: bool


class AddLearner(Struct, frozen=True, tag="add_learner"):
    """Add a control host that catches up and does not vote.

    A host that lost its disk is added again with its new disk identity.
    """

    name: HostId
    address: str
    domain: DomainName
    disk_id: str
    operators_address: str = ""


class PromoteLearner(Struct, frozen=True, tag="promote_learner"):
    """Let a learner vote; refused until it has caught up."""

    name: HostId


class RemoveMember(Struct, frozen=True, tag="remove_member"):
    """Remove a voter or learner from the control group."""

    name: HostId


Change = (
    PutObject
    | RemoveObject
    | PinRole
    | DrainEngine
    | WithdrawEngine
    | DrainEntry
    | AddLearner
    | PromoteLearner
    | RemoveMember
)
"""Any change that an operator makes."""


class ApplyChange(Struct, frozen=True, tag="apply_change"):
    """Command: an operator's change.

    Parameters
    ----------
    base_version : Version
        Version of the object that the change was based on; 0 to create one.
    wall_ms : int
        Wall-clock time at the leader in milliseconds.
    """

    op_id: OperationId
    operator: str
    reason: str
    base_version: Version
    change: Change
    wall_ms: int


class SetEngineState(Struct, frozen=True, tag="set_engine_state"):
    """Command: the leader moves an engine to another phase or records its state.

    ``wanted_role`` is set when the planner decided a role. Fields that are None stay
    as they are. ``expected_version`` guards against a change in between.
    """

    engine: EngineId
    expected_version: Version
    reason: str
    wall_ms: int
    phase: EnginePhase | None = None
    role: Role | None = None
    wanted_role: Role | None = None
    model: ModelName | None = None
    model_version: str | None = None
    adapters: tuple[str, ...] | None = None


class SetMembers(Struct, frozen=True, tag="set_members"):
    """Command: make the member objects equal to the members of the log.

    The first members are never added by an operator; the first leader registers them.
    """

    members: tuple[Member, ...]
    wall_ms: int


class OutcomeKind(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ChangeOutcome(Struct, frozen=True):
    """Answer to a change; kept with the operation id.

    Parameters
    ----------
    version : Version
        Version of the configuration after the change, or the version that won.
    message : str
        One sentence for the operator.
    winner : str
        For a conflict: operator, reason and time of the change that won.
    """

    kind: OutcomeKind
    version: Version
    message: str
    winner: str = ""


class ChangeNote(Struct, frozen=True):
    """Who changed an object last; shown to the operator who lost a race."""

    kind: str
    name: str
    version: Version
    actor: str
    reason: str
    wall_ms: int
    removed: bool = False


class StoredOperation(Struct, frozen=True):
    """Operation id with the change that used it first and the answer to it."""

    op_id: OperationId
    fingerprint: str
    outcome: ChangeOutcome


class CatalogSnapshot(Struct, frozen=True):
    """Whole state of the catalogue."""

    version: Version
    objects: list[CatalogObject]
    notes: list[ChangeNote]
    operations: list[StoredOperation]
