"""Run routing, admission and planning against the engine model in simulated time."""

from collections import defaultdict
from random import Random

import msgspec

from bench.engine_model import ModelEngine, Run
from bench.entries import (
    ENTRIES,
    MODEL,
    SERVICE,
    Entry,
    RequestState,
    RunResult,
    count_after_warm_up,
    initial_engines,
    make_admission_request,
)
from bench.policies import Contender
from bench.workload import Arrival, LoadShape, ModelDeployment
from wigeonspan.admission import Admitted, Refused
from wigeonspan.catalog import EnginePhase, PriorityClass
from wigeonspan.common import (
    AttemptId,
    EngineId,
    RequestId,
)
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.engines import CacheEvents, LoadReport
from wigeonspan.routing import AttemptEnd, AttemptResult, EngineRoute, RouteRequest

STEP_S = 0.1
"""Clock step in seconds; a tenth of the shortest time that a decision depends on."""

SYNC_S = 0.5
PLAN_S = 5.0
"""Intervals of syncs and plans in seconds, as in the daemons."""

ROLE_CHANGE_S = 8.0
"""Time in seconds that a drained engine is out of service for a role change."""

KV_TOKENS_PER_S = 200_000.0
"""Rate of KV transfers between engines, in prompt tokens per second."""

SAMPLE_LOSS = 0.1
"""Fraction of engine samples that is lost on the way to the planner."""


