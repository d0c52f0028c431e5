"""First start of a group: the founder registers every first voter's disk identity.

The founder is the first voter with the lowest name. It founds the group only when every
first voter has answered that its disk belongs to no group. A wiped founder therefore
cannot found a second group, because the others name the group that they belong to; a
wiped voter has another disk identity than the registered one, so it stays a stranger.
"""

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._messages import (
    Entry,
    Found,
    Hello,
    HelloReply,
    Message,
    Peer,
)
from wigeonspan.consensus._state import NodeState
from wigeonspan.consensus._timing import HEARTBEAT_S

FIRST_TERM = Term(1)
"""Term of the first entry; no leader has it."""


def tick_bootstrap(state: NodeState, now: float) -> None:
    """Ask for disk identities, found the group, or tell the others of it."""
    if now < state.hello_at or not state.bootstrap:
        return
    if state.local.name != _names(state)[0]:
        return
    if not state.hard.group:
        _ask(state)
        _found(state, now)
    if state.hard.group and state.log.last_index == 1 and state.leader is None:
        _tell(state)
    state.hello_at = now + HEARTBEAT_S


def on_hello(state: NodeState, message: Message, body: Hello) -> None:
    """Answer with our disk identity and our group.

    A host whose settings name other first voters does not answer, because two founders
    with different settings could each get a majority.
    """
    if state.hard.group or body.names == _names(state):
        state.send(message.source, HelloReply(state.hard.group))


def on_hello_reply(
    state: NodeState, message: Message, body: HelloReply, now: float
) -> None:
    """Note the disk identity of a host that belongs to no group."""
    if body.known_group:
        return
    if state.hard.group:
        state.strangers[message.source.name] = message.source.disk_id
        return
    state.identities[message.source.name] = message.source
    _found(state, now)


def answer_as_stranger(state: NodeState, message: Message) -> None:
    """Tell a leader that expects another disk which one is here.

    A wiped voter is otherwise just silent, and an operator could not see the identity
    that it must be added with.
    """
    if not state.hard.group:
        state.send(message.source, HelloReply(""))


def on_found(state: NodeState, message: Message, body: Found) -> None:
    """Join the group when it registered our disk identity."""
    names = tuple(member.name for member in body.members)
    if state.hard.group or names != _names(state):
        return
    if any(state.is_self(member) for member in body.members):
        state.set_hard(message.group, FIRST_TERM, HostId(""))
        state.append([Entry(LogIndex(1), FIRST_TERM, members=body.members)])


def _names(state: NodeState) -> tuple[HostId, ...]:
    return tuple(sorted(member.name for member in state.bootstrap))


def _ask(state: NodeState) -> None:
    for member in state.bootstrap:
        if member.name != state.local.name and member.name not in state.identities:
            peer = Peer(member.name, member.address, "")
            state.send(peer, Hello(_names(state)))


def _found(state: NodeState, now: float) -> None:
    identities = {**state.identities, state.local.name: state.peer}
    if any(member.name not in identities for member in state.bootstrap):
        return
    members = tuple(
        Member(m.name, m.address, m.domain, identities[m.name].disk_id, True)
        for m in sorted(state.bootstrap, key=lambda m: m.name)
    )
    group = f"{state.rng.getrandbits(128):032x}"
    state.set_hard(group, FIRST_TERM, state.local.name)
    state.append([Entry(LogIndex(1), FIRST_TERM, members=members)])
    _tell(state)
    state.election_at = now + (HEARTBEAT_S if len(members) > 1 else 0.0)


def _tell(state: NodeState) -> None:
    for member in state.others:
        peer = Peer(member.name, member.address, member.disk_id)
        state.send(peer, Found(state.log.members))
