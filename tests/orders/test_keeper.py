"""Order controller under injected faults; simulated engines check the invariants."""

import itertools

import pytest

from tests.orders.harness import MAX_DELIVERY_DELAY_S, Harness
from wigeonspan.catalog import EnginePhase, ModelService, Role
from wigeonspan.engines import EngineState, OrderAction, OrderRequest
from wigeonspan.orders import OpenOrder, SendOrder
from wigeonspan.orders._track import EngineTracker

LAST_STEP = 13


def start_change(harness):
    """Run until the engines serve, then request another role and model version."""
    harness.run_until(harness.is_settled)
    harness.effects = 0
    harness.pin("e0", Role.DECODE)
    harness.put(ModelService("s", "m", "2"))


def settle(harness):
    harness.run_until(lambda: harness.is_settled(Role.DECODE, "2"))


def kill_leader(failure):
    def fault(harness, effect):
        harness.lose_leader()
        return failure

    return fault


def freeze_leader(harness, effect):
    """Freeze the leader until its lease ends.

    It then writes the order, whose bytes may still arrive up to 2 s later.
    """
    harness.lose_leader(after_s=1.2)
    if isinstance(effect, SendOrder):
        engine = harness.engines["e0"]
        harness.late_orders.append(
            (harness.now + 1.0 + MAX_DELIVERY_DELAY_S, engine, effect.request)
        )
    return "freeze"


def lose_and_regain_lease(harness, effect):
    """Make the same host leader again, in a new term, before another host leads."""
    harness.lose_leader(after_s=1.2)
    return "late"


def restart_engine(harness, effect):
    harness.engines["e0"].restart()


def crash_engine_in_order(harness, effect):
    harness.engines["e0"].crash_in_order = True


def silence_engine(harness, effect):
    harness.silent_until = harness.now + 14.0


def cut_entry_off(harness, effect):
    harness.entries[0].cut_off_until = harness.now + 20.0


def freeze_entry(harness, effect):
    harness.entries[0].frozen_until = harness.now + 20.0


FAULTS = {
    "killed before": kill_leader("skip"),
    "killed after": kill_leader("lose"),
    "killed, order late": kill_leader("late"),
    "leader frozen": freeze_leader,
    "lease lost": lose_and_regain_lease,
    "result lost": lambda harness, effect: "lose",
    "order late": lambda harness, effect: "late",
    "not sent": lambda harness, effect: "skip",
    "engine restarts": restart_engine,
    "engine restarts in order": crash_engine_in_order,
    "engine silent": silence_engine,
    "entry cut off": cut_entry_off,
    "entry frozen": freeze_entry,
}


def make_harness_with_faults(steps, **harness_args):
    """Return a harness that injects each named fault at the effect with its number."""
    armed = []

    def fault(harness, effect, number):
        if not armed:
            return None
        failure = None
        for name, step in steps:
            if number == step:
                failure = FAULTS[name](harness, effect) or failure
        return failure

    harness = Harness(fault=fault, **harness_args)
    start_change(harness)
    armed.append(True)
    return harness


def test_change_without_faults_passes_through_the_documented_phases():
    """Skipping a phase would cut off requests that entries still send."""
    harness = Harness()
    start_change(harness)
    harness.phases.clear()
    settle(harness)
    assert harness.phases == [
        EnginePhase.CLOSING,
        EnginePhase.DRAINED,
        EnginePhase.ORDERED,
        EnginePhase.SERVING,
    ]
    assert harness.effects == LAST_STEP
    assert harness.engines["e0"].cut_requests == 0


@pytest.mark.parametrize("checks_fence", [True, False])
@pytest.mark.parametrize("step", range(1, LAST_STEP + 1))
@pytest.mark.parametrize("name", FAULTS)
def test_change_completes_despite_one_fault_at_any_step(name, step, checks_fence):
    """The change must complete, and every invariant must hold throughout."""
    harness = make_harness_with_faults([(name, step)], checks_fence=checks_fence)
    settle(harness)


PAIRS = [
    pair
    for pair in itertools.permutations(FAULTS, 2)
    if any("killed" in name or "lea" in name for name in pair)
]


@pytest.mark.parametrize("pair", PAIRS)
def test_change_completes_despite_two_faults(pair):
    """The change must complete, and every invariant must hold, despite two faults."""
    for first, gap in itertools.product(range(1, LAST_STEP, 3), (1, 2, 5)):
        harness = make_harness_with_faults(
            [(pair[0], first), (pair[1], first + gap)], seed=first * gap
        )
        settle(harness)


