"""Model of a fleet whose engines crash under some parts of prompts, or by themselves.

Each entry has its own quarantine. A request is prefilled at one engine, then written at
another one. A culprit crashes the engine soon after it begins to write. Messages
between entries are late or lost.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count

from msgspec import Struct, field

from wigeonspan.quarantine import PartQuarantined, PromptQuarantine

TICK_S = 0.1
FLAP_S = 0.7
PLACEMENTS = 4
WAIT_S = 0.1
HOLD_S = 3.0
"""Seconds after the fifth crash until all entries must hold back."""


class Scenario(Struct, frozen=True):
    """Fleet, load and faults; times in seconds.

    Parameters
    ----------
    draw : callable
        Returns the shared parts of a request, with the random numbers and the time.
    crash_after, first_event : tuple of float
        Range of the time from the send to the crash, and to the first event.
    patience : float
        Time for which a request waits for an engine.
    flapping : tuple of int
        Engines that drop all streams every ``flap_s`` and go on.
    outages : tuple of (float, int, float)
        Time, engine and duration of plain crashes.
    restarts : tuple of (float, int)
        Times at which an entry starts again.
    correlated_loss : float
        Share of the messages that no other entry gets.
    """

    draw: Callable[[random.Random, float], tuple[str, ...]]
    entries: int = 8
    engines: int = 6
    rate: float = 16.0
    seconds: float = 20.0
    culprits: frozenset[str] = frozenset()
    crash_after: tuple[float, float] = (0.02, 0.15)
    first_event: tuple[float, float] = (0.03, 0.12)
    prefill: tuple[float, float] = (0.03, 0.2)
    stream: tuple[float, float] = (0.3, 3.0)
    down: tuple[float, float] = (1.0, 5.0)
    patience: float = 3.0
    flapping: tuple[int, ...] = ()
    flap_s: float = FLAP_S
    flap_from: float = 0.0
    outages: tuple[tuple[float, int, float], ...] = ()
    restarts: tuple[tuple[float, int], ...] = ()
    lag: tuple[float, float] = (0.01, 0.1)
    loss: float = 0.03
    correlated_loss: float = 0.01


class Result(Struct):
    """What happened in a run.

    Parameters
    ----------
    crashes : list of (float, tuple of str)
        Times and prompts of the crashes by culprits.
    sends : list of (float, str)
        Time and culprit of each request with one that reached an engine.
    verdicts : dict
        Time of the first verdict by part.
    held : dict
        Time at which all entries had the verdict, by part.
    not_repeated, refused : int
        Number of breaks of sound requests that were not repeated, and of sound requests
        that were refused; ``not_repeated_once`` counts those after their first break.
    announcements : list of (float, str)
        Time and part of each announcement of a verdict.
    """

    requests: int = 0
    sound: int = 0
    served: int = 0
    crashes: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)
    sends: list[tuple[float, str]] = field(default_factory=list)
    trials: list[float] = field(default_factory=list)
    verdicts: dict[str, float] = field(default_factory=dict)
    held: dict[str, float] = field(default_factory=dict)
    messages: int = 0
    announcements: list[tuple[float, str]] = field(default_factory=list)
    not_repeated: int = 0
    not_repeated_once: int = 0
    refused: int = 0

    def late_sends(self) -> int:
        """Return the sends later than 3 s after the fifth crash of the fleet."""
        if len(self.crashes) < 5:
            return 0
        return sum(at > self.crashes[4][0] + HOLD_S for at, _ in self.sends)

    def late_sends_of(self, part: str) -> int:
        """Return the sends of a part later than 3 s after its own fifth crash."""
        crashes = [at for at, parts in self.crashes if part in parts]
        if len(crashes) < 5:
            return 0
        return sum(at > crashes[4] + HOLD_S for at, p in self.sends if p == part)


class _Stream(Struct, eq=False):
    entry: int
    parts: tuple[str, ...]
    placements: int
    until: float
    had_event: bool = False
    ever: bool = False
    trial: bool = False
    breaks: int = 0


class Fleet:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.result = Result()
        self.now = 100.0
        self._end = self.now + scenario.seconds
        self._rng = random.Random(seed)
        self._events: list = []
        self._numbers = count()
        self.entries = [PromptQuarantine() for _ in range(scenario.entries)]
        for rank in range(scenario.entries):
            self.entries[rank].set_entries(rank, scenario.entries, 0.0)
        self._down_until = [0.0] * scenario.engines
        self._streams: list[set[_Stream]] = [set() for _ in range(scenario.engines)]

    def run(self) -> Result:
        scenario = self.scenario
        self._after(self._rng.expovariate(scenario.rate), self._arrive)
        for rank in range(scenario.entries):
            self._after(TICK_S * self._rng.random(), lambda rank=rank: self._tick(rank))
        for engine in scenario.flapping:
            self._after(
                scenario.flap_from + scenario.flap_s * self._rng.random(),
                lambda e=engine: self._flap(e),
            )
        for at, engine, down_s in scenario.outages:
            self._after(at, lambda e=engine, d=down_s: self._crash(e, d))
        for at, rank in scenario.restarts:
            self._after(at, lambda rank=rank: self._restart(rank))
        while self._events and self._events[0][0] <= self._end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self.result

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), event))

    def _draw(self, bounds: tuple[float, float]) -> float:
        return self._rng.uniform(*bounds)

    def _restart(self, rank: int) -> None:
        self.entries[rank] = PromptQuarantine()
        self.entries[rank].set_entries(rank, self.scenario.entries, self.now)

    def _tick(self, rank: int) -> None:
        self._publish(rank, self.entries[rank].tick(self.now))
        for part in self.entries[rank].quarantined:
            self.result.verdicts.setdefault(part, self.now)
            if part not in self.result.held and all(
                part in entry.quarantined for entry in self.entries
            ):
                self.result.held[part] = self.now
        self._after(TICK_S, lambda: self._tick(rank))

    def _publish(self, rank: int, messages) -> None:
        rng, scenario = self._rng, self.scenario
        for message in messages:
            self.result.messages += 1
            if isinstance(message, PartQuarantined):
                self.result.announcements.append((self.now, message.part))
            if rng.random() < scenario.correlated_loss:
                continue
            for other in range(scenario.entries):
                if other != rank and rng.random() >= scenario.loss:
                    self._after(
                        self._draw(scenario.lag),
                        lambda o=other, m=message: self.entries[o].apply(m, self.now),
                    )

    def _arrive(self) -> None:
        scenario, rng = self.scenario, self._rng
        self._after(rng.expovariate(scenario.rate), self._arrive)
        parts = scenario.draw(rng, self.now - 100.0)
        self.result.requests += 1
        is_sound = scenario.culprits.isdisjoint(parts)
        self.result.sound += is_sound
        entry = rng.randrange(scenario.entries)
        verdict = self.entries[entry].check(parts, self.now)
        until = self.now + scenario.patience
        stream = _Stream(entry, parts, 0, until)
        if verdict is not None:
            if verdict.trial:
                self._publish(entry, verdict.publish)
                self.result.trials.append(self.now)
                stream.trial = True
                self._start(stream)
            self.result.refused += is_sound
            return
        if any(down <= self.now for down in self._down_until):
            self._record_send(parts)
        self._after(self._draw(scenario.prefill), lambda: self._start(stream))

    def _record_send(self, parts: tuple[str, ...]) -> None:
        for part in self.scenario.culprits.intersection(parts):
            self.result.sends.append((self.now, part))

    def _start(self, stream: _Stream) -> None:
        if self.now > stream.until or stream.placements >= PLACEMENTS:
            return
        scenario = self.scenario
        entry = self.entries[stream.entry]
        if not stream.trial and entry.check(stream.parts, self.now) is not None:
            return
        up = [n for n, down in enumerate(self._down_until) if down <= self.now]
        if not up:
            self._after(WAIT_S * self._rng.random(), lambda: self._start(stream))
            return
        engine = self._rng.choice(up)
        stream.placements += 1
        stream.had_event = False
        self._streams[engine].add(stream)
        self._record_send(stream.parts)
        if not scenario.culprits.isdisjoint(stream.parts):
            self._after(
                self._draw(scenario.crash_after), lambda: self._kill(engine, stream)
            )
            return
        self._after(
            self._draw(scenario.first_event), lambda: self._write(engine, stream)
        )

    def _write(self, engine: int, stream: _Stream) -> None:
        if stream not in self._streams[engine]:
            return
        stream.had_event = True
        self.result.served += not stream.ever
        stream.ever = True
        stream.until = float("inf")
        entry = self.entries[stream.entry]
        self._publish(stream.entry, entry.record_written(stream.parts, self.now))
        self._after(
            self._draw(self.scenario.stream),
            lambda: self._streams[engine].discard(stream),
        )

    def _kill(self, engine: int, stream: _Stream) -> None:
        if stream in self._streams[engine]:
            self.result.crashes.append((self.now, stream.parts))
            self._crash(engine, self._draw(self.scenario.down))

    def _flap(self, engine: int) -> None:
        self._crash(engine, 0.0)
        self._after(self.scenario.flap_s, lambda: self._flap(engine))

    def _crash(self, engine: int, down_s: float) -> None:
        scenario = self.scenario
        self._down_until[engine] = self.now + down_s
        broken, self._streams[engine] = self._streams[engine], set()
        # Sets of objects have no stable order.
        for stream in sorted(broken, key=lambda s: (s.entry, s.until, s.parts)):
            entry = self.entries[stream.entry]
            parts = () if stream.had_event else stream.parts
            target = f"engine-{engine}"
            self._publish(stream.entry, entry.record_break(target, parts, self.now))
            stream.breaks += not stream.had_event
            if stream.had_event or entry.may_repeat(
                stream.parts, self.now, stream.breaks
            ):
                if not stream.trial:
                    self._start(stream)
            elif scenario.culprits.isdisjoint(stream.parts):
                self.result.not_repeated += 1
                self.result.not_repeated_once += stream.breaks < 2
