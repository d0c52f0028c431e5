"""Checked completion request, and the state that the relays of an entry share."""

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
from wigeonspan.entryd._demand import DemandCounters
from wigeonspan.entryd._limits import TargetLimits
from wigeonspan.entryd._requests import CompletionBody
from wigeonspan.routing import EngineRoute, PromptPrefix, Router, RouteRequest
from wigeonspan.streams import StreamLimits


class CompletionJob(Struct, frozen=True):
    """A checked completion request.

    It keeps the service as configured when the request arrived, so that all attempts
    use the same model version.

    Parameters
    ----------
    admission_id : RequestId
        Identifier of the request for admission, unique on this entry. The request id
        is not unique, since callers may send it again.
    tenant : TenantName
        Tenant for limits and metrics.
    arrived, deadline : float
        Monotonic times in seconds.
    """

    request: RequestId
    admission_id: RequestId
    tenant: TenantName
    priority: PriorityClass
    service: ModelService
    body: CompletionBody
    arrived: float
    deadline: float
    prompt_tokens: int
    prefixes: tuple[PromptPrefix, ...]
    expected_output_tokens: int

    @property
    def model(self) -> str:
        """Value of the ``model`` field for engines: the first adapter or the model."""
        adapters = self.service.adapters
        return adapters[0] if adapters else self.service.model

    def route_request(
        self, position: int, excluded: frozenset[EngineId], domain: DomainName
    ) -> RouteRequest:
        """Return the request for the router.

        Parameters
        ----------
        position : int
            Number of tokens that the caller has received.
        excluded : frozenset of EngineId
            Engines that the router must not choose.
        domain : DomainName
            Failure domain of the entry.
        """
        return RouteRequest(
            service=self.service.name,
            model=self.service.model,
            model_version=self.service.model_version,
            priority=self.priority,
            prompt_tokens=self.prompt_tokens,
            output_tokens=max(1, self.expected_output_tokens - position),
            deadline=self.deadline,
            adapters=self.service.adapters,
            prefixes=self.prefixes,
            resume_position=position,
            excluded=excluded,
            domain=domain,
        )

    def admission_request(self, route: EngineRoute) -> AdmissionRequest:
        """Return the request for admission.

        Parameters
        ----------
        route : EngineRoute
            Route that the router would choose now.
        """
        return AdmissionRequest(
            request=self.admission_id,
            tenant=self.tenant,
            service=self.service.name,
            priority=self.priority,
            deadline=self.deadline,
            expected_s=route.completion_s,
            cost=route.engine_time_s,
        )

    def metric(self, name: str) -> str:
        """Return the name of a metric for this tenant and priority class."""
        return metric_name(name, self.tenant, self.priority.value)


@dataclass
class RelayContext:
    """State that all relays of an entry share.

    Parameters
    ----------
    has_lease : callable
        Returns whether this entry holds a routing lease now.
    accepts_new_work : callable
        Returns whether an engine accepts new work in the newest configuration. An
        attempt checks it again after each wait, since the entry confirms a new version
        as soon as it has received it.
    target_limits : TargetLimits
        Limits that engines set on the requests of all entries.
    limited_engines : callable
        Returns the engines that take no request of this entry now, with addresses.
    attempt_prefix : str
        Prefix of attempt identifiers, unique for each start of each entry.
    """

    router: Router
    engines: EngineClient
    clock: Clock
    budget: RetryBudget
    limits: StreamLimits
    has_lease: Callable[[], bool]
    accepts_new_work: Callable[[EngineId], bool]
    target_limits: TargetLimits
    limited_engines: Callable[[], dict[EngineId, str]]
    domain: DomainName
    attempt_prefix: str
    metrics: Metrics
    demand: DemandCounters = field(default_factory=DemandCounters)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def next_attempt(self) -> AttemptId:
        """Return an attempt identifier that is unique in the deployment."""
        return AttemptId(f"{self.attempt_prefix}-{next(self._numbers)}")
