"""Elections: pre-vote, votes and the vote guard that makes leases hold."""

from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._messages import (
    Entry,
    LogRole,
    Message,
    Peer,
    Vote,
    VoteReply,
)
from wigeonspan.consensus._replication import append_own, broadcast, lease_base
from wigeonspan.consensus._state import NEVER, NodeState
from wigeonspan.consensus._timing import VOTE_GUARD_S


def become_follower(
    state: NodeState, term: Term, leader: Peer | None, now: float
) -> None:
    """Follow a leader, or wait for one, in a term that is not below ours."""
    if state.role is LogRole.LEADER:
        # The lease may have been published, so it holds after stepping down.
        state.heard_at = max(state.heard_at, lease_base(state))
    if term > state.term:
        state.set_hard(state.hard.group, term, HostId(""))
    if state.role is not LogRole.FOLLOWER:
        state.reset_election(now)
    state.role = LogRole.FOLLOWER
    state.leader = leader
    state.handover = None
    state.progress = {}


def campaign(state: NodeState, now: float, *, pre: bool, forced: bool = False) -> None:
    """Ask the voters for their votes, or first whether they would give them.

    The pre-vote keeps a host that was cut off from raising the term and so ending a
    working leader's authority when it returns.
    """
    state.reset_election(now)
    if not state.is_voter:
        return
    state.leader = None
    state.role = LogRole.PRE_CANDIDATE if pre else LogRole.CANDIDATE
    state.votes = {state.local.name}
    term = Term(state.term + 1)
    if not pre:
        state.set_hard(state.hard.group, term, state.local.name)
    body = Vote(pre, state.log.last_index, state.log.last_term, forced)
    for member in state.voters:
        if not state.is_self(member):
            state.send(Peer(member.name, member.address, member.disk_id), body, term)
    _count(state, now)


def on_vote(state: NodeState, message: Message, body: Vote, now: float) -> None:
    """Answer a vote request."""
    if _guarded(state, now) and not (body.forced and message.term > state.term):
        return
    if body.pre:
        granted = message.term > state.term and _up_to_date(state, body)
        term = message.term if granted else state.term
        state.send(message.source, VoteReply(True, granted), term)
        return
    if message.term > state.term:
        become_follower(state, message.term, None, now)
    granted = (
        message.term == state.term
        and state.role is LogRole.FOLLOWER
        and state.hard.vote in ("", message.source.name)
        and _up_to_date(state, body)
    )
    if granted:
        state.set_hard(state.hard.group, state.term, message.source.name)
        state.reset_election(now)
    state.send(message.source, VoteReply(False, granted))


def on_vote_reply(
    state: NodeState, message: Message, body: VoteReply, now: float
) -> None:
    """Count a vote of a registered voter."""
    if message.term > state.term and not body.granted:
        become_follower(state, message.term, None, now)
        return
    wanted = LogRole.PRE_CANDIDATE if body.pre else LogRole.CANDIDATE
    term = state.term + 1 if body.pre else state.term
    if state.role is not wanted or message.term != term or not body.granted:
        return
    member = state.registered(message.source)
    if member is not None and member.voter:
        state.votes.add(member.name)
        _count(state, now)


def _count(state: NodeState, now: float) -> None:
    names = {member.name for member in state.voters}
    if 2 * len(state.votes & names) <= len(names):
        return
    if state.role is LogRole.PRE_CANDIDATE:
        campaign(state, now, pre=False)
    else:
        _become_leader(state, now)


def _become_leader(state: NodeState, now: float) -> None:
    state.role = LogRole.LEADER
    state.leader = state.peer
    state.led_since = now
    state.answered_at = NEVER
    state.handover = None
    state.round_sent = {}
    state.progress = {}
    state.first_own = LogIndex(state.log.last_index + 1)
    # Entries of earlier terms count as committed only through one of this term.
    append_own(state, [Entry(state.first_own, state.term)])
    broadcast(state, now)


def _guarded(state: NodeState, now: float) -> bool:
    """Whether some leader may still hold a lease that rests on our promise."""
    if state.role is LogRole.LEADER:
        return max(lease_base(state), state.led_since) + VOTE_GUARD_S > now
    return now < max(state.heard_at + VOTE_GUARD_S, state.no_vote_before)


def _up_to_date(state: NodeState, body: Vote) -> bool:
    ours = (state.log.last_term, state.log.last_index)
    return (body.last_term, body.last_index) >= ours


def restarts_alone(state: NodeState) -> bool:
    """Whether a restarted host is the only voter and led, or founded, its term.

    No other host can then hold a lease, so it need not wait.
    """
    return (
        state.hard.vote == state.local.name
        and len(state.voters) == 1
        and state.is_voter
        and state.heard_at == NEVER
    )
