"""Tests of how soon a version is in force, over several control hosts."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from wigeonspan.common import DomainName, HostId, SystemClock, decode, encode
from wigeonspan.fleetconfig import CallerLimits, FleetConfig, StoredConfig
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._controls import ControlHosts
from wigeonspan.gateway._heartbeats import HeartbeatTask
from wigeonspan.presence import Beat, BeatReply, EntryInfo, EntryState, pack_once

OWN, FAR = DomainName("own"), DomainName("far")
IN_FORCE_S = 2.0
"""Seconds after its acknowledgement in which a version must be in force."""

SERIES_S = 6.0


class NullLog:
    def write(self, *words, **fields):
        pass


class Group:
    """Three control hosts that answer heartbeats; the relay in this domain is cut off.

    Parameters
    ----------
    reports_cut : bool
        Whether the host that is cut off says so.
    """

    def __init__(self, clock, *, reports_cut):
        self.clock = clock
        self.reports_cut = reports_cut
        self.stored_at = {1: clock.now()}
        self.held = 0
        self.lateness_s = 0.0

    def store_next(self):
        self.stored_at[max(self.stored_at) + 1] = self.clock.now()

    def apply(self, document):
        """Note how late the oldest version is that this one brings into force."""
        version, now = int(document), self.clock.now()
        due = [at for v, at in self.stored_at.items() if self.held < v <= version]
        self.lateness_s = max([self.lateness_s, *(now - at for at in due)])
        self.held = version
        return FleetConfig(version, (), (), CallerLimits())

    async def fetch(self, address, request, timeout_s):
        beat = decode(request.partition(b"\r\n\r\n")[2], Beat)
        is_cut = address == "own"
        version = 1 if is_cut else max(self.stored_at)
        config = None
        if beat.wants_changes and version > beat.config_version:
            stored = StoredConfig(version, str(version).encode())
            config = pack_once()(version, stored)
        reply = BeatReply(
            version,
            config,
            None,
            "",
            ["own", "far1", "far2"],
            OWN if is_cut else FAR,
            leads=address == "far1",
            in_group=not (is_cut and self.reports_cut),
        )
        return SimpleNamespace(status=200), encode(reply)


async def play(seed, *, reports_cut):
    """Return the largest time until a version of a series was in force."""
    clock = SystemClock()
    group = Group(clock, reports_cut=reports_cut)
    config = ConfigHolder(group.apply, NullLog())
    entry = EntryInfo(HostId("e"), OWN, "", "", EntryState.READY)

    def make_heartbeat(digest, wants_changes, relay):
        return Beat(entry, config.version, digest, wants_changes, relay=relay)

    task = HeartbeatTask(
        clock,
        group,
        config,
        NullLog(),
        random.Random(seed),
        ControlHosts(OWN),
        make_heartbeat,
        *[lambda value: None] * 4,
        lambda *reply: None,
        lambda error: None,
        clock,
    )
    task.set_seeds(["own", "far1", "far2"])
    await asyncio.sleep(1.5)
    group.lateness_s, end = 0.0, clock.now() + SERIES_S
    while clock.now() < end:
        group.store_next()
        await asyncio.sleep(0.1)
    await asyncio.sleep(IN_FORCE_S)
    task.close()
    assert config.version == max(group.stored_at)
    return group.lateness_s


@pytest.mark.parametrize("reports_cut", [False, True])
def test_series_of_versions_is_in_force_in_time_behind_a_cut_relay(reports_cut):
    """Entries applied versions 2.0 to 2.4 s after they were stored.

    The wait for the relay began anew with each version, and a host that had the version
    was asked for it only in its next regular heartbeat.
    """

    async def play_all():
        plays = (play(seed, reports_cut=reports_cut) for seed in range(8))
        return await asyncio.gather(*plays)

    lateness_s = asyncio.run(play_all())
    assert max(lateness_s) < IN_FORCE_S
    if reports_cut:
        # Another host relays, so that no version waits for the fallback.
        assert max(lateness_s) < 1.0


class Lists:
    """Two control hosts; the relay has more entries in its list than the other."""

    LISTS = {
        name: [EntryInfo(HostId(h), OWN, h, "", EntryState.READY) for h in hosts]
        for name, hosts in (("own", ["e", "f"]), ("far", ["e"]))
    }

    async def fetch(self, address, request, timeout_s):
        beat = decode(request.partition(b"\r\n\r\n")[2], Beat)
        # The first list of the other host arrives after that of the relay.
        await asyncio.sleep(0.1 if address == "far" else 0.02)
        entries = None
        if beat.wants_changes and beat.entries_digest != address:
            entries = pack_once()(address, self.LISTS[address])
        domain = OWN if address == "own" else FAR
        reply = BeatReply(1, None, entries, address, ["own", "far"], domain)
        return SimpleNamespace(status=200), encode(reply)


def test_list_of_the_relay_replaces_that_of_another_host():
    """A list of a host just started was kept until that of the relay changed."""
    held = []
    entry = EntryInfo(HostId("e"), OWN, "", "", EntryState.READY)
    clock = SystemClock()

    async def run():
        empty = FleetConfig(1, (), (), CallerLimits())
        config = ConfigHolder(lambda document: empty, NullLog())
        config.offer(StoredConfig(1, b"1"), "own")
        task = HeartbeatTask(
            clock,
            Lists(),
            config,
            NullLog(),
            random.Random(1),
            ControlHosts(OWN),
            lambda digest, wants, relay: Beat(entry, 1, digest, wants, relay=relay),
            held.append,
            *[lambda value: None] * 3,
            lambda *reply: None,
            lambda error: None,
            clock,
        )
        task.set_seeds(["own", "far"])
        await asyncio.sleep(1.5)
        task.close()

    asyncio.run(run())
    assert Lists.LISTS["far"] in held
    assert held[-1] == Lists.LISTS["own"]
