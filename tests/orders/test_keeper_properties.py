"""Random changes, traffic and faults for the order controller.

Whenever an order arrives, the simulation checks that no urgent request runs, that no
entry with a lease may still send, and that the order is open, is the only one and has
the highest fencing token. It also checks that orders are closed with the true result.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.orders.harness import Harness
from tests.orders.test_keeper import FAULTS
from wigeonspan.catalog import EnginePhase, ModelService, Role

ACTIONS = {
    "prefill": lambda harness: harness.pin("e0", Role.PREFILL),
    "decode": lambda harness: harness.pin("e0", Role.DECODE),
    "version 1": lambda harness: harness.put(ModelService("s", "m", "1")),
    "version 2": lambda harness: harness.put(ModelService("s", "m", "2")),
    "drain": lambda harness: harness.drain("e0", True),
    "undrain": lambda harness: harness.drain("e0", False),
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(sorted(ACTIONS)),
        st.floats(0.0, 8.0),
        st.one_of(st.none(), st.sampled_from(sorted(FAULTS))),
        st.integers(1, 12),
    ),
    max_size=10,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, st.integers(0, 10**6), st.sampled_from([0.003, 0.02, 0.2]), st.booleans())
def test_invariants_hold_for_random_changes_and_faults(steps, seed, rate, checks_fence):
    """The invariants hold for random combinations of faults, and the fleet settles."""
    armed = {}

    def fault(harness, effect, number):
        name = armed.pop(number, None)
        return FAULTS[name](harness, effect) if name else None

    harness = Harness(seed=seed, rate=rate, fault=fault, checks_fence=checks_fence)
    harness.run(6.0)
    for action, pause_s, name, gap in steps:
        ACTIONS[action](harness)
        if name:
            armed[harness.effects + gap] = name
        harness.run(pause_s)
    armed.clear()
    ACTIONS["undrain"](harness)
    ACTIONS["decode"](harness)
    ACTIONS["version 2"](harness)
    harness.run_until(lambda: harness.is_settled(Role.DECODE, "2"), limit_s=300.0)
    assert harness.catalog.engine("e0").phase is EnginePhase.SERVING
