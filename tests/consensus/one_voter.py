"""A single core and hand-written messages, for tests of the protocol's rules."""

import random

from msgspec import structs

from wigeonspan.catalog import Member
from wigeonspan.consensus import (
    BootstrapMember,
    Entry,
    HardState,
    Local,
    LogRole,
    Message,
    Peer,
    RaftNode,
    Stored,
)
from wigeonspan.consensus._messages import AppendReply, VoteReply
from wigeonspan.consensus._timing import VOTE_GUARD_S

START = 100.0
VOTE_GUARD_END = START + VOTE_GUARD_S


def member(name, voter=True, disk=None):
    return Member(name, name, "szeged", disk or f"disk-{name}", voter)


MEMBERS = tuple(member(name) for name in "abc")
FIRST_ENTRY = Entry(1, 1, members=MEMBERS)


def make_node(state=None, entries=(FIRST_ENTRY,), first=""):
    """Return voter ``a`` after a restart, in a group of three."""
    stored = Stored(state or HardState("group", 1, ""), None, list(entries))
    local = Local("a", "a", "szeged", "disk-a")
    bootstrap = [BootstrapMember(name, name, "szeged") for name in first]
    return RaftNode(local, bootstrap, stored, random.Random(1), START)


def tick_until_campaign(core, now):
    """Tick until a voter starts an election; return the time and the effects."""
    while core.role is LogRole.FOLLOWER:
        now += 0.05
        ready = core.tick(now)
    return now, ready


def message(body, source="b", term=1, **fields):
    peer = Peer(source, source, f"disk-{source}")
    default = Message("group", peer, Peer("a", "a", "disk-a"), term, body)
    return structs.replace(default, **fields)


def bodies(ready):
    return [m.body for m in ready.send]


def sync_all(core, ready, now):
    """Report all writes as synced; return all messages sent meanwhile."""
    sent = list(ready.send)
    while ready.persist is not None:
        ready = core.persisted(ready.persist.sequence, now)
        sent += ready.send
    return sent


def make_leader(core, now):
    """Elect a voter with the vote of ``b``; return the time of the election."""
    now, ready = tick_until_campaign(core, now)
    sync_all(core, ready, now)
    ready = core.handle(message(VoteReply(True, True), term=core.term + 1), now)
    sync_all(core, ready, now)
    ready = core.handle(message(VoteReply(False, True), term=core.term), now)
    assert core.role is LogRole.LEADER
    sync_all(core, ready, now)
    return now


def acknowledge(core, now, match, source="b"):
    reply = AppendReply(True, match, core._state.round)
    return core.handle(message(reply, source, core.term), now)
