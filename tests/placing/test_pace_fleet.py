"""Tests of the pace of targets in a small simulated fleet under load."""

import heapq
import random
from itertools import count

import pytest
from msgspec import Struct
from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.placing import CALL_MS, Placer, Work, WorkKind
from wigeonspan.targets import Target, TargetId

DOMAIN = DomainName("a")
SLOTS = 6
SERVICE_S = 0.1
REPORT_LAG_S = 0.004
RATE_PER_S = 200.0
"""Requests a second: two thirds of what five targets with six slots can do."""


class Replica(Struct):
    """Target that works on ``SLOTS`` calls at a time, in order of arrival."""

    target: Target
    running: int = 0
    waiting: list = []
    working: list = []
    cold_until: float = 0.0
    cold_factor: float = 8.0
    down_until: float = 0.0
    listed: bool = True
    epoch: int = 0
    failures: int = 0
    peak_while_cold: int = 0
    served: list = []


class Fleet:
    """Entries and replicas without network; all times are simulated seconds."""

    def __init__(self, *, entries=8, replicas=5, seed=1, paced=True):
        self.now = 0.0
        self.paced = paced
        self.took_s = []
        self.unserved = 0
        self._events = []
        self._numbers = count()
        self._rng = random.Random(seed)
        self.replicas = {
            TargetId(f"t{n}"): Replica(
                Target(
                    TargetId(f"t{n}"),
                    ServiceName("s"),
                    "a",
                    DOMAIN,
                    SLOTS,
                    born_ms=1,
                )
            )
            for n in range(replicas)
        }
        self.placers = [
            Placer(DOMAIN, random.Random(f"{seed} {n}")) for n in range(entries)
        ]
        self.publish_list()

    def targets(self):
        return [r.target for r in self.replicas.values() if r.listed]

    def publish_list(self):
        if self.paced:
            for placer in self.placers:
                placer.pace.update(self.targets(), self.now)

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, seconds):
        when = 0.0
        while when < seconds:
            when += self._rng.expovariate(RATE_PER_S)
            entry = self._rng.randrange(len(self.placers))
            self.at(when, lambda entry=entry: self._arrive(entry, self.now, ()))
        for tick in range(int(seconds * 10)):
            self.at(tick / 10, self._tick)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def restart(self, name, cold_s, away_s=1.0):
        """Restart a target, which leaves the list for some seconds."""
        replica = self.replicas[name]
        replica.listed = False
        self.crash(replica)

        def back():
            replica.listed = True
            replica.target = replace(replica.target, born_ms=replica.target.born_ms + 1)
            replica.cold_until = self.now + cold_s
            for placer in self.placers:
                placer.forget(name)
            self.publish_list()

        for placer in self.placers:
            placer.forget(name)
        self.publish_list()
        self.at(self.now + away_s, back)

    def crash(self, replica):
        """End all that a target works on as failed."""
        replica.epoch += 1
        work, replica.running = [*replica.working, *replica.waiting], 0
        replica.working, replica.waiting = [], []
        for _, fail in work:
            fail(False)

    def _tick(self):
        for placer in self.placers:
            placer.pace.expire(self.now)
            placer.ledger.expire(self.now)

    def _publish(self, entry, record):
        record(self.placers[entry])

        def receive():
            for number, placer in enumerate(self.placers):
                if number != entry:
                    record(placer)

        self.at(self.now + REPORT_LAG_S, receive)

    def _arrive(self, entry, arrived_at, tried):
        placer = self.placers[entry]
        chosen = placer.choose_call(self.targets(), self.now, tried)
        if chosen is None or len(tried) == 3:
            self.unserved += 1
            return
        name = chosen.target
        work = Work(
            f"w{next(self._numbers)}",
            HostId(f"e{entry}"),
            name,
            WorkKind.CALL,
            CALL_MS,
            0,
        )
        placer.health.record_sent(name, self.now)
        self._publish(entry, lambda p: p.ledger.begin(work, self.now))
        replica, sent_at = self.replicas[name], self.now

        def end(completed):
            self._publish(
                entry, lambda p: p.end_work(work.work, self.now, completed=completed)
            )

        def fail(unreachable):
            end(False)
            replica.failures += 1
            if placer.health.record_failure(name, self.now, unreachable=unreachable):
                placer.pace.record_suspension(name, self.now)

                def suspend(other):
                    if other is not placer:
                        other.health.suspend(name, self.now)
                        other.pace.record_suspension(name, self.now)

                self._publish(entry, suspend)
            else:
                placer.pace.record_failure(name, self.now)
            self._arrive(entry, arrived_at, (*tried, name))

        def succeed():
            end(True)
            placer.health.record_success(name)
            actual_ms = (self.now - sent_at) * 1000.0
            placer.speeds.observe(name, CALL_MS, actual_ms, self.now)
            replica.served.append(self.now)
            self.took_s.append(self.now - arrived_at)

        if self.now < replica.down_until:
            fail(True)
            return
        self._send(replica, succeed, fail)

    def _send(self, replica, succeed, fail):
        replica.waiting.append((succeed, fail))
        if self.now < replica.cold_until:
            work = replica.running + len(replica.waiting)
            replica.peak_while_cold = max(replica.peak_while_cold, work)
        self._start(replica)

    def _start(self, replica):
        while replica.waiting and replica.running < SLOTS:
            work = replica.waiting.pop(0)
            replica.working.append(work)
            replica.running += 1
            cold = self.now < replica.cold_until
            duration_s = SERVICE_S * (replica.cold_factor if cold else 1.0)
            duration_s *= 0.9 + 0.2 * self._rng.random()

            def finish(work=work, epoch=replica.epoch):
                if replica.epoch != epoch:
                    return
                replica.running -= 1
                replica.working.remove(work)
                work[0]()
                self._start(replica)

            self.at(self.now + duration_s, finish)

    def slow_answers(self):
        return sum(1 for took_s in self.took_s if took_s > 4.0 * SERVICE_S)

    def share_after(self, name, since):
        """Return a target's share of the answers after a time."""
        counts = {
            target: sum(1 for at in replica.served if at > since)
            for target, replica in self.replicas.items()
        }
        return counts[name] / sum(counts.values())


