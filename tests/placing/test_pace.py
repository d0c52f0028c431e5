"""Tests of the limits on targets that have just started or recovered."""

import random

import pytest

from tests.placing.test_placer import prompt, route
from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.placing import Placer, Work, WorkKind, WorkLedger
from wigeonspan.placing._pace import MAX_PACE_S, MIN_SAMPLES, PaceEvent, TargetPace
from wigeonspan.targets import Phase, Target, TargetId

SERVICE = ServiceName("s")


def target(name, born_ms=1, slots=16, phase=Phase.NONE):
    domain = DomainName("a")
    return Target(
        TargetId(name), SERVICE, "a", domain, slots, phase=phase, born_ms=born_ms
    )


def work(name, at, kind=WorkKind.CALL, work_ms=25.0):
    return Work(name, HostId("e"), TargetId(at), kind, work_ms, 0)


@pytest.fixture
def ledger():
    return WorkLedger()


@pytest.fixture
def pace(ledger):
    pace = TargetPace(ledger)
    pace.update([target("t0"), target("t1")], 0.0)
    return pace


def occupy(ledger, at, number):
    for n in range(number):
        ledger.begin(work(f"{at}-{n}", at), 0.0)


def answer(pace, at, took_s, now=100.0, number=1):
    for _ in range(number):
        pace.record_answer(work("w", at), now - took_s, now)


def names(targets):
    return [t.target for t in targets]


def restart(pace, now=1.0):
    """Restart target ``t1`` and return the new list."""
    targets = [target("t0"), target("t1", born_ms=2)]
    pace.update(targets, now)
    return targets


def test_targets_of_the_first_list_are_not_paced(pace, ledger):
    """Guards against an entry that has just started and limits a steady fleet."""
    occupy(ledger, "t0", 3)
    targets = [target("t0"), target("t1")]
    assert pace.limits == {}
    assert pace.select(targets) is targets


@pytest.mark.parametrize("kind", ["new", "restarted"])
def test_new_and_restarted_targets_begin_with_a_share_of_their_slots(pace, kind):
    """Guards against a flood of a target whose caches are empty."""
    if kind == "new":
        pace.update([target("t0"), target("t1"), target("t2")], 1.0)
        assert pace.limits == {"t2": 2}
    else:
        restart(pace)
        assert pace.limits == {"t1": 2}


def test_target_that_was_missing_from_a_list_is_not_new(pace):
    """Guards against limits on a steady fleet after an incomplete list."""
    pace.update([target("t0")], 1.0)
    pace.update([target("t0"), target("t1")], 2.0)
    assert pace.limits == {}


def test_target_at_its_limit_gets_no_more_while_others_have_room(pace, ledger):
    """Guards against a limit for each entry: the work of all entries counts."""
    targets = restart(pace)
    occupy(ledger, "t1", 1)
    assert names(pace.select(targets)) == ["t0", "t1"]
    ledger.begin(
        Work("o", HostId("other"), TargetId("t1"), WorkKind.CALL, 25.0, 0), 0.0
    )
    assert names(pace.select(targets)) == ["t0"]


def test_limit_does_not_apply_when_the_others_are_full(pace, ledger):
    """Guards against holding work back that the new target could do."""
    targets = restart(pace)
    occupy(ledger, "t1", 2)
    occupy(ledger, "t0", 31)
    assert names(pace.select(targets)) == ["t0"]
    occupy(ledger, "t0", 32)
    assert names(pace.select(targets)) == ["t0", "t1"]


def test_fast_answers_double_the_limit_and_lift_it(pace):
    """Guards against a limit that stays although the target keeps up."""
    answer(pace, "t0", 0.1, number=MIN_SAMPLES)
    restart(pace)
    answer(pace, "t1", 0.1, number=2)
    assert pace.limits == {"t1": 4}
    answer(pace, "t1", 0.15, number=4)
    assert pace.limits == {"t1": 8}
    answer(pace, "t1", 0.1, number=8)
    assert pace.limits == {}
    assert [c.event for c in pace.take_changes()] == [
        PaceEvent.STARTED,
        PaceEvent.LIFTED,
    ]


def test_slow_answers_halve_the_limit_once_per_round(pace):
    """Guards against more work for a target that has become slow, and against a limit
    of 1 after a single bad moment of many requests."""
    answer(pace, "t0", 0.1, number=MIN_SAMPLES)
    restart(pace)
    answer(pace, "t1", 0.1, number=6)
    answer(pace, "t1", 0.5, now=10.0, number=5)
    assert pace.limits == {"t1": 4}
    answer(pace, "t1", 0.5, now=10.6)
    assert pace.limits == {"t1": 2}


def test_limit_grows_slowly_where_the_target_has_failed(pace):
    """Guards against doubling again to the work at which the target failed."""
    pace.record_suspension(TargetId("t1"), 1.0)
    answer(pace, "t1", 0.1, number=6)
    pace.record_suspension(TargetId("t1"), 2.0)
    answer(pace, "t1", 0.1, number=2)
    assert pace.limits == {"t1": 4}
    answer(pace, "t1", 0.1, number=3)
    assert pace.limits == {"t1": 4}
    answer(pace, "t1", 0.1, number=1)
    assert pace.limits == {"t1": 5}


def test_answers_between_fast_and_slow_leave_the_limit(pace):
    """Guards against raising the limit of a target that is still cold."""
    answer(pace, "t0", 0.1, number=MIN_SAMPLES)
    restart(pace)
    answer(pace, "t1", 0.3, number=20)
    assert pace.limits == {"t1": 2}


