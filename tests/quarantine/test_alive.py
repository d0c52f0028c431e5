"""Tests of breaks at targets that have not crashed."""

import pytest

from wigeonspan.quarantine import PromptQuarantine, TargetAlive
from wigeonspan.quarantine._evidence import ALIVE_UNTIL_S
from wigeonspan.targets import TargetId

TARGETS = [TargetId(f"t{n}") for n in range(8)]


def break_off(quarantine, number, now):
    quarantine.record_break(TARGETS[number], ["first", "part"], now)


@pytest.mark.parametrize("others_go_on", [True, False])
def test_streams_that_break_off_alone_put_no_part_under_quarantine(others_go_on):
    """A part was quarantined because targets had lost the answers of its requests.

    The targets went on with other streams, so they had not crashed.
    """
    quarantine = PromptQuarantine()
    for number in range(6):
        now = 100.0 + number
        break_off(quarantine, number, now)
        quarantine.tick(now + 0.1)
        if others_go_on:
            assert quarantine.record_alive(TARGETS[number], now + 0.1, now + 0.25)
        quarantine.tick(now + 0.5)
    verdict = quarantine.check(["first", "part"], 106.0)
    assert (verdict is None) is others_go_on
    assert (quarantine.suspects == 0) is others_go_on


@pytest.mark.parametrize(
    ("sent_s", "after_s", "refutes"),
    [
        (-0.01, 0.3, False),
        (0.01, 0.3, True),
        (0.01, ALIVE_UNTIL_S - 0.01, True),
        (0.01, ALIVE_UNTIL_S + 0.01, False),
    ],
)
def test_event_refutes_a_crash_only_between_two_starts(sent_s, after_s, refutes):
    """Events of earlier streams may be late, and those of the next start show nothing.

    Then the blame for a real crash would be lost.
    """
    quarantine = PromptQuarantine()
    break_off(quarantine, 0, 100.0)
    alive = quarantine.record_alive(TARGETS[0], 100.0 + sent_s, 100.0 + after_s)
    assert bool(alive) is refutes
    assert (quarantine.suspects == 0) is refutes


def test_refuted_crash_does_not_end_a_quarantine():
    """A culprit came back when an event of the next start followed its last crash."""
    quarantine = PromptQuarantine()
    for n in range(4):
        quarantine.record_break(TARGETS[n], ["culprit"], 100.0 + n)
        quarantine.tick(100.6 + n)
    quarantine.record_alive(TARGETS[3], 103.1, 103.7)
    assert quarantine.check(["culprit"], 104.0) is not None


def test_other_entries_learn_that_a_target_has_not_crashed():
    """The entry whose stream broke off may have no other stream at the target."""
    here, there = PromptQuarantine(), PromptQuarantine()
    for message in here.record_break(TARGETS[0], ["part"], 100.0):
        there.apply(message, 100.02)
    (alive,) = there.record_alive(TARGETS[0], 100.1, 100.3)
    assert isinstance(alive, TargetAlive) and alive.target == TARGETS[0]
    here.apply(alive, 100.32)
    assert here.suspects == there.suspects == 0
    # A report that is repeated later does not bring the blame back.
    for message in here.record_break(TARGETS[0], ["part"], 100.35):
        there.apply(message, 100.37)
    assert here.suspects == there.suspects == 0


def test_target_that_is_down_does_not_crash_again():
    """A sound part was held back after breaks of connections to targets that were down.

    Each counted as a further crash (soak seed 733).
    """
    quarantine = PromptQuarantine()
    for n in range(8):
        quarantine.record_break(TARGETS[n % 2], ["part"], 100.0 + n, born_ms=n % 2 + 1)
        quarantine.tick(100.9 + n)
    assert quarantine.check(["part"], 110.0) is None
    # The next start of the target may crash.
    quarantine.record_break(TARGETS[0], ["part"], 111.0, born_ms=9)
    quarantine.tick(112.0)
    assert quarantine.check(["part"], 112.0) is not None


def test_request_to_a_target_that_is_down_is_no_suspect():
    """Sound parts were held back that had come to targets after their crashes.

    Soak seed 718 showed it with requests 0.1 s and 0.5 s after a crash.
    """
    quarantine = PromptQuarantine()
    for n in range(6):
        at, target = 100.0 + n, TARGETS[n]
        quarantine.record_break(target, ["culprit"], at, born_ms=1, sent_s=0.05)
        quarantine.record_break(target, ["sound"], at + 0.1, born_ms=1, sent_s=0.01)
        quarantine.record_break(target, ["sound"], at + 0.5, born_ms=1, sent_s=0.01)
        quarantine.tick(100.9 + n)
    assert quarantine.check(["sound"], 110.0) is None
    assert quarantine.check(["culprit"], 110.0) is not None


def test_event_of_the_same_start_refutes_a_crash_at_any_time():
    """A lost answer hid the later crash of the same start of its target."""
    quarantine = PromptQuarantine()
    quarantine.record_break(TARGETS[0], ["part"], 100.0, born_ms=1)
    assert not quarantine.record_alive(TARGETS[0], 102.0, 102.1, born_ms=1)
    assert quarantine.record_alive(TARGETS[0], 104.0, 104.1, born_ms=1)
    assert quarantine.suspects == 0
    quarantine.record_break(TARGETS[0], ["part"], 105.0, born_ms=1)
    assert quarantine.suspects == 1
