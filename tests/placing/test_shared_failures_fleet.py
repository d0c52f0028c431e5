"""Tests of shared suspensions in a simulated fleet with many entries."""

import heapq
import random
from functools import cache
from itertools import count

import pytest

from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.placing import Placer, Prompt, Work, WorkKind
from wigeonspan.targets import Phase, Target, TargetId

DOMAIN = DomainName("a")
ENTRIES = 40
ENGINES = 20
STREAM_S = 0.25
REPORT_LAG_S = 0.004
CONNECT_TIMEOUT_S = 0.4
RATE_PER_S = 300.0
"""Requests a second: 7.5 for each entry, and four streams at a time at each engine."""

DARK = TargetId("d0")
FAILED_AT, DARK_S = 5.0, 10.0
PROMPT = Prompt((), 1000, 32)


class Fleet:
    """Entries that choose decode engines of which one fails; without network.

    Parameters
    ----------
    shared : bool
        Whether the entries know that they are many.
    takes_s : float
        Seconds until a connection to the failed engine is given up; 0 when it refuses.
    """

    def __init__(self, seed, *, shared, takes_s, entries=ENTRIES):
        self.now = 0.0
        self.takes_s = takes_s
        self.met_dark = []
        self.served_by_dark = []
        self.lost = 0
        self._events = []
        self._numbers = count()
        self._rng = random.Random(seed)
        self._open = {}
        self.targets = [
            Target(TargetId(f"d{n}"), ServiceName("s"), "a", DOMAIN, 64, Phase.DECODE)
            for n in range(ENGINES)
        ]
        self.placers = [
            Placer(DOMAIN, random.Random(f"{seed} {n}")) for n in range(entries)
        ]
        for placer in self.placers if shared else ():
            placer.health.set_entries(entries)

    @property
    def is_dark(self):
        return FAILED_AT <= self.now < FAILED_AT + DARK_S

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, seconds):
        when = 0.0
        while when < seconds:
            when += self._rng.expovariate(RATE_PER_S)
            entry = self._rng.randrange(len(self.placers))
            self.at(when, lambda entry=entry: self._send(entry, ()))
        self.at(FAILED_AT, self._break_streams)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def _publish(self, entry, record):
        record(self.placers[entry])

        def receive():
            for number, placer in enumerate(self.placers):
                if number != entry:
                    record(placer)

        self.at(self.now + REPORT_LAG_S, receive)

    def _send(self, entry, tried):
        placer = self.placers[entry]
        chosen = placer.choose_decode(self.targets, PROMPT, self.now, tried)
        if chosen is None or len(tried) == 3:
            self.lost += 1
            return
        name = f"w{next(self._numbers)}"
        work = Work(name, HostId(f"e{entry}"), chosen.target, WorkKind.DECODE, 0.0, 0)
        placer.health.record_sent(work.target, self.now)
        self._publish(entry, lambda p: p.ledger.begin(work, self.now))
        if work.target == DARK and self.is_dark:
            self.met_dark.append(self.now)
            self.at(
                self.now + self.takes_s,
                lambda: self._fail(entry, work, tried, unreachable=True),
            )
            return
        self._open[name] = (entry, work, tried)
        self.at(self.now + STREAM_S * self._rng.uniform(0.5, 1.5), self._end(name))

    def _end(self, name):
        def end():
            if name not in self._open:
                return
            entry, work, _ = self._open.pop(name)
            self._publish(entry, lambda p: p.end_work(name, self.now, completed=True))
            self.placers[entry].health.record_success(work.target)
            if work.target == DARK:
                self.served_by_dark.append(self.now)

        return end

    def _break_streams(self):
        for name, (entry, work, tried) in list(self._open.items()):
            if work.target == DARK:
                del self._open[name]
                self._fail(entry, work, tried, unreachable=False)

    def _fail(self, entry, work, tried, *, unreachable):
        placer, target = self.placers[entry], work.target
        if placer.health.record_failure(target, self.now, unreachable=unreachable):

            def suspend(other):
                if other is not placer:
                    other.health.suspend(target, self.now)

            self._publish(entry, suspend)
        self._publish(
            entry,
            lambda p: p.end_work(work.work, self.now, completed=False, broken=True),
        )
        self._send(entry, (*tried, target))


@cache
def compare(takes_s):
    """Return the fleets of some seeds without and with shared suspensions."""
    return [
        [Fleet(seed, shared=shared, takes_s=takes_s).run(18.5) for seed in (1, 2)]
        for shared in (False, True)
    ]


@pytest.mark.parametrize("takes_s", [CONNECT_TIMEOUT_S, 0.0], ids=["dark", "crashed"])
def test_fewer_sends_meet_a_failed_engine(takes_s):
    """Guards against entries that each pay for finding out and probing an engine: with
    69 entries, 240 sends waited for a connection to dark engines within 10 s."""
    without, shared = compare(takes_s)
    sends = [sum(len(f.met_dark) for f in fleets) for fleets in (without, shared)]
    print("sends that met the failed engine", sends)
    assert sends[1] < 0.6 * sends[0]
    assert all(fleet.lost == 0 for fleet in shared)


def test_broken_streams_keep_the_next_sends_away():
    """Guards against entries that send to a dark engine for as long as the first
    connection takes to fail, although its streams have broken everywhere."""
    without, shared = compare(CONNECT_TIMEOUT_S)

    def at_first(fleets):
        end = FAILED_AT + CONNECT_TIMEOUT_S
        return sum(sum(at < end for at in f.met_dark) for f in fleets)

    print("sends within the first time-out", at_first(without), at_first(shared))
    assert at_first(shared) < 0.25 * at_first(without)


def test_recovered_engine_is_used_again_as_soon_as_before():
    """Guards against an engine that stays out longer because fewer entries probe it."""
    without, shared = compare(CONNECT_TIMEOUT_S)
    back_at = FAILED_AT + DARK_S

    def served_within(fleet, seconds):
        return sum(back_at <= at < back_at + seconds for at in fleet.served_by_dark)

    served = [
        [sum(served_within(f, seconds) for f in fleets) for seconds in (1.0, 2.0, 3.0)]
        for fleets in (without, shared)
    ]
    print("served by the engine within 1, 2 and 3 s of its return", served)
    assert served[1][2] > served[0][2]


def test_small_fleet_decides_as_before():
    """Guards against other decisions in fleets of up to 16 entries."""
    fleets = [
        Fleet(1, shared=shared, takes_s=CONNECT_TIMEOUT_S, entries=16).run(12.0)
        for shared in (False, True)
    ]
    assert fleets[0].met_dark == fleets[1].met_dark
    assert fleets[0].served_by_dark == fleets[1].served_by_dark
