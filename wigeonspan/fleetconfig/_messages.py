"""Types of the configuration document."""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from wigeonspan.common import DomainName, ServiceName, TenantName


class CallKind(Enum):
    """Kind of the requests of a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(Struct, frozen=True):
    """Service of a route and its relative share of the route's requests."""

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """Rules for the requests with one host name and path prefix.

    Parameters
    ----------
    host : str
        Host name in requests, compared without regard to case.
    prefix : str
        Path prefix that begins and ends with a slash.
    services : tuple of WeightedService
        Services among which requests are split by weight.
    timeout_s : float
        Longest time in seconds that a request may wait.
    objective_s : float
        Latency objective in seconds, for a response or a stream's first event.
    pause_objective_s : float
        Latency objective in seconds for the pause between two events of a stream.
    priority : int
        Priority level; 0 is the most urgent.
    max_attempts : int
        Largest number of targets to which one request may be sent.
    resumable : bool
        Whether another target may continue a stream after its last event.
    public : bool
        Whether requests need no key although the configuration has tenants.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    pause_objective_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class EngineTraits(Struct, frozen=True):
    """Capacities and timings of the engines of a model service.

    Parameters
    ----------
    slots : int
        Number of requests that an engine runs concurrently.
    kv_tokens : int
        Number of tokens that fit into the key-value cache of an engine.
    handle_ttl_s : float
        Seconds for which an engine retains a prompt for another engine to fetch.
    switch_s : float
        Seconds for which a change of phase takes an engine out of service.
    copy_us : float
        Microseconds per token to copy cached tokens from another engine in the same
        failure domain; 0 when engines cannot copy.
    """

    slots: int
    kv_tokens: int
    handle_ttl_s: float
    switch_s: float
    copy_us: float = 0.0


class ScalingSpec(Struct, frozen=True):
    """Bounds and prices of the replicas of a service whose number may be ordered.

    Parameters
    ----------
    least, most : int
        Smallest and largest number of replicas in a failure domain, of both kinds.
    boot_s : float
        Seconds from an order until a new replica serves.
    reclaimable_price : float
        Price of a replica that may be taken away, relative to an ordinary one.
    domain_prices : dict
        Price of a replica for a second, by failure domain.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float = 1.0
    domain_prices: dict[DomainName, float] = {}


class ServiceSpec(Struct, frozen=True):
    """Service, the health check of its targets and their limits.

    Parameters
    ----------
    scaling : ScalingSpec or None
        How many replicas may be ordered; None when their number is fixed.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingSpec | None = None


class ApiKey(Struct, frozen=True):
    """Secret key of a tenant; its representation hides the text.

    Parameters
    ----------
    text : str
        Key as it is sent by callers.
    """

    text: str

    def __repr__(self) -> str:
        return "ApiKey(...)"

    def __rich_repr__(self) -> Iterable[str]:
        # msgspec's default would show the text to pretty printers.
        return ("...",)

    def __str__(self) -> str:
        return repr(self)


class TenantSpec(Struct, frozen=True):
    """Tenant of a configuration.

    Parameters
    ----------
    api_keys : tuple of ApiKey
        Keys that are valid for the tenant.
    priority : int or None
        Priority level that goes before that of the route, 0 for the most urgent; None
        when the route's level applies.
    """

    name: TenantName
    api_keys: tuple[ApiKey, ...]
    priority: int | None = None


class CallerLimits(Struct, frozen=True):
    """Limits on the requests of a caller and on the idle time of its connections."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class FleetConfig(Struct, frozen=True):
    """Complete configuration set by operators, under one version.

    Parameters
    ----------
    tenants : tuple of TenantSpec or None
        Tenants whose keys requests need; None when requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()
    tenants: tuple[TenantSpec, ...] | None = None

    def service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the service with a name, or None."""
        return next((s for s in self.services if s.name == name), None)
