"""Objects of the replicated configuration."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import (
    DomainName,
    EngineId,
    HostId,
    ModelName,
    ServiceName,
    TenantName,
    Version,
)


class PriorityClass(Enum):
    """Class of a request: decides its order, its limits and whether it may be moved."""

    DESK = "desk"
    QUOTE = "quote"
    BATCH = "batch"


URGENT_CLASSES = frozenset({PriorityClass.DESK, PriorityClass.QUOTE})
"""Classes whose requests a planned change of an engine never interrupts."""


class Role(Enum):
    """Part of the inference work that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class EnginePhase(Enum):
    """Progress of an engine through a planned change.

    The state of a ``NEW`` or ``FAILED`` engine is read from the engine before
    anything else is done with it. Entries send work only to ``SERVING`` engines.
    """

    NEW = "new"
    SERVING = "serving"
    CLOSING = "closing"
    DRAINED = "drained"
    ORDERED = "ordered"
    FAILED = "failed"
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"


class EntryState(Enum):
    """Whether the directory lists an entry host."""

    ACTIVE = "active"
    DRAINING = "draining"


class Tenant(Struct, frozen=True, tag="tenant"):
    """Limits of one tenant across the deployment."""

    name: TenantName
    rate_per_s: float = 100.0
    burst: float = 200.0
    concurrency: int = 1000
    weight: float = 1.0
    version: Version = Version(0)


class ModelVersion(Struct, frozen=True, tag="model_version"):
    """Version of a model in the weight store."""

    model: ModelName
    label: str
    weight_bytes: int = 0
    version: Version = Version(0)

    @property
    def name(self) -> str:
        """Name of the object, ``model@label``."""
        return f"{self.model}@{self.label}"


class Adapter(Struct, frozen=True, tag="adapter"):
    """Adapter that an engine loads on top of a model."""

    name: str
    model: ModelName
    version: Version = Version(0)


class ModelService(Struct, frozen=True, tag="model_service"):
    """Service of a model version, requested by name in the ``model`` field."""

    name: ServiceName
    model: ModelName
    model_version: str
    adapters: tuple[str, ...] = ()
    default_deadline_ms: int = 60_000
    default_class: PriorityClass = PriorityClass.DESK
    version: Version = Version(0)


class PlainTarget(Struct, frozen=True):
    """One address of a plain service."""

    address: str
    domain: DomainName


class PlainService(Struct, frozen=True, tag="plain_service"):
    """HTTP service whose targets are not engines.

    Parameters
    ----------
    non_idempotent : tuple of str
        Calls that must not be repeated, each ``"METHOD /path-prefix"``.
    """

    name: ServiceName
    targets: tuple[PlainTarget, ...]
    non_idempotent: tuple[str, ...] = ()
    default_deadline_ms: int = 10_000
    version: Version = Version(0)


class Engine(Struct, frozen=True, tag="engine"):
    """Inference engine: its wanted settings and its last confirmed state.

    Parameters
    ----------
    checks_fence : bool
        Whether the engine rejects orders with an outdated fencing token.
    service : ServiceName or None
        Model service to which it is assigned.
    pinned_role : Role or None
        Role that an operator fixed; None lets the planner choose.
    wanted_role : Role
        Role that it should have now.
    drain : bool
        Whether an operator has taken it out of service.
    phase, role, model, model_version, adapters
        Last confirmed state.
    """

    name: EngineId
    address: str
    domain: DomainName
    checks_fence: bool = False
    service: ServiceName | None = None
    pinned_role: Role | None = None
    wanted_role: Role = Role.MIXED
    drain: bool = False
    phase: EnginePhase = EnginePhase.NEW
    role: Role = Role.MIXED
    model: ModelName | None = None
    model_version: str | None = None
    adapters: tuple[str, ...] = ()
    version: Version = Version(0)


class EntryHost(Struct, frozen=True, tag="entry_host"):
    """Host that runs an entry daemon; callers connect to ``address``."""

    name: HostId
    address: str
    domain: DomainName
    state: EntryState = EntryState.ACTIVE
    version: Version = Version(0)


class Member(Struct, frozen=True, tag="member"):
    """Member of the control group; ``address`` is its internal HTTP address.

    Parameters
    ----------
    operators_address : str
        Address of its gRPC service for operators; empty when unknown.
    """

    name: HostId
    address: str
    domain: DomainName
    disk_id: str
    voter: bool
    version: Version = Version(0)
    operators_address: str = ""


class Policy(Struct, frozen=True, tag="policy"):
    """Settings of planned changes; a deployment has one such object.

    Parameters
    ----------
    role_change_price : float
        Number of additional requests that a role change must be expected to let
        complete in time.
    minimum_stay_s : float
        Minimum time between two role changes of one engine, in seconds.
    max_out_per_domain : int
        Maximum number of engines of one failure domain and service that are out of
        service for planned changes at the same time.
    weight_store_bytes_per_s : float
        Rate limit for loading weights, in bytes per second.
    """

    name: str = "policy"
    role_change_price: float = 10.0
    minimum_stay_s: float = 120.0
    max_out_per_domain: int = 1
    weight_store_bytes_per_s: float = 1e9
    version: Version = Version(0)


CatalogObject = (
    Tenant
    | ModelVersion
    | Adapter
    | ModelService
    | PlainService
    | Engine
    | EntryHost
    | Member
    | Policy
)
"""Any configuration object."""
