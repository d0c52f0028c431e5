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
    HANDOVER_S,
    HEARTBEAT_S,
    LEASE_S,
    RESEND_S,
)


def append_own(state: NodeState, entries: list[Entry]) -> None:
    """Append entries as leader; they are replicated once they are synced here."""
    state.append(entries)
    track_members(state)


def track_members(state: NodeState) -> None:
    """Keep one progress for each other member.

    A member that comes back with another disk starts anew: what its lost disk held
    must not count. A new member is sent the last entry, whose refusal tells what it
    holds.
    """
    known, state.progress = state.progress, {}
    last = state.log.last_index
    for member in state.others:
        progress = known.get(member.name)
        if progress is None or progress.disk_id != member.disk_id:
            progress = Progress(member.disk_id, last)
        if progress.match < last:
            progress.next = LogIndex(min(progress.next, last))
        state.progress[member.name] = progress


def broadcast(state: NodeState, now: float) -> None:
    """Send a heartbeat round to all members."""
    state.round += 1
    state.round_sent[state.round] = now
    for old in [r for r, at in state.round_sent.items() if at < now - ELECTION_MAX_S]:
        del state.round_sent[old]
    state.heartbeat_at = now + HEARTBEAT_S
    for member in state.others:
        replicate(state, member, now, heartbeat=True)


def replicate(
    state: NodeState, member: Member, now: float, *, heartbeat: bool = False
) -> None:
    """Send a member what it lacks, or a heartbeat when nothing is due."""
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


def lease_base(state: NodeState) -> float:
    """Return when the last round was sent that a majority of voters answered.

    It never goes back in a term, also not when a member that answered is removed: the
    lease that rests on it may have been published.
    """
    if state.role is LogRole.LEADER:
        values = {name: p.answered_at for name, p in state.progress.items()}
        values[state.local.name] = state.now
        state.answered_at = max(state.answered_at, state.quorum_of(values))
    return state.answered_at


def tick_leader(state: NodeState, now: float) -> bool:
    """Send what is due; return False when the leader must step down.

    It does so without a quorum, or when its disk hangs and another voter can lead.
    """
    if max(lease_base(state), state.led_since) < now - ELECTION_MAX_S:
        return False
    if state.disk_stalled and len(state.voters) > 1:
        return False
    if now >= state.handover_until:
        state.handover = None
    if now >= state.heartbeat_at:
        broadcast(state, now)
    return True


def on_append(state: NodeState, message: Message, body: Append, now: float) -> None:
    """Check and append entries of the leader."""
    previous = body.previous_index
    if state.installing is not None:
        _reply(state, message.source, state.commit, body.round)
        return
    ours = state.log.term_at(previous)
    if previous > state.commit and ours != body.previous_term:
        hint = min(state.log.last_index, _before_term(state, previous, ours))
        state.send(message.source, AppendReply(False, LogIndex(hint), body.round))
        return
    new = _first_new(state, body.entries)
    if new:
        state.append(new)
    verified = LogIndex(previous + len(body.entries))
    state.commit = LogIndex(max(state.commit, min(body.commit, verified)))
    _reply(state, message.source, verified, body.round)


def on_install(
    state: NodeState, message: Message, body: InstallSnapshot, now: float
) -> None:
    """Collect a chunk; order the snapshot to be written when it is whole."""
    meta = body.meta
    if meta.index <= state.commit:
        _reply(state, message.source, state.commit, body.round)
        return
    if state.installing is not None:
        return
    if state.incoming is None or state.incoming[0] != meta:
        state.incoming = (meta, bytearray())
    buffer = state.incoming[1]
    if body.offset == len(buffer):
        buffer.extend(body.data)
    if len(buffer) >= meta.size:
        state.incoming = None
        state.install(Snapshot(meta, bytes(buffer)))
        state.ack = (message.source, state.term, meta.index, body.round)
    reply = SnapshotReply(meta.index, len(buffer), body.round)
    state.send(message.source, reply)


def send_ack(state: NodeState) -> None:
    """Report to the leader what has been synced since its last message."""
    if state.ack is None:
        return
    source, term, verified, round_ = state.ack
    if term == state.term and state.role is LogRole.FOLLOWER:
        match = LogIndex(min(verified, state.synced))
        state.send(source, AppendReply(True, match, round_))
    if state.synced >= verified:
        state.ack = None


