"""Entries, engines and callers on a manual clock.

The decisions are those of the product: ``Placer`` for each request, ``RetryBudget``,
``DemandMeter`` and ``next_changes`` for phases. Around them stands what the processes
do: datagrams with a delay, heartbeats, a change of phase that takes an engine away.
"""

import heapq
import random
from collections.abc import Callable, Iterator
from itertools import count

from msgspec.structs import replace

from replay._engine import Engine
from replay._load import (
    SERVICE,
    Arrival,
    Deployment,
    EngineFault,
    Pattern,
    draw_arrivals,
)
from replay._messages import Entry, Outcome
from replay._request import Request
from wigeonspan.common import Clock, DomainName, HostId, ManualClock
from wigeonspan.placing import (
    Placer,
    RetryBudget,
    Work,
)
from wigeonspan.staging import DemandMeter, next_changes
from wigeonspan.staging._plan import initial_decode_engines
from wigeonspan.targets import Phase, Target, TargetId

START_S = 100.0
"""Reading of the clock at the start; zero stands for never in some books."""

BEAT_S = 0.5
"""Seconds between two reports of demand, as in the daemons."""

STAGE_S = 0.5
CHANGE_PAUSE_S = 10.0
NOTICE_S = 0.7
"""Rounds, pause and notice of changes of phase, as in the daemons."""

SPARE_S = 8.0
"""Seconds that are played after the last request."""

BUDGET = (0.2, 56.0, 10.0)
"""Ratio, minimum and window in seconds of the retry budget on the sheets."""


