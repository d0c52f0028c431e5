"""Replication: appends, heartbeats, snapshots, commitment and the leader lease."""

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._messages import (
    Append,
    AppendReply,
    Entry,
    InstallSnapshot,
    LogRole,
    Message,
    Peer,
    Snapshot,
    SnapshotReply,
    TimeoutNow,
)
from wigeonspan.consensus._state import NEVER, NodeState, Progress
from wigeonspan.consensus._timing import (
    CHUNK_BYTES,
    ELECTION_MAX_S,
    HANDOVER_TIMEOUT_S,
    HEARTBEAT_S,
    LEASE_S,
    RESEND_TIMEOUT_S,
)


def append_as_leader(state: NodeState, entries: list[Entry]) -> None:
    """Append entries as leader; they are replicated once they are synced locally."""
    state.append(entries)
    update_progress(state)


def update_progress(state: NodeState) -> None:
    """Update the ``Progress`` objects to match the current members.

    A member that returns with another disk starts again from zero: entries on its lost
    disk must not count. A new member is first sent the last entry; when it rejects the
    entry, its reply contains the last index that may match.
    """
    old_progress, state.progress = state.progress, {}
    last = state.log.last_index
    for member in state.others:
        progress = old_progress.get(member.name)
        if progress is None or progress.disk_id != member.disk_id:
            progress = Progress(member.disk_id, last)
        if progress.match < last:
            progress.next = LogIndex(min(progress.next, last))
        state.progress[member.name] = progress


def broadcast(state: NodeState, now: float) -> None:
    """Send a heartbeat round to all members."""
    state.round += 1
    state.round_sent_at[state.round] = now
    for old in [
        r for r, at in state.round_sent_at.items() if at < now - ELECTION_MAX_S
    ]:
        del state.round_sent_at[old]
    state.next_heartbeat_at = now + HEARTBEAT_S
    for member in state.others:
        replicate(state, member, now, heartbeat=True)


def replicate(
    state: NodeState, member: Member, now: float, *, heartbeat: bool = False
) -> None:
    """Send a member the entries or the snapshot chunk that is due.

    With ``heartbeat``, send an empty append when there are no entries to send.
    """
    progress = state.progress[member.name]
    due = now >= progress.resend_at
    if state.log.term_at(LogIndex(progress.next - 1)) is None:
        if due:
            _send_chunk(state, member, progress, now)
    elif due and progress.next <= state.synced:
        _send_entries(state, member, progress, now)
        return
    if heartbeat:
        _send_append(state, member, progress.match, [])


def lease_start(state: NodeState) -> float:
    """Return when the last round was sent that a majority of voters answered.

    The lease counts from this time. It never decreases in a term, even when a member
    that answered is removed: the resulting lease may already have been published.
    """
    if state.role is LogRole.LEADER:
        values = {name: p.answered_round_sent_at for name, p in state.progress.items()}
        values[state.local.name] = state.now
        state.quorum_round_sent_at = max(
            state.quorum_round_sent_at, state.majority_value(values)
        )
    return state.quorum_round_sent_at


def tick_leader(state: NodeState, now: float) -> bool:
    """Send due heartbeats; return False when the leader must step down.

    It must step down when no majority answers, or when its disk hangs and the group has
    other voters.
    """
    if max(lease_start(state), state.leader_since) < now - ELECTION_MAX_S:
        return False
    if state.disk_stalled and len(state.voters) > 1:
        return False
    if now >= state.handover_deadline:
        state.handover_target = None
    if now >= state.next_heartbeat_at:
        broadcast(state, now)
    return True


def on_append(state: NodeState, message: Message, body: Append, now: float) -> None:
    """Check the consistency of entries from the leader and append them."""
    previous = body.previous_index
    if state.installing is not None:
        _reply(state, message.source, state.commit, body.round)
        return
    ours = state.log.term_at(previous)
    if previous > state.commit and ours != body.previous_term:
        hint = min(state.log.last_index, _last_index_before_term(state, previous, ours))
        state.send(message.source, AppendReply(False, LogIndex(hint), body.round))
        return
    new = _missing_entries(state, body.entries)
    if new:
        state.append(new)
    verified = LogIndex(previous + len(body.entries))
    state.commit = LogIndex(max(state.commit, min(body.commit, verified)))
    _reply(state, message.source, verified, body.round)


