"""Tests of deciding and reporting windows under failures of hosts and the platform."""

import asyncio

import pytest

from tests.platform.gateway_harness import NullRecorder
from wigeonspan.common import (
    ErrorKind,
    HostId,
    ManualClock,
    TenantName,
    WigeonspanError,
)
from wigeonspan.controlstate import ControlStateMachine, encode_duty_command
from wigeonspan.duties import DutyOutcome
from wigeonspan.staging import Authority
from wigeonspan.trail import ProcessMetrics
from wigeonspan.usage import DecideWindow, UsageCounter, UsageTask, UsageTimes

A = TenantName("a")
START_MS = 1_800_000_000_000
WINDOW = START_MS // 5000 + 1


class Platform:
    """Records the reports that reach it, also those that it does not answer."""

    def __init__(self):
        self.calls = []
        self.outcomes = []

    async def report_usage(self, report, holder, fence, may_send):
        if not may_send():
            return DutyOutcome.WITHHELD
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        self.calls.append((report.window, report.counts, holder, fence))
        return outcome


class Group:
    """Replicated log of control hosts: each command is applied on all of them."""

    def __init__(self):
        self.machines = []
        self.quorum = True

    async def propose(self, command):
        if not self.quorum:
            raise WigeonspanError(ErrorKind.NO_QUORUM, "no majority")
        for machine in self.machines:
            machine.apply(1, encode_duty_command(command))


class Host:
    """Control host with its task; the test decides whether it leads."""

    def __init__(self, name, group, platform, clock):
        self.fence = None
        self.has_tenants = True
        self.metrics = ProcessMetrics()
        machine = ControlStateMachine()
        group.machines.append(machine)
        self.ledger = machine.usage
        self.task = UsageTask(
            HostId(name),
            clock,
            platform,
            machine.usage,
            lambda: None if self.fence is None else Authority(self.fence, 1e9),
            lambda: self.has_tenants,
            group.propose,
            UsageTimes(5000, 10_000),
            NullRecorder(),
            self.metrics,
        )


class World:
    """Two control hosts and entries that count one request each 0.1 s."""

    def __init__(self, entries=2):
        self.clock = ManualClock(1000.0, START_MS)
        self.platform, self.group = Platform(), Group()
        self.hosts = [
            Host(n, self.group, self.platform, self.clock) for n in ("c1", "c2")
        ]
        self.counters = [UsageCounter(f"i{n}", 5000, 10_000) for n in range(entries)]
        self.silent = set()
        self.idle = False

    def run(self, seconds):
        async def rounds():
            for _ in range(round(seconds * 10)):
                self.clock.advance(0.1)
                for number, counter in enumerate(self.counters):
                    if not self.idle:
                        counter.add(A, self.clock.wall_ms())
                    share = counter.share(self.clock.wall_ms())
                    if number not in self.silent:
                        for host in self.hosts:
                            host.task.record(HostId(f"e{number}"), share)
                for host in self.hosts:
                    await host.task.run_round()

        asyncio.run(rounds())


def windows(calls):
    return [call[0] for call in calls]


def test_each_window_is_reported_once_and_in_time():
    """Each window is due, and two different reports of one break a rule."""
    world = World()
    world.hosts[0].fence = 1
    world.run(31.0)
    assert windows(world.platform.calls) == list(range(WINDOW, WINDOW + 5))
    assert all(counts == ((A, 100),) for _, counts, _, _ in world.platform.calls)


def test_window_without_requests_is_reported():
    """The platform misses a report also when nothing ran."""
    world = World(entries=0)
    world.hosts[0].fence = 1
    world.run(25.0)
    assert world.platform.calls and all(c[1] == () for c in world.platform.calls)


@pytest.mark.parametrize("outcome", [DutyOutcome.UNKNOWN, DutyOutcome.BUSY])
def test_report_is_repeated_with_the_same_content(outcome):
    """A call without an answer may have been carried out, so a repeat must be exact.

    More counts arrive between the two calls, and must not change it.
    """
    world = World()
    world.hosts[0].fence = 1
    world.silent = {1}
    world.platform.outcomes = [outcome] * 4
    world.run(17.0)
    world.silent = set()
    world.run(10.0)
    contents = {}
    for window, counts, _, _ in world.platform.calls:
        contents.setdefault(window, set()).add(counts)
    assert windows(world.platform.calls).count(WINDOW) == 5
    assert all(len(counts) == 1 for counts in contents.values())


def test_next_leader_sends_what_was_decided():
    """A leader that is killed between decision and report leaves the same bytes.

    The next one knows other counts, because its heartbeats came later.
    """
    world = World()
    first, second = world.hosts
    first.fence = 1
    world.platform.outcomes = [DutyOutcome.UNKNOWN] * 3
    world.run(11.0)
    sent = [call[:2] for call in world.platform.calls]
    world.platform.outcomes = []
    first.fence = None
    world.run(6.0)
    second.fence = 2
    world.run(5.0)
    repeated = [c for c in world.platform.calls if c[2] == "c2"]
    assert repeated[0][:2] == sent[0] and repeated[0][3] == 2
    assert windows(repeated) == sorted(set(windows(repeated)))