T1 = TargetId("t1")


def run_cold(paced, seed):
    fleet = Fleet(paced=paced, seed=seed)

    fleet.at(5.0, lambda: fleet.restart(T1, 3.0))
    fleet.run(20.0)
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_target_is_neither_flooded_nor_idle(seed):
    """Guards against requests that wait at a target with empty caches while others have
    room, and against a target that stays unused once it is warm."""
    without, fleet = run_cold(False, seed), run_cold(True, seed)
    cold, unpaced = fleet.replicas[T1], without.replicas[T1]
    assert cold.peak_while_cold < unpaced.peak_while_cold
    assert fleet.slow_answers() <= 0.5 * without.slow_answers()
    assert any(6.0 < at < 9.0 for at in cold.served)
    assert fleet.share_after(T1, 12.0) > 0.8 / len(fleet.replicas)
    assert all(placer.pace.limits == {} for placer in fleet.placers)
    assert fleet.unserved == 0


def run_failing(paced, seed):
    fleet = Fleet(paced=paced, seed=seed)
    replica = fleet.replicas[T1]

    def go_down():
        fleet.crash(replica)
        replica.down_until = fleet.now + 0.5

    for number in range(8):
        fleet.at(5.0 + number, go_down)
    fleet.run(20.0)
    return fleet


def test_target_that_recovers_and_fails_again_loses_less_work():
    """Guards against a flood of a target that comes back for half a second at a time,
    and against a limit that stays when it has come back for good."""
    seeds = range(1, 7)
    without = [run_failing(False, seed) for seed in seeds]
    fleets = [run_failing(True, seed) for seed in seeds]
    failures = sum(fleet.replicas[T1].failures for fleet in fleets)
    assert failures < sum(fleet.replicas[T1].failures for fleet in without)
    for fleet in fleets:
        assert fleet.unserved == 0
        assert fleet.share_after(T1, 14.0) > 0.5 / len(fleet.replicas)


def run_fleet_start(paced, seed):
    fleet = Fleet(paced=False, seed=seed)
    fleet.paced = paced
    for placer in fleet.placers:
        # The list showed a target of another service when these entries started.
        placer.pace.update([replace(fleet.targets()[0], target=TargetId("o"))], 0.0)
    fleet.publish_list()
    assert not paced or len(fleet.placers[0].pace.limits) == len(fleet.replicas)
    fleet.run(8.0)
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_start_of_a_whole_fleet_is_not_slowed(seed):
    """Guards against limits that hold work back when all targets are new."""
    without, fleet = run_fleet_start(False, seed), run_fleet_start(True, seed)
    assert len(fleet.took_s) == len(without.took_s)
    mean_s = sum(fleet.took_s) / len(fleet.took_s)
    assert mean_s <= 1.02 * sum(without.took_s) / len(without.took_s)
    assert fleet.unserved == 0


def test_entry_that_has_just_started_serves_as_without_pace():
    """Guards against limits for targets that were there before the entry: it cannot
    know which of them have just started."""
    placers = [Placer(DOMAIN, random.Random(1)) for _ in range(2)]
    targets = Fleet(paced=False).targets()
    placers[0].pace.update(targets, 0.0)
    for n in range(40):
        chosen = [p.choose_call(targets, n / 100) for p in placers]
        assert chosen[0] == chosen[1]
        for placer in placers:
            work = Work(f"w{n}", HostId("e"), TargetId("t1"), WorkKind.CALL, 25.0, 0)
            placer.ledger.begin(work, n / 100)


def test_entries_have_the_same_limit():
    """Guards against entries that each allow a different amount of work."""
    fleet = Fleet()
    limits = []
    fleet.at(5.0, lambda: fleet.restart(T1, 3.0))
    for step in range(50):
        fleet.at(
            6.0 + step / 10,
            lambda: limits.append({p.pace.limits.get(T1, 0) for p in fleet.placers}),
        )
    fleet.run(10.0)
    agreed = sum(1 for seen in limits if len(seen) == 1)
    assert agreed >= 0.9 * len(limits)
