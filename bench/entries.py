"""Simulated entries, their requests and the results of a mix benchmark run."""

from collections import defaultdict
from dataclasses import dataclass, field

from bench.workload import Arrival, ModelDeployment
from wigeonspan.admission import Admission, AdmissionRequest
from wigeonspan.catalog import Engine, EnginePhase, Role, Tenant
from wigeonspan.common import (
    AttemptId,
    EngineId,
    ModelName,
    RequestId,
    ServiceName,
    TenantName,
)
from wigeonspan.routing import EngineRoute, Router, RouteRequest

SERVICE = ServiceName("model")
MODEL = ModelName("model")

WARM_UP_S = 60.0
"""Requests that arrive before this time (in seconds) are not counted: contenders that
change roles start with roles that do not match the mix yet."""

ENTRIES = 8
"""Number of entry hosts in each deployment."""


@dataclass
class RunResult:
    """Results of one simulation run.

    Parameters
    ----------
    on_time, late, refused, unfinished, arrived : dict
        Numbers of requests by kind.
    role_changes : int
        Number of role changes.
    timeline : list of tuple
        Time, requests answered in time so far, and engines in service with the roles
        prefill, decode and mixed, at each plan.
    """

    on_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    late: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    refused: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    unfinished: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    arrived: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    role_changes: int = 0
    timeline: list[tuple[float, int, tuple[int, int, int]]] = field(
        default_factory=list
    )


@dataclass(slots=True)
class RequestState:
    """State of a request at its entry.

    ``engine`` runs the current attempt. ``decode_engine`` is set when prefill and
    decode run on different engines.
    """

    arrival: Arrival
    entry: "Entry"
    request: RouteRequest
    produced: int = 0
    attempts: int = 0
    attempt: AttemptId = AttemptId("")
    engine: EngineId = EngineId("")
    decode_engine: EngineId | None = None
    first_token_recorded: bool = False


class Entry:
    """Router and admission of one simulated entry host."""

    def __init__(self, number: int, router: Router, domain: str) -> None:
        self.number = number
        self.router = router
        self.domain = domain
        self.admission = Admission()
        tenant = Tenant(TenantName("t"), rate_per_s=1e6, burst=1e6, concurrency=10**6)
        self.admission.update_tenants([tenant], {}, 1, 0.0)
        router.update_live_entries(ENTRIES)
        self.waiting: dict[RequestId, RequestState] = {}


def count_after_warm_up(counts: dict[str, int], arrival: Arrival) -> None:
    """Count a request under its kind, unless it arrived during the warm-up."""
    if arrival.at >= WARM_UP_S:
        counts[arrival.kind.name] += 1


def initial_engines(
    deployment: ModelDeployment, roles: list[Role]
) -> dict[EngineId, Engine]:
    """Return engines with these roles, spread over the failure domains."""
    engines = {}
    for number, role in enumerate(roles):
        name = EngineId(f"e{number}")
        engines[name] = Engine(
            name=name,
            address="",
            domain=deployment.domains[number % 3],
            service=SERVICE,
            phase=EnginePhase.SERVING,
            role=role,
            wanted_role=role,
            model=MODEL,
            model_version="1",
        )
    return engines


def make_admission_request(state: RequestState, route: EngineRoute) -> AdmissionRequest:
    """Return the admission request for a request with a chosen route."""
    return AdmissionRequest(
        request=RequestId(str(state.arrival.number)),
        tenant=TenantName("t"),
        service=SERVICE,
        priority=state.request.priority,
        deadline=state.request.deadline,
        expected_s=route.completion_s,
        cost=route.engine_time_s,
    )
