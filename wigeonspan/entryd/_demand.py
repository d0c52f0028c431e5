"""What the entry reports to the leader about its callers."""

from dataclasses import dataclass

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import ServiceName, TenantName
from wigeonspan.distribution import DemandSample

_OUTPUT_WEIGHT = 0.1
"""Weight of the newest answer in the expected length; it follows a change of the mix
within some tens of answers."""

UNKNOWN_OUTPUT_TOKENS = 256.0
"""Expected output before any answer was seen. Callers often leave a high limit, and
taking it for the expected length would refuse requests that end in time."""


@dataclass(slots=True)
class _Sums:
    arrivals: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    finished: int = 0
    late: int = 0
    refused: int = 0


class Demand:
    """Counts of requests since the last sync, and expected lengths of answers."""

    def __init__(self) -> None:
        self._sums: dict[tuple[ServiceName, PriorityClass], _Sums] = {}
        self._tenants: dict[TenantName, int] = {}
        self._lengths: dict[tuple[ServiceName, PriorityClass], float] = {}

    def arrived(
        self,
        service: ServiceName,
        priority: PriorityClass,
        tenant: TenantName,
        prompt_tokens: int,
    ) -> None:
        """Note a request, whether or not it will be refused."""
        sums = self._of(service, priority)
        sums.arrivals += 1
        sums.prompt_tokens += prompt_tokens
        self._tenants[tenant] = self._tenants.get(tenant, 0) + 1

    def finished(
        self,
        service: ServiceName,
        priority: PriorityClass,
        output_tokens: int,
        late: bool,
    ) -> None:
        """Note a whole answer."""
        sums = self._of(service, priority)
        sums.output_tokens += output_tokens
        sums.finished += not late
        sums.late += late
        known = self._lengths.get((service, priority), float(output_tokens))
        self._lengths[service, priority] = known + _OUTPUT_WEIGHT * (
            output_tokens - known
        )

    def failed(
        self,
        service: ServiceName,
        priority: PriorityClass,
        output_tokens: int,
        late: bool,
    ) -> None:
        """Note a request that was given up, after its deadline or before."""
        sums = self._of(service, priority)
        sums.output_tokens += output_tokens
        sums.late += late
        sums.refused += not late

    def expected_output(
        self, service: ServiceName, priority: PriorityClass, max_tokens: int
    ) -> int:
        """Return the output tokens that are expected of a request."""
        length = self._lengths.get((service, priority), UNKNOWN_OUTPUT_TOKENS)
        return max(1, min(max_tokens, round(length)))

    def take(self) -> list[DemandSample]:
        """Return the counts since the last call."""
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

    def take_tenants(self) -> dict[TenantName, int]:
        """Return the arrivals of each tenant since the last call."""
        tenants, self._tenants = self._tenants, {}
        return tenants

    def _of(self, service: ServiceName, priority: PriorityClass) -> _Sums:
        return self._sums.setdefault((service, priority), _Sums())
