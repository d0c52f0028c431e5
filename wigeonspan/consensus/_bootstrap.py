"""Bootstrap of a group: the founder registers the initial voters' disk identities.

The founder is the initial voter whose name sorts first. It creates the group only after
every initial voter has answered that its disk belongs to no group. A founder whose disk
was wiped therefore cannot create a second group, because the others reply with the
group that they belong to. A wiped voter has a new disk identity that is not registered,
so the group does not count it as a member.
"""

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._messages import (
    Entry,
    GroupCreated,
    Hello,
    HelloReply,
    Message,
    Peer,
)
from wigeonspan.consensus._state import NodeState
from wigeonspan.consensus._timing import HEARTBEAT_S

FIRST_TERM = Term(1)
"""Term of the first log entry; no leader is elected in this term."""


def tick_bootstrap(state: NodeState, now: float) -> None:
    """Run the founder's periodic work.

    Request missing disk identities, create the group once all are present, and announce
    it to the other initial voters until it has a leader.
    """
    if now < state.next_hello_at or not state.bootstrap:
        return
    if state.local.name != _bootstrap_names(state)[0]:
        return
    if not state.hard_state.group:
        _send_hellos(state)
        _create_group(state, now)
    if state.hard_state.group and state.log.last_index == 1 and state.leader is None:
        _announce_group(state)
    state.next_hello_at = now + HEARTBEAT_S


def on_hello(state: NodeState, message: Message, body: Hello) -> None:
    """Reply with the disk identity and the group of this host.

    A host without a group does not reply when its settings list other initial voters:
    two founders with different settings could otherwise each get a majority.
    """
    if state.hard_state.group or body.names == _bootstrap_names(state):
        state.send(message.source, HelloReply(state.hard_state.group))


def on_hello_reply(
    state: NodeState, message: Message, body: HelloReply, now: float
) -> None:
    """Record the disk identity of a host that belongs to no group."""
    if body.known_group:
        return
    if state.hard_state.group:
        state.unregistered_disks[message.source.name] = message.source.disk_id
        return
    state.bootstrap_peers[message.source.name] = message.source
    _create_group(state, now)


def report_unregistered_disk(state: NodeState, message: Message) -> None:
    """Report this host's disk identity to a leader that expects another one.

    Without this reply a wiped voter would stay silent, and an operator could not see
    the disk identity with which it must be added again.
    """
    if not state.hard_state.group:
        state.send(message.source, HelloReply(""))


def on_group_created(state: NodeState, message: Message, body: GroupCreated) -> None:
    """Join the group if it has registered the disk identity of this host."""
    names = tuple(member.name for member in body.members)
    if state.hard_state.group or names != _bootstrap_names(state):
        return
    if any(state.is_self(member) for member in body.members):
        state.set_hard_state(message.group, FIRST_TERM, HostId(""))
        state.append([Entry(LogIndex(1), FIRST_TERM, members=body.members)])


def _bootstrap_names(state: NodeState) -> tuple[HostId, ...]:
    return tuple(sorted(member.name for member in state.bootstrap))


def _send_hellos(state: NodeState) -> None:
    for member in state.bootstrap:
        if member.name != state.local.name and member.name not in state.bootstrap_peers:
            peer = Peer(member.name, member.address, "")
            state.send(peer, Hello(_bootstrap_names(state)))


def _create_group(state: NodeState, now: float) -> None:
    bootstrap_peers = {**state.bootstrap_peers, state.local.name: state.peer}
    if any(member.name not in bootstrap_peers for member in state.bootstrap):
        return
    members = tuple(
        Member(m.name, m.address, m.domain, bootstrap_peers[m.name].disk_id, True)
        for m in sorted(state.bootstrap, key=lambda m: m.name)
    )
    group = f"{state.rng.getrandbits(128):032x}"
    state.set_hard_state(group, FIRST_TERM, state.local.name)
    state.append([Entry(LogIndex(1), FIRST_TERM, members=members)])
    _announce_group(state)
    state.election_deadline = now + (HEARTBEAT_S if len(members) > 1 else 0.0)


def _announce_group(state: NodeState) -> None:
    for member in state.others:
        peer = Peer(member.name, member.address, member.disk_id)
        state.send(peer, GroupCreated(state.log.members))
