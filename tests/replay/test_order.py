"""Tests that the order of work pays off on the loads that it answers."""

import pytest

from replay import _request
from replay._figures import compute_figures
from replay._fleet import FleetSimulation
from replay._load import read_deployments, read_patterns
from replay._messages import Ending
from wigeonspan.placing import WorkLedger, _order
from wigeonspan.placing._fair_share import TenantUse
from wigeonspan.placing._priority import SOLE_BAND
from wigeonspan.placing._shedding import LoadShedding
from wigeonspan.placing._standing import StandingQueueDetector

DEPLOYMENTS, PATTERNS = read_deployments(), read_patterns()
DURATION_S = 22.0


def simulate(deployment, pattern, load, change_placer=lambda placer: None):
    fleet_data = DEPLOYMENTS[deployment]
    simulation = FleetSimulation(fleet_data, PATTERNS[pattern], 1, change_placer)
    return compute_figures(simulation.run(load, DURATION_S, 1), fleet_data)


def missed(kind):
    """Return the share of a kind's requests that were not answered on time."""
    return 1.0 - kind.on_time


def test_urgent_kind_is_served_first_in_overload(monkeypatch):
    """Long prompts that were about to be late went before short questions of the first
    priority, and late short questions behind all others."""
    with_rule = simulate("lab", "long_bursts", 4.0).kinds
    assert missed(with_rule["short"]) < missed(with_rule["long"])
    monkeypatch.setattr(_request, "priority_band", lambda priorities, own: SOLE_BAND)
    without = simulate("lab", "long_bursts", 4.0).kinds
    assert missed(with_rule["short"]) < 0.6 * missed(without["short"])


@pytest.mark.parametrize("pattern", ["long_bursts", "waves"])
def test_urgent_kind_avoids_engines_that_have_begun_a_large_prompt(
    pattern, monkeypatch
):
    """Engines that had just begun a prompt of a second seemed to be free, and short
    questions waited behind it."""
    with_rule = simulate("lab", pattern, 1.0).kinds
    monkeypatch.setattr(WorkLedger, "follow_starts", lambda ledger: None)
    without = simulate("lab", pattern, 1.0).kinds
    assert missed(with_rule["short"]) < 0.5 * missed(without["short"])
    assert missed(with_rule["long"]) < missed(without["long"]) + 0.02


class OneQueue:
    """The former rule: one queue of late requests for all priorities."""

    def __init__(self):
        self._detector = StandingQueueDetector()

    def record(self, band, late, now):
        self._detector.record(late, now)

    def is_closed(self, band):
        return False

    def refuses_late(self, band, now):
        return self._detector.is_standing(now)

    def room_after_s(self, now):
        return 0.0


def test_less_urgent_kinds_are_refused_first(monkeypatch):
    """Labels and short questions were late while long prompts were admitted."""
    with_rule = simulate("lab", "long_bursts", 4.0).kinds
    assert with_rule["short"].refused <= with_rule["labels"].refused
    assert with_rule["labels"].refused < with_rule["long"].refused
    monkeypatch.setattr(_order, "LoadShedding", OneQueue)
    without = simulate("lab", "long_bursts", 4.0).kinds
    assert missed(with_rule["short"]) < 0.6 * missed(without["short"])
    assert missed(with_rule["labels"]) < missed(without["labels"]) - 0.05


def test_refused_requests_find_room_when_they_return(monkeypatch):
    """Callers were told to return after 0.8 s, into the same overload."""

    def served_again():
        simulation = FleetSimulation(DEPLOYMENTS["lab"], PATTERNS["long_bursts"], 1)
        outcomes = simulation.run(4.0, DURATION_S, 1)
        again = [o for o in outcomes if o.retry_after_s is not None]
        served = sum(o.ending in (Ending.ON_TIME, Ending.LATE) for o in again)
        return served / len(again)

    with_rule = served_again()
    monkeypatch.setattr(LoadShedding, "room_after_s", lambda shedding, now: 0.0)
    assert with_rule > served_again() + 0.05


def short_misses_of_others(monkeypatch=None):
    """Return the share of short questions not on time, of all tenants but the largest,
    and of the largest one."""
    if monkeypatch is not None:
        for name in ("exceeds", "spares"):
            monkeypatch.setattr(TenantUse, name, lambda use, tenant, band, now: False)
    simulation = FleetSimulation(DEPLOYMENTS["lab"], PATTERNS["large_tenant"], 1)
    outcomes = [o for o in simulation.run(4.0, 14.0, 1) if o.kind == "short"]

    def share(is_largest):
        group = [o for o in outcomes if (o.tenant == "t0") == is_largest]
        return sum(o.ending is not Ending.ON_TIME for o in group) / len(group)

    return share(False), share(True)


def test_other_tenants_do_not_pay_for_a_large_one(monkeypatch):
    """Short questions of 76 tenants were late and refused as often as those of the one
    that sent most of them."""
    others, largest = short_misses_of_others()
    assert others < 0.75 * largest
    assert others < 0.75 * short_misses_of_others(monkeypatch)[0]
