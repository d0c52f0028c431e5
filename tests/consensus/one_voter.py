"""One node and helpers that build its messages, for tests of the protocol's rules."""

import random

from msgspec import structs

from wigeonspan.catalog import Member
from wigeonspan.consensus import (
    BootstrapMember,
    Entry,
    HardState,
    LocalMember,
    LogRole,
    Message,
    Peer,
    RaftNode,
    StoredState,
)
from wigeonspan.consensus._messages import AppendReply, VoteReply
from wigeonspan.consensus._timing import VOTE_GUARD_S

START = 100.0
VOTE_GUARD_END = START + VOTE_GUARD_S


def member(name, voter=True, disk=None):
    return Member(name, name, "szeged", disk or f"disk-{name}", voter)


MEMBERS = tuple(member(name) for name in "abc")
FIRST_ENTRY = Entry(1, 1, members=MEMBERS)


def make_node(state=None, entries=(FIRST_ENTRY,), initial_voters=""):
    """Return voter ``a`` after a restart, in a group of three."""
    stored = StoredState(state or HardState("group", 1, ""), None, list(entries))
    local = LocalMember("a", "a", "szeged", "disk-a")
    bootstrap = [BootstrapMember(name, name, "szeged") for name in initial_voters]
    return RaftNode(local, bootstrap, stored, random.Random(1), START)


def tick_until_campaign(node, now):
    """Tick until a voter starts an election; return the time and the effects."""
    while node.role is LogRole.FOLLOWER:
        now += 0.05
        ready = node.tick(now)
    return now, ready


def message(body, source="b", term=1, **fields):
    peer = Peer(source, source, f"disk-{source}")
    default = Message("group", peer, Peer("a", "a", "disk-a"), term, body)
    return structs.replace(default, **fields)


def bodies(ready):
    return [m.body for m in ready.send]


def sync_all(node, ready, now):
    """Report all writes as synced; return all messages sent until then."""
    sent = list(ready.send)
    while ready.persist is not None:
        ready = node.on_persisted(ready.persist.sequence, now)
        sent += ready.send
    return sent


def make_leader(node, now):
    """Elect a voter with the vote of ``b``; return the time of the election."""
    now, ready = tick_until_campaign(node, now)
    sync_all(node, ready, now)
    ready = node.handle(message(VoteReply(True, True), term=node.term + 1), now)
    sync_all(node, ready, now)
    ready = node.handle(message(VoteReply(False, True), term=node.term), now)
    assert node.role is LogRole.LEADER
    sync_all(node, ready, now)
    return now


def acknowledge(node, now, match, source="b"):
    reply = AppendReply(True, match, node._state.round)
    return node.handle(message(reply, source, node.term), now)
