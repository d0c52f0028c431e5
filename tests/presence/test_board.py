"""Live entries and the answers of the directory."""

import random

import pytest

from wigeonspan.common import DomainName, HostId
from wigeonspan.presence import Beat, EntryBoard, EntryInfo, EntryState

RNG = random.Random(1)


def beat(name, domain="a", state=EntryState.READY):
    entry = EntryInfo(
        HostId(name), DomainName(domain), f"{name}:80", f"{name}:81", state
    )
    return Beat(entry, 1, "")


def board(*beats, at=0.0):
    made = EntryBoard()
    for one in beats:
        made.record(one, at)
    return made


def test_callers_get_the_entries_of_their_own_domain():
    """Bytes between domains cost time and money."""
    made = board(beat("a1"), beat("a2"), beat("b1", "b"))
    assert sorted(made.addresses(DomainName("a"), 64, RNG, 0.0)) == ["a1:80", "a2:80"]


def test_a_lone_entry_of_a_domain_is_not_the_only_answer():
    """Its loss would leave the callers of that domain without an address."""
    made = board(beat("a1"), beat("b1", "b"), beat("b2", "b"))
    assert len(made.addresses(DomainName("a"), 64, RNG, 0.0)) == 3


@pytest.mark.parametrize("state", [EntryState.LEAVING, EntryState.STARTING])
def test_entries_that_do_not_serve_are_not_named(state):
    """Callers keep an answer for seconds."""
    made = board(beat("a1"), beat("a2"), beat("a3", state=state))
    assert "a3:80" not in made.addresses(DomainName("a"), 64, RNG, 0.0)


def test_silent_entry_is_dropped():
    """A killed entry was named until its callers gave up on it."""
    made = board(beat("a1"), beat("a2"), beat("a3"))
    made.record(beat("a1"), 3.0)
    made.record(beat("a2"), 3.0)
    assert [e.host for e in made.live(3.0)] == ["a1", "a2"]


def test_isolated_control_host_goes_on_naming_all():
    """A control host that was cut off from all entries answered callers with none,
    although every entry served."""
    made = board(beat("a1"), beat("a2"), beat("a3"))
    assert len(made.live(5.0)) == 3


def test_answers_are_limited():
    """Callers read a limited number of addresses."""
    made = board(*(beat(f"a{n}") for n in range(80)))
    assert len(made.addresses(DomainName("a"), 64, RNG, 0.0)) == 64


def test_digest_changes_with_a_state():
    """Entries keep their list while the digest is the same."""
    made = board(beat("a1"), beat("a2"))
    before = made.digest(0.0)
    made.record(beat("a2", state=EntryState.LEAVING), 0.0)
    assert made.digest(0.0) != before


def test_digest_follows_an_entry_at_once_and_silence_soon():
    """Hashing all entries for each heartbeat took a third of a core with two hundred;
    a digest that is kept must not hide a change."""
    board = EntryBoard()
    first = beat("e1")
    board.record(first, 0.0)
    before = board.digest(0.0)
    board.record(beat("e2"), 0.01)
    both = board.digest(0.01)
    assert both != before
    board.record(first, 1.7)
    assert board.digest(1.7) == before