class Simulation:
    """Simulation of one contender under one load shape.

    Parameters
    ----------
    deployment : ModelDeployment
        Simulated fleet and its kinds of request.
    shape : LoadShape
        Load mix over time and faults.
    contender : Contender
        Router and role planner to test.
    arrivals : list of Arrival
        Requests, the same for all contenders.
    seed : int
        Seed of all random choices other than the arrivals.
    """

    def __init__(
        self,
        deployment: ModelDeployment,
        shape: LoadShape,
        contender: Contender,
        arrivals: list[Arrival],
        seed: int,
    ) -> None:
        self.result = RunResult()
        self._deployment = deployment
        self._shape = shape
        self._contender = contender
        self._arrivals = arrivals
        self._rng = Random(seed)
        self._planner = contender.planner(deployment, shape)
        self._engines = initial_engines(deployment, self._planner.initial_roles())
        self._engine_models = {
            e.name: ModelEngine(e.name, e.role, deployment.spec)
            for e in self._engines.values()
        }
        self._entries = [
            Entry(
                n, contender.router(Random(seed * 100 + n)), deployment.domains[n % 3]
            )
            for n in range(ENTRIES)
        ]
        self._running: dict[AttemptId, RequestState] = {}
        self._transfers: list[tuple[float, RequestState]] = []
        self._unassigned: list[RequestState] = []
        self._ready_at: dict[EngineId, float] = {}
        self._reports: list[tuple[float, list[LoadReport]]] = []
        self._demand: dict[PriorityClass, list[int]] = defaultdict(lambda: [0] * 6)
        self._engine_work: dict[EngineId, list[float]] = defaultdict(lambda: [0.0] * 4)
        self._publish(0.0)

    def run(self, duration_s: float) -> RunResult:
        """Simulate the load and up to 200 s more for open requests to finish."""
        pending = iter(self._arrivals)
        arrival = next(pending, None)
        end = duration_s + 200.0
        for index in range(round(end / STEP_S)):
            now = index * STEP_S
            if (
                now >= duration_s
                and not self._running
                and not self._has_open_requests()
            ):
                break
            self._run_periodic_tasks(index, now, now < duration_s)
            while arrival is not None and arrival.at <= now:
                self._arrive(arrival, now)
                arrival = next(pending, None)
            self._step_engines(now)
            self._start_ready_requests(now)
        for state in [*self._running.values(), *self._unassigned]:
            count_after_warm_up(self.result.unfinished, state.arrival)
        return self.result

    def _has_open_requests(self) -> bool:
        return bool(self._transfers or self._unassigned) or any(
            entry.waiting for entry in self._entries
        )

    def _run_periodic_tasks(self, index: int, now: float, planning: bool) -> None:
        fail_at = self._shape.fail_at_s
        if fail_at is not None and index == round(fail_at / STEP_S):
            self._fail_engines(now)
        if index % round(SYNC_S / STEP_S) == 0:
            self._poll_engines(now)
            self._advance_changes(now)
        if planning and index and index % round(PLAN_S / STEP_S) == 0:
            self._plan(now)

    def _poll_engines(self, now: float) -> None:
        """Deliver load reports and cache events to all entries, with delay and loss.

        Also updates admission slots, runs health probes and collects engine samples.
        """
        lag_s = 0.0 if self._contender.perfect_reports else self._shape.report_lag_s
        loss = 0.0 if self._contender.perfect_reports else self._shape.report_loss
        alive = [m for n, m in self._engine_models.items() if self._is_up(n)]
        self._reports.append((now, [m.report(now) for m in alive]))
        while len(self._reports) > 1 and self._reports[1][0] <= now - lag_s:
            self._reports.pop(0)
        at, reports = self._reports[0]
        for entry in self._entries:
            for report in reports:
                if loss and self._rng.random() < loss:
                    continue
                aged = msgspec.structs.replace(report, age_s=now - at)
                entry.router.record_load(aged, now)
            for model in alive:
                self._send_cache_events(entry, model, now)
            slots = entry.router.slots(SERVICE, now)
            entry.admission.update_slots(SERVICE, slots)
            for name in entry.router.probe_targets(now):
                entry.router.record_probe(name, self._is_up(name), now)
        for entry in self._entries:
            for sample in entry.router.take_samples():
                if self._rng.random() >= SAMPLE_LOSS:
                    self._add_work(sample)

    def _send_cache_events(self, entry: Entry, model: ModelEngine, now: float) -> None:
        after = entry.router.last_cache_event_seq(model.name)
        events = [e for e in model.events_after(after, now - 1.0) if e.seq % 10]
        if events:
            batch = CacheEvents(model.incarnation, events)
            entry.router.record_cache_events(model.name, batch, now)

    def _add_work(self, sample: EngineSample) -> None:
        totals = self._engine_work[sample.engine]
        totals[0] += sample.prefill_tokens
        totals[1] += sample.decode_tokens
        totals[2] += sample.prefill_s
        totals[3] += sample.decode_s

    def _plan(self, now: float) -> None:
        demand = [
            DemandSample(SERVICE, p, *totals) for p, totals in self._demand.items()
        ]
        work = [
            EngineSample(name, round(s[0]), round(s[1]), s[2], s[3])
            for name, s in self._engine_work.items()
        ]
        self._demand.clear()
        self._engine_work.clear()
        engines = list(self._engines.values())
        for name, role in self._planner.plan(engines, demand, work, now):
            self.result.role_changes += 1
            self._update_engine(name, wanted_role=role, phase=EnginePhase.CLOSING)
            self._interrupt_batch(name, now)
        roles = [e.role.value for e in self._engines.values() if self._is_up(e.name)]
        counts = tuple(roles.count(r) for r in ("prefill", "decode", "mixed"))
        useful = sum(self.result.on_time.values())
        self.result.timeline.append((now, useful, counts))

    def _interrupt_batch(self, name: EngineId, now: float) -> None:
        """Publish that an engine is closing; interrupt its batch requests."""
        self._publish(now)
        for run in self._engine_models[name].runs:
            if not run.urgent:
                self._interrupt(run, AttemptResult.CANCELLED, now)

    def _advance_changes(self, now: float) -> None:
        """Take drained engines out of service; return them with their new role."""
        for name, engine in list(self._engines.items()):
            if (
                engine.phase is EnginePhase.CLOSING
                and not self._engine_models[name].runs
            ):
                self._ready_at[name] = now + ROLE_CHANGE_S
                self._update_engine(name, phase=EnginePhase.ORDERED)
            elif engine.phase is EnginePhase.ORDERED and now >= self._ready_at[name]:
                role = engine.wanted_role
                self._engine_models[name].role = role
                self._update_engine(name, phase=EnginePhase.SERVING, role=role)
                self._publish(now)

    def _fail_engines(self, now: float) -> None:
        failed_count = max(1, len(self._engines) // 4)
        for name in list(self._engines)[:failed_count]:
            runs = self._engine_models[name].runs
            self._update_engine(name, phase=EnginePhase.FAILED)
            for run in runs:
                self._interrupt(run, AttemptResult.FAILED, now)
            self._engine_models[name].clear()
        self._publish(now)

    def _update_engine(self, name: EngineId, **changes: object) -> None:
        self._engines[name] = msgspec.structs.replace(self._engines[name], **changes)

    def _is_up(self, name: EngineId) -> bool:
        return self._engines[name].phase not in (
            EnginePhase.FAILED,
            EnginePhase.ORDERED,
        )

    def _publish(self, now: float) -> None:
        for entry in self._entries:
            entry.router.update_engines(list(self._engines.values()), now)

    def _arrive(self, arrival: Arrival, now: float) -> None:
        entry = self._rng.choice(self._entries)
        kind = arrival.kind
        request = RouteRequest(
            service=SERVICE,
            model=MODEL,
            model_version="1",
            priority=kind.priority,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=kind.output_tokens,
            deadline=arrival.at + kind.deadline_s,
            prefixes=arrival.prefixes,
            domain=entry.domain,
        )
        count_after_warm_up(self.result.arrived, arrival)
        totals = self._demand[kind.priority]
        totals[0] += 1
        totals[1] += arrival.prompt_tokens
        state = RequestState(arrival, entry, request)
        route = entry.router.choose(request, now)
        if route is None:
            self._refuse(state)
            return
        admission_request = make_admission_request(state, route)
        decision = entry.admission.offer(admission_request, now)
        if isinstance(decision, Admitted):
            self._start_request(state, route, now)
        elif isinstance(decision, Refused):
            self._refuse(state)
        else:
            entry.waiting[admission_request.request] = state

    def _refuse(self, state: RequestState) -> None:
        kind = state.arrival.kind
        count_after_warm_up(self.result.refused, state.arrival)
        self._demand[kind.priority][5] += 1

    def _start_request(
        self, state: RequestState, route: EngineRoute, now: float
    ) -> None:
        source = route.prefill_engine
        state.decode_engine = route.engine if source is not None else None
        self._start_attempt(
            state, source or route.engine, now, source is not None, False
        )

    def _start_attempt(
        self,
        state: RequestState,
        engine: EngineId,
        now: float,
        prefill_only: bool,
        prefilled: bool,
    ) -> None:
        state.attempts += 1
        state.attempt = AttemptId(f"{state.arrival.number}.{state.attempts}")
        state.engine = engine
        state.first_token_recorded = False
        self._running[state.attempt] = state
        state.entry.router.record_start(
            state.attempt,
            engine,
            state.request,
            now,
            decode_engine=state.decode_engine if prefill_only else None,
            prefilled=prefilled,
        )
        run = Run(
            attempt=state.attempt,
            priority=state.request.priority,
            prompt_tokens=state.arrival.prompt_tokens + state.produced,
            output_tokens=state.arrival.output_tokens - state.produced,
            prefixes=state.request.prefixes,
            prefill_only=prefill_only,
            prefilled=prefilled,
        )
        self._engine_models[engine].add(run)

    def _interrupt(self, run: Run, result: AttemptResult, now: float) -> None:
        """End an attempt early and queue its request to resume on another engine."""
        state = self._running.pop(run.attempt)
        self._engine_models[state.engine].remove(run.attempt)
        state.produced += int(run.produced)
        state.entry.router.record_end(run.attempt, AttemptEnd(result), now)
        excluded = state.request.excluded
        if result is AttemptResult.FAILED:
            excluded |= {state.engine}
        state.request = msgspec.structs.replace(
            state.request, resume_position=state.produced, excluded=excluded
        )
        self._unassigned.append(state)

    def _step_engines(self, now: float) -> None:
        for name, model in self._engine_models.items():
            if not self._is_up(name):
                continue
            done = model.step(now, STEP_S)
            self._record_first_tokens(model, now)
            for run in done:
                self._complete(run, now)

    def _record_first_tokens(self, model: ModelEngine, now: float) -> None:
        for run in model.runs:
            if run.first_token_at is not None:
                state = self._running[run.attempt]
                if not state.first_token_recorded:
                    state.first_token_recorded = True
                    state.entry.router.record_progress(run.attempt, 1, now)

    def _complete(self, run: Run, now: float) -> None:
        state = self._running.pop(run.attempt)
        router = state.entry.router
        if run.prefill_only:
            router.record_end(run.attempt, AttemptEnd(AttemptResult.OK), now)
            delay = state.arrival.prompt_tokens / KV_TOKENS_PER_S
            self._transfers.append((now + delay, state))
            return
        if not state.first_token_recorded:
            router.record_progress(run.attempt, 1, now)
        router.record_progress(run.attempt, int(run.output_tokens), now + STEP_S)
        router.record_end(run.attempt, AttemptEnd(AttemptResult.OK), now + STEP_S)
        self._finish(state, now + STEP_S)

    def _finish(self, state: RequestState, now: float) -> None:
        arrival, kind = state.arrival, state.arrival.kind
        totals = self._demand[kind.priority]
        totals[2] += arrival.output_tokens
        if now <= state.request.deadline:
            count_after_warm_up(self.result.on_time, arrival)
            totals[3] += 1
        else:
            count_after_warm_up(self.result.late, arrival)
            totals[4] += 1
        state.entry.admission.record_end(RequestId(str(arrival.number)), now)

    def _start_ready_requests(self, now: float) -> None:
        """Start transferred, resumed and newly admitted requests."""
        arrived = [state for at, state in self._transfers if at <= now]
        self._transfers = [item for item in self._transfers if item[0] > now]
        for state in arrived:
            assert state.decode_engine is not None
            if self._engines[state.decode_engine].phase is EnginePhase.SERVING:
                self._start_attempt(state, state.decode_engine, now, False, True)
            else:
                self._unassigned.append(state)
        unassigned, self._unassigned = self._unassigned, []
        for state in unassigned:
            route = state.entry.router.choose(state.request, now)
            if route is None:
                self._unassigned.append(state)
            else:
                self._start_request(state, route, now)
        for entry in self._entries:
            if entry.waiting:
                self._poll_admission(entry, now)

    def _poll_admission(self, entry: Entry, now: float) -> None:
        for decision in entry.admission.poll(now):
            state = entry.waiting.pop(decision.request)
            if isinstance(decision, Refused):
                self._refuse(state)
                continue
            route = entry.router.choose(state.request, now)
            if route is None:
                self._unassigned.append(state)
            else:
                self._start_request(state, route, now)
