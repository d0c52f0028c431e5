"""Tests of the planner task with a log that commits at once."""

import asyncio

from tests.planning.test_planner import POLICY, _fields, fleet, overload
from wigeonspan.catalog import Engine, EnginePhase, SetEngineState
from wigeonspan.common import ManualClock
from wigeonspan.planning import PlannerTask
from wigeonspan.record import RecordDecision


class InstantLog:
    """Replicated log that commits at once."""

    def __init__(self):
        self.is_leader = True
        self.term = 1
        self.commands = []

    async def propose(self, command):
        self.commands.append(command)
        return len(self.commands), None


class Samples:
    """Samples of a steady demand."""

    def covered_s(self, now, window_s):
        return min(now, window_s)

    def demand(self, now, window_s):
        return overload(now)

    def engine_work(self, now, window_s):
        return []


def run_steps(log, count, before_step=lambda number: None):
    clock = ManualClock()
    samples = Samples()
    task = PlannerTask(
        log, lambda: [*fleet(), POLICY], lambda: samples, lambda c: c, clock
    )

    async def steps():
        for number in range(count):
            before_step(number)
            clock.advance(5.0)
            await task.step()

    asyncio.run(steps())


def test_decision_is_committed_before_its_changes():
    """The reason of a change is committed before the change itself (invariant I10)."""
    log = InstantLog()
    run_steps(log, 14)
    kinds = [type(command) for command in log.commands]
    assert kinds[0] is RecordDecision
    assert SetEngineState in kinds
    first = kinds.index(SetEngineState)
    change = log.commands[first]
    assert change.wanted_role is not None
    assert f"engine/{change.engine}" in log.commands[0].subjects


def test_nothing_is_proposed_without_leadership():
    """A host that lost its lease makes no decisions (invariant I3)."""
    log = InstantLog()
    log.is_leader = False
    run_steps(log, 30)
    assert log.commands == []


def test_new_leader_waits_for_the_minimum_stay():
    """A new leader changes no role until the minimum stay has passed.

    It does not know when the engines last changed role.
    """
    log = InstantLog()

    def new_term(number):
        if number % 11 == 0:
            log.term += 1

    run_steps(log, 40, new_term)
    assert log.commands == []


def test_lost_engine_triggers_a_plan_at_once():
    """The loss of an engine triggers a plan before the next interval.

    The planner once waited for the interval to end after an engine crashed.
    """
    log, clock, engines = InstantLog(), ManualClock(), fleet()
    task = PlannerTask(log, lambda: [*engines, POLICY], Samples, lambda c: c, clock)
    clock.advance(5.0)
    asyncio.run(task.step())
    clock.advance(1.0)
    assert not task._is_due()
    lost = {**_fields(engines[0]), "phase": EnginePhase.FAILED}
    engines[0] = Engine(**lost)
    assert task._is_due()
