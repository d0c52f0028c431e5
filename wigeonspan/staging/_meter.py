"""Demand for model services, computed from the totals that entries report."""

from collections import deque

from wigeonspan.common import HostId, ServiceName
from wigeonspan.staging._messages import EngineDemand

WINDOW_S = 10.0
"""Seconds over which demand is averaged, so that it follows a change of the traffic mix
but hardly changes with bursts of a few seconds."""

MIN_WINDOW_S = 6.0
"""Minimum seconds covered by reports before demand counts as settled."""

RECENT_WINDOW_S = 3.0
"""Seconds over which recent demand is averaged, to find a shortage of slots while the
requests without one can still be served; longer than most streams, which are reported
at their end."""

MIN_PREFILL_LOAD = 0.05
"""Minimum number of engines busy with prefill; below it there is no traffic to plan
for."""


class _Totals:
    """Totals of one entry for one service since the entry's start."""

    def __init__(self, prefill_ms: float, stream_s: float) -> None:
        self.prefill_ms = prefill_ms
        self.stream_s = stream_s


class DemandMeter:
    """Compute rates from totals.

    A decreasing total means that the entry has restarted.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[HostId, ServiceName], _Totals] = {}
        self._increments: dict[ServiceName, deque[tuple[float, float, float]]] = {}

    def record(
        self,
        host: HostId,
        service: ServiceName,
        prefill_ms: float,
        stream_s: float,
        now: float,
    ) -> None:
        """Record the totals of an entry.

        Parameters
        ----------
        prefill_ms : float
            Engine time of its prefills in milliseconds.
        stream_s : float
            Duration of its streams in seconds.
        """
        last = self._last.get((host, service))
        self._last[host, service] = _Totals(prefill_ms, stream_s)
        if last is None or prefill_ms < last.prefill_ms:
            return
        increments = self._increments.setdefault(service, deque())
        added_ms, added_s = prefill_ms - last.prefill_ms, stream_s - last.stream_s
        increments.append((now, added_ms, added_s))
        while increments and increments[0][0] < now - WINDOW_S:
            increments.popleft()

    def has_traffic(self, service: ServiceName) -> bool:
        """Return whether any entry has reported traffic for the service."""
        return any(
            totals.prefill_ms > 0.0
            for (_, name), totals in self._last.items()
            if name == service
        )

    def demand(self, service: ServiceName, now: float) -> EngineDemand | None:
        """Return the demand for a service, or None if it is unknown or negligible."""
        increments = self._increments.get(service)
        if not increments:
            return None
        covered_s = now - increments[0][0]
        if covered_s < RECENT_WINDOW_S:
            return None
        busy_prefill_engines = sum(ms for _, ms, _ in increments) / 1000.0 / covered_s
        if busy_prefill_engines < MIN_PREFILL_LOAD:
            return None
        recent_s = sum(s for at, _, s in increments if at > now - RECENT_WINDOW_S)
        return EngineDemand(
            busy_prefill_engines,
            streams=sum(seconds for _, _, seconds in increments) / covered_s,
            recent_streams=recent_s / RECENT_WINDOW_S,
            is_settled=covered_s >= MIN_WINDOW_S,
        )
