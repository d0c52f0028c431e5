"""Runs the decision modules against the engine model on a manual clock."""

from collections import defaultdict
from random import Random

import msgspec

from bench.engine_model import ModelEngine, Run
from bench.entries import (
    ENTRIES,
    MODEL,
    SERVICE,
    Entry,
    Job,
    Result,
    count,
    first_engines,
    ticket_of,
)
from bench.policies import Contender
from bench.workload import Arrival, Deployment, Shape
from wigeonspan.admission import Admitted, Refused
from wigeonspan.catalog import EnginePhase, PriorityClass
from wigeonspan.common import (
    AttemptId,
    EngineId,
    RequestId,
)
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.engines import CacheEvents, LoadReport
from wigeonspan.routing import AttemptEnd, AttemptResult, Route, RouteRequest

STEP_S = 0.1
"""Step of the clock; a tenth of the shortest time that a decision depends on."""

SYNC_S = 0.5
PLAN_S = 5.0
"""Times between syncs and between plans, as in the daemons."""

OUT_S = 8.0
"""Time for which a role change takes a drained engine out of service."""

KV_TOKENS_PER_S = 200_000.0
"""Rate of a KV transfer between engines."""

SAMPLE_LOSS = 0.1
"""Part of the engine samples that never reaches the planner."""


