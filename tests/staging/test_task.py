"""Orders that change phases, against a scripted port."""

import asyncio

import pytest

from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName
from wigeonspan.staging import (
    Authority,
    DemandMeter,
    EngineReport,
    OrderOutcome,
    PhaseOrder,
    StagingTask,
)
from wigeonspan.targets import Listing, Phase, Target, TargetId
from wigeonspan.trail import Meters, Trail


class Port:
    """Engines that answer orders as told."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.orders: list[PhaseOrder] = []
        self.report = EngineReport(Phase.DECODE, False, 7)
        self.connecting = lambda: None

    async def read_report(self, target):
        return self.report

    async def order(self, order, may_send):
        self.connecting()
        if not may_send():
            return OrderOutcome.WITHHELD
        self.orders.append(order)
        return self.outcomes.pop(0) if self.outcomes else OrderOutcome.ACCEPTED


class NoWriter:
    dropped = 0

    def add(self, line):
        pass

    def flush(self):
        pass


def listing():
    phases = (Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.DECODE)
    return Listing(
        tuple(
            Target(
                TargetId(f"t{n}"),
                ServiceName("models"),
                f"10.0.0.{n}:80",
                DomainName("a"),
                64,
                phase=phase,
            )
            for n, phase in enumerate(phases)
        )
    )


def run(port, authority, rounds, monkeypatch, step_s=0.5, meter=None):
    """Run the task's rounds on a manual clock and return it."""
    clock = ManualClock(100.0)

    async def read_listing():
        return listing()

    task = StagingTask(
        HostId("c1"),
        clock,
        port,
        Trail(HostId("c1"), clock, NoWriter()),
        authority,
        read_listing,
        meter or DemandMeter(),
        Meters(),
    )
    left = rounds

    async def sleep(_):
        nonlocal left
        clock.advance(step_s)
        left -= 1
        if left < 0:
            raise asyncio.CancelledError

    monkeypatch.setattr("wigeonspan.staging._task.asyncio.sleep", sleep)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(task.run())
    return task


def test_order_carries_fence_and_the_count_of_orders(monkeypatch):
    """An order carried out late after newer ones would undo them."""
    port = Port()
    run(port, lambda: Authority(5, 1e9), 10, monkeypatch)
    assert [(o.fence, o.after) for o in port.orders] == [(5, 7)]


def test_without_authority_no_order_is_sent(monkeypatch):
    """Two holders must not order one engine by turns."""
    port = Port()
    run(port, lambda: None, 20, monkeypatch)
    assert port.orders == []


def test_authority_lost_between_notice_and_order_stops_it(monkeypatch):
    """A leader that lost its lease while it waited still sent its order."""
    port = Port()
    calls = iter([Authority(5, 1e9)] * 5 + [None] * 50)
    run(port, lambda: next(calls), 20, monkeypatch)
    assert port.orders == []


def test_unanswered_order_is_repeated_with_the_same_count(monkeypatch):
    """Both sends may be carried out; the count makes the second one change nothing."""
    port = Port(OrderOutcome.UNKNOWN)
    run(port, lambda: Authority(5, 1e9), 12, monkeypatch)
    assert len(port.orders) == 2
    assert port.orders[0] == port.orders[1]


def test_fenced_holder_stops_until_it_has_a_new_token(monkeypatch):
    """A holder that was refused for a higher token called again with the old one."""
    port = Port(OrderOutcome.FENCED)
    task = run(port, lambda: Authority(5, 1e9), 40, monkeypatch)
    assert len(port.orders) == 1
    assert task.switching == []


def test_engine_is_announced_before_it_is_ordered(monkeypatch):
    """Requests sent while an engine changed were refused and had to go elsewhere."""
    port = Port()
    task = run(port, lambda: Authority(5, 1e9), 5, monkeypatch)
    assert len(task.switching) == 1
    assert port.orders == []


def test_busy_engine_gets_no_order(monkeypatch):
    """An engine holds one order at a time."""
    port = Port()
    port.report = EngineReport(Phase.DECODE, True, 7)
    run(port, lambda: Authority(5, 1e9), 12, monkeypatch)
    assert port.orders == []


def test_phases_are_not_set_under_the_first_traffic(monkeypatch):
    """Demand is known only after seconds of traffic; changes made meanwhile took
    engines away from the first requests."""
    port, meter = Port(), DemandMeter()
    meter.note(HostId("e1"), ServiceName("models"), 50.0, 0.1, 100.0)
    run(port, lambda: Authority(5, 1e9), 20, monkeypatch, meter=meter)
    assert port.orders == []


def test_authority_lost_while_connecting_withholds_the_order(monkeypatch):
    """A leader that was frozen while it connected sent its order after those of its
    successor, and engines that check no tokens obeyed it."""
    port, held = Port(), [Authority(5, 1e9)]
    port.connecting = held.clear
    run(port, lambda: held[0] if held else None, 20, monkeypatch)
    assert port.orders == []


def test_new_term_is_not_the_authority_of_an_old_order(monkeypatch):
    """The order in hand bears the token of the term in which it was made."""
    port, fences = Port(), [5]

    def next_term():
        fences[0] += 1

    port.connecting = next_term
    run(port, lambda: Authority(fences[0], 1e9), 12, monkeypatch)
    assert port.orders == []
