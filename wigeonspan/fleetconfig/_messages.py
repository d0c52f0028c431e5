"""Types of a whole configuration."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import ServiceName


class CallKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(Struct, frozen=True):
    """Share of a route's requests that a service gets."""

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """Requests of one host name and path prefix, and how they are served.

    Parameters
    ----------
    services : tuple of WeightedService
        Services among which requests are split by weight.
    timeout_s : float
        Longest time in seconds that a request is kept waiting.
    objective_s : float
        Seconds within which an answer, or a stream's first event, is on time.
    pause_objective_s : float
        Longest pause in seconds between two events of a stream that is on time.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Largest number of targets to which one request may be sent.
    resumable : bool
        Whether a stream may go on at another target after its last event.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class EngineTraits(Struct, frozen=True):
    """Sizes of the engines of a model service.

    Parameters
    ----------
    slots : int
        Requests that an engine runs at once.
    kv_tokens : int
        Tokens that an engine's memory holds.
    handle_ttl_s : float
        Seconds that an engine keeps a prompt for another engine to fetch.
    switch_s : float
        Seconds that a change of phase takes an engine out of service.
    copy_us : float
        Microseconds in which one engine copies a token from another one in its
        failure domain; 0 when engines cannot copy.
    """

    slots: int
    kv_tokens: int
    handle_ttl_s: float
    switch_s: float
    copy_us: float = 0.0


class ServiceSpec(Struct, frozen=True):
    """A service and the limits of its targets."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


class CallerLimits(Struct, frozen=True):
    """What a caller may send and how long its connection may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class FleetConfig(Struct, frozen=True):
    """Everything that operators set, under one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()

    def service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service by name."""
        return next((s for s in self.services if s.name == name), None)