def test_leader_that_lost_its_authority_while_connecting_sends_nothing():
    """A paused holder must not send its report after that of its successor."""
    world = World()
    host = world.hosts[0]
    host.fence = 1
    calls = []

    async def report_usage(report, holder, fence, may_send):
        host.fence = None
        calls.append(may_send())
        return DutyOutcome.WITHHELD

    world.platform.report_usage = report_usage
    world.run(12.0)
    assert calls == [False]


def test_fenced_holder_stops_until_its_token_changes():
    """A holder that goes on with an old token is a fault for the platform."""
    world = World()
    host = world.hosts[0]
    host.fence = 1
    world.platform.outcomes = [DutyOutcome.CONFLICT]
    world.run(30.0)
    assert len(world.platform.calls) == 1
    host.fence = 3
    world.run(5.0)
    assert windows(world.platform.calls)[1] == WINDOW


def test_silent_entry_delays_a_window_by_half_the_time_at_most():
    """A paused entry may return with its counts, but the report must not be late."""
    world = World()
    world.hosts[0].fence = 1
    world.run(7.0)
    world.silent = {1}
    start = world.clock.wall_ms()
    world.run(7.5)
    assert start < (WINDOW + 1) * 5000
    assert world.platform.calls == []
    world.run(1.0)
    assert windows(world.platform.calls) == [WINDOW]


def test_outage_of_the_platform_is_caught_up_in_order():
    """After an outage of seconds, all windows are reported, the oldest one first."""
    world = World()
    world.hosts[0].fence = 1
    world.platform.outcomes = [DutyOutcome.BUSY] * 4
    world.run(20.0)
    done = list(dict.fromkeys(windows(world.platform.calls)))
    assert done == list(range(WINDOW, WINDOW + len(done))) and len(done) >= 2


def test_nothing_is_reported_without_a_majority():
    """A decision that is not committed may differ from the one that is."""
    world = World()
    world.hosts[0].fence = 1
    world.group.quorum = False
    world.run(20.0)
    assert world.platform.calls == []
    world.group.quorum = True
    world.run(5.0)
    assert windows(world.platform.calls)[0] == WINDOW


def test_window_that_nobody_decided_for_a_minute_is_given_up():
    """After a long outage of the group, old windows must not hold up new ones."""
    world = World()
    world.hosts[0].fence = 1
    world.run(12.0)
    world.hosts[0].fence = None
    world.run(90.0)
    world.hosts[0].fence = 2
    world.run(30.0)
    late = [c for c in world.platform.calls if c[3] == 2]
    assert late[0][0] > WINDOW + 3
    newest = world.clock.wall_ms() // 5000 - 1
    assert late[-1][0] >= newest - 1


def test_first_decision_in_the_log_stands():
    """Two leaders may decide the same window; only the first decision may be sent."""
    machine = ControlStateMachine()
    for count in (5, 7):
        command = DecideWindow(WINDOW, ((A, count),))
        machine.apply(1, encode_duty_command(command))
    assert [w.counts for w in machine.usage.unreported] == [((A, 5),)]


def collected_windows(host):
    return sum(len(use.windows) for use in host.task._collector._entries.values())


@pytest.mark.parametrize("has_tenants", [True, False])
def test_counts_without_decisions_take_bounded_memory(has_tenants):
    """Without a majority for hours, a control host kept the counts of each window."""
    world = World()
    world.hosts[0].fence = 1
    world.group.quorum = False
    for host in world.hosts:
        host.has_tenants = has_tenants
    world.run(200.0)
    assert all(collected_windows(host) <= 2 * 15 for host in world.hosts)


def test_refused_report_does_not_hold_up_the_others():
    """One window that the platform does not take kept all later ones unreported."""
    world = World()
    world.hosts[0].fence = 1
    accept = world.platform.report_usage

    async def report_usage(report, *args):
        if report.window == WINDOW:
            world.platform.calls.append((WINDOW, report.counts, *args[:2]))
            return DutyOutcome.REFUSED
        return await accept(report, *args)

    world.platform.report_usage = report_usage
    world.run(60.0)
    reported = windows(world.platform.calls)
    assert set(range(WINDOW + 1, WINDOW + 9)) <= set(reported)
    assert 1 < reported.count(WINDOW) <= 3, "it is tried again, but not all the time"


def test_use_before_the_tenants_were_removed_is_reported():
    """The last windows were lost when a configuration had no tenants any more."""
    world = World()
    world.hosts[0].fence = 1
    world.run(12.0)
    for host in world.hosts:
        host.has_tenants = False
    world.idle = True
    world.run(30.0)
    assert set(windows(world.platform.calls)) == {WINDOW, WINDOW + 1}
    assert dict(world.platform.calls[-1][1])[A] > 0


def oldest_age_s(host):
    lines = host.metrics.text().decode().splitlines()
    line = next(x for x in lines if "oldest_unreported" in x and x[0] != "#")
    return float(line.split()[-1])


def test_age_of_the_oldest_unreported_window_is_shown():
    """An operator sees that reports are missing before the platform complains."""
    world = World()
    world.hosts[0].fence = 1
    world.platform.outcomes = [DutyOutcome.BUSY] * 1000
    world.run(40.0)
    assert 25.0 <= oldest_age_s(world.hosts[0]) <= 31.0
    world.platform.outcomes = []
    world.run(10.0)
    assert b'outcome="reported"' in world.hosts[0].metrics.text()
    assert oldest_age_s(world.hosts[0]) < 6.0
