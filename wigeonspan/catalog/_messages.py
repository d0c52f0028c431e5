"""Commands that change the configuration, and their outcomes and stored forms."""

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
    """One update of the configuration, sent to entries in order of ``version``.

    Parameters
    ----------
    kind : str
        Tag of the object, for example ``engine``.
    name : str
        Name of the object.
    value : CatalogObject or None
        The object after the update; None when it was removed.
    """

    version: Version
    kind: str
    name: str
    value: CatalogObject | None


class PutObject(Struct, frozen=True, tag="put_object"):
    """Create or replace an object other than a member.

    For an engine, only the address, domain, ``checks_fence`` and service are used. An
    existing entry host keeps its state.
    """

    value: CatalogObject


class RemoveObject(Struct, frozen=True, tag="remove_object"):
    """Remove an object that nothing refers to."""

    kind: str
    name: str


class PinRole(Struct, frozen=True, tag="pin_role"):
    """Fix the role of an engine; with None, the planner chooses it again."""

    engine: EngineId
    role: Role | None = None


class DrainEngine(Struct, frozen=True, tag="drain_engine"):
    """Take an engine out of service, or return it to service."""

    engine: EngineId
    drain: bool


class WithdrawEngine(Struct, frozen=True, tag="withdraw_engine"):
    """Take an engine out of service permanently."""

    engine: EngineId


class DrainEntry(Struct, frozen=True, tag="drain_entry"):
    """Take an entry host out of the directory, or list it again."""

    entry: HostId
    drain: bool


class AddLearner(Struct, frozen=True, tag="add_learner"):
    """Add a control host that receives the log but does not vote.

    A host that lost its disk is added again with the identity of its new disk.
    """

    name: HostId
    address: str
    domain: DomainName
    disk_id: str
    operators_address: str = ""


class PromoteLearner(Struct, frozen=True, tag="promote_learner"):
    """Make a learner a voter; rejected until it has caught up."""

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
"""Any change that an operator can make."""


class ApplyChange(Struct, frozen=True, tag="apply_change"):
    """Apply an operator's change (log command).

    Parameters
    ----------
    base_version : Version
        Version of the object that the operator saw; 0 to create an object.
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
    """Set the phase or the recorded state of an engine (log command of the leader).

    ``wanted_role`` is set when the planner chose a role. Fields that are None keep
    their values. The command is rejected with a conflict when the engine's version is
    not ``expected_version``.
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
    """Make the member objects equal to the members of the log (log command).

    No operator adds the initial members; the first leader registers them.
    """

    members: tuple[Member, ...]
    wall_ms: int


class OutcomeKind(Enum):
    """Result of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ChangeOutcome(Struct, frozen=True):
    """Outcome of a change, stored under its operation id.

    Parameters
    ----------
    version : Version
        Version of the configuration: after the change if it was accepted, else the
        current one. For a conflict, the version of the object's last change.
    message : str
        One sentence for the operator.
    winner : str
        For a conflict: operator, reason and time of the earlier change.
    """

    kind: OutcomeKind
    version: Version
    message: str
    winner: str = ""


class LastChange(Struct, frozen=True):
    """Author, reason and time of an object's last change, shown on a conflict."""

    kind: str
    name: str
    version: Version
    actor: str
    reason: str
    wall_ms: int
    removed: bool = False


class StoredOperation(Struct, frozen=True):
    """Operation id with the digest and the outcome of the change that used it first."""

    op_id: OperationId
    fingerprint: str
    outcome: ChangeOutcome


class CatalogSnapshot(Struct, frozen=True):
    """Complete state of the catalog."""

    version: Version
    objects: list[CatalogObject]
    notes: list[LastChange]
    operations: list[StoredOperation]
