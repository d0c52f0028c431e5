"""Tests of the live entries and the addresses for callers."""

import random

import pytest

from wigeonspan.common import DomainName, HostId
from wigeonspan.presence import Beat, EntryHeartbeats, EntryInfo, EntryState

RNG = random.Random(1)


def beat(name, domain="a", state=EntryState.READY):
    entry = EntryInfo(
        HostId(name), DomainName(domain), f"{name}:80", f"{name}:81", state
    )
    return Beat(entry, 1, "")


def board(*beats, at=0.0):
    entry_board = EntryHeartbeats()
    for one in beats:
        entry_board.record(one, at)
    return entry_board


def test_callers_get_the_entries_of_their_own_domain():
    """Traffic between domains is slow and expensive."""
    entry_board = board(beat("a1"), beat("a2"), beat("b1", "b"))
    assert sorted(entry_board.addresses(DomainName("a"), 64, RNG, 0.0)) == [
        "a1:80",
        "a2:80",
    ]


def test_single_entry_of_a_domain_is_not_the_only_answer():
    """If it failed, the callers of that domain would have no address left."""
    entry_board = board(beat("a1"), beat("b1", "b"), beat("b2", "b"))
    assert len(entry_board.addresses(DomainName("a"), 64, RNG, 0.0)) == 3


@pytest.mark.parametrize("state", [EntryState.LEAVING, EntryState.STARTING])
def test_entries_that_are_not_ready_are_not_listed(state):
    """Callers cache an answer for seconds and would use the wrong entry that long."""
    entry_board = board(beat("a1"), beat("a2"), beat("a3", state=state))
    assert "a3:80" not in entry_board.addresses(DomainName("a"), 64, RNG, 0.0)


def test_entry_without_heartbeats_is_dropped():
    """Guards against listing a killed entry until its callers time out."""
    entry_board = board(beat("a1"), beat("a2"), beat("a3"))
    entry_board.record(beat("a1"), 3.0)
    entry_board.record(beat("a2"), 3.0)
    assert [e.host for e in entry_board.live(3.0)] == ["a1", "a2"]


def test_isolated_control_host_still_lists_all_entries():
    """Guards against an empty answer from a control host that is isolated from all
    entries although every entry serves requests."""
    entry_board = board(beat("a1"), beat("a2"), beat("a3"))
    assert len(entry_board.live(5.0)) == 3


def test_answers_are_limited():
    """Callers can read only a limited number of addresses."""
    entry_board = board(*(beat(f"a{n}") for n in range(80)))
    assert len(entry_board.addresses(DomainName("a"), 64, RNG, 0.0)) == 64


def test_digest_changes_with_a_state():
    """Entries update their list only when the digest changes."""
    entry_board = board(beat("a1"), beat("a2"))
    before = entry_board.digest(0.0)
    entry_board.record(beat("a2", state=EntryState.LEAVING), 0.0)
    assert entry_board.digest(0.0) != before


def test_digest_changes_at_once_with_an_entry_and_soon_after_its_loss():
    """Hashing all entries for each heartbeat took a third of a core with 200 entries,
    so the digest is cached; the cache must not hide a change."""
    board = EntryHeartbeats()
    first = beat("e1")
    board.record(first, 0.0)
    before = board.digest(0.0)
    board.record(beat("e2"), 0.01)
    both = board.digest(0.01)
    assert both != before
    board.record(first, 1.7)
    assert board.digest(1.7) == before
