"""Elections: pre-vote, votes and the vote guard that protects leases."""

from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._messages import (
    Entry,
    LogRole,
    Message,
    Peer,
    Vote,
    VoteReply,
)
from wigeonspan.consensus._replication import append_as_leader, broadcast, lease_start
from wigeonspan.consensus._state import NEVER, NodeState
from wigeonspan.consensus._timing import ELECTION_MAX_S, VOTE_GUARD_S


def become_follower(
    state: NodeState, term: Term, leader: Peer | None, now: float
) -> None:
    """Follow a leader, or wait for one, in the current or a later term."""
    if state.role is LogRole.LEADER:
        # The lease may have been published, so it must be kept after stepping down.
        state.last_leader_contact = max(state.last_leader_contact, lease_start(state))
    if term > state.term:
        state.set_hard_state(state.hard_state.group, term, HostId(""))
    if state.role is not LogRole.FOLLOWER:
        state.reset_election_timeout(now)
    state.role = LogRole.FOLLOWER
    state.leader = leader
    state.handover_target = None
    state.progress = {}


def campaign(state: NodeState, now: float, *, pre: bool, forced: bool = False) -> None:
    """Request votes or, with ``pre``, pre-votes from the other voters.

    Without the pre-vote, a host that was cut off would raise the term and depose a
    working leader when it returns.
    """
    state.reset_election_timeout(now)
    if not state.is_voter:
        return
    state.leader = None
    state.role = LogRole.PRE_CANDIDATE if pre else LogRole.CANDIDATE
    state.votes = {state.local.name}
    term = Term(state.term + 1)
    if not pre:
        state.set_hard_state(state.hard_state.group, term, state.local.name)
    body = Vote(pre, state.log.last_index, state.log.last_term, forced)
    for member in state.voters:
        if not state.is_self(member):
            state.send(Peer(member.name, member.address, member.disk_id), body, term)
    _count_votes(state, now)


def on_vote(state: NodeState, message: Message, body: Vote, now: float) -> None:
    """Answer a vote request, or ignore it while the vote guard is active."""
    if _vote_guard_active(state, now) and not (
        body.forced and message.term > state.term
    ):
        return
    if body.pre:
        granted = message.term > state.term and _log_is_up_to_date(state, body)
        term = message.term if granted else state.term
        state.send(message.source, VoteReply(True, granted), term)
        return
    if message.term > state.term:
        become_follower(state, message.term, None, now)
    granted = (
        message.term == state.term
        and state.role is LogRole.FOLLOWER
        and state.hard_state.vote in ("", message.source.name)
        and _log_is_up_to_date(state, body)
    )
    if granted:
        state.set_hard_state(state.hard_state.group, state.term, message.source.name)
        state.reset_election_timeout(now)
    state.send(message.source, VoteReply(False, granted))


def on_vote_reply(
    state: NodeState, message: Message, body: VoteReply, now: float
) -> None:
    """Count a vote if it comes from a registered voter."""
    if message.term > state.term and not body.granted:
        become_follower(state, message.term, None, now)
        return
    expected_role = LogRole.PRE_CANDIDATE if body.pre else LogRole.CANDIDATE
    term = state.term + 1 if body.pre else state.term
    if state.role is not expected_role or message.term != term or not body.granted:
        return
    member = state.find_member(message.source)
    if member is not None and member.voter:
        state.votes.add(member.name)
        _count_votes(state, now)


def _count_votes(state: NodeState, now: float) -> None:
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
    state.leader_since = now
    state.quorum_round_sent_at = NEVER
    state.handover_target = None
    state.round_sent_at = {}
    state.progress = {}
    state.first_index_of_term = LogIndex(state.log.last_index + 1)
    # Entries of earlier terms are committed only through an entry of this term.
    append_as_leader(state, [Entry(state.first_index_of_term, state.term)])
    broadcast(state, now)


def _vote_guard_active(state: NodeState, now: float) -> bool:
    """Whether a leader may hold a lease that requires this member not to vote."""
    if state.role is LogRole.LEADER:
        return max(lease_start(state), state.leader_since) + VOTE_GUARD_S > now
    return now < max(state.last_leader_contact + VOTE_GUARD_S, state.no_vote_before)


def _log_is_up_to_date(state: NodeState, body: Vote) -> bool:
    ours = (state.log.last_term, state.log.last_index)
    return (body.last_term, body.last_index) >= ours


def can_campaign(state: NodeState, now: float) -> bool:
    """Whether a voter may start an election now.

    A voter whose disk is full cannot store its vote for itself and could commit nothing
    as leader. If it raised its term in memory time after time, it would depose the
    leader when its disk has space again. It tries again after some time without a
    write, because only a write shows whether there is space.
    """
    if len(state.voters) == 1:
        return True
    if state.hard_state != state.synced_hard_state:
        return False
    return now >= state.storage_full_at + ELECTION_MAX_S


def can_campaign_at_once(state: NodeState) -> bool:
    """Whether a restarted host is the only voter and voted for itself in its term.

    It then led or founded the group in this term. No other host can have a lease, so it
    need not wait for the election timeout.
    """
    return (
        state.hard_state.vote == state.local.name
        and len(state.voters) == 1
        and state.is_voter
        and state.last_leader_contact == NEVER
    )
