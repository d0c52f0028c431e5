"""Message types, stored types and effects of the replicated log."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.catalog import Member
from wigeonspan.common import DomainName, HostId, LogIndex, Term

# Larger integers do not fit into the files of the log, and a voter that cannot write
# its state stops. The lower limit for messages leaves room to count on.
_FILE_LIMIT = Meta(ge=0, le=2**63 - 1)
_MESSAGE_LIMIT = Meta(ge=-(2**62), le=2**62)
_StoredIndex = Annotated[LogIndex, _FILE_LIMIT]
_StoredTerm = Annotated[Term, _FILE_LIMIT]
_Index = Annotated[LogIndex, _MESSAGE_LIMIT]
_Term = Annotated[Term, _MESSAGE_LIMIT]
_Integer = Annotated[int, _MESSAGE_LIMIT]


class BootstrapMember(Struct, frozen=True):
    """One of the initial voters, as listed in the settings."""

    name: HostId
    address: str
    domain: DomainName


class LocalMember(Struct, frozen=True):
    """Identity of this host: its name, address, domain and disk identity."""

    name: HostId
    address: str
    domain: DomainName
    disk_id: str


class LogRole(Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(Struct, frozen=True, omit_defaults=True):
    """One entry of the log.

    Parameters
    ----------
    command : bytes
        Command for the state machine; empty when there is none.
    members : tuple of Member or None
        The complete new membership when the entry changes it. It takes effect as soon
        as the entry is in the log, before it is committed.
    """

    index: _StoredIndex
    term: _StoredTerm
    command: bytes = b""
    members: tuple[Member, ...] | None = None


class HardState(Struct, frozen=True):
    """State that must survive a restart: group, term and vote.

    An empty ``group`` means that this disk belongs to no group yet. An empty ``vote``
    means that the member has not voted in this term.
    """

    group: str = ""
    term: _StoredTerm = Term(0)
    vote: HostId = HostId("")


class SnapshotMeta(Struct, frozen=True):
    """Last log position that a snapshot covers, and the membership at that position."""

    index: _StoredIndex
    term: _StoredTerm
    members: tuple[Member, ...]
    size: _Integer = 0


class Snapshot(Struct, frozen=True):
    """Snapshot of the state machine."""

    meta: SnapshotMeta
    data: bytes


class StoredState(Struct, frozen=True):
    """State read from disk at the start."""

    state: HardState
    snapshot: SnapshotMeta | None
    entries: list[Entry]


class Vote(Struct, frozen=True, tag="vote"):
    """Requests a vote, or a pre-vote (``pre``), which is not binding.

    ``forced`` is set after a handover, in which the leader has given up its lease.
    """

    pre: bool
    last_index: _Index
    last_term: _Term
    forced: bool = False


class VoteReply(Struct, frozen=True, tag="vote_reply"):
    """Reply to a vote request."""

    pre: bool
    granted: bool


class Append(Struct, frozen=True, tag="append"):
    """Replicates entries; without entries it is a heartbeat.

    Parameters
    ----------
    round : int
        Heartbeat round in which the message was sent; the reply repeats it.
    """

    previous_index: _Index
    previous_term: _Term
    entries: list[Entry]
    commit: _Index
    round: _Integer


class AppendReply(Struct, frozen=True, tag="append_reply"):
    """Reply to an append or an installed snapshot.

    Parameters
    ----------
    accepted : bool
        Whether the previous entry matched.
    match : LogIndex
        If accepted, the last index that matches the leader's log and is synced on the
        sender; otherwise the last index that may match.
    """

    accepted: bool
    match: _Index
    round: _Integer


class InstallSnapshot(Struct, frozen=True, tag="install_snapshot"):
    """One chunk of a snapshot.

    ``RaftNode`` leaves ``data`` empty and the transport fills it from the snapshot
    file, so that a leader does not keep a snapshot in memory.
    """

    meta: SnapshotMeta
    offset: _Integer
    round: _Integer
    data: bytes = b""


class SnapshotReply(Struct, frozen=True, tag="snapshot_reply"):
    """Reply to a chunk: the number of snapshot bytes received so far."""

    index: _Index
    received: _Integer
    round: _Integer


class TimeoutNow(Struct, frozen=True, tag="timeout_now"):
    """Completes a handover: the receiver starts an election immediately."""


class Hello(Struct, frozen=True, tag="hello"):
    """Request for the disk identity of an initial voter, sent by the founder.

    Parameters
    ----------
    names : tuple of HostId
        All initial voters from the founder's settings, sorted by name.
    """

    names: tuple[HostId, ...]


class HelloReply(Struct, frozen=True, tag="hello_reply"):
    """Reply with the group, if any; the disk identity is in ``Message.source``."""

    known_group: str


class GroupCreated(Struct, frozen=True, tag="found"):
    """Announces the new group's initial members with their disk identities."""

    members: tuple[Member, ...]


MessageBody = (
    Vote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
    | Hello
    | HelloReply
    | GroupCreated
)
"""Content of a message."""


class Peer(Struct, frozen=True):
    """Sender or receiver of a message."""

    name: HostId
    address: str
    disk_id: str


class Message(Struct, frozen=True):
    """Message from one member to another.

    A member ignores a message for another disk identity or another group.
    """

    group: str
    source: Peer
    target: Peer
    term: _Term
    body: MessageBody


class MessageBatch(Struct, frozen=True):
    """Body of ``POST /internal/v1/raft``."""

    messages: list[Message]


class BatchReply(Struct, frozen=True):
    """Reply to a message batch; it only confirms that the batch was received."""

    count: int


class Persist(Struct, frozen=True):
    """Data to write and sync, in the order of ``sequence``.

    The state is written first, then the snapshot, then the entries. An entry whose
    index is already in the log replaces the one there and all that follow.
    """

    sequence: int
    state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []


class Ready(Struct, frozen=True):
    """Effects of one step of ``RaftNode``.

    Parameters
    ----------
    persist : Persist or None
        To be written; after that, ``RaftNode.on_persisted`` must be called with its
        sequence. Until then, the node holds back messages that depend on it.
    send : list of Message
        To be sent immediately.
    snapshot : Snapshot or None
        To be restored into the state machine before ``committed`` is applied.
    committed : list of Entry
        To be applied in this order.
    """

    persist: Persist | None = None
    send: list[Message] = []
    snapshot: Snapshot | None = None
    committed: list[Entry] = []