def on_append_reply(
    state: NodeState, message: Message, body: AppendReply, now: float
) -> None:
    """Note what a member holds, and send it more."""
    member, progress = _answered(state, message, body.round)
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
    """Send the next chunk."""
    member, progress = _answered(state, message, body.round)
    if member is None or progress is None or progress.snapshot is None:
        return
    if body.index != progress.snapshot.index:
        return
    advanced = body.received > progress.received
    # A member that restarted has lost what it collected, so the offset may go back.
    progress.received = body.received
    if advanced and body.received < progress.snapshot.size:
        _send_chunk(state, member, progress, now)


def advance_commit(state: NodeState) -> None:
    """Commit what a majority of voters has synced, if it is of the leader's term."""
    values: dict[HostId, float] = {n: p.match for n, p in state.progress.items()}
    values[state.local.name] = state.synced
    index = state.quorum_of(values)
    if index > state.commit:
        reached = LogIndex(int(index))
        if state.log.term_at(reached) == state.term:
            state.commit = reached


def lease_end(state: NodeState) -> float:
    """Return when the leader's lease ends; a handover does not prolong it."""
    if state.handover is not None:
        return state.handover_lease
    return lease_base(state) + LEASE_S


def start_handover(state: NodeState, now: float) -> None:
    """Choose the voter that takes over.

    It is told once it holds the whole log and the lease has ended: until then no other
    host may lead, because the end of the lease may have been published.
    """
    voters = [m for m in state.voters if not state.is_self(m)]
    if voters and state.handover is None:
        best = max(voters, key=lambda m: state.progress[m.name].match)
        state.handover_lease = lease_end(state)
        state.handover = best.name
        state.handover_until = now + HANDOVER_S


def handover_due(state: NodeState) -> Member | None:
    """Return the member that can take over now."""
    if state.now < state.handover_lease:
        return None
    for member in state.voters:
        if member.name == state.handover:
            match = state.progress[member.name].match
            return member if match == state.log.last_index else None
    return None


def send_timeout_now(state: NodeState, member: Member) -> None:
    """Tell a member to campaign at once."""
    state.send(Peer(member.name, member.address, member.disk_id), TimeoutNow())


def _answered(
    state: NodeState, message: Message, round_: int
) -> tuple[Member | None, Progress | None]:
    """Return the member that answered, after noting the time of its round."""
    member = state.registered(message.source)
    if state.role is not LogRole.LEADER or message.term != state.term:
        return None, None
    progress = state.progress.get(member.name) if member is not None else None
    if progress is not None:
        sent = state.round_sent.get(round_, NEVER)
        progress.answered_at = max(progress.answered_at, sent)
    return member, progress


def _send_entries(
    state: NodeState, member: Member, progress: Progress, now: float
) -> None:
    entries = state.log.batch(progress.next, state.synced)
    progress.resend_at = now + RESEND_S
    _send_append(state, member, LogIndex(progress.next - 1), entries)


def _send_append(
    state: NodeState, member: Member, previous: LogIndex, entries: list[Entry]
) -> None:
    term = state.log.term_at(previous)
    if term is None:
        # The entry is compacted, so the member has it committed or needs a snapshot.
        previous, term = LogIndex(0), Term(0)
    body = Append(previous, term, entries, state.commit, state.round)
    state.send(Peer(member.name, member.address, member.disk_id), body)


def _send_chunk(
    state: NodeState, member: Member, progress: Progress, now: float
) -> None:
    meta = state.log.snapshot
    if progress.snapshot != meta:
        progress.snapshot, progress.received = meta, 0
    progress.resend_at = now + RESEND_S
    body = InstallSnapshot(meta, progress.received, state.round)
    state.send(Peer(member.name, member.address, member.disk_id), body)


def next_chunk(body: InstallSnapshot, data: bytes) -> bytes:
    """Return the part of a snapshot that a chunk message carries."""
    return data[body.offset : body.offset + CHUNK_BYTES]


def _reply(state: NodeState, leader: Peer, verified: LogIndex, round_: int) -> None:
    if state.ack is not None and state.ack[:2] == (leader, state.term):
        # A heartbeat may come while entries of the same leader are being synced.
        verified = LogIndex(max(verified, state.ack[2]))
    state.ack = (leader, state.term, verified, round_)
    send_ack(state)


def _first_new(state: NodeState, entries: list[Entry]) -> list[Entry]:
    """Return the entries from the first one that we do not hold."""
    for position, entry in enumerate(entries):
        if entry.index > state.commit and (
            state.log.term_at(entry.index) != entry.term
        ):
            return entries[position:]
    return []


def _before_term(state: NodeState, index: LogIndex, term: Term | None) -> int:
    """Return the last index before the entries of a conflicting term."""
    if term is None:
        return state.log.last_index
    while index > state.commit and state.log.term_at(index) == term:
        index = LogIndex(index - 1)
    return index
