"""Tests of the replies of control hosts to heartbeats of entries."""

import pytest
from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, ManualClock, encode
from wigeonspan.coordinator._heartbeats import Heartbeats
from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.presence import (
    Beat,
    EntryInfo,
    EntryLoad,
    EntryState,
    Resources,
    unpack,
)
from wigeonspan.quarantine import PartQuarantined
from wigeonspan.staging import DemandMeter

STORED = StoredConfig(3, b"{}")


def beat(name, version=0, *, wants_changes=True, relay="", digest=""):
    host, domain = HostId(name), DomainName("a")
    entry = EntryInfo(host, domain, f"{name}:80", f"{name}:81", EntryState.READY)
    return Beat(entry, version, digest, wants_changes, relay=relay)


@pytest.fixture
def heartbeats():
    return Heartbeats("c1:1", DomainName("a"), ManualClock(), DemandMeter())


def test_reply_contains_changes_when_they_are_wanted(heartbeats):
    """The configuration and the entries are sent until the entry has both."""
    first = heartbeats.receive(beat("e1"), STORED, ["c1:1"], [])
    assert unpack(first.config, StoredConfig) == STORED
    assert unpack(first.entries, list[EntryInfo]) == [beat("e1").entry]
    again = beat("e1", 3, digest=first.entries_digest)
    second = heartbeats.receive(again, STORED, ["c1:1"], [])
    assert (second.config, second.entries) == (None, None)


def test_reply_contains_only_the_version_when_changes_are_not_wanted(heartbeats):
    """Only the control host that an entry asks sends the complete state.

    Otherwise every control host would send everything to every entry.
    """
    reply = heartbeats.receive(beat("e1", wants_changes=False), STORED, ["c1:1"], [])
    assert (reply.config, reply.entries) == (None, None)
    assert reply.config_version == 3


def test_relay_knows_its_entries_and_the_other_relays(heartbeats):
    """Each entry belongs to one relay, so that it gets each bundle only once."""
    for entry in (beat("e1", relay="c1:1"), beat("e2", relay="c2:1"), beat("e3")):
        heartbeats.receive(entry, STORED, ["c1:1"], [])
    assert heartbeats.relayed_entries() == ["e1:81"]
    assert heartbeats.other_relays() == ["c2:1"]
    assert heartbeats.live_entries == 3


def test_entry_that_starts_gets_the_verdicts_that_others_reported(heartbeats):
    """Entries that were killed together knew no part that crashes engines."""
    verdict = PartQuarantined("bad", 2.0)
    reporting = replace(beat("e1"), quarantined=[verdict])
    assert heartbeats.receive(reporting, STORED, ["c1:1"], []).quarantined == []
    reply = heartbeats.receive(beat("e2"), STORED, ["c1:1"], [])
    assert [v.part for v in reply.quarantined] == ["bad"]


def test_list_with_weights_is_sent_seldom():
    """Entries got the list anew with each heartbeat that changed a weight."""
    clock = ManualClock()
    heartbeats = Heartbeats("c1:1", DomainName("a"), clock, DemandMeter())
    digest, lists = "", []
    for turn in range(120):
        clock.advance(0.5)
        for name, cores in (("e1", 0.4), ("e2", 1.2)):
            used = Resources(cores=cores * (0.9 if turn % 12 < 6 else 0.1))
            load = EntryLoad(Resources(cores=cores), used)
            one = replace(beat(name, 3, digest=digest), load=load)
            reply = heartbeats.receive(one, STORED, ["c1:1"], [])
            digest = reply.entries_digest
            if reply.entries is not None:
                lists.append(unpack(reply.entries, list[EntryInfo]))
    assert 1 < len(lists) <= 2 + 60.0 / 5.0
    small, large = lists[-1]
    assert small.weight < 100 < large.weight


def test_reports_of_equal_entries_change_no_byte_of_the_list(heartbeats):
    """Entries of an older build, and replays, must see the list as it was."""
    load = EntryLoad(Resources(cores=1.0), Resources(cores=0.7))
    for name in ("e1", "e2"):
        plain = heartbeats.receive(beat(name), STORED, ["c1:1"], [])
    other = Heartbeats("c1:1", DomainName("a"), ManualClock(), DemandMeter())
    for name in ("e1", "e2"):
        reporting = replace(beat(name), load=load)
        reply = other.receive(reporting, STORED, ["c1:1"], [])
    assert (reply.entries, reply.entries_digest) == (
        plain.entries,
        plain.entries_digest,
    )


def test_replies_tell_entries_which_domains_are_full():
    """Entries answer most look-ups, and sent all callers to the full domain."""
    clock = ManualClock()
    heartbeats = Heartbeats("c1:1", DomainName("a"), clock, DemandMeter())
    for _ in range(10):
        clock.advance(0.5)
        for name, domain, cores in (("e1", "a", 0.95), ("e2", "b", 0.2)):
            one = beat(name, 3)
            entry = replace(one.entry, domain=DomainName(domain))
            load = EntryLoad(Resources(cores=1.0), Resources(cores=cores))
            one = replace(one, entry=entry, load=load)
            reply = heartbeats.receive(one, STORED, ["c1:1"], [])
    assert list(reply.spills) == ["a"]
    assert 0.0 < reply.spills["a"] < 0.5


def test_replies_without_full_domains_are_as_before(heartbeats):
    """Builds of two versions run side by side, and replays compare bytes."""
    reply = heartbeats.receive(beat("e1"), STORED, ["c1:1"], [])
    assert b"spills" not in encode(reply)
