"""Demand for a model service, from the totals that entries report."""

from collections import deque

from wigeonspan.common import HostId, ServiceName
from wigeonspan.staging._messages import Demand

WINDOW_S = 10.0
"""Seconds over which demand is averaged; bursts of a few seconds do not change it by
much, a shift of the mix does."""

LEAST_S = 6.0
"""Seconds of reports after which demand counts as known."""

LEAST_READ_ENGINES = 0.05
"""Engines kept busy below which there is no traffic to plan for."""


class Totals:
    """Work of one entry for one service since the entry's start."""

    def __init__(self, read_ms: float, stream_s: float) -> None:
        self.read_ms = read_ms
        self.stream_s = stream_s


class DemandMeter:
    """Rates from totals; a total that falls belongs to an entry that restarted."""

    def __init__(self) -> None:
        self._last: dict[tuple[HostId, ServiceName], Totals] = {}
        self._steps: dict[ServiceName, deque[tuple[float, float, float]]] = {}

    def note(
        self,
        host: HostId,
        service: ServiceName,
        read_ms: float,
        stream_s: float,
        now: float,
    ) -> None:
        """Take an entry's totals."""
        last = self._last.get((host, service))
        self._last[host, service] = Totals(read_ms, stream_s)
        if last is None or read_ms < last.read_ms:
            return
        steps = self._steps.setdefault(service, deque())
        read, streams = read_ms - last.read_ms, stream_s - last.stream_s
        steps.append((now, read, streams))
        while steps and steps[0][0] < now - WINDOW_S:
            steps.popleft()

    def has_traffic(self, service: ServiceName) -> bool:
        """Whether the service has ever had traffic."""
        return any(
            totals.read_ms > 0.0
            for (_, name), totals in self._last.items()
            if name == service
        )

    def demand(self, service: ServiceName, now: float) -> Demand | None:
        """Return the demand for a service, or None before it is known."""
        steps = self._steps.get(service)
        if not steps or now - steps[0][0] < LEAST_S:
            return None
        span_s = max(LEAST_S, now - steps[0][0])
        read_engines = sum(read for _, read, _ in steps) / 1000.0 / span_s
        streams = sum(streams for _, _, streams in steps) / span_s
        if read_engines < LEAST_READ_ENGINES:
            return None
        return Demand(read_engines, streams)
