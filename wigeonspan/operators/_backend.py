"""Interface between the operators' service and the control daemon."""

from typing import Protocol

from msgspec import Struct

from wigeonspan.catalog import ApplyChange, CatalogObject, ChangeOutcome, Member
from wigeonspan.common import HostId, Term, Version


class InForceReport(Struct, frozen=True):
    """State of a configuration version on the entry hosts.

    Parameters
    ----------
    in_force : bool
        Whether no entry host can still route by an older version.
    version : Version
        Version that the report is about.
    confirmed : list of HostId
        Entry hosts that have confirmed the version.
    pending : list of HostId
        Entry hosts that may hold a routing lease and have not confirmed the version.
    lease_ended : list of HostId
        Entry hosts whose routing lease ended before they confirmed the version.
    """

    in_force: bool
    version: Version
    confirmed: list[HostId]
    pending: list[HostId]
    lease_ended: list[HostId]


class RecordEntryView(Struct, frozen=True):
    """Entry of the hash-chained audit record.

    Parameters
    ----------
    seq : int
        Position in the record.
    index : int
        Log index of the command that created the entry.
    wall_ms : int
        Wall-clock time in milliseconds.
    kind : str
        Kind of entry, for example ``change``.
    actor : str
        Operator, or component that made the decision.
    subjects : tuple of str
        Affected objects as ``kind/name``, for example ``engine/e7``.
    summary : str
        Human-readable description in one sentence.
    detail_json : str
        Command as JSON text, including the inputs of a decision.
    previous, hash : str
        Hashes of the previous entry and of this one.
    """

    seq: int
    index: int
    wall_ms: int
    kind: str
    actor: str
    subjects: tuple[str, ...]
    summary: str
    detail_json: str
    previous: str
    hash: str


class RecordQuery(Struct, frozen=True):
    """Search of the audit record; zero and empty values match everything.

    A limit of 0 selects the default limit of the control daemon.
    """

    since_ms: int = 0
    until_ms: int = 0
    subjects: tuple[str, ...] = ()
    actor: str = ""
    kind: str = ""
    limit: int = 0


class Stranger(Struct, frozen=True):
    """Host that reports a disk identity other than the registered one."""

    host: HostId
    disk_id: str


class ControlStatus(Struct, frozen=True):
    """State of a control host and its view of the control group.

    Parameters
    ----------
    host : HostId
        Host that responds.
    is_leader : bool
        Whether the host is the leader.
    lease_valid : bool
        Whether the leader lease of the host covers reads now.
    leader : str
        Name of the leader; empty when it is unknown.
    leader_address : str
        Leader's address for operators; empty when it is unknown.
    term : Term
        Current term of the log.
    version : Version
        Newest configuration version that the host has applied.
    members : list of Member
        Members of the control group.
    record_seq : int
        Position of the last entry in the host's copy of the audit record.
    record_hash : str
        Hash of that entry.
    disk_id : str
        Identity of the host's disk.
    strangers : list of Stranger
        Hosts that report a disk identity other than the registered one.
    """

    host: HostId
    is_leader: bool
    lease_valid: bool
    leader: str
    leader_address: str
    term: Term
    version: Version
    members: list[Member]
    record_seq: int
    record_hash: str
    disk_id: str
    strangers: list[Stranger]


class ControlBackend(Protocol):
    """Part of the control daemon that the operators' service calls.

    The asynchronous methods raise ``NOT_LEADER`` on a host that is not the leader, and
    ``NO_QUORUM`` or ``LEASE_EXPIRED`` when the local state may be stale.
    """

    async def apply(self, command: ApplyChange) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        ...

    async def objects(self, kind: str) -> tuple[list[CatalogObject], Version]:
        """Return the objects of a kind and the configuration version that was read."""
        ...

    async def get(self, kind: str, name: str) -> tuple[CatalogObject | None, Version]:
        """Return one object, or None, and the configuration version that was read."""
        ...

    async def in_force(self, version: Version) -> InForceReport:
        """Report the state of a version on the entry hosts; 0 selects the newest."""
        ...

    async def query_record(
        self, query: RecordQuery
    ) -> tuple[list[RecordEntryView], bool]:
        """Return matching entries, and whether older matches were left out."""
        ...

    def status(self) -> ControlStatus:
        """Return the status of this host."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        ...
