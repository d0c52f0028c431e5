"""State of one member of the replicated log, shared by the protocol's parts."""

import random
from collections.abc import Iterable

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term
from wigeonspan.consensus._log import EntryLog
from wigeonspan.consensus._messages import (
    Body,
    BootstrapMember,
    Entry,
    HardState,
    Local,
    LogRole,
    Message,
    Peer,
    Persist,
    Ready,
    Snapshot,
    SnapshotMeta,
    Stored,
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
    """What a leader knows of one other member, with one disk."""

    def __init__(self, disk_id: str, next_index: LogIndex) -> None:
        self.disk_id = disk_id
        self.match = LogIndex(0)
        self.next = next_index
        self.resend_at = NEVER
        self.answered_at = NEVER
        self.snapshot: SnapshotMeta | None = None
        self.received = 0


class Pending:
    """A write that was ordered and not yet reported as synced."""

    def __init__(self, persist: Persist, now: float) -> None:
        self.persist = persist
        self.ordered_at = now
        self.last = persist.entries[-1].index if persist.entries else LogIndex(0)


class NodeState:
    """Everything that one member knows.

    Parameters
    ----------
    local : Local
        This host.
    bootstrap : iterable of BootstrapMember
        The first voters, as the settings name them.
    stored : Stored
        What the disk held.
    rng : random.Random
        Source of election timeouts.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        local: Local,
        bootstrap: Iterable[BootstrapMember],
        stored: Stored,
        rng: random.Random,
        now: float,
    ) -> None:
        self.local = local
        self.bootstrap = tuple(bootstrap)
        self.rng = rng
        self.hard = stored.state
        self.synced_hard = stored.state
        self.log = EntryLog(stored)
        self.synced = self.log.last_index
        self.commit = self.log.snapshot.index
        self.delivered = self.commit
        self.role = LogRole.FOLLOWER
        self.leader: Peer | None = None
        self.heard_at = NEVER
        # A disk that belongs to no group has answered no leader, so it need not wait.
        self.no_vote_before = now + VOTE_GUARD_S if self.hard.group else NEVER
        self.forced = False
        self.votes: set[HostId] = set()
        self.progress: dict[HostId, Progress] = {}
        self.round = 0
        self.round_sent: dict[int, float] = {}
        self.heartbeat_at = NEVER
        self.led_since = NEVER
        self.answered_at = NEVER
        self.first_own = LogIndex(0)
        self.handover: HostId | None = None
        self.handover_until = NEVER
        self.handover_lease = NEVER
        self.identities: dict[HostId, Peer] = {}
        self.strangers: dict[HostId, str] = {}
        self.incoming: tuple[SnapshotMeta, bytearray] | None = None
        self.installing: SnapshotMeta | None = None
        self.ack: tuple[Peer, Term, LogIndex, int] | None = None
        self.now = now
        self.hello_at = NEVER
        self._sequence = 0
        self._pending: list[Pending] = []
        self._outbox: list[Message] = []
        self._held: list[tuple[int, Message]] = []
        self._entries: list[Entry] = []
        self._snapshot: Snapshot | None = None
        self._restore: Snapshot | None = None
        self.reset_election(now)

    @property
    def term(self) -> Term:
        """Current term."""
        return self.hard.term

    @property
    def peer(self) -> Peer:
        """Return this host as the source of a message."""
        return Peer(self.local.name, self.local.address, self.local.disk_id)

    @property
    def voters(self) -> list[Member]:
        """Voters of the membership in force."""
        return [member for member in self.log.members if member.voter]

    @property
    def is_voter(self) -> bool:
        """Whether this host, with this disk, is a voter."""
        return any(self.is_self(member) for member in self.voters)

    @property
    def others(self) -> list[Member]:
        """Members other than this host."""
        return [m for m in self.log.members if m.name != self.local.name]

    def is_self(self, member: Member) -> bool:
        """Whether a member is this host with this disk."""
        return (member.name, member.disk_id) == (self.local.name, self.local.disk_id)

    @property
    def disk_stalled(self) -> bool:
        """Whether a write has been waiting for too long."""
        if not self._pending:
            return False
        return self.now - self._pending[0].ordered_at > DISK_STALL_S

    def registered(self, peer: Peer) -> Member | None:
        """Return the member with this name and disk identity."""
        for member in self.log.members:
            if (member.name, member.disk_id) == (peer.name, peer.disk_id):
                return member
        return None

    def quorum_of(self, values: dict[HostId, float]) -> float:
        """Return the greatest value that a majority of the voters reaches."""
        ranked = sorted((values.get(v.name, NEVER) for v in self.voters), reverse=True)
        return ranked[len(ranked) // 2] if ranked else NEVER

    def reset_election(self, now: float) -> None:
        """Draw a new election timeout."""
        self.election_at = now + self.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)

    def set_hard(self, group: str, term: Term, vote: HostId) -> None:
        """Change the state that must be synced."""
        self.hard = HardState(group, term, vote)

    def send(self, target: Peer, body: Body, term: Term | None = None) -> None:
        """Send a message; it is held back while our term or vote is not synced."""
        message = Message(
            group=self.hard.group,
            source=self.peer,
            target=target,
            term=self.term if term is None else term,
            body=body,
        )
        self._outbox.append(message)

    def append(self, entries: list[Entry]) -> None:
        """Append entries, replacing those from the first one's index on."""
        first = entries[0].index
        self._forget_synced_from(first)
        self._entries = [e for e in self._entries if e.index < first] + entries
        self.log.append(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Order a snapshot to be written; it replaces the log once it is synced."""
        self._snapshot = snapshot
        self.installing = snapshot.meta

    def drop_unsynced(self) -> LogIndex:
        """Forget what could not be written and return the last index that stays."""
        self._entries, self._snapshot, self.installing = [], None, None
        self._pending = []
        self.log.truncate_after(self.synced)
        # Entries that were dropped must be accepted again, committed or not.
        self.commit = LogIndex(min(self.commit, self.synced))
        return self.synced

    def synced_to(self, sequence: int) -> None:
        """Note that all writes up to a sequence are synced."""
        while self._pending and self._pending[0].persist.sequence <= sequence:
            pending = self._pending.pop(0)
            if pending.persist.state is not None:
                self.synced_hard = pending.persist.state
            if pending.persist.snapshot is not None:
                self._finish_install(pending.persist.snapshot)
            self.synced = LogIndex(max(self.synced, pending.last))
        released = [m for at, m in self._held if at <= sequence]
        self._held = [(at, m) for at, m in self._held if at > sequence]
        self._outbox = released + self._outbox

    def take_ready(self) -> Ready:
        """Return the effects gathered since the last call."""
        persist = self._take_persist()
        if self.synced_hard != self.hard:
            self._held.extend((self._sequence, m) for m in self._outbox)
            self._outbox = []
        send, self._outbox = self._outbox, []
        snapshot, self._restore = self._restore, None
        return Ready(persist, send, snapshot, self._take_committed())

    def _take_persist(self) -> Persist | None:
        state = self.hard if self.hard != self._last_ordered_hard() else None
        if state is None and not self._entries and self._snapshot is None:
            return None
        self._sequence += 1
        persist = Persist(self._sequence, state, self._snapshot, self._entries)
        self._pending.append(Pending(persist, self.now))
        self._entries, self._snapshot = [], None
        return persist

    def _last_ordered_hard(self) -> HardState:
        for pending in reversed(self._pending):
            if pending.persist.state is not None:
                return pending.persist.state
        return self.synced_hard

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

    def _forget_synced_from(self, first: LogIndex) -> None:
        """Note that entries from an index on were replaced and are not synced."""
        self.synced = LogIndex(min(self.synced, first - 1))
        for pending in self._pending:
            pending.last = LogIndex(min(pending.last, first - 1))
