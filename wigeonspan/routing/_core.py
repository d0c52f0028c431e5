"""Choice of the engine that is expected to complete a request first."""

import math
from random import Random

from wigeonspan.catalog import URGENT_CLASSES, Engine, EnginePhase, Role
from wigeonspan.common import AttemptId, EngineId, ServiceName
from wigeonspan.distribution import EngineSample, InFlight
from wigeonspan.engines import CacheEvents, LoadReport
from wigeonspan.routing._estimate import WAITS, Estimate
from wigeonspan.routing._health import TargetHealth
from wigeonspan.routing._load import Attempt, EngineLoad
from wigeonspan.routing._messages import (
    AttemptEnd,
    AttemptResult,
    Route,
    RouteRequest,
    RoutingSettings,
)
from wigeonspan.routing._prefixes import HolderIndex, PrefixEstimate
from wigeonspan.routing._rates import SentRate

PREFILL_PLACES = 8
"""Requests counted as running at once on a prefill engine; it runs one prompt after the
other, and a few that wait keep it busy between two reports."""

LONE_SPREAD_S = 0.05
"""Largest spread of choices of a lone entry, whose own work in flight is all there is;
only the error of its estimates remains."""

SLOT_GAIN = 0.3
MIN_SLOT_FACTOR = 0.85
MAX_SLOT_FACTOR = 1.1
"""How fast the slots follow the queues. Reports lag by about the time between two
steps, and a request stays for several, so a full correction would swing."""