def test_drained_engine_stays_out_of_service_until_the_drain_ends():
    """A drained engine must stay out of service until the operator ends the drain.

    It once returned to service as soon as it had no requests.
    """
    harness = Harness()
    harness.run_until(harness.is_settled)
    harness.drain("e0", True)
    harness.run_until(lambda: harness.is_settled(phase=EnginePhase.DRAINED))
    harness.run(10.0)
    assert harness.is_settled(phase=EnginePhase.DRAINED)
    assert not harness.engines["e0"].received_fences
    harness.drain("e0", False)
    harness.run_until(harness.is_settled)


def test_change_waits_for_a_long_urgent_request():
    """A planned change waits for urgent requests without any timeout."""
    harness = Harness()
    harness.run_until(harness.is_settled)
    harness.engines["e0"].urgent["somebody", 1] = harness.now + 300.0
    harness.pin("e0", Role.DECODE)
    harness.run(299.0)
    assert not harness.engines["e0"].received_fences
    harness.run_until(lambda: harness.is_settled(Role.DECODE))


def test_engines_of_a_domain_change_one_at_a_time():
    """A new version must not take all engines of a failure domain out of service at
    once."""
    harness = Harness(engines=3)
    harness.run_until(harness.is_settled)
    harness.put(ModelService("s", "m", "2"))
    max_out = 0

    def track_outages():
        nonlocal max_out
        phases = [e.phase for e in harness.catalog.objects("engine")]
        max_out = max(
            max_out, sum(phase is not EnginePhase.SERVING for phase in phases)
        )
        return harness.is_settled(label="2")

    harness.run_until(track_outages)
    assert max_out == 1


def test_loads_are_spaced_by_the_weight_store_bandwidth():
    """Loads that start together would share the bandwidth and all finish late."""
    starts = []

    def record_start_time(harness, effect, number):
        if isinstance(effect, SendOrder):
            starts.append(harness.now)

    harness = Harness(engines=3, fault=record_start_time)
    for engine in harness.engines.values():
        engine.model = engine.model_version = None
    policy = harness.catalog.policy
    harness.put(type(policy)(weight_store_bytes_per_s=1e9 / 8, version=policy.version))
    harness.run_until(harness.is_settled)
    gaps = [b - a for a, b in itertools.pairwise(starts)]
    assert len(gaps) == 2 and min(gaps) >= 8.0 - 1e-6


def test_open_order_of_an_earlier_leader_is_not_sent_again():
    """A repeated order could run twice on an engine that doesn't check fencing
    tokens."""
    harness = make_harness_with_faults([("killed, order late", LAST_STEP - 3)])
    settle(harness)
    sent = [e.request.order_id for _, e, _ in harness.trace if isinstance(e, SendOrder)]
    opened = [
        e
        for _, e, _ in harness.trace
        if isinstance(getattr(e, "command", 0), OpenOrder)
    ]
    assert len(sent) == len(set(sent)) <= len(opened)


def test_order_waits_for_requests_in_transit_from_an_entry_without_lease():
    """An order must wait for requests in transit from an entry that lost its lease.

    Such a request once reached the engine while an order ran.
    """
    harness = Harness(rate=0.0)
    harness.run_until(harness.is_settled)
    harness.run(1.0)
    lost, engine = harness.entries[0], harness.engines["e0"]
    lost.cut_off_until = harness.now + 60.0
    harness.pin("e0", Role.DECODE)
    harness.run(lost.follower.lease_until - harness.now - 0.1)
    assert lost.may_send("e0")
    request = (harness.now + 0.6, engine, ("entry-0", 1), harness.now + 9.0)
    lost.in_transit.append(request)
    harness.run_until(lambda: harness.is_settled(Role.DECODE))
    assert engine.cut_requests == 0


def test_engine_that_runs_a_foreign_order_gets_no_other_order():
    """An engine that runs an order of another sender must not get a second one."""
    harness = Harness()
    engine = harness.engines["e0"]
    engine.model = None
    engine.busy = OrderRequest("foreign", OrderAction.WITHDRAW)
    engine.busy_until = 20.0
    harness.run(19.0)
    assert not engine.received_fences
    harness.run_until(harness.is_settled)


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
def test_drained_state_requires_a_recent_read_sent_after_the_engine_was_clear(
    sent_at, clear_at, busy, urgent, batch, now, drained
):
    """After an older read, a request could still reach the engine before the order."""
    tracker = EngineTracker()
    tracker.record_clear(clear_at is not None, clear_at or 0.0)
    tracker.begin_read(sent_at)
    state = EngineState("e", "1", Role.MIXED, "m", "1", (), busy, "", urgent, batch)
    tracker.end_read(state, sent_at)
    assert (tracker.drained_state(now) is not None) is drained