def test_answers_of_paced_targets_do_not_become_the_usual_time(pace):
    """Guards against a cold target that makes its own slowness usual."""
    answer(pace, "t0", 0.1, number=MIN_SAMPLES)
    restart(pace)
    answer(pace, "t1", 0.9, number=50)
    answer(pace, "t1", 0.3, number=1)
    assert pace.limits == {"t1": 1}


def test_failure_halves_and_suspension_restarts_the_limit(pace):
    """Guards against a recovered target that is flooded and fails again."""
    pace.record_failure(TargetId("t1"), 0.5)
    assert pace.limits == {}
    pace.record_suspension(TargetId("t1"), 1.0)
    assert pace.limits == {"t1": 2}
    answer(pace, "t1", 0.1, number=10)
    pace.record_failure(TargetId("t1"), 2.0)
    assert pace.limits == {"t1": 6}
    pace.record_suspension(TargetId("t1"), 3.0)
    assert pace.limits == {"t1": 2}


def test_reports_of_all_entries_about_one_suspension_give_one_log_line(pace):
    """Guards against 69 lines when a target goes down that all entries use."""
    for _ in range(69):
        pace.record_suspension(TargetId("t1"), 1.0)
    assert len(pace.take_changes()) == 1


def test_pace_ends_after_its_longest_time(pace):
    """Guards against a limit that stays for ever on a machine that is always slow."""
    restart(pace, now=1.0)
    pace.expire(1.0 + MAX_PACE_S - 0.1)
    assert pace.limits == {"t1": 2}
    pace.expire(1.0 + MAX_PACE_S)
    assert pace.limits == {}
    assert pace.take_changes()[-1].event is PaceEvent.EXPIRED


def test_targets_that_are_gone_have_no_limit(pace):
    """Guards against state that grows with every replaced target."""
    restart(pace)
    pace.update([target("t0")], 2.0)
    assert pace.limits == {}
    pace.record_suspension(TargetId("t1"), 3.0)
    assert pace.limits == {}


def test_no_target_is_limited_when_most_have_just_started(pace, ledger):
    """Guards against limits that slow the start of a whole fleet: the few that are
    lifted first, or that are older, cannot do the work of all."""
    started = [target(f"n{n}") for n in range(3)]
    pace.update([target("t0"), *started], 1.0)
    occupy(ledger, "n0", 3)
    assert pace.select([target("t0"), *started]) == [target("t0"), *started]
    assert pace.select(started) == started


def engines(born_ms=1):
    return [
        target("p0", phase=Phase.PREFILL),
        target("p1", born_ms, phase=Phase.PREFILL),
        target("d0", phase=Phase.DECODE),
        target("d1", born_ms, phase=Phase.DECODE),
    ]


def test_engines_at_their_limits_get_no_generations():
    """Guards against pacing plain targets only."""
    placer = Placer(DomainName("a"), random.Random(1))
    placer.pace.update(engines(), 0.0)
    placer.pace.update(engines(born_ms=2), 1.0)
    assert placer.pace.limits == {"p1": 1, "d1": 2}
    placer.ledger.begin(work("r", "p1", WorkKind.PREFILL), 1.0)
    placer.ledger.begin(work("s", "d1", WorkKind.DECODE), 1.0)
    placer.ledger.begin(work("u", "d1", WorkKind.DECODE), 1.0)
    # The older engines have more work, so they would not be chosen otherwise.
    placer.ledger.begin(work("v", "p0", WorkKind.PREFILL, 200.0), 1.0)
    for n in range(8):
        placer.ledger.begin(work(f"x{n}", "d0", WorkKind.DECODE), 1.0)
    plan = placer.plan(route(), prompt(), engines(born_ms=2), 10.0, 1.0)
    assert (plan.prefill.target, plan.decode.target) == ("p0", "d0")
    placer.ledger.begin(work("y", "p0", WorkKind.PREFILL, 200.0), 1.0)
    for n in range(16):
        placer.ledger.begin(work(f"x{n}", "d0", WorkKind.DECODE), 1.0)
    plan = placer.plan(route(), prompt(), engines(born_ms=2), 10.0, 1.0)
    assert (plan.prefill.target, plan.decode.target) == ("p1", "d1")


def test_work_of_other_entries_raises_the_limit():
    """Guards against entries that disagree because each counts only its answers."""
    placer = Placer(DomainName("a"), random.Random(1))
    placer.pace.update([target("t0"), target("t1")], 0.0)
    restart(placer.pace)
    for n in range(3):
        placer.ledger.begin(
            Work(f"o{n}", HostId("other"), TargetId("t1"), WorkKind.CALL, 25.0, 0), 1.0
        )
        placer.end_work(f"o{n}", 1.1, completed=n > 0)
    assert placer.pace.limits == {"t1": 4}


def test_reports_of_one_failure_by_many_entries_count_once(pace):
    """Each entry reports the suspension of a target that is dark. The reports taken
    for failures at ever less work left a recovered target at an eighth of its slots
    until its pace expired."""
    for n in range(20):
        pace.record_suspension(TargetId("t1"), 1.0 + 0.01 * n)
    answer(pace, "t1", 0.1, number=14)
    assert pace.limits == {}


def test_answer_to_work_from_before_a_failure_shows_no_second_one(pace):
    """Guards against late answers between two reports of the same failure."""
    pace.record_suspension(TargetId("t1"), 1.0)
    answer(pace, "t1", 0.5, now=1.1)
    pace.record_suspension(TargetId("t1"), 1.2)
    answer(pace, "t1", 0.1, number=14)
    assert pace.limits == {}
