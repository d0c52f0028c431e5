"""Tests of orders to a platform that is late, refuses, or takes replicas away."""

import asyncio

import pytest
from msgspec.structs import replace

from tests.platform.gateway_harness import NullRecorder
from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName
from wigeonspan.controlstate import ControlStateMachine, encode_duty_command
from wigeonspan.duties import DutyOutcome
from wigeonspan.fleetconfig import FleetConfig, ScalingSpec, ServiceSpec
from wigeonspan.scaling import ScalingTask
from wigeonspan.staging import Authority, DemandMeter
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable
from wigeonspan.trail import ProcessMetrics

SERVICE = ServiceName("s")
DOMAINS = [DomainName(d) for d in "abcd"]
BOOT_S = 4.0


class Platform:
    """Carries out orders after the boot time, unless the test says otherwise."""

    def __init__(self, clock, found):
        self.clock = clock
        self.wanted = {(d, False): found for d in DOMAINS}
        self.born = {}
        self.calls = []
        self.outcomes = []
        self.dry = set()
        self.reclaimed = {}

    async def order_replicas(self, order, holder, fence, may_send):
        if not may_send():
            return DutyOutcome.WITHHELD
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        grows = order.number > self.wanted.get((order.domain, True), 0)
        if order.reclaimable and grows and order.domain in self.dry:
            outcome = DutyOutcome.CONFLICT
        self.calls.append((order.domain, order.reclaimable, order.number, outcome))
        if outcome is DutyOutcome.DONE:
            self.wanted[order.domain, order.reclaimable] = order.number
        return outcome

    def listing(self):
        now, targets = self.clock.now(), []
        for (domain, reclaimable), number in self.wanted.items():
            for n in range(number):
                name = TargetId(f"{domain}{'r' if reclaimable else 'k'}{n}")
                born = self.born.setdefault(name, now if self.calls else now - BOOT_S)
                leaving = reclaimable and domain in self.reclaimed
                if now - born >= BOOT_S or leaving:
                    targets.append(
                        Target(
                            name,
                            SERVICE,
                            "10.0.0.1:1",
                            domain,
                            64,
                            leaving,
                            Phase.PREFILL,
                            reclaimable=reclaimable,
                        )
                    )
        return Listing(tuple(targets))


class World:
    def __init__(self, *, found=8, scaling=True):
        self.clock = ManualClock(1000.0, 0)
        self.platform = Platform(self.clock, found)
        self.machine = ControlStateMachine()
        self.fence = 1
        self.table = TargetTable()
        self.meter, self.urgent_meter = DemandMeter(), DemandMeter()
        spec = ScalingSpec(1, 15, BOOT_S, 0.18, dict.fromkeys(DOMAINS, 1.0))
        service = ServiceSpec(SERVICE, "/", 10, None, spec if scaling else None)
        self.config = FleetConfig(1, (), (service,))
        self.task = self.make_task()

    def make_task(self):
        async def propose(command):
            self.machine.apply(1, encode_duty_command(command))

        return ScalingTask(
            HostId("c1"),
            self.clock,
            self.platform,
            self.machine.scaling,
            lambda: None if self.fence is None else Authority(self.fence, 1e9),
            lambda: self.config,
            propose,
            self.table,
            self.meter,
            self.urgent_meter,
            NullRecorder(),
            ProcessMetrics(),
        )

    def run(self, seconds, busy=0.0):
        async def rounds():
            for _ in range(seconds):
                self.clock.advance(1.0)
                now = self.clock.now()
                if busy:
                    self.read_ms = getattr(self, "read_ms", 0.0) + busy * 1000.0
                    self.meter.record(HostId("e"), SERVICE, self.read_ms, 0.0, now)
                self.table.update(self.platform.listing(), now)
                await self.task.run_round()

        asyncio.run(rounds())

    def wanted(self, reclaimable):
        return sum(n for (_, r), n in self.platform.wanted.items() if r is reclaimable)


def test_fleet_becomes_cheap_before_traffic():
    """Ordinary replicas of the start are replaced, and not just added to."""
    world = World()
    world.run(14)
    assert world.wanted(False) + world.wanted(True) == 48
    assert world.wanted(False) <= 10
    calls = len(world.platform.calls)
    world.run(30)
    assert len(world.platform.calls) == calls, "nothing is ordered without a reason"


def test_replicas_whose_phase_is_changing_are_present():
    """At the start most phases change, and the fleet was planned without those."""
    world = World()
    world.table.update(world.platform.listing(), world.clock.now())
    world.table.set_switching([t.target for t in world.table.all()][:20])
    world.run(14)
    assert world.wanted(False) + world.wanted(True) == 48


@pytest.mark.parametrize("outcome", [DutyOutcome.UNKNOWN, DutyOutcome.BUSY])
def test_calls_without_an_answer_are_repeated(outcome):
    """The platform was down for seconds when the first orders were due."""
    world = World()
    world.platform.outcomes = [outcome] * 12
    world.run(40)
    assert world.wanted(False) + world.wanted(True) == 48
    assert world.wanted(False) <= 10


