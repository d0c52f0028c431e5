"""Tests of the pace of engines that restart under load, in replays."""

from msgspec import structs

from replay._figures import compute_figures
from replay._fleet import FleetSimulation
from replay._load import EngineFault, read_deployments, read_patterns

DURATION_S = 25.0
COLD_S = 4.0
COLD_SLOWNESS = 5.0
DEPLOYMENT = read_deployments()["tisza"]
CRASHES = [EngineFault(at, n, "crash", 1.5) for n, at in enumerate((6.0, 14.0))]
CRASHES += [
    EngineFault(at, DEPLOYMENT.engines - n, "crash", 1.5)
    for n, at in ((1, 8.0), (2, 16.0))
]


class RestartingFleet(FleetSimulation):
    """Replay in which crashed engines restart, with empty caches and slow at first.

    Parameters
    ----------
    paced : bool
        Whether the entries learn of restarts and suspensions as those of a gateway do.
    """

    def __init__(self, seed, *, paced):
        pattern = structs.replace(read_patterns()["steady"], faults=CRASHES)
        super().__init__(DEPLOYMENT, pattern, seed)
        self.paced = paced
        self.most_paced = 0
        self.update_lists()

    def update_lists(self):
        up = [engine for engine in self.engines if engine.is_up]
        targets = [structs.replace(e.target, phase=e.phase) for e in up]
        for entry in self._entries if self.paced else ():
            entry.placer.pace.update(targets, self.clock.now())
            entry.placer.pace.expire(self.clock.now())
            limits = entry.placer.pace.limits
            self.most_paced = max(self.most_paced, len(limits))

    def record_unreachable(self, entry, target):
        now = self.clock.now()
        if not entry.placer.health.record_failure(target, now, unreachable=True):
            return

        def suspend(receiver):
            receiver.placer.health.suspend(target, now)
            if self.paced:
                receiver.placer.pace.record_suspension(target, now)

        self._publish(entry, suspend)

    def _report_demand(self):
        super()._report_demand()
        self.update_lists()

    def _apply_fault(self, fault, engine):
        super()._apply_fault(fault, engine)
        self.update_lists()

        def warm_up():
            engine.slowness = 1.0

        def restart():
            born_ms = engine.target.born_ms + 1
            engine.target = structs.replace(engine.target, born_ms=born_ms)
            engine.slowness = COLD_SLOWNESS
            self.update_lists()
            self.schedule(COLD_S, warm_up)

        # After the fault's own end, which resets the engine's speed.
        self.schedule(fault.for_s + 0.001, restart)


def credit_share(seed, *, paced):
    fleet = RestartingFleet(seed, paced=paced)
    outcomes = fleet.run(1.0, DURATION_S, seed)
    assert (fleet.most_paced > 0) == paced
    return compute_figures(outcomes, DEPLOYMENT).credit_share


def test_pace_of_cold_engines_costs_no_service():
    """Guards against limits that leave engines idle, so that others are overloaded."""
    shares = [[credit_share(s, paced=p) for s in (1, 2, 3)] for p in (False, True)]
    assert sum(shares[1]) >= 0.99 * sum(shares[0])
