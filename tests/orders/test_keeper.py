"""Fault injection for the order controller; simulated engines check the invariants."""

import itertools

import pytest

from tests.orders.world import MAX_DELIVERY_DELAY_S, World
from wigeonspan.catalog import EnginePhase, ModelService, Role
from wigeonspan.engines import EngineState, OrderAction, OrderRequest
from wigeonspan.orders import OpenOrder, SendOrder
from wigeonspan.orders._track import EngineTracker

LAST_STEP = 13


def start_change(world):
    """Run until the engines serve, then request another role and version."""
    world.run_until(world.is_settled)
    world.effects = 0
    world.pin("e0", Role.DECODE)
    world.put(ModelService("s", "m", "2"))


def settle(world):
    world.run_until(lambda: world.is_settled(Role.DECODE, "2"))


def kill(verdict):
    def fault(world, effect):
        world.lose_leader()
        return verdict

    return fault


def freeze_leader(world, effect):
    """Freeze the leader until its lease ends.

    It then writes the order, whose bytes may still arrive up to 2 s later.
    """
    world.lose_leader(after_s=1.2)
    if isinstance(effect, SendOrder):
        engine = world.engines["e0"]
        world.late_orders.append(
            (world.now + 1.0 + MAX_DELIVERY_DELAY_S, engine, effect.request)
        )
    return "freeze"


def lose_and_regain_lease(world, effect):
    """Let the same host become leader again in a new term before any other host."""
    world.lose_leader(after_s=1.2)
    return "late"


def crash(world, effect):
    world.engines["e0"].restart()


def crash_in_order(world, effect):
    world.engines["e0"].crash_in_order = True


def silence(world, effect):
    world.silent_until = world.now + 14.0


def cut_entry_off(world, effect):
    world.entries[0].cut_off_until = world.now + 20.0


def freeze_entry(world, effect):
    world.entries[0].frozen_until = world.now + 20.0


FAULTS = {
    "killed before": kill("skip"),
    "killed after": kill("lose"),
    "killed, order late": kill("late"),
    "leader frozen": freeze_leader,
    "lease lost": lose_and_regain_lease,
    "result lost": lambda world, effect: "lose",
    "order late": lambda world, effect: "late",
    "not sent": lambda world, effect: "skip",
    "engine restarts": crash,
    "engine restarts in order": crash_in_order,
    "engine silent": silence,
    "entry cut off": cut_entry_off,
    "entry frozen": freeze_entry,
}


def world_with_faults(steps, **world_args):
    """Return a world that injects each named fault at an effect with a given number."""
    armed = []

    def fault(world, effect, number):
        if not armed:
            return None
        verdict = None
        for name, step in steps:
            if number == step:
                verdict = FAULTS[name](world, effect) or verdict
        return verdict

    world = World(fault=fault, **world_args)
    start_change(world)
    armed.append(True)
    return world


def test_change_without_faults_takes_the_documented_phases():
    """Skipping a phase would cut off requests that entries still send."""
    world = World()
    start_change(world)
    world.phases.clear()
    settle(world)
    assert world.phases == [
        EnginePhase.CLOSING,
        EnginePhase.DRAINED,
        EnginePhase.ORDERED,
        EnginePhase.SERVING,
    ]
    assert world.effects == LAST_STEP
    assert world.engines["e0"].cut == 0


@pytest.mark.parametrize("checks_fence", [True, False])
@pytest.mark.parametrize("step", range(1, LAST_STEP + 1))
@pytest.mark.parametrize("name", FAULTS)
def test_one_fault_at_every_step(name, step, checks_fence):
    """The change must complete, and every invariant must hold throughout."""
    world = world_with_faults([(name, step)], checks_fence=checks_fence)
    settle(world)


PAIRS = [
    pair
    for pair in itertools.permutations(FAULTS, 2)
    if any("killed" in name or "lea" in name for name in pair)
]


@pytest.mark.parametrize("pair", PAIRS)
def test_two_faults_together(pair):
    """The system must tolerate two faults at a time."""
    for first, gap in itertools.product(range(1, LAST_STEP, 3), (1, 2, 5)):
        world = world_with_faults(
            [(pair[0], first), (pair[1], first + gap)], seed=first * gap
        )
        settle(world)


def test_drained_engine_stays_out_until_it_is_wanted():
    """A drained engine must stay out of service until the operator ends the drain.

    It once returned to service as soon as it had no requests.
    """
    world = World()
    world.run_until(world.is_settled)
    world.drain("e0", True)
    world.run_until(lambda: world.is_settled(phase=EnginePhase.DRAINED))
    world.run(10.0)
    assert world.is_settled(phase=EnginePhase.DRAINED)
    assert not world.engines["e0"].received
    world.drain("e0", False)
    world.run_until(world.is_settled)


