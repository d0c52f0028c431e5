"""Entries, requests and results of a run of the mix benchmark."""

from collections import defaultdict
from dataclasses import dataclass, field

from bench.workload import Arrival, Deployment
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
from wigeonspan.routing import Route, Router, RouteRequest

SERVICE = ServiceName("model")
MODEL = ModelName("model")

WARM_UP_S = 60.0
"""Requests that arrive earlier are not counted: at the start, the dynamic contenders
have the roles of no particular mix."""

ENTRIES = 8
"""Entry hosts of either deployment."""


@dataclass
class Result:
    """What became of the requests of one run.

    Parameters
    ----------
    on_time, late, refused, cut : dict
        Requests by kind.
    """

    on_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    late: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    refused: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    cut: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    arrived: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    role_changes: int = 0
    timeline: list[tuple[float, int, tuple[int, int, int]]] = field(
        default_factory=list
    )


@dataclass(slots=True)
class Job:
    """A request at its entry."""

    arrival: Arrival
    entry: "Entry"
    request: RouteRequest
    produced: int = 0
    attempts: int = 0
    attempt: AttemptId = AttemptId("")
    engine: EngineId = EngineId("")
    decode_on: EngineId | None = None
    first_noted: bool = False


class Entry:
    """Router and admission of one entry host."""

    def __init__(self, number: int, router: Router, domain: str) -> None:
        self.number = number
        self.router = router
        self.domain = domain
        self.admission = Admission()
        tenant = Tenant(TenantName("t"), rate_per_s=1e6, burst=1e6, concurrency=10**6)
        self.admission.update_tenants([tenant], {}, 1, 0.0)
        router.update_live_entries(ENTRIES)
        self.waiting: dict[RequestId, Job] = {}


def count(counts: dict[str, int], arrival: Arrival) -> None:
    """Count a request by kind, unless it arrived during the warm-up."""
    if arrival.at >= WARM_UP_S:
        counts[arrival.kind.name] += 1


def first_engines(deployment: Deployment, roles: list[Role]) -> dict[EngineId, Engine]:
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


def ticket_of(job: Job, route: Route) -> AdmissionRequest:
    """Return the ticket with which a request asks for admission."""
    return AdmissionRequest(
        request=RequestId(str(job.arrival.number)),
        tenant=TenantName("t"),
        service=SERVICE,
        priority=job.request.priority,
        deadline=job.request.deadline,
        expected_s=route.completion_s,
        cost=route.engine_time_s,
    )
