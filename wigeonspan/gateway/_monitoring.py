"""Monitoring interface of a gateway: readiness, metrics and explanations."""

from collections import Counter
from collections.abc import Callable

from msgspec.structs import asdict

from wigeonspan.common import ServiceName, WigeonspanError, encode
from wigeonspan.explain import EXPLAIN_PATH, parse_query
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._controls import ControlHosts
from wigeonspan.gateway._explain import RequestExplainer
from wigeonspan.gateway._use import UseMeter
from wigeonspan.serving import CallerGuard, RequestServer, ResponseWriter, show_limits
from wigeonspan.targets import Phase


class Monitoring:
    """Respond to readiness checks and requests for metrics or explanations.

    Parameters
    ----------
    context : GatewayContext
        State of the gateway, of which only the metrics are changed.
    controls : ControlHosts
        State of the control hosts as this entry sees it.
    explainer : RequestExplainer
        Explains where a request would go.
    front_server : RequestServer
        Server of callers, whose open requests are counted.
    guard : CallerGuard
        Limits on callers.
    use_meter : UseMeter or None
        Measures what the entry uses; None when it is not measured.
    is_ready : callable
        Returns whether the entry is ready.
    """

    def __init__(
        self,
        context: GatewayContext,
        controls: ControlHosts,
        explainer: RequestExplainer,
        front_server: RequestServer,
        guard: CallerGuard,
        use_meter: UseMeter | None,
        is_ready: Callable[[], bool],
    ) -> None:
        self._context = context
        self._controls = controls
        self._explainer = explainer
        self._front_server = front_server
        self._guard = guard
        self._use_meter = use_meter
        self._is_ready = is_ready

    async def serve(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        caller: ResponseWriter,
    ) -> None:
        """Respond to readiness checks and requests for metrics or explanations."""
        path, _, query = target.partition("?")
        if path == EXPLAIN_PATH:
            await self._serve_explanation(query, caller)
            return
        if target.startswith("/metrics"):
            text = self._metrics_text()
            await caller.send_response(200, [("Content-Type", "text/plain")], text)
            return
        await caller.send_response(200 if self._is_ready() else 503, [], b"")

    async def _serve_explanation(self, query: str, caller: ResponseWriter) -> None:
        """Tell where a request would go now; the query may contain no key."""
        try:
            explanation = self._explainer.explain(parse_query(query))
        except WigeonspanError as error:
            await caller.send_error(error)
            return
        headers = [("Content-Type", "application/json")]
        await caller.send_response(200, headers, encode(explanation))

    def _count_targets(self, now: float) -> Counter[str]:
        """Return how many targets are usable, suspended and closed to new work."""
        context = self._context
        counts = Counter({"usable": 0, "suspended": 0, "not_for_new_work": 0})
        usable = {
            t.target
            for s in context.target_table.services
            for t in context.target_table.usable(s)
        }
        for target in context.target_table.all():
            if target.target not in usable:
                counts["not_for_new_work"] += 1
            elif context.placer.health.available(target.target, now):
                counts["usable"] += 1
            else:
                counts["suspended"] += 1
        return counts

    def _record_slots(self, service: ServiceName) -> None:
        """Set the gauges of a service's decode slots and of the streams for them."""
        context = self._context
        usable = context.target_table.usable(service)
        engines = [t for t in usable if t.phase is Phase.DECODE]
        if not engines:
            return
        slots = sum(t.slots for t in engines)
        streams = context.placer.ledger.open_streams(*(t.target for t in engines))
        context.metrics.gauge("decode_slots", slots, service=service)
        context.metrics.gauge("open_streams", streams.total(), service=service)
        memory = context.placer.memory
        if memory.applies:
            held = [memory.held_tokens(t.target) for t in engines]
            total = memory.capacity * len(engines)
            context.metrics.gauge("decode_memory_tokens", total, service=service)
            context.metrics.gauge("held_memory_tokens", sum(held), service=service)
            fullest = max(held) / memory.capacity
            context.metrics.gauge("fullest_memory_share", fullest, service=service)

    def _metrics_text(self) -> bytes:
        context = self._context
        now = self._context.clock.now()
        context.metrics.gauge("config_version", context.config.version)
        confirmed_s = now - self._controls.replied_at
        context.metrics.gauge("config_confirmed_seconds", confirmed_s)
        context.metrics.gauge("list_age_seconds", now - context.target_table.read_at)
        for state, number in self._count_targets(now).items():
            context.metrics.gauge("targets", number, state=state)
        for service in context.target_table.services:
            remaining = context.remaining_retries(service)
            context.metrics.gauge("repeats_left", remaining, service=service)
            self._record_slots(service)
        context.metrics.gauge("paced_targets", len(context.placer.pace.limits))
        quarantine = context.quarantine
        context.metrics.gauge("quarantined_parts", len(quarantine.quarantined))
        context.metrics.gauge("suspected_parts", quarantine.suspects)
        context.metrics.gauge("open_requests", self._front_server.open_requests)
        show_limits(self._guard, context.metrics.gauge)
        if self._use_meter is not None:
            used = asdict(self._use_meter.load().used)
            for name, amount in used.items():
                context.metrics.gauge("entry_use", amount, resource=name)
        context.metrics.gauge("connections_opened", context.pool.opened_connections)
        context.metrics.gauge("log_lines_left_out", context.event_log.omitted_lines)
        return context.metrics.text()
