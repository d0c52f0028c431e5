"""Messages, stored types and effects of the replicated log."""

from enum import Enum

from msgspec import Struct

from wigeonspan.catalog import Member
from wigeonspan.common import DomainName, HostId, LogIndex, Term


class BootstrapMember(Struct, frozen=True):
    """One of the first voters, as the settings name it."""

    name: HostId
    address: str
    domain: DomainName


class Local(Struct, frozen=True):
    """Identity of this host: its settings and its disk identity."""

    name: HostId
    address: str
    domain: DomainName
    disk_id: str


class LogRole(Enum):
    """What a member does in its current term."""

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
        The whole new membership when the entry changes it. It is in force as soon as
        the entry is in the log.
    """

    index: LogIndex
    term: Term
    command: bytes = b""
    members: tuple[Member, ...] | None = None


class HardState(Struct, frozen=True):
    """What a member must not forget: group, term and vote.

    An empty ``group`` means that this disk belongs to no group yet.
    """

    group: str = ""
    term: Term = Term(0)
    vote: HostId = HostId("")


class SnapshotMeta(Struct, frozen=True):
    """Position that a snapshot covers, and the membership there."""

    index: LogIndex
    term: Term
    members: tuple[Member, ...]
    size: int = 0


class Snapshot(Struct, frozen=True):
    """Snapshot of the state machine."""

    meta: SnapshotMeta
    data: bytes


class Stored(Struct, frozen=True):
    """What the disk held at the start."""

    state: HardState
    snapshot: SnapshotMeta | None
    entries: list[Entry]


class Vote(Struct, frozen=True, tag="vote"):
    """Asks for a vote, or whether there would be one (``pre``).

    ``forced`` is set when the leader handed over and so gave up its lease.
    """

    pre: bool
    last_index: LogIndex
    last_term: Term
    forced: bool = False


class VoteReply(Struct, frozen=True, tag="vote_reply"):
    """Answers a vote request."""

    pre: bool
    granted: bool


class Append(Struct, frozen=True, tag="append"):
    """Replicates entries; without entries it is a heartbeat.

    Parameters
    ----------
    round : int
        Heartbeat round in which it was sent; the reply repeats it.
    """

    previous_index: LogIndex
    previous_term: Term
    entries: list[Entry]
    commit: LogIndex
    round: int


class AppendReply(Struct, frozen=True, tag="append_reply"):
    """Answers an append or an installed snapshot.

    Parameters
    ----------
    accepted : bool
        Whether the previous entry matched.
    match : LogIndex
        Last index that is known to match and is synced here; when not accepted, the
        last index that may match.
    """

    accepted: bool
    match: LogIndex
    round: int


class InstallSnapshot(Struct, frozen=True, tag="install_snapshot"):
    """One chunk of a snapshot.

    The core leaves ``data`` empty; the adapter fills it from the snapshot file, so that
    a leader keeps no snapshot in memory.
    """

    meta: SnapshotMeta
    offset: int
    round: int
    data: bytes = b""


class SnapshotReply(Struct, frozen=True, tag="snapshot_reply"):
    """Tells how many bytes of a snapshot have arrived."""

    index: LogIndex
    received: int
    round: int


class TimeoutNow(Struct, frozen=True, tag="timeout_now"):
    """Hands leadership over: the receiver campaigns at once."""


class Hello(Struct, frozen=True, tag="hello"):
    """The founder of a group asks a first voter for its disk identity.

    Parameters
    ----------
    names : tuple of HostId
        All first voters, as the founder's settings name them, in order.
    """

    names: tuple[HostId, ...]


class HelloReply(Struct, frozen=True, tag="hello_reply"):
    """Answers with the disk identity (in the envelope) and the group, if any."""

    known_group: str


class Found(Struct, frozen=True, tag="found"):
    """Tells a first voter the first members with their disk identities."""

    members: tuple[Member, ...]


Body = (
    Vote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
    | Hello
    | HelloReply
    | Found
)
"""Content of a message."""


class Peer(Struct, frozen=True):
    """Where a message comes from or goes to."""

    name: HostId
    address: str
    disk_id: str


class Message(Struct, frozen=True):
    """Message between two members.

    A member ignores a message for another disk identity or another group.
    """

    group: str
    source: Peer
    target: Peer
    term: Term
    body: Body


class MessageBatch(Struct, frozen=True):
    """Body of ``POST /internal/v1/raft``."""

    messages: list[Message]


class Received(Struct, frozen=True):
    """Reply to a message batch; it only says that the batch arrived."""

    count: int


class Persist(Struct, frozen=True):
    """What to write and sync, in the order of ``sequence``.

    The state is written first, then the snapshot, then the entries. An entry whose
    index is already in the log replaces it and all that follow.
    """

    sequence: int
    state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []


class Ready(Struct, frozen=True):
    """Effects of one step of the core.

    Parameters
    ----------
    persist : Persist or None
        To be written; then ``RaftNode.persisted`` is called with its sequence. Messages
        that depend on it are held back by the core until then.
    send : list of Message
        To be sent now.
    snapshot : Snapshot or None
        To be restored into the state machine before ``committed`` is applied.
    committed : list of Entry
        To be applied in this order.
    """

    persist: Persist | None = None
    send: list[Message] = []
    snapshot: Snapshot | None = None
    committed: list[Entry] = []
