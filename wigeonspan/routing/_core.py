"""Router that chooses the engine expected to complete a request first."""

import math
from random import Random

from wigeonspan.catalog import URGENT_CLASSES, Engine, EnginePhase, Role
from wigeonspan.common import AttemptId, EngineId, ServiceName
from wigeonspan.distribution import EngineSample, InFlight
from wigeonspan.engines import CacheEvents, LoadReport
from wigeonspan.routing._estimate import WAIT_ESTIMATES, EstimateContext
from wigeonspan.routing._health import TargetHealth
from wigeonspan.routing._load import AttemptState, EngineLoad
from wigeonspan.routing._messages import (
    AttemptEnd,
    AttemptResult,
    EngineRoute,
    RouteRequest,
    RoutingSettings,
)
from wigeonspan.routing._prefixes import PrefixEstimate, RecentEngineIndex
from wigeonspan.routing._rates import SendRate

PREFILL_CONCURRENCY = 8
"""Requests that a prefill engine is assumed to hold at once. It runs one prompt at a
time; the others wait and keep it busy between two load reports."""

SINGLE_ENTRY_SPREAD_S = 0.05
"""Upper bound of ``RoutingSettings.spread_s`` if there is only one entry. This entry
knows all work in flight, so the spread only has to cover the error of its estimates."""

SLOT_GAIN = 0.3
MIN_SLOT_FACTOR = 0.85
MAX_SLOT_FACTOR = 1.1
"""Exponent and bounds of the factor by which one call of :meth:`Router.slots` changes
the slots. Load reports lag by about the time between two calls and a request runs for
several of them, so a full correction would oscillate."""


