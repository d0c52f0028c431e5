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


def make_heartbeats(*beats, at=0.0):
    heartbeats = EntryHeartbeats()
    for one in beats:
        heartbeats.record(one, at)
    return heartbeats


def test_callers_get_the_entries_of_their_own_domain():
    """Traffic between domains is slow and expensive."""
    heartbeats = make_heartbeats(beat("a1"), beat("a2"), beat("b1", "b"))
    assert sorted(heartbeats.addresses(DomainName("a"), 64, RNG, 0.0)) == [
        "a1:80",
        "a2:80",
    ]


def test_single_entry_of_a_domain_is_not_the_only_answer():
    """If it failed, the callers of that domain would have no address left."""
    heartbeats = make_heartbeats(beat("a1"), beat("b1", "b"), beat("b2", "b"))
    assert len(heartbeats.addresses(DomainName("a"), 64, RNG, 0.0)) == 3


@pytest.mark.parametrize("state", [EntryState.LEAVING, EntryState.STARTING])
def test_entries_that_are_not_ready_are_not_listed(state):
    """Callers cache an answer for seconds and would use such an entry all that time."""
    heartbeats = make_heartbeats(beat("a1"), beat("a2"), beat("a3", state=state))
    assert "a3:80" not in heartbeats.addresses(DomainName("a"), 64, RNG, 0.0)


def test_entry_without_heartbeats_is_dropped():
    """Guards against listing a killed entry until its callers time out."""
    heartbeats = make_heartbeats(beat("a1"), beat("a2"), beat("a3"))
    heartbeats.record(beat("a1"), 3.0)
    heartbeats.record(beat("a2"), 3.0)
    assert [e.host for e in heartbeats.live(3.0)] == ["a1", "a2"]


def test_isolated_control_host_still_lists_all_entries():
    """Guards against an empty answer from a control host that is isolated from all
    entries although every entry serves requests."""
    heartbeats = make_heartbeats(beat("a1"), beat("a2"), beat("a3"))
    assert len(heartbeats.live(5.0)) == 3


def test_number_of_returned_addresses_is_limited():
    """Callers can read only a limited number of addresses."""
    heartbeats = make_heartbeats(*(beat(f"a{n}") for n in range(80)))
    assert len(heartbeats.addresses(DomainName("a"), 64, RNG, 0.0)) == 64


def test_digest_changes_with_a_state():
    """Entries update their list only when the digest changes."""
    heartbeats = make_heartbeats(beat("a1"), beat("a2"))
    before = heartbeats.digest(0.0)
    heartbeats.record(beat("a2", state=EntryState.LEAVING), 0.0)
    assert heartbeats.digest(0.0) != before


def test_digest_changes_at_once_with_an_entry_and_soon_after_its_loss():
    """Hashing all entries for each heartbeat took a third of a core with 200 entries,
    so the digest is cached; the cache must not hide a change."""
    heartbeats = EntryHeartbeats()
    first = beat("e1")
    heartbeats.record(first, 0.0)
    before = heartbeats.digest(0.0)
    heartbeats.record(beat("e2"), 0.01)
    both = heartbeats.digest(0.01)
    assert both != before
    heartbeats.record(first, 1.7)
    assert heartbeats.digest(1.7) == before
