"""One simulated request of a caller, including its retries."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from replay._engine import Engine, PrefillJob, StreamJob
from replay._load import SERVICE, Arrival, Deployment
from replay._messages import Ending, Entry, Outcome
from wigeonspan.fleetconfig import Route
from wigeonspan.placing import (
    DIRECT_SLOWDOWN,
    Plan,
    Refusal,
    Work,
    WorkKind,
    abandon_after_s,
    priority_band,
)
from wigeonspan.targets import Target, TargetId

if TYPE_CHECKING:
    from replay._fleet import FleetSimulation

NETWORK_HOP_S = 0.0015
"""Time from an entry to an engine or back."""

PREFILL_TRANSFER_S = 0.012
"""Time to transfer the result of a prefill to a decode engine."""

MAX_PLACEMENTS = 3
"""Maximum number of placements in one attempt."""

CALLER_RETRIES = 1
IMPATIENT_CALLER_RETRIES = 3
"""Number of times that a caller repeats a refused request."""


class Request:
    """One request of a caller.

    The caller may repeat a refused request, which starts a new attempt. Within an
    attempt, the entry may place the request again when an engine fails.
    """

    def __init__(
        self,
        simulation: "FleetSimulation",
        deployment: Deployment,
        entry: Entry,
        arrival: Arrival,
    ) -> None:
        self._simulation = simulation
        self._kind = deployment.kinds[arrival.kind]
        self._route: Route = deployment.route(arrival.kind)
        priorities = {kind.priority for kind in deployment.kinds.values()}
        self._band = priority_band(priorities, self._kind.priority)
        self._entry = entry
        self._arrival = arrival
        self._arrived = simulation.now
        self._attempt_started = simulation.now
        self._excluded: set[TargetId] = set()
        self._shared_parts = [part.part for part in arrival.prompt.shared_parts]
        self._breaks = 0
        # Submitted jobs with their engine and the identifier of their work.
        self._jobs: list[tuple[Engine, PrefillJob | StreamJob, str]] = []
        self._remaining_retries = (
            IMPATIENT_CALLER_RETRIES if arrival.impatient else CALLER_RETRIES
        )
        self._placements = 0
        # Tokens that the request holds at its decode engine, as the entry expects.
        self._memory_need = 0
        self._first_event_s: float | None = None
        self._longest_pause_s = 0.0
        self._retry_after_s: float | None = None
        self._has_ended = False

    def start_attempt(self) -> None:
        """Send the request to the entry, for the first time or as a retry."""
        simulation = self._simulation
        self._attempt_started = simulation.now
        self._excluded.clear()
        self._placements = 0
        self._entry.budget.record_request(SERVICE, simulation.now)
        # Identifies the attempt, because each retry decreases the number.
        remaining_retries = self._remaining_retries
        patience_s = min(abandon_after_s(self._route), self._remaining_s)

        def abandon() -> None:
            if (
                self._first_event_s is None
                and self._remaining_retries == remaining_retries
            ):
                self._finish(Ending.ABANDONED)

        simulation.schedule(patience_s, abandon)
        self._place()

    @property
    def _remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self._arrived + self._kind.deadline_s - self._simulation.now

    def _is_refused(self) -> bool:
        """End a request with a quarantined part; return whether it has one."""
        simulation, quarantine = self._simulation, self._entry.quarantine
        verdict = quarantine.check(self._shared_parts, simulation.clock.now())
        if verdict is None:
            return False
        # The runs are shorter than the time until the first trial.
        self._finish(Ending.REFUSED)
        return True

    def _place(self) -> None:
        simulation, placer = self._simulation, self._entry.placer
        now = simulation.clock.now()
        if self._is_refused():
            return
        self._placements += 1
        self._memory_need = placer.memory.need(self._route.name, self._arrival.prompt)
        plan = placer.plan(
            self._route,
            self._arrival.prompt,
            simulation.usable_targets(),
            self._remaining_s,
            now,
            self._excluded,
            simulation.now - self._attempt_started,
            band=self._band,
            tenant=self._arrival.tenant,
        )
        if isinstance(plan, Refusal):
            self._handle_refusal(plan)
            return
        self._add_prefill_demand(plan.work_ms)
        if plan.prefill is None:
            self._submit_prefill(
                plan, plan.decode, WorkKind.DIRECT, self._end_direct_prefill
            )
        else:
            self._submit_prefill(
                plan, plan.prefill, WorkKind.PREFILL, self._end_split_prefill
            )

    def _handle_refusal(self, refusal: Refusal) -> None:
        """Schedule a retry, or end the request if there are no retries or time left."""
        if refusal.lacks_decode:
            # As in the daemons, requests refused for lack of slots count as demand.
            self._add_prefill_demand(refusal.work_ms)
            self._entry.stream_s += self._entry.placer.slots.stream_s
        self._retry_after_s = refusal.retry_after_s
        wait_s = 0.0 if self._arrival.impatient else refusal.retry_after_s
        wait_s = min(wait_s, self._remaining_s / 3)
        if not self._remaining_retries or self._remaining_s - wait_s < 0.1:
            self._finish(Ending.REFUSED)
            return
        self._remaining_retries -= 1
        self._simulation.schedule(wait_s, self.start_attempt)

    def _add_prefill_demand(self, work_ms: float) -> None:
        now, ledger = self._simulation.clock.now(), self._entry.placer.ledger
        self._entry.read_ms += work_ms * ledger.median_slowness(now)

    def _submit_prefill(
        self, plan: Plan, target: Target, kind: WorkKind, on_end: Callable[..., None]
    ) -> None:
        simulation, prompt = self._simulation, self._arrival.prompt
        work_ms = plan.work_ms * (DIRECT_SLOWDOWN if kind is WorkKind.DIRECT else 1.0)
        work = Work(
            simulation.new_work_id(),
            self._entry.host,
            target.target,
            kind,
            work_ms,
            plan.urgency,
        )
        simulation.begin_work(
            self._entry,
            work,
            prompt.parts,
            plan.prefill_steps.new_tokens,
            self._arrival.tenant,
            self._memory_need,
        )
        engine, started = simulation.engine_of(target.target), simulation.now

        def end(completed: bool) -> None:
            self._remove_job(work.work)
            if completed and kind is WorkKind.PREFILL:
                took_ms = (simulation.now + NETWORK_HOP_S - started) * 1000.0
                self._entry.placer.record_prefill(plan, took_ms)
            simulation.schedule(
                NETWORK_HOP_S, lambda: on_end(plan, engine, work.work, completed)
            )

        self._submit(engine, PrefillJob(prompt, plan.urgency, end), work.work)

    def _submit(
        self, engine: Engine, job: PrefillJob | StreamJob, work_id: str
    ) -> None:
        """Send a job to an engine; it fails on arrival if the engine is down."""
        simulation = self._simulation
        self._jobs.append((engine, job, work_id))

        def arrive() -> None:
            if not any(submitted[1] is job for submitted in self._jobs):
                return
            if not engine.is_up:
                if isinstance(job, StreamJob):
                    job.was_reached = False
                simulation.record_unreachable(self._entry, engine.target.target)
                job.on_end(False)
                return
            if self._arrival.culprit is not None:
                record = simulation.culprits[self._arrival.culprit.part]
                record.sends.append(simulation.now)
            if isinstance(job, PrefillJob):
                engine.submit_prefill(job)
            else:
                engine.submit_stream(job)

        simulation.schedule(
            NETWORK_HOP_S if isinstance(job, PrefillJob) else PREFILL_TRANSFER_S, arrive
        )

    def _remove_job(self, work_id: str) -> None:
        self._jobs = [job for job in self._jobs if job[2] != work_id]

    def _end_split_prefill(
        self, plan: Plan, engine: Engine, work_id: str, completed: bool
    ) -> None:
        """Start the stream on a decode engine after another engine ran the prefill."""
        simulation = self._simulation
        simulation.end_work(self._entry, work_id, completed=completed)
        if self._has_ended:
            return
        if not completed:
            self._place_again(engine)
            return
        decode = self._entry.placer.choose_decode(
            simulation.usable_targets(),
            self._arrival.prompt,
            simulation.clock.now(),
            self._excluded,
            engine.target.domain,
            need=self._memory_need,
            band=plan.band,
        )
        if decode is None:
            self._place_again(engine)
            return
        decode_id = simulation.new_work_id()
        urgency = self._entry.placer.memory.rank(
            decode.target, self._memory_need, plan.urgency, plan.band
        )
        decode_work = Work(
            decode_id,
            self._entry.host,
            decode.target,
            WorkKind.DECODE,
            0.0,
            urgency,
        )
        simulation.begin_work(
            self._entry,
            decode_work,
            memory_tokens=self._memory_need,
            prompt_work=work_id,
        )
        self._start_stream(
            plan, simulation.engine_of(decode.target), decode_id, urgency
        )

    def _end_direct_prefill(
        self, plan: Plan, engine: Engine, work_id: str, completed: bool
    ) -> None:
        """Start the stream on the engine that ran the prefill."""
        if completed and not self._has_ended:
            self._start_stream(plan, engine, work_id, plan.urgency)
            return
        self._simulation.end_work(self._entry, work_id, completed=completed)
        if not self._has_ended:
            self._place_again(engine)

    def _start_stream(
        self, plan: Plan, engine: Engine, work_id: str, urgency: int
    ) -> None:
        simulation, started = self._simulation, self._simulation.now
        if self._is_refused():
            simulation.end_work(self._entry, work_id, completed=False)
            return
        stream_began_s: float | None = None

        def record_first_event() -> None:
            nonlocal stream_began_s
            stream_began_s = simulation.now
            simulation.publish_quarantine(
                self._entry,
                self._entry.quarantine.record_written(
                    self._shared_parts, simulation.clock.now()
                ),
            )
            if self._first_event_s is None:
                self._first_event_s = simulation.now - self._arrived

        def record_pause(pause_s: float) -> None:
            if self._first_event_s is not None:
                self._longest_pause_s = max(self._longest_pause_s, pause_s)

        def end(completed: bool) -> None:
            self._remove_job(work_id)
            self._entry.stream_s += simulation.now - started
            if completed and stream_began_s is not None:
                duration_s = simulation.now - stream_began_s
                self._entry.placer.slots.record_stream(plan.urgency, duration_s)
            simulation.end_work(self._entry, work_id, completed=completed)
            may_repeat = True
            if not completed and job.was_reached:
                may_repeat = self._record_break(engine, stream_began_s is not None)
            if self._has_ended:
                return
            if completed:
                on_time = (
                    (self._first_event_s or 0.0) <= self._kind.objective_s
                    and self._longest_pause_s <= self._kind.pause_s
                )
                self._finish(Ending.ON_TIME if on_time else Ending.LATE)
            elif may_repeat:
                self._place_again(engine)
            else:
                self._finish(Ending.FAILED)

        tokens = self._arrival.prompt.output_tokens
        job = StreamJob(tokens, urgency, record_first_event, end, record_pause)
        job.memory_tokens = self._arrival.prompt.input_tokens + tokens
        culprit = self._arrival.culprit
        if culprit is not None:
            job.crash_after_s = culprit.crash_after_s
            job.on_crash = lambda: simulation.crash_engine(engine, culprit)
        self._submit(engine, job, work_id)

    def _record_break(self, engine: Engine, had_event: bool) -> bool:
        """Record that an engine broke off a stream; return whether to repeat it."""
        simulation, quarantine = self._simulation, self._entry.quarantine
        now, target = simulation.clock.now(), engine.target.target
        parts = [] if had_event else self._shared_parts
        simulation.publish_quarantine(
            self._entry, quarantine.record_break(target, parts, now)
        )
        self._breaks += not had_event
        return had_event or quarantine.may_repeat(self._shared_parts, now, self._breaks)

    def _place_again(self, failed_engine: Engine) -> None:
        """Place the request on another engine, or end it as failed.

        It fails when the attempt has used all of its placements or the entry's retry
        budget is exhausted.
        """
        self._excluded.add(failed_engine.target.target)
        allowed = self._entry.budget.try_spend(SERVICE, self._simulation.now)
        if self._placements >= MAX_PLACEMENTS or not allowed:
            self._finish(Ending.FAILED)
        else:
            self._place()

    def _finish(self, ending: Ending) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        for engine, job, work_id in self._jobs:
            engine.cancel(job)
            self._simulation.end_work(self._entry, work_id, completed=False)
        self._jobs = []
        arrival = self._arrival
        response_s = self._first_event_s
        if response_s is None:
            response_s = self._simulation.now - self._arrived
        outcome = Outcome(
            arrival.kind,
            arrival.entry,
            arrival.prompt.input_tokens,
            ending,
            response_s,
            arrival.arrival_s,
            arrival.tenant,
            self._retry_after_s,
        )
        self._simulation.outcomes.append(outcome)
