"""Raft state machine without I/O: it takes events and the time and returns effects.

The protocol is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum, a leader lease, learners and membership
change of one member at a time from Ongaro's thesis.
"""

import random
from collections.abc import Iterable

from wigeonspan.catalog import Member
from wigeonspan.common import ErrorKind, HostId, LogIndex, Term, WigeonspanError
from wigeonspan.consensus import _bootstrap, _election, _replication
from wigeonspan.consensus._membership import changed_members
from wigeonspan.consensus._messages import (
    Append,
    AppendReply,
    BootstrapMember,
    Entry,
    GroupCreated,
    Hello,
    HelloReply,
    InstallSnapshot,
    LocalMember,
    LogRole,
    Message,
    Peer,
    Ready,
    SnapshotMeta,
    SnapshotReply,
    StoredState,
    TimeoutNow,
    Vote,
    VoteReply,
)
from wigeonspan.consensus._state import NEVER, NodeState
from wigeonspan.consensus._timing import VOTE_GUARD_S

RETAINED_ENTRIES = 500
"""Number of entries before a snapshot that stay in memory, so that a follower which is
a few seconds behind catches up without a snapshot transfer."""


class RaftNode:
    """One member of the replicated log.

    Parameters
    ----------
    local : LocalMember
        This host.
    bootstrap : iterable of BootstrapMember
        The initial voters; used only while the disk belongs to no group.
    stored : StoredState
        State read from disk.
    rng : random.Random
        Source of election timeouts and of the group's identifier.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        local: LocalMember,
        bootstrap: Iterable[BootstrapMember],
        stored: StoredState,
        rng: random.Random,
        now: float,
    ) -> None:
        self._state = NodeState(local, bootstrap, stored, rng, now)
        if _election.can_campaign_at_once(self._state):
            self._state.election_deadline = now

    @property
    def role(self) -> LogRole:
        """Return the role in the current term."""
        return self._state.role

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._state.term

    @property
    def group(self) -> str:
        """Return the group's identifier; empty while the disk belongs to no group."""
        return self._state.hard_state.group

    @property
    def leader(self) -> Peer | None:
        """Return the leader of the current term, or None when it is not known."""
        return self._state.leader

    def in_contact(self, now: float) -> bool:
        """Return whether a leader was heard recently, or a majority as a leader."""
        state = self._state
        if state.role is LogRole.LEADER:
            return self.lease_valid_until > now
        return state.last_leader_contact + VOTE_GUARD_S > now

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the membership in force, committed or not."""
        return self._state.log.members

    @property
    def commit(self) -> LogIndex:
        """Return the last index that is known to be committed."""
        return self._state.commit

    @property
    def last_index(self) -> LogIndex:
        """Return the last index in the log, synced to disk or not."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> LogIndex:
        """Return the last index that the latest snapshot covers."""
        return self._state.log.snapshot.index

    @property
    def leads(self) -> bool:
        """Whether this member leads and has delivered an entry of its current term."""
        state = self._state
        return (
            state.role is LogRole.LEADER
            and state.delivered >= state.first_index_of_term
        )

    @property
    def lease_valid_until(self) -> float:
        """Return the monotonic time until which no other member can lead.

        0 when this member is not the leader.
        """
        if self._state.role is not LogRole.LEADER:
            return 0.0
        return max(0.0, _replication.lease_end(self._state))

    @property
    def quorum_round_sent_at(self) -> float:
        """Return when the last round was sent that a majority of voters answered."""
        return _replication.lease_start(self._state)

    @property
    def unregistered_disks(self) -> dict[HostId, str]:
        """Return the unregistered disk identities of hosts that replied, by host."""
        state = self._state
        registered = {member.disk_id for member in state.log.members}
        return {
            h: d for h, d in state.unregistered_disks.items() if d not in registered
        }

    def match_index(self, host: HostId) -> LogIndex:
        """Return the last index that a member is known to store; 0 when unknown.

        Only the leader tracks this.
        """
        progress = self._state.progress.get(host)
        return LogIndex(0) if progress is None else progress.match

    def answered_round_sent_at(self, host: HostId) -> float | None:
        """Return when the last round was sent that a member answered.

        None when this host does not lead or the member has not answered yet.
        """
        progress = self._state.progress.get(host)
        if progress is None or progress.answered_round_sent_at == NEVER:
            return None
        return progress.answered_round_sent_at

    @property
    def leader_since(self) -> float:
        """Return when this host last became leader; minus infinity if it never did."""
        return self._state.leader_since

    def handle(self, message: Message, now: float) -> Ready:
        """Process a message from another member."""
        self._state.now = now
        if self._accepts(message):
            self._dispatch(message, now)
        elif isinstance(message.body, Append):
            if message.target.name == self._state.local.name:
                _bootstrap.report_unregistered_disk(self._state, message)
        return self._take_effects(now)

    def tick(self, now: float) -> Ready:
        """Process timers: heartbeats, election timeout and bootstrap."""
        state = self._state
        state.now = now
        _bootstrap.tick_bootstrap(state, now)
        if state.role is LogRole.LEADER:
            if not _replication.tick_leader(state, now):
                _election.become_follower(state, state.term, None, now)
        elif now >= state.election_deadline:
            if _election.can_campaign(state, now):
                _election.campaign(state, now, pre=True)
            else:
                state.reset_election_timeout(now)
        return self._take_effects(now)

    def propose(self, command: bytes, now: float) -> tuple[Entry, Ready]:
        """Append a command as leader.

        Returns
        -------
        tuple of Entry and Ready
            The entry, which is committed when it comes out of a ``Ready`` with the
            same term, and the effects.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER``.
        """
        self._check_leader()
        return self._append(command, None, now)

    def change_member(
        self, member: Member, present: bool, command: bytes, now: float
    ) -> tuple[Entry, Ready]:
        """Append a change of one member as leader.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER``, or ``VERSION_CONFLICT`` when the change is not allowed now.
        """
        self._check_leader()
        state = self._state
        if state.log.members_index > state.commit or not self.leads:
            raise WigeonspanError(
                ErrorKind.VERSION_CONFLICT,
                "the last change of the membership is not committed yet",
            )
        members = changed_members(self.members, member, present)
        if not any(m.voter and state.is_self(m) for m in members):
            raise WigeonspanError(
                ErrorKind.NOT_LEADER,
                "a leader hands over before it stops voting",
            )
        if member.voter and present and self.match_index(member.name) < state.commit:
            raise WigeonspanError(
                ErrorKind.VERSION_CONFLICT,
                f"{member.name} does not hold the committed log yet",
            )
        return self._append(command, members, now)

    def on_persisted(self, sequence: int, now: float) -> Ready:
        """Process the report that writes up to a sequence number are synced to disk."""
        state = self._state
        state.now = now
        state.mark_synced(sequence)
        state.storage_full_at = NEVER
        if state.role is LogRole.LEADER:
            _replication.advance_commit(state)
            for member in state.others:
                _replication.replicate(state, member, now)
        else:
            _replication.send_ack(state)
        return self._take_effects(now)

    def on_storage_full(self, now: float) -> tuple[LogIndex, Ready]:
        """Discard entries that could not be written because the disk is full.

        Nothing counts as written that was not reported as synced. A term or vote among
        it is issued again, and messages that rest on it are held back until then.

        Returns
        -------
        tuple of LogIndex and Ready
            The last index that remains in the log, and the effects.
        """
        state = self._state
        state.now = now
        last = state.drop_unsynced()
        state.storage_full_at = now
        if state.role is LogRole.LEADER and last < state.first_index_of_term:
            _election.become_follower(state, state.term, None, now)
        elif state.role is LogRole.LEADER:
            _replication.update_progress(state)
            if _replication.others_can_lead(state, now):
                _replication.start_handover(state, now)
        return last, self._take_effects(now)

    def snapshot_meta(self, index: LogIndex, size: int) -> SnapshotMeta:
        """Return the metadata for a snapshot taken at an applied index."""
        log = self._state.log
        return SnapshotMeta(
            index, log.term_at(index) or Term(0), log.members_at(index), size
        )

    def compact(self, meta: SnapshotMeta) -> None:
        """Drop entries that a synced snapshot covers, except the last ones."""
        if meta.index > self.snapshot_index:
            self._state.log.compact(meta, RETAINED_ENTRIES)

    def start_round(self, now: float) -> Ready:
        """Send a heartbeat round immediately, to confirm leadership."""
        self._state.now = now
        if self._state.role is LogRole.LEADER:
            _replication.broadcast(self._state, now)
        return self._take_effects(now)

    def hand_over(self, now: float) -> Ready:
        """Start a handover of leadership to the most up-to-date voter."""
        self._state.now = now
        if self._state.role is LogRole.LEADER:
            _replication.start_handover(self._state, now)
        return self._take_effects(now)

    def _check_leader(self) -> None:
        if self.role is not LogRole.LEADER or self._state.handover_target is not None:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this host does not lead")

    def _append(
        self, command: bytes, members: tuple[Member, ...] | None, now: float
    ) -> tuple[Entry, Ready]:
        state = self._state
        state.now = now
        index = LogIndex(state.log.last_index + 1)
        entry = Entry(index, state.term, command, members)
        _replication.append_as_leader(state, [entry])
        return entry, self._take_effects(now)

    def _take_effects(self, now: float) -> Ready:
        state = self._state
        if state.role is LogRole.LEADER and state.handover_target is not None:
            member = _replication.ready_successor(state)
            if member is not None:
                # The receiver may win an election at any time from now on, so this host
                # must not renew its lease in this term.
                _replication.send_timeout_now(state, member)
                _election.become_follower(state, state.term, None, now)
        return state.take_ready()

    def _accepts(self, message: Message) -> bool:
        state, body = self._state, message.body
        if message.target.name != state.local.name:
            return False
        if isinstance(body, Hello):
            return True
        if message.target.disk_id != state.local.disk_id:
            return False
        if isinstance(body, HelloReply | GroupCreated):
            return True
        if message.group == state.hard_state.group:
            return bool(message.group)
        joins = isinstance(body, Append | InstallSnapshot)
        return joins and not state.hard_state.group

    def _dispatch(self, message: Message, now: float) -> None:
        state, body = self._state, message.body
        match body:
            case Vote():
                _election.on_vote(state, message, body, now)
            case VoteReply():
                _election.on_vote_reply(state, message, body, now)
            case Append() | InstallSnapshot():
                self._on_leader_message(message, body, now)
            case AppendReply() | SnapshotReply():
                self._on_follower_reply(message, body, now)
            case TimeoutNow():
                if message.term == state.term and state.leader == message.source:
                    _election.campaign(state, now, pre=False, forced=True)
            case Hello():
                _bootstrap.on_hello(state, message, body)
            case HelloReply():
                _bootstrap.on_hello_reply(state, message, body, now)
            case GroupCreated():
                _bootstrap.on_group_created(state, message, body)

    def _on_leader_message(
        self, message: Message, body: Append | InstallSnapshot, now: float
    ) -> None:
        state = self._state
        if message.term < state.term:
            state.send(message.source, AppendReply(False, LogIndex(0), body.round))
            return
        if not state.hard_state.group:
            state.set_hard_state(message.group, message.term, HostId(""))
        _election.become_follower(state, message.term, message.source, now)
        state.last_leader_contact = now
        state.reset_election_timeout(now)
        if isinstance(body, Append):
            _replication.on_append(state, message, body, now)
        else:
            _replication.on_install(state, message, body, now)

    def _on_follower_reply(
        self, message: Message, body: AppendReply | SnapshotReply, now: float
    ) -> None:
        state = self._state
        if message.term > state.term:
            _election.become_follower(state, message.term, None, now)
        elif isinstance(body, AppendReply):
            _replication.on_append_reply(state, message, body, now)
        else:
            _replication.on_snapshot_reply(state, message, body, now)
