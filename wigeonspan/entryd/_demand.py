"""Demand counters that the entry reports to the leader."""

from dataclasses import dataclass

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import ServiceName, TenantName
from wigeonspan.distribution import DemandSample

_OUTPUT_WEIGHT = 0.1
"""Weight of the newest response in the moving average of output lengths. With it, the
average follows a change of the request mix within some tens of responses."""

INITIAL_OUTPUT_TOKENS = 256.0
"""Expected number of output tokens before the first response. The caller's limit is not
used instead: it is often high, and requests that can end in time would be refused."""


@dataclass(slots=True)
class _Sums:
    arrivals: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    finished: int = 0
    late: int = 0
    refused: int = 0


class DemandCounters:
    """Counts the requests since the last sync and estimates output lengths."""

    def __init__(self) -> None:
        self._sums: dict[tuple[ServiceName, PriorityClass], _Sums] = {}
        self._tenants: dict[TenantName, int] = {}
        self._lengths: dict[tuple[ServiceName, PriorityClass], float] = {}

    def record_arrival(
        self,
        service: ServiceName,
        priority: PriorityClass,
        tenant: TenantName,
        prompt_tokens: int,
    ) -> None:
        """Record a request, whether or not it will be refused."""
        sums = self._sums_for(service, priority)
        sums.arrivals += 1
        sums.prompt_tokens += prompt_tokens
        self._tenants[tenant] = self._tenants.get(tenant, 0) + 1

    def record_completion(
        self,
        service: ServiceName,
        priority: PriorityClass,
        output_tokens: int,
        late: bool,
    ) -> None:
        """Record a request with a complete response."""
        sums = self._sums_for(service, priority)
        sums.output_tokens += output_tokens
        sums.finished += not late
        sums.late += late
        previous = self._lengths.get((service, priority), float(output_tokens))
        self._lengths[service, priority] = previous + _OUTPUT_WEIGHT * (
            output_tokens - previous
        )

    def record_failure(
        self,
        service: ServiceName,
        priority: PriorityClass,
        output_tokens: int,
        late: bool,
    ) -> None:
        """Record a request that was refused or failed.

        It counts as late when it exceeded its deadline, and as refused otherwise.
        """
        sums = self._sums_for(service, priority)
        sums.output_tokens += output_tokens
        sums.late += late
        sums.refused += not late

    def expected_output_tokens(
        self, service: ServiceName, priority: PriorityClass, max_tokens: int
    ) -> int:
        """Return the expected number of output tokens of a request."""
        length = self._lengths.get((service, priority), INITIAL_OUTPUT_TOKENS)
        return max(1, min(max_tokens, round(length)))

    def take_samples(self) -> list[DemandSample]:
        """Return the counts since the last call and reset them."""
        sums, self._sums = self._sums, {}
        return [
            DemandSample(
                service=service,
                priority=priority,
                arrivals=s.arrivals,
                prompt_tokens=s.prompt_tokens,
                output_tokens=s.output_tokens,
                finished=s.finished,
                late=s.late,
                refused=s.refused,
            )
            for (service, priority), s in sums.items()
        ]

    def take_tenant_arrivals(self) -> dict[TenantName, int]:
        """Return the arrivals per tenant since the last call and reset them."""
        tenants, self._tenants = self._tenants, {}
        return tenants

    def _sums_for(self, service: ServiceName, priority: PriorityClass) -> _Sums:
        return self._sums.setdefault((service, priority), _Sums())
