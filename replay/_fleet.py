"""Simulation of entries, engines and callers on a manual clock.

The decisions are made by the code of the product: ``Placer`` and ``RetryBudget`` for
each request, ``DemandMeter`` and ``next_changes`` for the phases of the engines. The
rest of the processes is simulated: reports between entries with delay and loss,
periodic reports of demand, and changes of phase, which take an engine out of service.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Iterator
from itertools import count

from msgspec.structs import replace

from replay._engine import Engine
from replay._load import (
    SERVICE,
    Arrival,
    Culprit,
    Deployment,
    EngineFault,
    Pattern,
    draw_arrivals,
)
from replay._messages import CulpritRecord, Entry, Outcome
from replay._request import Request
from wigeonspan.common import Clock, DomainName, HostId, ManualClock, TenantName
from wigeonspan.placing import (
    Placer,
    RetryBudget,
    Work,
)
from wigeonspan.quarantine import PromptQuarantine, QuarantineMessage
from wigeonspan.staging import DemandMeter, allowed_changes, next_changes
from wigeonspan.staging._plan import initial_decode_engines
from wigeonspan.targets import Phase, Target, TargetId

START_S = 100.0
"""Initial clock reading; not zero, which some classes use for "never"."""

REPORT_INTERVAL_S = 0.5
"""Seconds between two reports of demand, as in the daemons."""

PHASE_CHECK_INTERVAL_S = 0.5
PHASE_CHANGE_NOTICE_S = 0.7
"""Interval at which phases are checked, and time from a decision until the engine
starts to change; both as in the daemons."""

DRAIN_S = 8.0
"""Seconds that are simulated after the last request."""

QUARANTINE_INTERVAL_S = 0.1
"""Interval at which the entries judge crashes."""

RETRY_BUDGET = (0.2, 56.0, 10.0)
"""Retry budget from the users' data sheets: ratio, minimum, and window in seconds."""