class Router:
    """Choose engines for the requests of one entry.

    Parameters
    ----------
    rng : random.Random
        Seeded random number generator.
    settings : RoutingSettings
        Settings of the router; the defaults if None.
    """

    def __init__(self, rng: Random, settings: RoutingSettings | None = None) -> None:
        self._rng = rng
        self._settings = settings or RoutingSettings()
        self._engines: dict[EngineId, Engine] = {}
        self._pools: dict[tuple[ServiceName, Role], list[EngineId]] = {}
        self._loads: dict[EngineId, EngineLoad] = {}
        self._prefixes: dict[EngineId, PrefixEstimate] = {}
        self._recent_engines = RecentEngineIndex(self._settings.cache_prefixes)
        self._attempts: dict[AttemptId, AttemptState] = {}
        self._send_rates: dict[ServiceName, SendRate] = {}
        self._slots: dict[ServiceName, float] = {}
        self._other_entries = 0
        self.health: TargetHealth[EngineId] = TargetHealth(self._settings)

    def update_engines(self, engines: list[Engine], now: float) -> None:
        """Replace the engines with those of the current configuration.

        The load of a removed engine is kept while it has running attempts.
        """
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
        """Set the number of entries that share the engines, including this one."""
        self._other_entries = max(0, count - 1)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record a load report; ignore it if it is older than the last one."""
        load = self._loads.get(report.engine)
        if load is not None and load.record_report(report, now):
            self._prefixes[report.engine].update_incarnation(report.incarnation)

    def record_cache_events(
        self, engine: EngineId, events: CacheEvents, now: float
    ) -> None:
        """Record prefix cache events of an engine."""
        prefixes = self._prefixes.get(engine)
        if prefixes is not None:
            prefixes.record_events(events, now)

    def last_cache_event_seq(self, engine: EngineId) -> int:
        """Return the sequence number after which to request cache events."""
        prefixes = self._prefixes.get(engine)
        return 0 if prefixes is None else prefixes.last_seq

    def choose(self, request: RouteRequest, now: float) -> EngineRoute | None:
        """Choose the engines that run a request.

        Parameters
        ----------
        request : RouteRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        EngineRoute or None
            The route, or None if no engine may run the request. The route may
            complete after the deadline; the caller decides whether to refuse.
        """
        routes = self.routes(request, now)
        if not routes:
            return None
        return self._pick_route(routes, self._spread_s)

    def routes(self, request: RouteRequest, now: float) -> list[EngineRoute]:
        """Return the candidate routes of a request with their expected times.

        The candidates are single mixed engines and pairs of a prefill and a decode
        engine. Only if there are none, each decode engine, or else each prefill engine,
        is a candidate for the complete request.
        """
        mixed = self._candidates(request, Role.MIXED)
        decode = self._candidates(request, Role.DECODE)
        prefill = self._candidates(request, Role.PREFILL)
        context = self._estimate_context(request, mixed + decode + prefill, now)
        routes = [self._single_engine_route(context, name) for name in mixed]
        routes += self._split_routes(context, prefill, mixed)
        routes += self._split_routes(context, prefill + mixed, decode)
        if not routes:
            routes = [
                self._single_engine_route(context, name) for name in decode or prefill
            ]
        return routes

    def slots(self, service: ServiceName, now: float) -> int:
        """Return how many requests of a service this entry should run at once.

        Each call adjusts the number so that the mean wait on the engines approaches
        ``RoutingSettings.target_wait_s``. Call it after each round of load reports,
        about twice a second.
        """
        capacity = sum(
            PREFILL_CONCURRENCY
            if role is Role.PREFILL
            else self._loads[name].batch_limit
            for role in Role
            for name in self._pools.get((service, role), [])
        )
        ceiling = max(
            1.0, capacity * self._settings.slot_factor / (self._other_entries + 1)
        )
        wait = self._mean_wait_s(service, now)
        factor = (self._settings.target_wait_s / max(wait, 1e-3)) ** SLOT_GAIN
        factor = min(MAX_SLOT_FACTOR, max(MIN_SLOT_FACTOR, factor))
        slots = self._slots.get(service, ceiling) * factor
        self._slots[service] = min(ceiling, max(1.0, slots))
        return math.ceil(self._slots[service])

    def _mean_wait_s(self, service: ServiceName, now: float) -> float:
        """Return the mean wait for prefill plus the mean wait for a batch place."""
        engines = self._engine_count(service)
        other_load = self._send_rate(service).estimate_other_entries(
            self._other_entries, engines, now
        )
        total = 0.0
        for roles, wait_s in WAIT_ESTIMATES:
            names = [n for r in roles for n in self._sample_engines(service, r)]
            waits = [wait_s(self._loads[name], now, other_load) for name in names]
            total += sum(waits) / max(1, len(waits))
        return total

    def record_start(
        self,
        attempt: AttemptId,
        engine: EngineId,
        request: RouteRequest,
        now: float,
        *,
        decode_engine: EngineId | None = None,
        prefilled: bool = False,
    ) -> None:
        """Record that an attempt was sent to an engine.

        Parameters
        ----------
        attempt : AttemptId
            Id of the attempt, unique in the deployment.
        engine : EngineId
            Engine that the attempt was sent to.
        request : RouteRequest
            The request.
        now : float
            Monotonic time in seconds.
        decode_engine : EngineId or None
            Engine that generates the output if ``engine`` only runs the prompt.
        prefilled : bool
            Whether the engine has imported the KV cache of the prompt.
        """
        load = self._loads.get(engine)
        if load is None:
            return
        tokens = 0.0 if prefilled else self._uncached_tokens(request, engine, now)
        if not prefilled:
            self._send_rate(request.service).record(tokens, now)
        state = AttemptState(attempt, engine, request, tokens, now, decode_engine)
        self._attempts[attempt] = state
        load.record_start(state)
        if decode_engine in self._loads:
            self._loads[decode_engine].pending_decodes.add(attempt)
        self._prefixes[engine].record_run(request.prefixes, now)
        self._recent_engines.record_run(request.prefixes, engine)

    def record_progress(self, attempt: AttemptId, tokens: int, now: float) -> None:
        """Record that an attempt has produced ``tokens`` output tokens so far."""
        state = self._attempts.get(attempt)
        if state is not None:
            self._loads[state.engine].record_progress(state, tokens, now)
            self.health.record_activity(state.engine)

    def record_silence(self, attempt: AttemptId, now: float) -> None:
        """Record that an attempt, which goes on, has produced no token for long."""
        state = self._attempts.get(attempt)
        if state is not None:
            self.health.record_silence(state.engine, now)

    def record_end(self, attempt: AttemptId, end: AttemptEnd, now: float) -> None:
        """Record the end of an attempt."""
        state = self._attempts.pop(attempt, None)
        if state is None:
            return
        self._loads[state.engine].record_end(state, now)
        if state.decode_engine in self._loads:
            self._loads[state.decode_engine].pending_decodes.discard(attempt)
        if end.result is AttemptResult.FAILED:
            self.health.record_failure(state.engine, now)
        elif end.result is AttemptResult.OK:
            self.health.record_success(state.engine, state.token_interval_s, now)

    def probe_targets(self, now: float) -> list[EngineId]:
        """Return ejected engines that are due for a probe."""
        return self.health.probe_targets(now)

    def record_probe(self, engine: EngineId, ok: bool, now: float) -> None:
        """Record the result of a probe of an ejected engine."""
        self.health.record_probe(engine, ok, now)

    def in_flight(self) -> dict[EngineId, InFlight]:
        """Return the number of this entry's attempts on each engine that runs any."""
        counts = {}
        for name, load in self._loads.items():
            if load.attempts:
                urgent = sum(a.urgent for a in load.attempts.values())
                counts[name] = InFlight(urgent, len(load.attempts) - urgent)
        return counts

    def take_samples(self) -> list[EngineSample]:
        """Return the work done by each engine since the last call."""
        samples = (load.take_sample(name) for name, load in self._loads.items())
        return [sample for sample in samples if sample is not None]

    def _candidates(self, request: RouteRequest, role: Role) -> list[EngineId]:
        """Return the engines of a role that may run a request.

        In a large pool this is a random sample plus the engines that recently ran a
        prefix of the prompt.
        """
        pool = self._sample_engines(request.service, role)
        if len(pool) < len(self._pools.get((request.service, role), ())):
            recent = self._recent_engines.engines(request.prefixes)
            pool = pool + [
                n for n in recent if self._can_join_sample(n, request, role, pool)
            ]
        return [name for name in pool if self._is_eligible(request, name)]

    def _sample_engines(self, service: ServiceName, role: Role) -> list[EngineId]:
        """Return all engines of a role, or a random sample if there are many."""
        pool = self._pools.get((service, role), [])
        if len(pool) <= self._settings.sample_size:
            return pool
        return self._rng.sample(pool, self._settings.sample_size)

    def _send_rate(self, service: ServiceName) -> SendRate:
        return self._send_rates.setdefault(service, SendRate())

    def _can_join_sample(
        self, name: EngineId, request: RouteRequest, role: Role, sampled: list[EngineId]
    ) -> bool:
        """Return whether an engine is in the pool of a role but not in the sample."""
        engine = self._engines.get(name)
        return (
            engine is not None
            and engine.phase is EnginePhase.SERVING
            and engine.service == request.service
            and engine.role is role
            and name not in sampled
        )

    def _is_eligible(self, request: RouteRequest, name: EngineId) -> bool:
        """Return whether an engine may run a request.

        It must not be excluded or ejected, and must have the model and the adapters.
        """
        engine = self._engines[name]
        return (
            name not in request.excluded
            and not self.health.is_ejected(name)
            and engine.model == request.model
            and engine.model_version == request.model_version
            and set(request.adapters) <= set(engine.adapters)
        )

    def _uncached_tokens(
        self, request: RouteRequest, name: EngineId, now: float
    ) -> float:
        """Return the expected number of tokens that the engine has to prefill."""
        cached = self._prefixes[name].expected_tokens(request.prefixes, now)
        return max(0.0, request.prompt_tokens + request.resume_position - cached)

    def _estimate_context(
        self, request: RouteRequest, names: list[EngineId], now: float
    ) -> EstimateContext:
        """Return the values shared by the estimates for the compared engines."""
        loads = [self._loads[name] for name in names]
        share = 1.0
        if request.priority in URGENT_CLASSES:
            total = sum(load.waiting_tokens for load in loads)
            urgent = sum(load.urgent_waiting_tokens for load in loads)
            share = (urgent + request.prompt_tokens) / (total + request.prompt_tokens)
        engines = self._engine_count(request.service)
        rate = self._send_rate(request.service)
        other_load = rate.estimate_other_entries(self._other_entries, engines, now)
        return EstimateContext(request, now, other_load, share)

    def _engine_count(self, service: ServiceName) -> int:
        return sum(len(self._pools.get((service, role), ())) for role in Role)

    def _prefill_s(self, context: EstimateContext, name: EngineId) -> float:
        """Return the seconds until the prompt is prefilled, including the queue."""
        load = self._loads[name]
        backlog = load.prefill_backlog(context.now, context.other_load)
        backlog *= context.share_ahead
        tokens = backlog + self._uncached_tokens(context.request, name, context.now)
        return tokens / load.prefill_rate

    def _decode_s(self, request: RouteRequest, name: EngineId) -> float:
        return request.output_tokens / self._loads[name].decode_rate

    def _batch_wait_s(self, context: EstimateContext, name: EngineId) -> float:
        output = context.request.output_tokens
        return self._loads[name].batch_wait_s(context.now, context.other_load, output)

    def _domain_s(self, request: RouteRequest, name: EngineId) -> float:
        """Return the extra seconds for an engine in another failure domain."""
        if request.domain in (None, self._engines[name].domain):
            return 0.0
        return self._settings.cross_domain_s

    def _single_engine_route(
        self, context: EstimateContext, name: EngineId
    ) -> EngineRoute:
        """Return the route that runs prompt and output on one engine."""
        request = context.request
        first = self._prefill_s(context, name) + self._domain_s(request, name)
        first += self._batch_wait_s(context, name)
        completion = first + self._decode_s(request, name)
        address = self._engines[name].address
        engine_time_s = self._engine_time_s(context, name, name)
        return EngineRoute(name, address, None, "", first, completion, engine_time_s)

    def _engine_time_s(
        self, context: EstimateContext, prefill: EngineId, decode: EngineId
    ) -> float:
        """Return the engine time of the request on the two engines."""
        request, load = context.request, self._loads[decode]
        prompt = self._uncached_tokens(request, prefill, context.now)
        prompt_s = prompt / self._loads[prefill].prefill_rate
        output_rate = load.decode_rate * load.batch_limit
        return prompt_s + request.output_tokens / output_rate

    def _split_routes(
        self, context: EstimateContext, prefill: list[EngineId], decode: list[EngineId]
    ) -> list[EngineRoute]:
        """Pair each decode engine with a randomly picked prefill engine.

        The pick favours prefill engines that finish the prompt early. A mixed engine
        may be either one of a pair. Otherwise decode engines would be idle as long as
        no engine has the prefill role.
        """
        if not prefill or not decode:
            return []
        request = context.request
        times = [self._prefill_s(context, name) for name in prefill]
        spread = self._spread_s
        weights = [math.exp(max(-700.0, (min(times) - t) / spread)) for t in times]
        rate = self._settings.kv_transfer_tokens_per_s
        routes = []
        for name in decode:
            index = self._rng.choices(range(len(prefill)), weights)[0]
            source = prefill[index]
            first = times[index] + request.prompt_tokens / rate
            first += self._domain_s(request, source) + self._domain_s(request, name)
            first += self._batch_wait_s(context, name)
            address = self._engines[name].address
            source_address = self._engines[source].address
            completion = first + self._decode_s(request, name)
            engine_time_s = self._engine_time_s(context, source, name)
            routes.append(
                EngineRoute(
                    name,
                    address,
                    source,
                    source_address,
                    first,
                    completion,
                    engine_time_s,
                )
            )
        return routes

    @property
    def _spread_s(self) -> float:
        """Difference of expected times in seconds within which the choice is random."""
        spread = self._settings.spread_s
        if not self._other_entries:
            spread = min(spread, SINGLE_ENTRY_SPREAD_S)
        return max(spread, 1e-6)

    def _pick_route(self, routes: list[EngineRoute], spread_s: float) -> EngineRoute:
        """Pick a random route.

        The weight falls by a factor of e for each ``spread_s`` that a route completes
        after the best one.
        """
        best = min(route.completion_s for route in routes)
        weights = [
            math.exp(max(-700.0, (best - route.completion_s) / spread_s))
            for route in routes
        ]
        return self._rng.choices(routes, weights)[0]
