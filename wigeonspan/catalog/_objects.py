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
    """Class of a request; it decides order, limits and what may be moved."""

    DESK = "desk"
    QUOTE = "quote"
    BATCH = "batch"


URGENT_CLASSES = frozenset({PriorityClass.DESK, PriorityClass.QUOTE})
"""Classes that a planned change never cuts."""


class Role(Enum):
    """What an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class EnginePhase(Enum):
    """Where an engine stands in a planned change.

    ``NEW`` and ``FAILED`` engines are read back before anything else. Entries send
    work only to ``SERVING`` engines.
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
    """Whether the directory names an entry host."""

    ACTIVE = "active"
    DRAINING = "draining"


class Tenant(Struct, frozen=True, tag="tenant"):
    """Limits of one tenant over the whole deployment."""

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
        """Key of the object, ``model@label``."""
        return f"{self.model}@{self.label}"


class Adapter(Struct, frozen=True, tag="adapter"):
    """Adapter that an engine loads on top of a model."""

    name: str
    model: ModelName
    version: Version = Version(0)


class ModelService(Struct, frozen=True, tag="model_service"):
    """Model service that callers name in the ``model`` field."""

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
    """Plain service beside the engines.

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
    """Engine: what operators and the planner want of it, and what it is known to be.

    Parameters
    ----------
    checks_fence : bool
        Whether the engine refuses orders with an old fencing token.
    service : ServiceName or None
        Model service that it is assigned to.
    pinned_role : Role or None
        Role that an operator fixed; None leaves the role to the planner.
    wanted_role : Role
        Role that it should have now.
    drain : bool
        Whether an operator wants it out of service.
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
    """Host that runs an entry daemon; ``address`` is what callers connect to."""

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
        Address of its gRPC service; empty when it is not known.
    """

    name: HostId
    address: str
    domain: DomainName
    disk_id: str
    voter: bool
    version: Version = Version(0)
    operators_address: str = ""


class Policy(Struct, frozen=True, tag="policy"):
    """Settings of the decisions, one object for the deployment.

    Parameters
    ----------
    role_change_price : float
        Useful answers that one role change must gain to be worth it.
    minimum_stay_s : float
        Shortest time between two role changes of one engine, in seconds.
    max_out_per_domain : int
        Largest number of engines out for a planned change at once in one failure
        domain and service.
    weight_store_bytes_per_s : float
        Rate to which loads are paced.
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
"""Any object of the configuration."""
