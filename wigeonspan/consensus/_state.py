"""State of one member of the replicated log, shared by the protocol's modules."""

import random
from collections.abc import Iterable

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._log import EntryLog
from wigeonspan.consensus._messages import (
    BootstrapMember,
    Entry,
    HardState,
    LocalMember,
    LogRole,
    Message,
    MessageBody,
    Peer,
    Persist,
    Ready,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from wigeonspan.consensus._timing import (
    DISK_STALL_S,
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    VOTE_GUARD_S,
)

NEVER = float("-inf")
"""Time of an event that has not happened."""


class Progress:
    """Replication progress of another member and its disk, as tracked by the leader.

    ``match`` is the last index that the member is known to have synced, ``next`` the
    next index to send. ``answered_round_sent_at`` is the sending time of the last round
    that it answered. ``snapshot`` and ``received`` describe a snapshot transfer.
    """

    def __init__(self, disk_id: str, next_index: LogIndex) -> None:
        self.disk_id = disk_id
        self.match = LogIndex(0)
        self.next = next_index
        self.resend_at = NEVER
        self.answered_round_sent_at = NEVER
        self.snapshot: SnapshotMeta | None = None
        self.received = 0


class PendingWrite:
    """Write that was issued and is not yet reported as synced."""

    def __init__(self, persist: Persist, now: float) -> None:
        self.persist = persist
        self.issued_at = now
        self.last_index = persist.entries[-1].index if persist.entries else LogIndex(0)


class NodeState:
    """Complete protocol state of one member.

    Parameters
    ----------
    local : LocalMember
        This host.
    bootstrap : iterable of BootstrapMember
        The initial voters, as listed in the settings.
    stored : StoredState
        State read from disk.
    rng : random.Random
        Source of election timeouts.
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
        self.local = local
        self.bootstrap = tuple(bootstrap)
        self.rng = rng
        self.hard_state = stored.state
        self.synced_hard_state = stored.state
        self.log = EntryLog(stored)
        # Last index that is synced here, that is committed, and that was delivered for
        # applying.
        self.synced = self.log.last_index
        self.commit = self.log.snapshot.index
        self.delivered = self.commit
        self.role = LogRole.FOLLOWER
        self.leader: Peer | None = None
        self.last_leader_contact = NEVER
        # A restarted member may have answered a leader whose lease still runs. A disk
        # without a group has answered no leader.
        self.no_vote_before = now + VOTE_GUARD_S if self.hard_state.group else NEVER
        self.forced = False
        # When the disk refused a write, until a write succeeds.
        self.storage_full_at = NEVER
        self.votes: set[HostId] = set()
        self.progress: dict[HostId, Progress] = {}
        self.round = 0
        # Sending time of the recent heartbeat rounds, by round number.
        self.round_sent_at: dict[int, float] = {}
        self.next_heartbeat_at = NEVER
        self.leader_since = NEVER
        # When the last round was sent that a majority of voters answered.
        self.quorum_round_sent_at = NEVER
        self.first_index_of_term = LogIndex(0)
        self.handover_target: HostId | None = None
        self.handover_deadline = NEVER
        self.handover_lease_end = NEVER
        # Hosts without a group that answered a Hello, by name.
        self.bootstrap_peers: dict[HostId, Peer] = {}
        # Unregistered disk identities of hosts without a group, by host.
        self.unregistered_disks: dict[HostId, str] = {}
        self.incoming_snapshot: tuple[SnapshotMeta, bytearray] | None = None
        self.installing: SnapshotMeta | None = None
        # Leader, term, last index that matches and round of the last append, until all
        # of it is synced and acknowledged.
        self.pending_ack: tuple[Peer, Term, LogIndex, int] | None = None
        self.now = now
        self.next_hello_at = NEVER
        self._sequence = 0
        self._pending: list[PendingWrite] = []
        self._outbox: list[Message] = []
        # Messages held back until the write with this sequence number is synced.
        self._deferred: list[tuple[int, Message]] = []
        self._entries: list[Entry] = []
        self._snapshot: Snapshot | None = None
        self._restore: Snapshot | None = None
        self.reset_election_timeout(now)

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self.hard_state.term

    @property
    def peer(self) -> Peer:
        """Return this host as a sender or receiver of messages."""
        return Peer(self.local.name, self.local.address, self.local.disk_id)

    @property
    def voters(self) -> list[Member]:
        """Return the voters of the membership in force."""
        return [member for member in self.log.members if member.voter]

    @property
    def is_voter(self) -> bool:
        """Whether this host, with this disk, is a voter."""
        return any(self.is_self(member) for member in self.voters)

    @property
    def others(self) -> list[Member]:
        """Return the members other than this host."""
        return [m for m in self.log.members if m.name != self.local.name]

    def is_self(self, member: Member) -> bool:
        """Whether a member is this host with this disk."""
        return (member.name, member.disk_id) == (self.local.name, self.local.disk_id)

    @property
    def disk_stalled(self) -> bool:
        """Whether the oldest pending write has taken longer than ``DISK_STALL_S``."""
        if not self._pending:
            return False
        return self.now - self._pending[0].issued_at > DISK_STALL_S

    def find_member(self, peer: Peer) -> Member | None:
        """Return the member with the name and disk identity of a peer, if any."""
        for member in self.log.members:
            if (member.name, member.disk_id) == (peer.name, peer.disk_id):
                return member
        return None

    def majority_value(self, values: dict[HostId, float]) -> float:
        """Return the greatest value that a majority of the voters has reached."""
        ranked = sorted((values.get(v.name, NEVER) for v in self.voters), reverse=True)
        return ranked[len(ranked) // 2] if ranked else NEVER

    def reset_election_timeout(self, now: float) -> None:
        """Start a new random election timeout."""
        self.election_deadline = now + self.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)

    def set_hard_state(self, group: str, term: Term, vote: HostId) -> None:
        """Change group, term and vote, which must be synced."""
        self.hard_state = HardState(group, term, vote)

    def send(self, target: Peer, body: MessageBody, term: Term | None = None) -> None:
        """Queue a message; it is held back while the hard state is not synced."""
        message = Message(
            group=self.hard_state.group,
            source=self.peer,
            target=target,
            term=self.term if term is None else term,
            body=body,
        )
        self._outbox.append(message)

    def append(self, entries: list[Entry]) -> None:
        """Append entries, replacing all from the first new index on."""
        first = entries[0].index
        self._mark_unsynced_from(first)
        self._entries = [e for e in self._entries if e.index < first] + entries
        self.log.append(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Issue the write of a snapshot; it replaces the log once it is synced."""
        self._snapshot = snapshot
        self.installing = snapshot.meta

    def drop_unsynced(self) -> LogIndex:
        """Discard unwritten entries and return the last index that remains."""
        self._entries, self._snapshot, self.installing = [], None, None
        self._pending = []
        self.log.truncate_after(self.synced)
        # Discarded entries must be accepted again, even if they are committed.
        self.commit = LogIndex(min(self.commit, self.synced))
        return self.synced

    def mark_synced(self, sequence: int) -> None:
        """Record that all writes up to a sequence number are synced."""
        while self._pending and self._pending[0].persist.sequence <= sequence:
            pending = self._pending.pop(0)
            if pending.persist.state is not None:
                self.synced_hard_state = pending.persist.state
            if pending.persist.snapshot is not None:
                self._finish_install(pending.persist.snapshot)
            self.synced = LogIndex(max(self.synced, pending.last_index))
        released = [m for at, m in self._deferred if at <= sequence]
        self._deferred = [(at, m) for at, m in self._deferred if at > sequence]
        self._outbox = released + self._outbox

    def take_ready(self) -> Ready:
        """Return the effects collected since the last call."""
        persist = self._take_persist()
        if self.synced_hard_state != self.hard_state:
            self._deferred.extend((self._sequence, m) for m in self._outbox)
            self._outbox = []
        send, self._outbox = self._outbox, []
        snapshot, self._restore = self._restore, None
        return Ready(persist, send, snapshot, self._take_committed())

    def _take_persist(self) -> Persist | None:
        state = (
            self.hard_state
            if self.hard_state != self._last_issued_hard_state()
            else None
        )
        if state is None and not self._entries and self._snapshot is None:
            return None
        self._sequence += 1
        persist = Persist(self._sequence, state, self._snapshot, self._entries)
        self._pending.append(PendingWrite(persist, self.now))
        self._entries, self._snapshot = [], None
        return persist

    def _last_issued_hard_state(self) -> HardState:
        for pending in reversed(self._pending):
            if pending.persist.state is not None:
                return pending.persist.state
        return self.synced_hard_state

    def _take_committed(self) -> list[Entry]:
        last = LogIndex(min(self.commit, self.synced))
        if last <= self.delivered or self.delivered < self.log.base:
            return []
        entries = self.log.between(LogIndex(self.delivered + 1), last)
        self.delivered = last
        return entries

    def _finish_install(self, snapshot: Snapshot) -> None:
        index = snapshot.meta.index
        self.installing = None
        self.log.install(snapshot.meta)
        if self.log.last_index == index:
            self._entries = []
        self.synced = LogIndex(max(self.synced, index))
        self.commit = LogIndex(max(self.commit, index))
        if index > self.delivered:
            self._restore = snapshot
            self.delivered = index

    def _mark_unsynced_from(self, first: LogIndex) -> None:
        """Record that entries from an index on were replaced and are not synced."""
        self.synced = LogIndex(min(self.synced, first - 1))
        for pending in self._pending:
            pending.last_index = LogIndex(min(pending.last_index, first - 1))