def on_install(
    state: NodeState, message: Message, body: InstallSnapshot, now: float
) -> None:
    """Buffer a chunk; issue the write of the snapshot when it is complete."""
    meta = body.meta
    if meta.index <= state.commit:
        _reply(state, message.source, state.commit, body.round)
        return
    if state.installing is not None:
        return
    if state.incoming_snapshot is None or state.incoming_snapshot[0] != meta:
        state.incoming_snapshot = (meta, bytearray())
    buffer = state.incoming_snapshot[1]
    if body.offset == len(buffer):
        buffer.extend(body.data)
    if len(buffer) >= meta.size:
        state.incoming_snapshot = None
        state.install(Snapshot(meta, bytes(buffer)))
        state.pending_ack = (message.source, state.term, meta.index, body.round)
    reply = SnapshotReply(meta.index, len(buffer), body.round)
    state.send(message.source, reply)


def send_ack(state: NodeState) -> None:
    """Report to the leader how much of its last message is synced here."""
    if state.pending_ack is None:
        return
    source, term, verified, round_ = state.pending_ack
    if term == state.term and state.role is LogRole.FOLLOWER:
        match = LogIndex(min(verified, state.synced))
        state.send(source, AppendReply(True, match, round_))
    if state.synced >= verified:
        state.pending_ack = None


def on_append_reply(
    state: NodeState, message: Message, body: AppendReply, now: float
) -> None:
    """Record what a member stores and send it the next entries."""
    member, progress = _record_answer(state, message, body.round)
    if member is None or progress is None:
        return
    if body.accepted:
        if body.match >= progress.next or body.match > progress.match:
            progress.match = LogIndex(max(progress.match, body.match))
            progress.next = LogIndex(progress.match + 1)
            progress.resend_at = NEVER
            progress.snapshot = None
            advance_commit(state)
    else:
        following = min(progress.next - 1, body.match + 1)
        progress.next = LogIndex(max(progress.match + 1, following))
        progress.resend_at = NEVER
    replicate(state, member, now)


def on_snapshot_reply(
    state: NodeState, message: Message, body: SnapshotReply, now: float
) -> None:
    """Record the received size and send the next snapshot chunk."""
    member, progress = _record_answer(state, message, body.round)
    if member is None or progress is None or progress.snapshot is None:
        return
    if body.index != progress.snapshot.index:
        return
    advanced = body.received > progress.received
    # A member that restarted has lost its buffered chunks, so the offset may decrease.
    progress.received = body.received
    if advanced and body.received < progress.snapshot.size:
        _send_chunk(state, member, progress, now)


def advance_commit(state: NodeState) -> None:
    """Commit up to the index that a majority of voters has synced.

    The entry there must be of the leader's term, because an entry of an earlier term
    can still be replaced (figure 8 of the Raft paper).
    """
    values: dict[HostId, float] = {n: p.match for n, p in state.progress.items()}
    values[state.local.name] = state.synced
    index = state.majority_value(values)
    if index > state.commit:
        reached = LogIndex(int(index))
        if state.log.term_at(reached) == state.term:
            state.commit = reached


def lease_end(state: NodeState) -> float:
    """Return when the leader's lease ends; it is not extended during a handover."""
    if state.handover_target is not None:
        return state.handover_lease_end
    return lease_start(state) + LEASE_S


def others_can_lead(state: NodeState, now: float) -> bool:
    """Return whether a majority of the voters, without this host, answers.

    Only then can another voter be elected while this host cannot store its vote.
    """
    answering = sum(
        state.progress[m.name].answered_round_sent_at > now - LEASE_S
        for m in state.voters
        if not state.is_self(m)
    )
    return 2 * answering > len(state.voters)