class Router:
    """Routes requests of one entry.

    Parameters
    ----------
    rng : random.Random
        Seeded source of randomness.
    settings : RoutingSettings
        Settings of the choice.
    """

    def __init__(self, rng: Random, settings: RoutingSettings | None = None) -> None:
        self._rng = rng
        self._settings = settings or RoutingSettings()
        self._engines: dict[EngineId, Engine] = {}
        self._pools: dict[tuple[ServiceName, Role], list[EngineId]] = {}
        self._loads: dict[EngineId, EngineLoad] = {}
        self._prefixes: dict[EngineId, PrefixEstimate] = {}
        self._holders = HolderIndex(self._settings.cache_prefixes)
        self._attempts: dict[AttemptId, Attempt] = {}
        self._sent: dict[ServiceName, SentRate] = {}
        self._slots: dict[ServiceName, float] = {}
        self._others = 0
        self.health: TargetHealth[EngineId] = TargetHealth(self._settings)

    def update_engines(self, engines: list[Engine], now: float) -> None:
        """Replace the engines with those of the configuration in force."""
        self._engines = {engine.name: engine for engine in engines}
        self._pools = {}
        groups: dict[EngineId, str] = {}
        for engine in engines:
            if engine.phase is EnginePhase.SERVING and engine.service is not None:
                key = (engine.service, engine.role)
                self._pools.setdefault(key, []).append(engine.name)
                groups[engine.name] = engine.service
            if engine.name not in self._loads:
                self._loads[engine.name] = EngineLoad(self._settings)
                self._prefixes[engine.name] = PrefixEstimate(self._settings)
        for name in [n for n in self._loads if n not in self._engines]:
            if not self._loads[name].attempts:
                del self._loads[name], self._prefixes[name]
        self.health.update_targets(groups)

    def update_live_entries(self, count: int) -> None:
        """Set the number of entries, this one included, that share the engines."""
        self._others = max(0, count - 1)

    def note_load(self, report: LoadReport, now: float) -> None:
        """Take a load report; one older than the last is ignored."""
        load = self._loads.get(report.engine)
        if load is not None and load.note_report(report, now):
            self._prefixes[report.engine].note_incarnation(report.incarnation)

    def note_cache_events(
        self, engine: EngineId, events: CacheEvents, now: float
    ) -> None:
        """Take cache events of an engine."""
        estimate = self._prefixes.get(engine)
        if estimate is not None:
            estimate.note_events(events, now)

    def cache_events_after(self, engine: EngineId) -> int:
        """Return the sequence number from which to ask for cache events."""
        estimate = self._prefixes.get(engine)
        return 0 if estimate is None else estimate.last_seq

    def choose(self, request: RouteRequest, now: float) -> Route | None:
        """Choose where to run a request.

        Parameters
        ----------
        request : RouteRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Route or None
            None when no engine may run it. The route may complete after the
            deadline; the caller decides whether to refuse.
        """
        routes = self.routes(request, now)
        if not routes:
            return None
        return self._pick(routes, self._spread_s)

    def routes(self, request: RouteRequest, now: float) -> list[Route]:
        """Return the routes that a choice compares, with their expected times."""
        full = self._candidates(request, Role.MIXED)
        decode = self._candidates(request, Role.DECODE)
        prefill = self._candidates(request, Role.PREFILL)
        estimate = self._estimate(request, full + decode + prefill, now)
        routes = [self._full_route(estimate, name) for name in full]
        routes += self._split_routes(estimate, prefill, full)
        routes += self._split_routes(estimate, prefill + full, decode)
        if not routes:
            routes = [self._full_route(estimate, name) for name in decode or prefill]
        return routes

    def slots(self, service: ServiceName, now: float) -> int:
        """Return how many requests of a service this entry should run at once.

        The number follows the queues on the engines, so call this after each round of
        load reports, about twice a second.
        """
        places = sum(
            PREFILL_PLACES if role is Role.PREFILL else self._loads[name].batch_limit
            for role in Role
            for name in self._pools.get((service, role), [])
        )
        ceiling = max(1.0, places * self._settings.slot_factor / (self._others + 1))
        wait = self._mean_wait_s(service, now)
        factor = (self._settings.target_wait_s / max(wait, 1e-3)) ** SLOT_GAIN
        factor = min(MAX_SLOT_FACTOR, max(MIN_SLOT_FACTOR, factor))
        slots = self._slots.get(service, ceiling) * factor
        self._slots[service] = min(ceiling, max(1.0, slots))
        return math.ceil(self._slots[service])

    def _mean_wait_s(self, service: ServiceName, now: float) -> float:
        """Return the mean wait for prefill and for a batch place on the engines."""
        engines = self._engine_count(service)
        others = self._sent_rate(service).for_others(self._others, engines, now)
        total = 0.0
        for roles, kind in WAITS:
            names = [n for r in roles for n in self._sampled(service, r)]
            waits = [kind(self._loads[name], now, others) for name in names]
            total += sum(waits) / max(1, len(waits))
        return total

    def started(
        self,
        attempt: AttemptId,
        engine: EngineId,
        request: RouteRequest,
        now: float,
        *,
        decode_engine: EngineId | None = None,
        prefilled: bool = False,
    ) -> None:
        """Note that an attempt was sent to an engine.

        Parameters
        ----------
        attempt : AttemptId
            Attempt, unique in the deployment.
        engine : EngineId
            Engine that it was sent to.
        request : RouteRequest
            The request.
        now : float
            Monotonic time in seconds.
        decode_engine : EngineId or None
            Engine that continues, when this one only runs the prompt.
        prefilled : bool
            Whether the engine has imported the prompt's KV cache.
        """
        load = self._loads.get(engine)
        if load is None:
            return
        tokens = 0.0 if prefilled else self._uncached(request, engine, now)
        if not prefilled:
            self._sent_rate(request.service).note(tokens, now)
        record = Attempt(attempt, engine, request, tokens, now, decode_engine)
        self._attempts[attempt] = record
        load.note_start(record)
        if decode_engine in self._loads:
            self._loads[decode_engine].reserved.add(attempt)
        self._prefixes[engine].note_run(request.prefixes, now)
        self._holders.note_run(request.prefixes, engine)

    def progressed(self, attempt: AttemptId, tokens: int, now: float) -> None:
        """Note that an attempt has produced ``tokens`` output tokens so far."""
        record = self._attempts.get(attempt)
        if record is not None:
            self._loads[record.engine].note_progress(record, tokens, now)

    def ended(self, attempt: AttemptId, end: AttemptEnd, now: float) -> None:
        """Note the end of an attempt."""
        record = self._attempts.pop(attempt, None)
        if record is None:
            return
        self._loads[record.engine].note_end(record, now)
        if record.decode_engine in self._loads:
            self._loads[record.decode_engine].reserved.discard(attempt)
        if end.result is AttemptResult.FAILED:
            self.health.failed(record.engine, now)
        elif end.result is AttemptResult.OK:
            self.health.succeeded(record.engine, record.token_interval_s, now)

    def probe_targets(self, now: float) -> list[EngineId]:
        """Return ejected engines that are due for a probe."""
        return self.health.probe_targets(now)

    def probed(self, engine: EngineId, ok: bool, now: float) -> None:
        """Note the result of a probe of an ejected engine."""
        self.health.probed(engine, ok, now)

    def in_flight(self) -> dict[EngineId, InFlight]:
        """Return this entry's running attempts for each engine that has any."""
        counts = {}
        for name, load in self._loads.items():
            if load.attempts:
                urgent = sum(a.urgent for a in load.attempts.values())
                counts[name] = InFlight(urgent, len(load.attempts) - urgent)
        return counts

    def take_samples(self) -> list[EngineSample]:
        """Return the work of each engine since the last call."""
        samples = (load.take_sample(name) for name, load in self._loads.items())
        return [sample for sample in samples if sample is not None]

    def _candidates(self, request: RouteRequest, role: Role) -> list[EngineId]:
        """Return a bounded sample of the engines of a role that may run a request."""
        pool = self._sampled(request.service, role)
        if len(pool) < len(self._pools.get((request.service, role), ())):
            held = self._holders.engines(request.prefixes)
            pool = pool + [n for n in held if self._is_in(n, request, role, pool)]
        return [name for name in pool if self._may_run(request, name)]

    def _sampled(self, service: ServiceName, role: Role) -> list[EngineId]:
        pool = self._pools.get((service, role), [])
        if len(pool) <= self._settings.sample:
            return pool
        return self._rng.sample(pool, self._settings.sample)

    def _sent_rate(self, service: ServiceName) -> SentRate:
        return self._sent.setdefault(service, SentRate())

    def _is_in(
        self, name: EngineId, request: RouteRequest, role: Role, sampled: list[EngineId]
    ) -> bool:
        engine = self._engines.get(name)
        return (
            engine is not None
            and engine.phase is EnginePhase.SERVING
            and engine.service == request.service
            and engine.role is role
            and name not in sampled
        )

    def _may_run(self, request: RouteRequest, name: EngineId) -> bool:
        engine = self._engines[name]
        return (
            name not in request.excluded
            and not self.health.is_out(name)
            and engine.model == request.model
            and engine.model_version == request.model_version
            and set(request.adapters) <= set(engine.adapters)
        )

    def _uncached(self, request: RouteRequest, name: EngineId, now: float) -> float:
        cached = self._prefixes[name].expected_tokens(request.prefixes, now)
        return max(0.0, request.prompt_tokens + request.resume_position - cached)

    def _estimate(
        self, request: RouteRequest, names: list[EngineId], now: float
    ) -> Estimate:
        """Sum up what this entry has on the engines that are compared."""
        loads = [self._loads[name] for name in names]
        share = 1.0
        if request.priority in URGENT_CLASSES:
            total = sum(load.waiting_tokens for load in loads)
            urgent = sum(load.urgent_waiting_tokens for load in loads)
            share = (urgent + request.prompt_tokens) / (total + request.prompt_tokens)
        engines = self._engine_count(request.service)
        sent = self._sent_rate(request.service)
        others = sent.for_others(self._others, engines, now)
        return Estimate(request, now, others, share)

    def _engine_count(self, service: ServiceName) -> int:
        return sum(len(self._pools.get((service, role), ())) for role in Role)

    def _prefill_s(self, estimate: Estimate, name: EngineId) -> float:
        load = self._loads[name]
        backlog = load.prefill_backlog(estimate.now, estimate.others)
        backlog *= estimate.queue_share
        tokens = backlog + self._uncached(estimate.request, name, estimate.now)
        return tokens / load.prefill_rate

    def _decode_s(self, request: RouteRequest, name: EngineId) -> float:
        return request.output_tokens / self._loads[name].decode_rate

    def _slot_wait_s(self, estimate: Estimate, name: EngineId) -> float:
        output = estimate.request.output_tokens
        return self._loads[name].slot_wait_s(estimate.now, estimate.others, output)

    def _domain_s(self, request: RouteRequest, name: EngineId) -> float:
        if request.domain in (None, self._engines[name].domain):
            return 0.0
        return self._settings.other_domain_s

    def _full_route(self, estimate: Estimate, name: EngineId) -> Route:
        request = estimate.request
        first = self._prefill_s(estimate, name) + self._domain_s(request, name)
        first += self._slot_wait_s(estimate, name)
        completion = first + self._decode_s(request, name)
        address = self._engines[name].address
        work = self._work_s(estimate, name, name)
        return Route(name, address, None, "", first, completion, work)

    def _work_s(self, estimate: Estimate, prefill: EngineId, decode: EngineId) -> float:
        request, load = estimate.request, self._loads[decode]
        prompt = self._uncached(request, prefill, estimate.now)
        prompt_s = prompt / self._loads[prefill].prefill_rate
        output_rate = load.decode_rate * load.batch_limit
        return prompt_s + request.output_tokens / output_rate

    def _split_routes(
        self, estimate: Estimate, prefill: list[EngineId], decode: list[EngineId]
    ) -> list[Route]:
        """Pair each decode engine with a prefill engine picked for it.

        Mixed engines take part on either side: without that, a decode engine is idle
        as long as no engine has the prefill role.
        """
        if not prefill or not decode:
            return []
        request = estimate.request
        times = [self._prefill_s(estimate, name) for name in prefill]
        spread = self._spread_s
        weights = [math.exp(max(-700.0, (min(times) - t) / spread)) for t in times]
        rate = self._settings.kv_transfer_tokens_per_s
        routes = []
        for name in decode:
            index = self._rng.choices(range(len(prefill)), weights)[0]
            source = prefill[index]
            first = times[index] + request.prompt_tokens / rate
            first += self._domain_s(request, source) + self._domain_s(request, name)
            first += self._slot_wait_s(estimate, name)
            address = self._engines[name].address
            source_address = self._engines[source].address
            completion = first + self._decode_s(request, name)
            work = self._work_s(estimate, source, name)
            routes.append(
                Route(name, address, source, source_address, first, completion, work)
            )
        return routes

    @property
    def _spread_s(self) -> float:
        """Difference of times within which engines count as equal."""
        spread = self._settings.spread_s
        if not self._others:
            spread = min(spread, LONE_SPREAD_S)
        return max(spread, 1e-6)

    def _pick(self, routes: list[Route], spread_s: float) -> Route:
        """Pick by chance, weighted steeply towards the earliest completion."""
        best = min(route.completion_s for route in routes)
        weights = [
            math.exp(max(-700.0, (best - route.completion_s) / spread_s))
            for route in routes
        ]
        return self._rng.choices(routes, weights)[0]
