"""One core with hand-made messages, for tests of its rules."""

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
FIRST = Entry(1, 1, members=MEMBERS)


def node(state=None, entries=(FIRST,), first=""):
    """Return voter ``a`` after a restart, in a group of three."""
    stored = Stored(state or HardState("group", 1, ""), None, list(entries))
    local = Local("a", "a", "szeged", "disk-a")
    settings = [BootstrapMember(name, name, "szeged") for name in first]
    return RaftNode(local, settings, stored, random.Random(1), START)


def campaign(core, now):
    """Let time pass until a voter campaigns; return the time and what it ordered."""
    while core.role is LogRole.FOLLOWER:
        now += 0.05
        ready = core.tick(now)
    return now, ready


def message(body, source="b", term=1, **fields):
    peer = Peer(source, source, f"disk-{source}")
    plain = Message("group", peer, Peer("a", "a", "disk-a"), term, body)
    return structs.replace(plain, **fields)


def bodies(ready):
    return [m.body for m in ready.send]


def sync_all(core, ready, now):
    """Report all writes as synced; return the messages on the way."""
    sent = list(ready.send)
    while ready.persist is not None:
        ready = core.persisted(ready.persist.sequence, now)
        sent += ready.send
    return sent


def make_leader(core, now):
    """Make a voter leader with the vote of ``b``; return the time."""
    now, ready = campaign(core, now)
    sync_all(core, ready, now)
    ready = core.handle(message(VoteReply(True, True), term=core.term + 1), now)
    sync_all(core, ready, now)
    ready = core.handle(message(VoteReply(False, True), term=core.term), now)
    assert core.role is LogRole.LEADER
    sync_all(core, ready, now)
    return now


def answer(core, now, match, source="b"):
    reply = AppendReply(True, match, core._state.round)
    return core.handle(message(reply, source, core.term), now)