def test_long_urgent_request_is_waited_for():
    """A planned change waits for urgent requests without any timeout."""
    world = World()
    world.run_until(world.is_settled)
    world.engines["e0"].urgent["somebody", 1] = world.now + 300.0
    world.pin("e0", Role.DECODE)
    world.run(299.0)
    assert not world.engines["e0"].received
    world.run_until(lambda: world.is_settled(Role.DECODE))


def test_engines_change_one_after_the_other():
    """A new version must not take all engines of a failure domain out of service at
    once."""
    world = World(engines=3)
    world.run_until(world.is_settled)
    world.put(ModelService("s", "m", "2"))
    max_out = 0

    def track_outages():
        nonlocal max_out
        phases = [e.phase for e in world.catalog.objects("engine")]
        max_out = max(
            max_out, sum(phase is not EnginePhase.SERVING for phase in phases)
        )
        return world.is_settled(label="2")

    world.run_until(track_outages)
    assert max_out == 1


def test_loads_keep_to_the_rate_of_the_weight_store():
    """Loads that start together would share the bandwidth and all finish late."""
    starts = []

    def record_start_time(world, effect, number):
        if isinstance(effect, SendOrder):
            starts.append(world.now)

    world = World(engines=3, fault=record_start_time)
    for engine in world.engines.values():
        engine.model = engine.model_version = None
    policy = world.catalog.policy
    world.put(type(policy)(weight_store_bytes_per_s=1e9 / 8, version=policy.version))
    world.run_until(world.is_settled)
    gaps = [b - a for a, b in itertools.pairwise(starts)]
    assert len(gaps) == 2 and min(gaps) >= 8.0 - 1e-6


def test_open_order_of_an_earlier_leader_is_not_sent_again():
    """A repeated order could run twice on an engine that doesn't check fencing
    tokens."""
    world = world_with_faults([("killed, order late", LAST_STEP - 3)])
    settle(world)
    sent = [e.request.order_id for _, e, _ in world.trace if isinstance(e, SendOrder)]
    opened = [
        e for _, e, _ in world.trace if isinstance(getattr(e, "command", 0), OpenOrder)
    ]
    assert len(sent) == len(set(sent)) <= len(opened)


def test_last_request_of_a_lost_entry_may_still_arrive():
    """An order must wait for requests in transit from an entry that lost its lease.

    Such a request once reached the engine while an order ran.
    """
    world = World(rate=0.0)
    world.run_until(world.is_settled)
    world.run(1.0)
    lost, engine = world.entries[0], world.engines["e0"]
    lost.cut_off_until = world.now + 60.0
    world.pin("e0", Role.DECODE)
    world.run(lost.follower.lease_until - world.now - 0.1)
    assert lost.may_send("e0")
    request = (world.now + 0.6, engine, ("entry-0", 1), world.now + 9.0)
    lost.in_transit.append(request)
    world.run_until(lambda: world.is_settled(Role.DECODE))
    assert engine.cut == 0


def test_order_of_somebody_else_is_waited_for():
    """An engine that runs an order from elsewhere must not get another one."""
    world = World()
    engine = world.engines["e0"]
    engine.model = None
    engine.busy = OrderRequest("foreign", OrderAction.WITHDRAW)
    engine.busy_until = 20.0
    world.run(19.0)
    assert not engine.received
    world.run_until(world.is_settled)


@pytest.mark.parametrize(
    ("sent_at", "clear_at", "busy", "urgent", "batch", "now", "drained"),
    [
        (1.0, 2.0, "", 0, 0, 2.0, False),
        (2.0, 2.0, "", 0, 0, 2.1, True),
        (2.0, 2.0, "x", 0, 0, 2.1, False),
        (2.0, 2.0, "", 1, 0, 2.1, False),
        (2.0, 2.0, "", 0, 1, 2.1, False),
        (4.5, 2.0, "", 0, 1, 4.6, True),
        (2.0, 2.0, "", 0, 0, 3.1, False),
        (2.0, None, "", 0, 0, 2.1, False),
    ],
)
def test_only_a_fresh_read_after_the_entries_were_clear_counts(
    sent_at, clear_at, busy, urgent, batch, now, drained
):
    """An older read doesn't count, as a request could reach the engine between the read
    and the order."""
    tracker = EngineTracker()
    tracker.record_clear(clear_at is not None, clear_at or 0.0)
    tracker.begin_read(sent_at)
    state = EngineState("e", "1", Role.MIXED, "m", "1", (), busy, "", urgent, batch)
    tracker.end_read(state, sent_at)
    assert (tracker.drained_state(now) is not None) is drained
