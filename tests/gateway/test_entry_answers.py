"""Tests of the addresses that an entry names to callers."""

import asyncio
import random
import socket

import pytest
from msgspec import UNSET
from msgspec.structs import replace

from wigeonspan.common import (
    DomainName,
    HostId,
    ManualClock,
    SystemClock,
    WigeonspanError,
)
from wigeonspan.gateway import Gateway, GatewaySettings
from wigeonspan.presence import RETENTION_S, BeatReply, EntryInfo, EntryState
from wigeonspan.sharing import EntryStopping

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


def test_entry_refuses_when_its_host_was_suspended():
    """After a suspension an entry named entries that had been replaced meanwhile."""
    clock, boot_clock = ManualClock(1.0), ManualClock(1.0)
    random_source = random.Random(1)
    gateway = Gateway(SETTINGS, None, None, None, clock, random_source, boot_clock)
    gateway._update_entries(ENTRIES)
    gateway._state = EntryState.READY
    gateway._receive_reply("c1:1", reply(UNSET), 1.0, 1.0)
    boot_clock.advance(RETENTION_S - 1.0)
    assert named_domains(gateway) == {"a"}
    boot_clock.advance(2.0)
    with pytest.raises(WigeonspanError):
        gateway.addresses(A)
    now = boot_clock.now()
    gateway._receive_reply("c1:1", reply(UNSET), now, now)
    assert named_domains(gateway) == {"a"}


STOPPED = HostId("a1")


def with_state(state):
    return [replace(e, state=state) if e.host == STOPPED else e for e in ENTRIES]


@pytest.mark.parametrize(
    "list_of_the_stop",
    [
        with_state(EntryState.LEAVING),
        with_state(EntryState.STARTING),
        [e for e in ENTRIES if e.host != STOPPED],
    ],
    ids=["leaving", "starting", "gone"],
)
def test_announced_stop_counts_until_the_list_shows_it(gateway, list_of_the_stop):
    """An entry named another one to callers for up to 0.6 s after its stop. A restarted
    one must be named again."""
    assert STOPPED in gateway.addresses(A)
    gateway._receive_event(STOPPED, EntryStopping(3.2))
    assert STOPPED not in gateway.addresses(A)
    # Lists that change for another reason may not show the stop yet.
    gateway._update_entries(ENTRIES[:-1])
    assert STOPPED not in gateway.addresses(A)
    gateway._update_entries(list_of_the_stop)
    assert STOPPED not in gateway.addresses(A)
    gateway._update_entries(ENTRIES)
    assert STOPPED in gateway.addresses(A)


def test_stopping_entries_are_named_when_no_other_is_left(gateway):
    """Callers were refused while all entries stopped, although these still served."""
    gateway._update_entries(ENTRIES[:2])
    gateway._state = EntryState.LEAVING
    gateway._receive_event(STOPPED, EntryStopping(3.2))
    assert gateway.addresses(A) == [STOPPED]


def test_restarted_entry_is_named_when_no_list_has_shown_its_stop(gateway):
    """An entry that missed the lists in between left out the restarted one for good."""
    gateway._receive_event(STOPPED, EntryStopping(3.2))
    gateway._context.clock.advance(3.1)
    assert STOPPED not in gateway.addresses(A)
    gateway._context.clock.advance(0.2)
    assert STOPPED in gateway.addresses(A)


def test_late_and_odd_announcements_of_stops_change_nothing(gateway):
    """A datagram that arrives after the list would hide the restarted entry, and those
    of unknown hosts would take memory without limit."""
    gateway._update_entries(with_state(EntryState.LEAVING))
    gateway._receive_event(STOPPED, EntryStopping(3.2))
    for number in range(100):
        gateway._receive_event(HostId(f"x{number}"), EntryStopping(3.2))
    gateway._update_entries(ENTRIES)
    assert set(gateway.addresses(A)) == {e.host for e in ENTRIES if e.domain == A}
    assert b"stops_announced" not in gateway._context.metrics.text()


async def _count_open_look_ups(opened):
    """Open connections to an entry's directory; return how many stay open."""
    settings = replace(SETTINGS, memory_mb=160.0, max_fds=64)
    gateway = Gateway(settings, None, None, None, SystemClock(), random.Random(1))
    gateway.serve_directory(None)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    gateway._directory_server.listen(f"127.0.0.1:{port}")
    callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(opened)]
    await asyncio.sleep(0.2)
    still_open = sum(not reader.at_eof() for reader, _ in callers)
    front = gateway._guard.connections
    for _, writer in callers:
        writer.close()
    await gateway._directory_server.close()
    return still_open, front


def test_crowd_of_look_ups_leaves_descriptors_for_requests():
    """Look-ups were bounded as in a process with 16,384 descriptors and took all."""
    still_open, front = asyncio.run(_count_open_look_ups(20))
    assert 1 <= still_open <= 64 // 2 // 8
    assert front == 0
