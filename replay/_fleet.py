"""Entries, engines and callers on a manual clock.

The decisions are those of the product: ``Placer`` for each request, ``RetryBudget``,
``DemandMeter`` and ``next_changes`` for phases. Around them stands what the processes
do: datagrams with a delay, heartbeats, a change of phase that takes an engine away.
"""

import heapq
import random
from collections.abc import Callable, Iterator
from enum import Enum
from itertools import count

from msgspec import Struct
from msgspec.structs import replace

from replay._engine import Engine, Reading, Stream
from replay._load import (
    SERVICE,
    Arrival,
    Deployment,
    EngineFault,
    Pattern,
    draw_arrivals,
)
from wigeonspan.common import DomainName, HostId, ManualClock
from wigeonspan.fleetconfig import Route
from wigeonspan.placing import (
    DIRECT_SLOWDOWN,
    Placer,
    Plan,
    Refusal,
    RetryBudget,
    Work,
    WorkKind,
    patience_s,
)
from wigeonspan.staging import DemandMeter, next_changes
from wigeonspan.targets import Phase, Target, TargetId

HOP_S = 0.0015
"""Time from an entry to an engine."""

TRANSFER_S = 0.012
"""Time until a decode engine has a prompt that another one has read."""

BEAT_S = 0.5
"""Seconds between two reports of demand, as in the daemons."""

STAGE_S = 0.5
CHANGE_PAUSE_S = 10.0
NOTICE_S = 0.7
"""Rounds, pause and notice of changes of phase, as in the daemons."""

SPARE_S = 8.0
"""Seconds that are played after the last request."""

MOST_ROUNDS = 3
"""Engines that one attempt may use."""

RETRIES = 1
IMPATIENT_RETRIES = 3
"""Times that a caller comes back after a refusal."""

BUDGET = (0.2, 56.0, 10.0)
"""Ratio, minimum and window in seconds of the retry budget on the sheets."""