class Fleet:
    """One run of a pattern.

    Parameters
    ----------
    change_placer : callable
        Changes each entry's placer before the run, for comparisons.
    """

    def __init__(
        self,
        deployment: Deployment,
        pattern: Pattern,
        seed: int,
        change_placer: Callable[[Placer], None] = lambda placer: None,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._deployment = deployment
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._clock = ManualClock(START_S)
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._works = count()
        self.engines = [self._make_engine(n) for n in range(deployment.engines)]
        self._by_name = {e.target.target: e for e in self.engines}
        self._entries = []
        for number in range(pattern.entries or deployment.entries):
            rng = random.Random(self._rng.random())
            placer = Placer(self._domain(number), rng)
            placer.prefixes.set_memory(deployment.memory_tokens)
            change_placer(placer)
            entry = Entry(HostId(f"e{number}"), placer, RetryBudget(*BUDGET))
            entry.budget.set_entries(pattern.entries or deployment.entries)
            self._entries.append(entry)
        self._meter = DemandMeter()
        self._changed_at = -CHANGE_PAUSE_S

    @property
    def clock(self) -> Clock:
        """Clock that the placers are told."""
        return self._clock

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock.now() - START_S

    def run(self, load: float, seconds: float, seed: int) -> list[Outcome]:
        """Play a number of seconds of load; return all requests."""
        arrivals = draw_arrivals(self._deployment, self._pattern, load, seconds, seed)
        self._begin_next(arrivals)
        for fault in self._pattern.faults:
            self.at(fault.at, lambda fault=fault: self._strike(fault))
        self._every(BEAT_S, seconds, self._report)
        self._every(STAGE_S, seconds, self._stage)
        while self._steps and self._steps[0][0] <= START_S + seconds + SPARE_S:
            at, _, step = heapq.heappop(self._steps)
            self._clock.advance(max(0.0, at - self._clock.now()))
            step()
        return self.outcomes

    def at(self, delay_s: float, step: Callable[[], None]) -> None:
        """Run a step after some seconds."""
        due = self._clock.now() + delay_s
        heapq.heappush(self._steps, (due, next(self._order), step))

    def usable(self) -> list[Target]:
        """Return the engines that may get new work, as the list shows them."""
        return [
            replace(engine.target, phase=engine.phase)
            for engine in self.engines
            if engine.up and not engine.switching
        ]

    def engine(self, target: TargetId) -> Engine:
        """Return an engine by name."""
        return self._by_name[target]

    def begin(self, entry: Entry, work: Work, parts=(), new_tokens: int = 0) -> None:
        """Note work at its entry, and at the others when they hear of it."""

        def note(each: Entry) -> None:
            now = self._clock.now()
            each.placer.ledger.begin(work, now)
            if parts:
                each.placer.prefixes.begin(work.work, work.target, parts, new_tokens)

        entry.placer.health.record_sent(work.target, self._clock.now())
        self._tell(entry, note)

    def end(self, entry: Entry, work: str, *, completed: bool) -> None:
        """Note the end of work."""
        self._tell(
            entry,
            lambda each: each.placer.end_work(
                work, self._clock.now(), completed=completed
            ),
        )

    def suspend(self, entry: Entry, target: TargetId) -> None:
        """Note a silent engine."""
        now = self._clock.now()
        if entry.placer.health.record_failure(target, now, unreachable=True):
            self._tell(entry, lambda each: each.placer.health.suspend(target, now))

    def work_name(self) -> str:
        """Return a new name of a piece of work."""
        return f"w{next(self._works)}"

    def _tell(self, entry: Entry, note: Callable[[Entry], None]) -> None:
        note(entry)
        if self._rng.random() < self._pattern.loss:
            return
        lag_s = self._pattern.report_lag_s * (0.1 + 0.9 * self._rng.random())

        def hear() -> None:
            for other in self._entries:
                if other is not entry:
                    note(other)

        self.at(lag_s, hear)

    def _domain(self, number: int) -> DomainName:
        return DomainName(f"z{number % self._deployment.domains}")

    def _make_engine(self, number: int) -> Engine:
        deployment = self._deployment
        # Phases start as the control hosts set them before there is traffic.
        decoding = number < initial_decode_engines(deployment.engines)
        target = Target(
            TargetId(f"engine-{number}"),
            SERVICE,
            f"10.0.0.{number}:1",
            self._domain(number),
            deployment.slots,
            phase=Phase.DECODE if decoding else Phase.PREFILL,
        )
        return Engine(
            target,
            deployment.memory_tokens,
            deployment.step_ms,
            deployment.read_tokens_per_ms,
            self.at,
            deployment.read_fixed_ms,
            deployment.read_latency_ms,
        )

    def _every(self, pause_s: float, until: float, step: Callable[[], None]) -> None:
        def again() -> None:
            step()
            if self.now < until:
                self.at(pause_s, again)

        self.at(pause_s, again)

    def _begin_next(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def begin() -> None:
            entry = self._entries[arrival.entry]
            Request(self, self._deployment, entry, arrival).start()
            self._begin_next(arrivals)

        self.at(arrival.at - self.now, begin)

    def _strike(self, fault: EngineFault) -> None:
        engine = self.engines[fault.engine]
        if fault.what == "crash":
            engine.crash()
        else:
            engine.slowness = fault.times

        def heal() -> None:
            engine.up, engine.slowness = True, 1.0
            for entry in self._entries:
                entry.placer.forget(engine.target.target)

        self.at(fault.for_s, heal)

    def _report(self) -> None:
        now = self._clock.now()
        for entry in self._entries:
            entry.placer.ledger.expire(now)
            self._meter.record(entry.host, SERVICE, entry.read_ms, entry.stream_s, now)

    def _stage(self) -> None:
        now = self._clock.now()
        demand = self._meter.demand(SERVICE, now)
        if demand is None or now - self._changed_at < CHANGE_PAUSE_S:
            return
        if any(engine.switching for engine in self.engines):
            return
        for target, phase in next_changes(self.usable(), demand, 1):
            self._changed_at = now
            self._change(self.engine(target.target), phase)

    def _change(self, engine: Engine, phase: Phase) -> None:
        """Change an engine's phase once its work is done."""
        engine.switching = True

        def back() -> None:
            engine.phase = phase
            engine.switching = False

        def wait_idle() -> None:
            if engine.idle:
                self.at(self._deployment.switch_s, back)
            else:
                self.at(0.1, wait_idle)

        self.at(NOTICE_S, wait_idle)
