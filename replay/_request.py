"""One request of a caller in a replay, with the times that it comes back."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from replay._engine import Engine, Reading, Stream
from replay._load import SERVICE, Arrival, Deployment
from replay._messages import End, Entry, Outcome
from wigeonspan.fleetconfig import Route
from wigeonspan.placing import (
    DIRECT_SLOWDOWN,
    Plan,
    Refusal,
    Work,
    WorkKind,
    abandon_after_s,
)
from wigeonspan.targets import Target, TargetId

if TYPE_CHECKING:
    from replay._fleet import Fleet

HOP_S = 0.0015
"""Time from an entry to an engine."""

TRANSFER_S = 0.012
"""Time until a decode engine has a prompt that another one has read."""

MOST_ROUNDS = 3
"""Engines that one attempt may use."""

RETRIES = 1
IMPATIENT_RETRIES = 3
"""Times that a caller comes back after a refusal."""


class Request:
    """One request of a caller."""

    def __init__(
        self, fleet: "Fleet", deployment: Deployment, entry: Entry, arrival: Arrival
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
        self._longest_pause_s = 0.0
        self._ended = False

    def start(self) -> None:
        """Come to the entry, for the first time or again."""
        fleet = self._fleet
        self._attempt_at = fleet.now
        self._excluded.clear()
        self._rounds = 0
        self._entry.budget.record_request(SERVICE, fleet.now)
        attempt = self._returns
        remaining_s = min(abandon_after_s(self._route), self._remaining_s)

        def leave() -> None:
            if self._first_s is None and self._returns == attempt:
                self._finish(End.LEFT)

        fleet.at(remaining_s, leave)
        self._place()

    @property
    def _remaining_s(self) -> float:
        return self._arrived + self._kind.deadline_s - self._fleet.now

    def _place(self) -> None:
        fleet, placer = self._fleet, self._entry.placer
        now = fleet.clock.now()
        self._rounds += 1
        plan = placer.plan(
            self._route,
            self._arrival.prompt,
            fleet.usable(),
            self._remaining_s,
            now,
            self._excluded,
            fleet.now - self._attempt_at,
        )
        if isinstance(plan, Refusal):
            self._refuse(plan)
            return
        self._entry.read_ms += plan.work_ms * placer.ledger.median_slowness(now)
        if plan.prefill is None:
            self._send(plan, plan.decode, WorkKind.DIRECT, self._read_direct)
        else:
            self._send(plan, plan.prefill, WorkKind.PREFILL, self._read_split)

    def _refuse(self, refusal: Refusal) -> None:
        wait_s = 0.0 if self._arrival.impatient else refusal.retry_after_s
        wait_s = min(wait_s, self._remaining_s / 3)
        if not self._returns or self._remaining_s - wait_s < 0.1:
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
        fleet.begin(self._entry, work, prompt.parts, plan.prefill_steps.new_tokens)
        engine, began = fleet.engine(target.target), fleet.now

        def done(completed: bool) -> None:
            self._drop(work.work)
            if completed and kind is WorkKind.PREFILL:
                took_ms = (fleet.now + HOP_S - began) * 1000.0
                self._entry.placer.record_prefill(plan, took_ms)
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
            fleet.usable(),
            self._arrival.prompt,
            fleet.clock.now(),
            self._excluded,
            engine.target.domain,
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

        def paused(pause_s: float) -> None:
            if self._first_s is not None:
                self._longest_pause_s = max(self._longest_pause_s, pause_s)

        def done(completed: bool) -> None:
            self._drop(work)
            self._entry.stream_s += fleet.now - began
            fleet.end(self._entry, work, completed=completed)
            if self._ended:
                return
            if completed:
                on_time = (
                    (self._first_s or 0.0) <= self._kind.objective_s
                    and self._longest_pause_s <= self._kind.pause_s
                )
                self._finish(End.ON_TIME if on_time else End.LATE)
            else:
                self._try_again(engine)

        tokens = self._arrival.prompt.output_tokens
        stream = Stream(tokens, plan.urgency, first, done, paused)
        self._give(engine, stream, work)

    def _try_again(self, engine: Engine) -> None:
        """Go on at another engine while rounds and the budget allow it."""
        self._excluded.add(engine.target.target)
        allowed = self._entry.budget.try_spend(SERVICE, self._fleet.now)
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
