"""Tests of the orders that change phases, with a scripted port."""

import asyncio

import pytest

from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName
from wigeonspan.staging import (
    Authority,
    DemandMeter,
    EngineDemand,
    EngineReport,
    OrderOutcome,
    PhaseChangeTask,
    PhaseOrder,
)
from wigeonspan.targets import Listing, Phase, Target, TargetId
from wigeonspan.trail import EventLog, ProcessMetrics


class ScriptedPort:
    """Port that returns the given outcomes and records the orders."""

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


class NullWriter:
    dropped = 0

    def add(self, line):
        pass

    def flush(self):
        pass


FEW_PREFILL = (Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.DECODE)


def listing(phases=FEW_PREFILL):
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


def run(
    port,
    authority,
    rounds,
    monkeypatch,
    step_s=0.5,
    meter=None,
    phases=FEW_PREFILL,
    limited=(),
):
    """Run a number of rounds of the task on a manual clock and return the task."""
    clock = ManualClock(100.0)

    async def read_listing():
        return listing(phases)

    task = PhaseChangeTask(
        HostId("c1"),
        clock,
        port,
        EventLog(HostId("c1"), clock, NullWriter()),
        authority,
        read_listing,
        meter or DemandMeter(),
        ProcessMetrics(),
        lambda: limited,
    )
    remaining_rounds = rounds

    async def sleep(_):
        nonlocal remaining_rounds
        clock.advance(step_s)
        remaining_rounds -= 1
        if remaining_rounds < 0:
            raise asyncio.CancelledError

    monkeypatch.setattr("wigeonspan.staging._task.asyncio.sleep", sleep)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(task.run())
    return task


def test_order_carries_fence_and_the_count_of_orders(monkeypatch):
    """Without them, an order carried out after newer ones would undo these."""
    port = ScriptedPort()
    run(port, lambda: Authority(5, 1e9), 10, monkeypatch)
    assert [(o.fence, o.after) for o in port.orders] == [(5, 7)]


def test_without_authority_no_order_is_sent(monkeypatch):
    """Two holders must not send orders to the same engine alternately."""
    port = ScriptedPort()
    run(port, lambda: None, 20, monkeypatch)
    assert port.orders == []


def test_authority_lost_between_notice_and_order_stops_it(monkeypatch):
    """Guards against an order from a leader that lost its lease while waiting."""
    port = ScriptedPort()
    calls = iter([Authority(5, 1e9)] * 5 + [None] * 50)
    run(port, lambda: next(calls), 20, monkeypatch)
    assert port.orders == []


def test_unanswered_order_is_repeated_with_the_same_count(monkeypatch):
    """Both may be carried out; with the same count the second one has no effect."""
    port = ScriptedPort(OrderOutcome.UNKNOWN)
    run(port, lambda: Authority(5, 1e9), 12, monkeypatch)
    assert len(port.orders) == 2
    assert port.orders[0] == port.orders[1]


def test_fenced_holder_stops_until_it_has_a_new_token(monkeypatch):
    """Guards against orders with a token that an engine has refused as outdated."""
    port = ScriptedPort(OrderOutcome.FENCED)
    task = run(port, lambda: Authority(5, 1e9), 40, monkeypatch)
    assert len(port.orders) == 1
    assert task.switching == []


def test_change_is_announced_before_the_order_is_sent(monkeypatch):
    """Guards against requests to a changing engine, which refuses them."""
    port = ScriptedPort()
    task = run(port, lambda: Authority(5, 1e9), 5, monkeypatch)
    assert len(task.switching) == 1
    assert port.orders == []


def test_busy_engine_gets_no_order(monkeypatch):
    """An engine carries out one order at a time."""
    port = ScriptedPort()
    port.report = EngineReport(Phase.DECODE, True, 7)
    run(port, lambda: Authority(5, 1e9), 12, monkeypatch)
    assert port.orders == []


def test_phases_are_not_set_once_there_is_traffic(monkeypatch):
    """Demand is known only after seconds of traffic; earlier changes would make engines
    unavailable to the first requests."""
    port, meter = ScriptedPort(), DemandMeter()
    meter.record(HostId("e1"), ServiceName("models"), 50.0, 0.1, 100.0)
    run(port, lambda: Authority(5, 1e9), 20, monkeypatch, meter=meter)
    assert port.orders == []


def test_authority_lost_while_connecting_withholds_the_order(monkeypatch):
    """Guards against a leader that stalls while it connects and sends its order
    after those of its successor: engines that do not check tokens obeyed it."""
    port, authorities = ScriptedPort(), [Authority(5, 1e9)]
    port.connecting = authorities.clear
    run(port, lambda: authorities[0] if authorities else None, 20, monkeypatch)
    assert port.orders == []


def test_new_term_is_not_the_authority_of_an_old_order(monkeypatch):
    """An order must not be sent in a later term than the one of its token."""
    port, fences = ScriptedPort(), [5]

    def next_term():
        fences[0] += 1

    port.connecting = next_term
    run(port, lambda: Authority(fences[0], 1e9), 12, monkeypatch)
    assert port.orders == []


class BusyMeter(DemandMeter):
    """Meter of a service with steady demand."""

    def demand(self, service, now):
        return EngineDemand(1.0, 30.0, recent_streams=30.0)


@pytest.mark.parametrize("limited", [(), ("t4", "t5")])
def test_engines_that_limit_their_requests_are_made_up_for(limited, monkeypatch):
    """With both decode engines limited to a few requests a second, all others were
    refused although four engines had little to do."""
    port, phases = ScriptedPort(), (*[Phase.PREFILL] * 4, *[Phase.DECODE] * 2)
    run(
        port,
        lambda: Authority(5, 1e9),
        8,
        monkeypatch,
        meter=BusyMeter(),
        phases=phases,
        limited=limited,
    )
    assert [order.phase for order in port.orders] == [Phase.DECODE] * bool(limited)


def test_last_engines_without_a_limit_keep_their_phases(monkeypatch):
    """The only prefill engine must not follow when all decode engines are limited."""
    port, limited = ScriptedPort(), ("t1", "t2", "t3")
    run(port, lambda: Authority(5, 1e9), 8, monkeypatch, limited=limited)
    assert all(order.phase is Phase.PREFILL for order in port.orders)