class Simulation:
    """One run of a contender on a shape of load.

    Parameters
    ----------
    deployment, shape, contender
        What runs.
    arrivals : list of Arrival
        Load, the same for all contenders.
    seed : int
        Seed of everything that is random beside the load.
    """

    def __init__(
        self,
        deployment: Deployment,
        shape: Shape,
        contender: Contender,
        arrivals: list[Arrival],
        seed: int,
    ) -> None:
        self.result = Result()
        self._deployment = deployment
        self._shape = shape
        self._contender = contender
        self._arrivals = arrivals
        self._rng = Random(seed)
        self._planner = contender.planner(deployment, shape)
        self._engines = first_engines(deployment, self._planner.first_roles())
        self._models = {
            e.name: ModelEngine(e.name, e.role, deployment.spec)
            for e in self._engines.values()
        }
        self._entries = [
            Entry(
                n, contender.router(Random(seed * 100 + n)), deployment.domains[n % 3]
            )
            for n in range(ENTRIES)
        ]
        self._jobs: dict[AttemptId, Job] = {}
        self._transfers: list[tuple[float, Job]] = []
        self._orphans: list[Job] = []
        self._back_at: dict[EngineId, float] = {}
        self._reports: list[tuple[float, list[LoadReport]]] = []
        self._demand: dict[PriorityClass, list[int]] = defaultdict(lambda: [0] * 6)
        self._work: dict[EngineId, list[float]] = defaultdict(lambda: [0.0] * 4)
        self._publish(0.0)

    def run(self, duration_s: float) -> Result:
        """Run the load and let the last requests end."""
        pending = iter(self._arrivals)
        arrival = next(pending, None)
        end = duration_s + 200.0
        for index in range(round(end / STEP_S)):
            now = index * STEP_S
            if now >= duration_s and not self._jobs and not self._open():
                break
            self._periodic(index, now, now < duration_s)
            while arrival is not None and arrival.at <= now:
                self._arrive(arrival, now)
                arrival = next(pending, None)
            self._work_engines(now)
            self._move(now)
        for job in [*self._jobs.values(), *self._orphans]:
            count(self.result.cut, job.arrival)
        return self.result

    def _open(self) -> bool:
        return bool(self._transfers or self._orphans) or any(
            entry.waiting for entry in self._entries
        )

    def _periodic(self, index: int, now: float, planning: bool) -> None:
        lose_at = self._shape.lose_at_s
        if lose_at is not None and index == round(lose_at / STEP_S):
            self._lose_engines(now)
        if index % round(SYNC_S / STEP_S) == 0:
            self._share_load(now)
            self._advance_changes(now)
        if planning and index and index % round(PLAN_S / STEP_S) == 0:
            self._plan(now)

    def _share_load(self, now: float) -> None:
        """Poll loads and cache events on all entries, late and with losses."""
        lag = 0.0 if self._contender.perfect_reports else self._shape.report_lag_s
        loss = 0.0 if self._contender.perfect_reports else self._shape.report_loss
        alive = [m for n, m in self._models.items() if self._is_up(n)]
        self._reports.append((now, [m.report(now) for m in alive]))
        while len(self._reports) > 1 and self._reports[1][0] <= now - lag:
            self._reports.pop(0)
        at, reports = self._reports[0]
        for entry in self._entries:
            for report in reports:
                if loss and self._rng.random() < loss:
                    continue
                aged = msgspec.structs.replace(report, age_s=now - at)
                entry.router.record_load(aged, now)
            for model in alive:
                self._share_events(entry, model, now)
            slots = entry.router.slots(SERVICE, now)
            entry.admission.update_slots(SERVICE, slots)
            for name in entry.router.probe_targets(now):
                entry.router.record_probe(name, self._is_up(name), now)
        for entry in self._entries:
            for sample in entry.router.take_samples():
                if self._rng.random() >= SAMPLE_LOSS:
                    self._add_work(sample)

    def _share_events(self, entry: Entry, model: ModelEngine, now: float) -> None:
        after = entry.router.last_cache_event_seq(model.name)
        events = [e for e in model.events_after(after, now - 1.0) if e.seq % 10]
        if events:
            batch = CacheEvents(model.incarnation, events)
            entry.router.record_cache_events(model.name, batch, now)

    def _add_work(self, sample: EngineSample) -> None:
        sums = self._work[sample.engine]
        sums[0] += sample.prefill_tokens
        sums[1] += sample.decode_tokens
        sums[2] += sample.prefill_s
        sums[3] += sample.decode_s

    def _plan(self, now: float) -> None:
        demand = [DemandSample(SERVICE, p, *sums) for p, sums in self._demand.items()]
        work = [
            EngineSample(name, round(s[0]), round(s[1]), s[2], s[3])
            for name, s in self._work.items()
        ]
        self._demand.clear()
        self._work.clear()
        engines = list(self._engines.values())
        for name, role in self._planner.plan(engines, demand, work, now):
            self.result.role_changes += 1
            self._set(name, wanted_role=role, phase=EnginePhase.CLOSING)
            self._move_batch(name, now)
        roles = [e.role.value for e in self._engines.values() if self._is_up(e.name)]
        counts = tuple(roles.count(r) for r in ("prefill", "decode", "mixed"))
        useful = sum(self.result.on_time.values())
        self.result.timeline.append((now, useful, counts))

    def _move_batch(self, name: EngineId, now: float) -> None:
        """Publish that an engine closes, and resume its batch requests elsewhere."""
        self._publish(now)
        for run in self._models[name].runs:
            if not run.urgent:
                self._leave(run, AttemptResult.CANCELLED, now)

    def _advance_changes(self, now: float) -> None:
        """Take drained engines out and bring changed ones back."""
        for name, engine in list(self._engines.items()):
            if engine.phase is EnginePhase.CLOSING and not self._models[name].runs:
                self._back_at[name] = now + OUT_S
                self._set(name, phase=EnginePhase.ORDERED)
            elif engine.phase is EnginePhase.ORDERED and now >= self._back_at[name]:
                role = engine.wanted_role
                self._models[name].role = role
                self._set(name, phase=EnginePhase.SERVING, role=role)
                self._publish(now)

    def _lose_engines(self, now: float) -> None:
        count = max(1, len(self._engines) // 4)
        for name in list(self._engines)[:count]:
            runs = self._models[name].runs
            self._set(name, phase=EnginePhase.FAILED)
            for run in runs:
                self._leave(run, AttemptResult.FAILED, now)
            self._models[name].clear()
        self._publish(now)

    def _set(self, name: EngineId, **changes: object) -> None:
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
        count(self.result.arrived, arrival)
        sums = self._demand[kind.priority]
        sums[0] += 1
        sums[1] += arrival.prompt_tokens
        job = Job(arrival, entry, request)
        route = entry.router.choose(request, now)
        if route is None:
            self._refuse(job)
            return
        ticket = ticket_of(job, route)
        verdict = entry.admission.offer(ticket, now)
        if isinstance(verdict, Admitted):
            self._start(job, route, now)
        elif isinstance(verdict, Refused):
            self._refuse(job)
        else:
            entry.waiting[ticket.request] = job

    def _refuse(self, job: Job) -> None:
        kind = job.arrival.kind
        count(self.result.refused, job.arrival)
        self._demand[kind.priority][5] += 1

    def _start(self, job: Job, route: Route, now: float) -> None:
        source = route.prefill_engine
        job.decode_on = route.engine if source is not None else None
        self._attempt(job, source or route.engine, now, source is not None, False)

    def _attempt(
        self,
        job: Job,
        engine: EngineId,
        now: float,
        prefill_only: bool,
        prefilled: bool,
    ) -> None:
        job.attempts += 1
        job.attempt = AttemptId(f"{job.arrival.number}.{job.attempts}")
        job.engine = engine
        job.first_noted = False
        self._jobs[job.attempt] = job
        job.entry.router.record_start(
            job.attempt,
            engine,
            job.request,
            now,
            decode_engine=job.decode_on if prefill_only else None,
            prefilled=prefilled,
        )
        run = Run(
            attempt=job.attempt,
            priority=job.request.priority,
            prompt_tokens=job.arrival.prompt_tokens + job.produced,
            output_tokens=job.arrival.output_tokens - job.produced,
            prefixes=job.request.prefixes,
            prefill_only=prefill_only,
            prefilled=prefilled,
        )
        self._models[engine].add(run)

    def _leave(self, run: Run, result: AttemptResult, now: float) -> None:
        """End an attempt early and resume its request elsewhere."""
        job = self._jobs.pop(run.attempt)
        self._models[job.engine].remove(run.attempt)
        job.produced += int(run.produced)
        job.entry.router.record_end(run.attempt, AttemptEnd(result), now)
        excluded = job.request.excluded
        if result is AttemptResult.FAILED:
            excluded |= {job.engine}
        job.request = msgspec.structs.replace(
            job.request, resume_position=job.produced, excluded=excluded
        )
        self._orphans.append(job)

    def _work_engines(self, now: float) -> None:
        for name, model in self._models.items():
            if not self._is_up(name):
                continue
            done = model.step(now, STEP_S)
            self._note_first_tokens(model, now)
            for run in done:
                self._complete(run, now)

    def _note_first_tokens(self, model: ModelEngine, now: float) -> None:
        for run in model.runs:
            if run.first_token_at is not None:
                job = self._jobs[run.attempt]
                if not job.first_noted:
                    job.first_noted = True
                    job.entry.router.record_progress(run.attempt, 1, now)

    def _complete(self, run: Run, now: float) -> None:
        job = self._jobs.pop(run.attempt)
        router = job.entry.router
        if run.prefill_only:
            router.record_end(run.attempt, AttemptEnd(AttemptResult.OK), now)
            delay = job.arrival.prompt_tokens / KV_TOKENS_PER_S
            self._transfers.append((now + delay, job))
            return
        if not job.first_noted:
            router.record_progress(run.attempt, 1, now)
        router.record_progress(run.attempt, int(run.output_tokens), now + STEP_S)
        router.record_end(run.attempt, AttemptEnd(AttemptResult.OK), now + STEP_S)
        self._finish(job, now + STEP_S)

    def _finish(self, job: Job, now: float) -> None:
        arrival, kind = job.arrival, job.arrival.kind
        sums = self._demand[kind.priority]
        sums[2] += arrival.output_tokens
        if now <= job.request.deadline:
            count(self.result.on_time, arrival)
            sums[3] += 1
        else:
            count(self.result.late, arrival)
            sums[4] += 1
        job.entry.admission.record_end(RequestId(str(arrival.number)), now)

    def _move(self, now: float) -> None:
        """Start transfers, resumed requests and those that admission lets in."""
        arrived = [job for at, job in self._transfers if at <= now]
        self._transfers = [item for item in self._transfers if item[0] > now]
        for job in arrived:
            assert job.decode_on is not None
            if self._engines[job.decode_on].phase is EnginePhase.SERVING:
                self._attempt(job, job.decode_on, now, False, True)
            else:
                self._orphans.append(job)
        orphans, self._orphans = self._orphans, []
        for job in orphans:
            route = job.entry.router.choose(job.request, now)
            if route is None:
                self._orphans.append(job)
            else:
                self._start(job, route, now)
        for entry in self._entries:
            if entry.waiting:
                self._poll(entry, now)

    def _poll(self, entry: Entry, now: float) -> None:
        for verdict in entry.admission.poll(now):
            job = entry.waiting.pop(verdict.request)
            if isinstance(verdict, Refused):
                self._refuse(job)
                continue
            route = entry.router.choose(job.request, now)
            if route is None:
                self._orphans.append(job)
            else:
                self._start(job, route, now)
