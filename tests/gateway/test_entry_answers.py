"""Tests of the addresses that an entry names to callers."""

import random

import pytest
from msgspec import UNSET
from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, ManualClock
from wigeonspan.gateway import Gateway, GatewaySettings
from wigeonspan.presence import BeatReply, EntryInfo, EntryState

A = DomainName("a")
SETTINGS = GatewaySettings("a0", A, "a0", "", "", "", ["c1:1"], 0.2, 10.0, 10.0)
ENTRIES = [
    EntryInfo(HostId(f"{d}{n}"), DomainName(d), f"{d}{n}", "", EntryState.READY)
    for d in "ab"
    for n in range(10)
]


@pytest.fixture
def gateway():
    clock = ManualClock(1.0)
    gateway = Gateway(SETTINGS, None, None, None, clock, random.Random(1))
    gateway._update_entries(ENTRIES)
    gateway._state = EntryState.READY
    return gateway


def reply(spills, *, leads=True):
    return BeatReply(0, None, None, "", [], leads=leads, spills=spills)


def named_domains(gateway):
    return {address[0] for address in gateway.addresses(A)}


def test_entry_names_other_domains_when_the_leader_says_that_its_own_is_full(gateway):
    """Entries answer most look-ups, and sent all callers to the full domain."""
    assert named_domains(gateway) == {"a"}
    gateway._receive_reply("c1:1", reply({A: 0.3}), 1.0, 1.0)
    assert named_domains(gateway) == {"a", "b"}
    gateway._receive_reply("c2:1", reply(UNSET, leads=False), 1.0, 1.0)
    assert named_domains(gateway) == {"a", "b"}
    gateway._receive_reply("c1:1", reply(UNSET), 1.0, 1.0)
    assert named_domains(gateway) == {"a"}


def test_entry_follows_the_weights_of_its_list(gateway):
    """The smallest entry of the list got as many callers as the others."""
    gateway._update_entries([replace(ENTRIES[0], weight=30), *ENTRIES[1:10]])
    named = [a for _ in range(50) for a in gateway.addresses(A)]
    assert len(named) == 50 * 64
    assert named.count("a0") < 0.5 * named.count("a1")


def test_change_of_weights_is_no_change_of_the_entries(gateway, monkeypatch):
    """The log would name all hosts of the fleet with each change of a weight."""
    written = []
    monkeypatch.setattr(
        gateway._context.event_log,
        "write",
        lambda *line, **fields: written.append(line),
    )
    gateway._update_entries([replace(ENTRIES[0], weight=30), *ENTRIES[1:]])
    assert written == []
    gateway._update_entries(ENTRIES[1:])
    assert written == [("entries", "entries_changed")]