class End(Enum):
    """How a request ended for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    LEFT = "left"
    BROKEN = "broken"


class Outcome(Struct, frozen=True):
    """One request at its end.

    Parameters
    ----------
    decided_s : float
        Seconds from its arrival to its first event or its refusal.
    """

    kind: str
    entry: int
    tokens: int
    end: End
    decided_s: float
    arrived: float


class _Entry(Struct):
    host: HostId
    placer: Placer
    budget: RetryBudget
    read_ms: float = 0.0
    stream_s: float = 0.0


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
        self._clock = ManualClock(100.0)
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
            entry = _Entry(HostId(f"e{number}"), placer, RetryBudget(*BUDGET))
            entry.budget.set_entries(pattern.entries or deployment.entries)
            self._entries.append(entry)
        self._meter = DemandMeter()
        self._changed_at = -CHANGE_PAUSE_S

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock.now() - 100.0

    def run(self, load: float, seconds: float, seed: int) -> list[Outcome]:
        """Play a number of seconds of load; return all requests."""
        arrivals = draw_arrivals(self._deployment, self._pattern, load, seconds, seed)
        self._begin_next(arrivals)
        for fault in self._pattern.faults:
            self._at(fault.at, lambda fault=fault: self._strike(fault))
        self._every(BEAT_S, seconds, self._report)
        self._every(STAGE_S, seconds, self._stage)
        while self._steps and self._steps[0][0] <= 100.0 + seconds + SPARE_S:
            at, _, step = heapq.heappop(self._steps)
            self._clock.advance(max(0.0, at - self._clock.now()))
            step()
        return self.outcomes

    def at(self, delay_s: float, step: Callable[[], None]) -> None:
        """Run a step after some seconds."""
        due = self._clock.now() + delay_s
        heapq.heappush(self._steps, (due, next(self._order), step))

    _at = at

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

    def begin(self, entry: _Entry, work: Work, parts=(), new_tokens: int = 0) -> None:
        """Note work at its entry, and at the others when they hear of it."""

        def note(each: _Entry) -> None:
            now = self._clock.now()
            each.placer.ledger.begin(work, now)
            if parts:
                each.placer.prefixes.note(work.target, parts, new_tokens)

        entry.placer.health.note_sent(work.target, self._clock.now())
        self._tell(entry, note)

    def end(self, entry: _Entry, work: str, *, completed: bool) -> None:
        """Note the end of work."""
        self._tell(
            entry,
            lambda each: each.placer.ledger.end(
                work, self._clock.now(), completed=completed
            ),
        )

    def suspend(self, entry: _Entry, target: TargetId) -> None:
        """Note a silent engine."""
        now = self._clock.now()
        if entry.placer.health.failed(target, now, silent=True):
            self._tell(entry, lambda each: each.placer.health.suspend(target, now))

    def work_name(self) -> str:
        """Return a new name of a piece of work."""
        return f"w{next(self._works)}"

    def _tell(self, entry: _Entry, note: Callable[[_Entry], None]) -> None:
        note(entry)
        if self._rng.random() < self._pattern.loss:
            return
        lag_s = self._pattern.report_lag_s * (0.1 + 0.9 * self._rng.random())

        def hear() -> None:
            for other in self._entries:
                if other is not entry:
                    note(other)

        self._at(lag_s, hear)

    def _domain(self, number: int) -> DomainName:
        return DomainName(f"z{number % self._deployment.domains}")

    def _make_engine(self, number: int) -> Engine:
        deployment = self._deployment
        # Phases start as the control hosts set them before there is traffic.
        decoding = number < round(deployment.engines * 0.4)
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
            self._at,
        )

    def _every(self, pause_s: float, until: float, step: Callable[[], None]) -> None:
        def again() -> None:
            step()
            if self.now < until:
                self._at(pause_s, again)

        self._at(pause_s, again)

    def _begin_next(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def begin() -> None:
            entry = self._entries[arrival.entry]
            _Request(self, self._deployment, entry, arrival).start()
            self._begin_next(arrivals)

        self._at(arrival.at - self.now, begin)

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

        self._at(fault.for_s, heal)

    def _report(self) -> None:
        now = self._clock.now()
        for entry in self._entries:
            entry.placer.ledger.expire(now)
            self._meter.note(entry.host, SERVICE, entry.read_ms, entry.stream_s, now)

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
                self._at(self._deployment.switch_s, back)
            else:
                self._at(0.1, wait_idle)

        self._at(NOTICE_S, wait_idle)


class _Request:
    """One request of a caller, with the times that it comes back."""

    def __init__(
        self, fleet: Fleet, deployment: Deployment, entry: _Entry, arrival: Arrival
    ) -> None:
        self._fleet = fleet
        self._kind = deployment.kinds[arrival.kind]
        self._route: Route = deployment.route(arrival.kind)
        self._entry = entry
        self._arrival = arrival
        self._arrived = fleet.now
        self._attempt_at = fleet.now
        self._excluded: set[TargetId] = set()
        self._open: list[tuple[Engine, Reading | Stream, str]] = []
        self._returns = IMPATIENT_RETRIES if arrival.impatient else RETRIES
        self._rounds = 0
        self._first_s: float | None = None
        self._ended = False

    def start(self) -> None:
        """Come to the entry, for the first time or again."""
        fleet = self._fleet
        self._attempt_at = fleet.now
        self._excluded.clear()
        self._rounds = 0
        self._entry.budget.note_request(SERVICE, fleet.now)
        attempt = self._returns
        left_s = min(patience_s(self._route), self._left_s)

        def leave() -> None:
            if self._first_s is None and self._returns == attempt:
                self._finish(End.LEFT)

        fleet.at(left_s, leave)
        self._place()

    @property
    def _left_s(self) -> float:
        return self._arrived + self._kind.deadline_s - self._fleet.now

    def _place(self) -> None:
        fleet, placer = self._fleet, self._entry.placer
        now = fleet.now + 100.0
        self._rounds += 1
        plan = placer.plan(
            self._route,
            self._arrival.prompt,
            fleet.usable(),
            self._left_s,
            now,
            self._excluded,
            fleet.now - self._attempt_at,
        )
        if isinstance(plan, Refusal):
            self._refuse(plan)
            return
        self._entry.read_ms += plan.work_ms * placer.ledger.usual_slowness(now)
        if plan.prefill is None:
            self._send(plan, plan.decode, WorkKind.DIRECT, self._read_direct)
        else:
            self._send(plan, plan.prefill, WorkKind.PREFILL, self._read_split)

    def _refuse(self, refusal: Refusal) -> None:
        wait_s = 0.0 if self._arrival.impatient else refusal.retry_after_s
        wait_s = min(wait_s, self._left_s / 3)
        if not self._returns or self._left_s - wait_s < 0.1:
            self._finish(End.REFUSED)
            return
        self._returns -= 1
        self._fleet.at(wait_s, self.start)

    def _send(
        self, plan: Plan, target: Target, kind: WorkKind, finish: Callable[..., None]
    ) -> None:
        """Have a prompt read."""
        fleet, prompt = self._fleet, self._arrival.prompt
        work_ms = plan.work_ms * (DIRECT_SLOWDOWN if kind is WorkKind.DIRECT else 1.0)
        work = Work(
            fleet.work_name(),
            self._entry.host,
            target.target,
            kind,
            work_ms,
            plan.urgency,
        )
        new_tokens = self._entry.placer.new_tokens(target, prompt)
        fleet.begin(self._entry, work, prompt.parts, new_tokens)
        engine = fleet.engine(target.target)

        def done(completed: bool) -> None:
            self._drop(work.work)
            fleet.at(HOP_S, lambda: finish(plan, engine, work.work, completed))

        self._give(engine, Reading(prompt, plan.urgency, done), work.work)

    def _give(self, engine: Engine, work: Reading | Stream, name: str) -> None:
        """Hand work to an engine; a dead one refuses it at once."""
        fleet = self._fleet
        self._open.append((engine, work, name))

        def arrive() -> None:
            if not any(each[1] is work for each in self._open):
                return
            if not engine.up:
                fleet.suspend(self._entry, engine.target.target)
                work.done(False)
            elif isinstance(work, Reading):
                engine.read(work)
            else:
                engine.stream(work)

        fleet.at(HOP_S if isinstance(work, Reading) else TRANSFER_S, arrive)

    def _drop(self, name: str) -> None:
        self._open = [each for each in self._open if each[2] != name]

    def _read_split(
        self, plan: Plan, engine: Engine, work: str, completed: bool
    ) -> None:
        fleet = self._fleet
        fleet.end(self._entry, work, completed=completed)
        if self._ended:
            return
        if not completed:
            self._try_again(engine)
            return
        decode = self._entry.placer.choose_decode(
            fleet.usable(), fleet.now + 100.0, self._excluded, engine.target.domain
        )
        if decode is None:
            self._try_again(engine)
            return
        name = fleet.work_name()
        writing = Work(
            name, self._entry.host, decode.target, WorkKind.DECODE, 0.0, plan.urgency
        )
        fleet.begin(self._entry, writing)
        self._write(plan, fleet.engine(decode.target), name)

    def _read_direct(
        self, plan: Plan, engine: Engine, work: str, completed: bool
    ) -> None:
        if completed and not self._ended:
            self._write(plan, engine, work)
            return
        self._fleet.end(self._entry, work, completed=completed)
        if not self._ended:
            self._try_again(engine)

    def _write(self, plan: Plan, engine: Engine, work: str) -> None:
        fleet, began = self._fleet, self._fleet.now

        def first() -> None:
            if self._first_s is None:
                self._first_s = fleet.now - self._arrived

        def done(completed: bool) -> None:
            self._drop(work)
            self._entry.stream_s += fleet.now - began
            fleet.end(self._entry, work, completed=completed)
            if self._ended:
                return
            if completed:
                on_time = (self._first_s or 0.0) <= self._kind.objective_s
                self._finish(End.ON_TIME if on_time else End.LATE)
            else:
                self._try_again(engine)

        tokens = self._arrival.prompt.output_tokens
        self._give(engine, Stream(tokens, plan.urgency, first, done), work)

    def _try_again(self, engine: Engine) -> None:
        """Go on at another engine while rounds and the budget allow it."""
        self._excluded.add(engine.target.target)
        allowed = self._entry.budget.take(SERVICE, self._fleet.now)
        if self._rounds >= MOST_ROUNDS or not allowed:
            self._finish(End.BROKEN)
        else:
            self._place()

    def _finish(self, end: End) -> None:
        if self._ended:
            return
        self._ended = True
        for engine, work, name in self._open:
            engine.cancel(work)
            self._fleet.end(self._entry, name, completed=False)
        self._open = []
        arrival = self._arrival
        decided_s = self._first_s
        if decided_s is None:
            decided_s = self._fleet.now - self._arrived
        outcome = Outcome(
            arrival.kind,
            arrival.entry,
            arrival.prompt.input_tokens,
            end,
            decided_s,
            arrival.at,
        )
        self._fleet.outcomes.append(outcome)