def start_handover(state: NodeState, now: float) -> None:
    """Choose the most up-to-date voter as the target of a handover.

    Of several, it is the one that answered last.

    ``TimeoutNow`` is sent once the target stores the complete log and the lease has
    ended. Until then no other host may lead, because the end of the lease may have been
    published.
    """
    voters = [m for m in state.voters if not state.is_self(m)]
    if voters and state.handover_target is None:
        best = max(voters, key=lambda m: _rank(state.progress[m.name]))
        state.handover_lease_end = lease_end(state)
        state.handover_target = best.name
        state.handover_deadline = now + HANDOVER_TIMEOUT_S


def _rank(progress: Progress) -> tuple[LogIndex, float]:
    return progress.match, progress.answered_round_sent_at


def ready_successor(state: NodeState) -> Member | None:
    """Return the handover target if it can take over now."""
    if state.now < state.handover_lease_end:
        return None
    for member in state.voters:
        if member.name == state.handover_target:
            match = state.progress[member.name].match
            return member if match == state.log.last_index else None
    return None


def send_timeout_now(state: NodeState, member: Member) -> None:
    """Ask a member to start an election immediately."""
    state.send(Peer(member.name, member.address, member.disk_id), TimeoutNow())


def _record_answer(
    state: NodeState, message: Message, round_: int
) -> tuple[Member | None, Progress | None]:
    """Record when the answered round was sent; return the member and its progress."""
    member = state.find_member(message.source)
    if state.role is not LogRole.LEADER or message.term != state.term:
        return None, None
    progress = state.progress.get(member.name) if member is not None else None
    if progress is not None:
        sent = state.round_sent_at.get(round_, NEVER)
        progress.answered_round_sent_at = max(progress.answered_round_sent_at, sent)
    return member, progress


def _send_entries(
    state: NodeState, member: Member, progress: Progress, now: float
) -> None:
    entries = state.log.batch(progress.next, state.synced)
    progress.resend_at = now + RESEND_TIMEOUT_S
    _send_append(state, member, LogIndex(progress.next - 1), entries)


def _send_append(
    state: NodeState, member: Member, previous: LogIndex, entries: list[Entry]
) -> None:
    term = state.log.term_at(previous)
    if term is None:
        # The entry was compacted: the member has it committed or needs a snapshot.
        previous, term = LogIndex(0), Term(0)
    body = Append(previous, term, entries, state.commit, state.round)
    state.send(Peer(member.name, member.address, member.disk_id), body)


def _send_chunk(
    state: NodeState, member: Member, progress: Progress, now: float
) -> None:
    meta = state.log.snapshot
    if progress.snapshot != meta:
        progress.snapshot, progress.received = meta, 0
    progress.resend_at = now + RESEND_TIMEOUT_S
    body = InstallSnapshot(meta, progress.received, state.round)
    state.send(Peer(member.name, member.address, member.disk_id), body)


def next_chunk(body: InstallSnapshot, data: bytes) -> bytes:
    """Return the part of a snapshot that a chunk message carries."""
    return data[body.offset : body.offset + CHUNK_BYTES]


def _reply(state: NodeState, leader: Peer, verified: LogIndex, round_: int) -> None:
    if state.pending_ack is not None and state.pending_ack[:2] == (leader, state.term):
        # A heartbeat may arrive while entries of the same leader are being synced.
        verified = LogIndex(max(verified, state.pending_ack[2]))
    state.pending_ack = (leader, state.term, verified, round_)
    send_ack(state)


def _missing_entries(state: NodeState, entries: list[Entry]) -> list[Entry]:
    """Return the entries, starting with the first that is not in the local log."""
    for position, entry in enumerate(entries):
        if entry.index > state.commit and (
            state.log.term_at(entry.index) != entry.term
        ):
            return entries[position:]
    return []


def _last_index_before_term(
    state: NodeState, index: LogIndex, term: Term | None
) -> int:
    """Return the last index before the entries of a conflicting term."""
    if term is None:
        return state.log.last_index
    while index > state.commit and state.log.term_at(index) == term:
        index = LogIndex(index - 1)
    return index