class FleetSimulation:
    """Simulation of one run of a load pattern.

    Parameters
    ----------
    seed : int
        Seed for the entries' placers and for the delay and loss of reports.
    change_placer : callable
        Called with each entry's placer before the run, to compare variants of it.
    limits_memory : bool
        Whether entries consider the memory of engines.
    """

    def __init__(
        self,
        deployment: Deployment,
        pattern: Pattern,
        seed: int,
        change_placer: Callable[[Placer], None] = lambda placer: None,
        *,
        limits_memory: bool = False,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._unscaled_deployment = deployment
        deployment = deployment.scaled(pattern)
        self._deployment = deployment
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._clock = ManualClock(START_S)
        # Heap of (time, sequence number, function).
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._work_numbers = count()
        self.engines = [self._make_engine(n) for n in range(deployment.engines)]
        self._engines_by_target = {e.target.target: e for e in self.engines}
        self._entries = []
        for number in range(deployment.entries):
            rng = random.Random(self._rng.random())
            placer = Placer(self._domain(number), rng, limits_memory=limits_memory)
            placer.set_engines(deployment.memory_tokens, 0.0)
            placer.health.set_entries(deployment.entries)
            change_placer(placer)
            quarantine = PromptQuarantine()
            quarantine.set_entries(number, deployment.entries, START_S)
            entry = Entry(
                HostId(f"e{number}"), placer, RetryBudget(*RETRY_BUDGET), quarantine
            )
            entry.budget.set_entries(deployment.entries)
            self._entries.append(entry)
        # Random numbers of their own keep those of other reports unchanged.
        self._quarantine_rng = random.Random(f"quarantine {seed}")
        self.culprits = {culprit.part: CulpritRecord() for culprit in pattern.culprits}
        # Time of the first verdict by part.
        self.verdicts: dict[str, float] = {}
        self._meter = DemandMeter()
        self._phase_changed_at = float("-inf")

    @property
    def clock(self) -> Clock:
        """Clock whose time is passed to the placers."""
        return self._clock

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock.now() - START_S

    def run(self, load: float, seconds: float, seed: int) -> list[Outcome]:
        """Simulate a number of seconds of load and return the outcomes.

        Parameters
        ----------
        load : float
            Factor on the request rates of the deployment.
        seconds : float
            Period in which requests arrive.
        seed : int
            Seed of the arrivals.
        """
        arrivals = draw_arrivals(
            self._unscaled_deployment, self._pattern, load, seconds, seed
        )
        self._schedule_next_arrival(arrivals)
        for fault in self._pattern.faults:
            self.schedule(
                fault.at,
                lambda fault=fault: self._apply_fault(
                    fault, self.engines[fault.engine]
                ),
            )
        self._repeat(REPORT_INTERVAL_S, seconds, self._report_demand)
        self._repeat(PHASE_CHECK_INTERVAL_S, seconds, self._check_phases)
        self._repeat(QUARANTINE_INTERVAL_S, seconds, self._tick_quarantines)
        while self._events and self._events[0][0] <= START_S + seconds + DRAIN_S:
            due, _, event = heapq.heappop(self._events)
            self._clock.advance(max(0.0, due - self._clock.now()))
            event()
        return self.outcomes

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run a function after a number of seconds."""
        due = self._clock.now() + delay_s
        heapq.heappush(self._events, (due, next(self._event_numbers), event))

    def usable_targets(self) -> list[Target]:
        """Return the engines that may get new work, as the target list shows them."""
        return [
            replace(engine.target, phase=engine.phase)
            for engine in self.engines
            if engine.is_up and not engine.is_switching
        ]

    def engine_of(self, target: TargetId) -> Engine:
        """Return the engine of a target."""
        return self._engines_by_target[target]

    def begin_work(
        self,
        entry: Entry,
        work: Work,
        parts=(),
        new_tokens: int = 0,
        tenant: TenantName | None = None,
        memory_tokens: int = 0,
        prompt_work: str = "",
    ) -> None:
        """Record the start of work at its entry and report it to the other entries."""

        def record(receiver: Entry) -> None:
            now = self._clock.now()
            receiver.placer.ledger.begin(work, now)
            receiver.placer.memory.begin(work, memory_tokens, now, prompt_work)
            if tenant is not None:
                receiver.placer.tenant_use.record(
                    tenant, work.urgency, work.work_ms, now
                )
            if parts:
                receiver.placer.prefixes.begin(
                    work.work, work.target, parts, new_tokens
                )

        entry.placer.health.record_sent(work.target, self._clock.now())
        self._publish(entry, record)

    def end_work(self, entry: Entry, work_id: str, *, completed: bool) -> None:
        """Record the end of work at its entry and report it to the other entries."""
        self._publish(
            entry,
            lambda receiver: receiver.placer.end_work(
                work_id, self._clock.now(), completed=completed
            ),
        )

    def record_unreachable(self, entry: Entry, target: TargetId) -> None:
        """Record that an entry could not reach an engine, and publish a suspension."""
        now = self._clock.now()
        if entry.placer.health.record_failure(target, now, unreachable=True):
            self._publish(
                entry, lambda receiver: receiver.placer.health.suspend(target, now)
            )

    def new_work_id(self) -> str:
        """Return a new unique identifier for work."""
        return f"w{next(self._work_numbers)}"

    def _publish(self, entry: Entry, record: Callable[[Entry], None]) -> None:
        """Apply a report at its entry now and, unless it is lost, at others later."""
        record(entry)
        if self._rng.random() < self._pattern.loss:
            return
        lag_s = self._pattern.report_lag_s * (0.1 + 0.9 * self._rng.random())

        def receive() -> None:
            for other in self._entries:
                if other is not entry:
                    record(other)

        self.schedule(lag_s, receive)

    def publish_quarantine(
        self, entry: Entry, messages: Iterable[QuarantineMessage]
    ) -> None:
        """Send messages about crashes to the other entries, late or not at all."""
        rng = self._quarantine_rng
        for message in messages:
            for other in self._entries:
                if other is entry or rng.random() < self._pattern.loss:
                    continue
                lag_s = self._pattern.report_lag_s * (0.1 + 0.9 * rng.random())
                self.schedule(
                    lag_s,
                    lambda o=other, m=message: o.quarantine.apply(m, self._clock.now()),
                )

    def _tick_quarantines(self) -> None:
        for entry in self._entries:
            messages = entry.quarantine.tick(self._clock.now())
            self.publish_quarantine(entry, messages)
            for part in entry.quarantine.quarantined:
                self.verdicts.setdefault(part, self.now)

    def crash_engine(self, engine: Engine, culprit: Culprit) -> None:
        """Crash an engine that has begun to write an answer on a culprit."""
        self.culprits[culprit.part].crashes.append(self.now)
        self._apply_fault(EngineFault(0.0, 0, "crash", culprit.down_s), engine)

    def _domain(self, number: int) -> DomainName:
        return DomainName(f"z{number % self._deployment.domains}")

    def _make_engine(self, number: int) -> Engine:
        deployment = self._deployment
        # Phases start as the control hosts set them before there is traffic.
        is_decode = number < initial_decode_engines(
            deployment.engines, deployment.slots
        )
        target = Target(
            TargetId(f"engine-{number}"),
            SERVICE,
            f"10.0.0.{number}:1",
            self._domain(number),
            deployment.slots,
            phase=Phase.DECODE if is_decode else Phase.PREFILL,
        )
        return Engine(
            target,
            deployment.memory_tokens,
            deployment.step_ms,
            deployment.read_tokens_per_ms,
            self.schedule,
            deployment.read_fixed_ms,
            deployment.read_latency_ms,
            deployment.full_batch_step_factor,
            shares_memory=deployment.shares_memory,
        )

    def _repeat(
        self, interval_s: float, until: float, step: Callable[[], None]
    ) -> None:
        def run_step() -> None:
            step()
            if self.now < until:
                self.schedule(interval_s, run_step)

        self.schedule(interval_s, run_step)

    def _schedule_next_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive() -> None:
            entry = self._entries[arrival.entry]
            Request(self, self._deployment, entry, arrival).start_attempt()
            self._schedule_next_arrival(arrivals)

        self.schedule(arrival.arrival_s - self.now, arrive)

    def _apply_fault(self, fault: EngineFault, engine: Engine) -> None:
        if fault.what == "silence":
            engine.fall_silent(fault.for_s)
            return
        if fault.what == "crash":
            engine.crash()
        else:
            engine.slowness = fault.times

        def recover() -> None:
            engine.is_up, engine.slowness = True, 1.0
            for entry in self._entries:
                entry.placer.forget(engine.target.target)

        self.schedule(fault.for_s, recover)

    def _report_demand(self) -> None:
        now = self._clock.now()
        for entry in self._entries:
            self._renew_work(entry, now)
            entry.placer.expire(now)
            self._meter.record(entry.host, SERVICE, entry.read_ms, entry.stream_s, now)

    def _renew_work(self, entry: Entry, now: float) -> None:
        """Report long streams of an entry again, as the daemons do.

        Each report is applied at once and never lost, so that it takes no random
        numbers and leaves the other reports of a run unchanged.
        """
        for work, tokens in entry.placer.memory.take_renewals(entry.host, now):
            for receiver in self._entries:
                receiver.placer.ledger.begin(work, now)
                receiver.placer.memory.begin(work, tokens, now)

    def _check_phases(self) -> None:
        """Start a change of phase if the demand calls for one."""
        now = self._clock.now()
        demand = self._meter.demand(SERVICE, now)
        if demand is None or any(engine.is_switching for engine in self.engines):
            return
        targets = self.usable_targets()
        max_changes = allowed_changes(targets, demand, now - self._phase_changed_at)
        for target, phase in next_changes(targets, demand, max_changes):
            self._phase_changed_at = now
            self._change_phase(self.engine_of(target.target), phase)

    def _change_phase(self, engine: Engine, phase: Phase) -> None:
        """Take an engine out of service and change its phase once its work is done."""
        engine.is_switching = True

        def return_to_service() -> None:
            engine.phase = phase
            engine.is_switching = False

        def wait_until_idle() -> None:
            if engine.is_idle:
                self.schedule(self._deployment.switch_s, return_to_service)
            else:
                self.schedule(0.1, wait_until_idle)

        self.schedule(PHASE_CHANGE_NOTICE_S, wait_until_idle)