def test_order_that_is_carried_out_late_is_corrected():
    """A call without an answer was carried out after a newer one."""
    world = World()
    world.run(20)
    before = dict(world.platform.wanted)
    world.platform.wanted[DOMAINS[0], False] = 12
    world.run(20)
    assert world.platform.wanted == before


def test_domain_without_reclaimable_replicas_is_not_asked_again_at_once():
    """A refused order that is repeated each second costs calls and gains nothing."""
    world = World()
    world.platform.dry = {DOMAINS[1]}
    world.run(8)
    asked = [c for c in world.platform.calls if c[:2] == (DOMAINS[1], True)]
    assert len(asked) == 1
    world.run(8)
    assert world.wanted(False) + world.wanted(True) >= 32
    world.platform.dry = set()
    world.run(30)
    assert world.platform.wanted[DOMAINS[1], True] > 0


def test_reclaim_is_made_up_for_in_other_domains():
    """The replicas of a reclaimed domain are missing for the time of a boot at most."""
    world = World()
    world.run(20)
    gone = DOMAINS[2]
    count = world.platform.wanted[gone, True]
    world.platform.reclaimed[gone] = True
    kept_before = world.wanted(False)
    world.run(2)
    assert world.wanted(False) >= kept_before, "nothing is released in a reclaim"
    world.platform.wanted[gone, True] = 0
    world.platform.reclaimed.clear()
    world.platform.dry = {gone}
    world.run(3)
    elsewhere = sum(n for (d, _), n in world.platform.wanted.items() if d != gone)
    assert elsewhere >= 32 - world.platform.wanted[gone, False]
    world.platform.dry = set()
    world.run(40)
    assert world.platform.wanted[gone, True] >= count - 1


def test_replacement_of_single_replicas_is_no_reclaim():
    """A rolling release made all domains count as reclaimed, and the plan replaced the
    reclaimable replicas by ordinary ones."""
    world = World()
    world.run(20)
    kept = world.wanted(False)
    listing = world.platform.listing

    def with_one_leaving():
        targets = listing().targets
        leaving = {}
        for target in targets:
            if target.reclaimable:
                leaving.setdefault(target.domain, target.target)
        return Listing(
            tuple(replace(t, leaving=t.target in leaving.values()) for t in targets)
        )

    world.platform.listing = with_one_leaving
    world.run(10)
    assert world.wanted(False) == kept


def test_new_leader_goes_on_with_what_was_ordered():
    """It took a fleet that was just being changed for the one that is wanted."""
    world = World()
    world.run(3)
    world.fence = None
    world.run(3)
    world.task, world.fence = world.make_task(), 2
    world.run(30)
    assert world.wanted(False) + world.wanted(True) == 48


def test_demand_grows_the_fleet_within_a_boot_time():
    """Requests of a burst must not wait for a fleet that was planned for its mean."""
    world = World()
    world.run(20)
    world.run(12, busy=20.0)
    assert world.wanted(False) + world.wanted(True) >= 45


def test_holder_without_authority_orders_nothing():
    """Orders of a host that has lost its authority must change nothing."""
    world = World()
    world.fence = None
    world.run(10)
    assert world.platform.calls == []


def test_service_without_bounds_is_left_alone():
    """A deployment that fixes its replicas must not be changed."""
    world = World(scaling=False)
    world.run(10)
    assert world.platform.calls == []


def test_old_list_is_not_believed():
    """A list from before an outage shows replicas that are gone."""
    world = World()
    world.run(3)
    calls = len(world.platform.calls)
    world.platform.outcomes = []

    async def rounds():
        for _ in range(10):
            world.clock.advance(1.0)
            await world.task.run_round()

    world.clock.advance(5.0)
    asyncio.run(rounds())
    assert len(world.platform.calls) == calls


def test_service_that_has_lost_all_replicas_gets_new_ones():
    """Nothing was ordered any more when the list showed no replica of a service."""
    world = World()
    world.run(20)
    calls = len(world.platform.calls)
    ordered = {c[:2]: c[2] for c in world.platform.calls if c[2]}
    world.platform.wanted.clear()
    world.run(12)
    assert len(world.platform.calls) > calls
    assert all(world.platform.wanted[key] >= n for key, n in ordered.items())


def test_empty_list_at_the_start_orders_nothing():
    """A list that shows nothing yet must not release what is there."""
    world = World(found=0)
    world.run(10)
    assert world.platform.calls == []


def test_state_of_removed_services_is_forgotten():
    """Each name that a configuration ever had kept its state."""
    world = World()
    for number in range(50):
        name = ServiceName(f"s{number}")
        spec = world.config.services[0].scaling
        world.config = FleetConfig(1, (), (ServiceSpec(name, "/", 10, None, spec),))
        world.run(1)
    assert len(world.task._services) <= 1 and len(world.task._subjects) <= 8
