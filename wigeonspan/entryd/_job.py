"""One completion request and the parts that serve it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import Struct

from wigeonspan.admission import AdmissionRequest
from wigeonspan.catalog import ModelService, PriorityClass
from wigeonspan.common import (
    AttemptId,
    Clock,
    DomainName,
    EngineId,
    Metrics,
    RequestId,
    TenantName,
    metric_name,
)
from wigeonspan.engines.tasks import EngineClient
from wigeonspan.entryd._budget import RetryBudget
from wigeonspan.entryd._demand import Demand
from wigeonspan.entryd._requests import CompletionBody
from wigeonspan.routing import PromptPrefix, Route, Router, RouteRequest
from wigeonspan.streams import StreamLimits


class CompletionJob(Struct, frozen=True):
    """A checked completion request.

    The service is the object of the configuration version at arrival; the request
    keeps it until it ends, so all attempts use one model version.

    Parameters
    ----------
    ticket : RequestId
        Identifier that is unique on this entry, since callers resend request ids.
    tenant : TenantName
        Tenant as limits and metrics count it.
    arrived, deadline : float
        Monotonic times in seconds.
    """

    request: RequestId
    ticket: RequestId
    tenant: TenantName
    priority: PriorityClass
    service: ModelService
    body: CompletionBody
    arrived: float
    deadline: float
    prompt_tokens: int
    prefixes: tuple[PromptPrefix, ...]
    expected_output: int

    @property
    def model(self) -> str:
        """Name in the ``model`` field towards engines: the adapter if there is one."""
        adapters = self.service.adapters
        return adapters[0] if adapters else self.service.model

    def route_request(
        self, position: int, excluded: frozenset[EngineId], domain: DomainName
    ) -> RouteRequest:
        """Return what routing needs to know.

        Parameters
        ----------
        position : int
            Tokens that the caller has.
        excluded : frozenset of EngineId
            Engines that must not be chosen.
        domain : DomainName
            Failure domain of the entry.
        """
        return RouteRequest(
            service=self.service.name,
            model=self.service.model,
            model_version=self.service.model_version,
            priority=self.priority,
            prompt_tokens=self.prompt_tokens,
            output_tokens=max(1, self.expected_output - position),
            deadline=self.deadline,
            adapters=self.service.adapters,
            prefixes=self.prefixes,
            resume_position=position,
            excluded=excluded,
            domain=domain,
        )

    def admission_ticket(self, route: Route) -> AdmissionRequest:
        """Return the ticket for admission.

        Parameters
        ----------
        route : Route
            Route that the request would take now.
        """
        return AdmissionRequest(
            request=self.ticket,
            tenant=self.tenant,
            service=self.service.name,
            priority=self.priority,
            deadline=self.deadline,
            expected_s=route.completion_s,
            cost=route.engine_time_s,
        )

    def metric(self, name: str) -> str:
        """Return the name of a metric of this tenant and class."""
        return metric_name(name, self.tenant, self.priority.value)


@dataclass
class RelayParts:
    """Parts that all relays of an entry share.

    Parameters
    ----------
    has_lease : callable
        Whether this entry holds a routing lease now.
    may_use : callable
        Whether an engine takes new work in the newest configuration. An attempt asks
        again after each wait, since the entry confirms a version as soon as it has it.
    attempt_prefix : str
        Unique for each start of each entry.
    """

    router: Router
    engines: EngineClient
    clock: Clock
    budget: RetryBudget
    limits: StreamLimits
    has_lease: Callable[[], bool]
    may_use: Callable[[EngineId], bool]
    domain: DomainName
    attempt_prefix: str
    metrics: Metrics
    demand: Demand = field(default_factory=Demand)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def next_attempt(self) -> AttemptId:
        """Return an identifier that no other attempt in the deployment has."""
        return AttemptId(f"{self.attempt_prefix}-{next(self._numbers)}")
