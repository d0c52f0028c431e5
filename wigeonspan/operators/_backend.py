"""What the operators' service needs of the control daemon."""

from typing import Protocol

from msgspec import Struct

from wigeonspan.catalog import ApplyChange, CatalogObject, ChangeOutcome, Member
from wigeonspan.common import HostId, Term, Version


class InForceReport(Struct, frozen=True):
    """On which entries a version is in force.

    Parameters
    ----------
    confirmed : list of HostId
        Entries that have confirmed the version.
    pending : list of HostId
        Entries that hold a routing lease and have not confirmed it.
    lease_ended : list of HostId
        Entries whose lease ended before they confirmed it.
    """

    in_force: bool
    version: Version
    confirmed: list[HostId]
    pending: list[HostId]
    lease_ended: list[HostId]


class RecordLine(Struct, frozen=True):
    """Entry of the record with its detail as JSON text."""

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
    """Search of the record; empty values match everything."""

    since_ms: int = 0
    until_ms: int = 0
    subjects: tuple[str, ...] = ()
    actor: str = ""
    kind: str = ""
    limit: int = 0


class Stranger(Struct, frozen=True):
    """Host that came back with another disk than the registered one."""

    host: HostId
    disk_id: str


class ControlStatus(Struct, frozen=True):
    """What a control host knows of itself and its group."""

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
    """Control daemon, as the operators' service uses it.

    Every method but :meth:`status` raises ``NOT_LEADER`` on a host that does not lead
    and ``NO_QUORUM`` or ``LEASE_EXPIRED`` when the state may be old.
    """

    async def apply(self, command: ApplyChange) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        ...

    async def objects(self, kind: str) -> tuple[list[CatalogObject], Version]:
        """Return the objects of a kind and the version that was read."""
        ...

    async def get(self, kind: str, name: str) -> tuple[CatalogObject | None, Version]:
        """Return one object and the version that was read."""
        ...

    async def in_force(self, version: Version) -> InForceReport:
        """Say on which entries a version is in force; 0 asks for the newest."""
        ...

    async def query_record(self, query: RecordQuery) -> tuple[list[RecordLine], bool]:
        """Return matching entries, and whether older ones were left out."""
        ...

    def status(self) -> ControlStatus:
        """Describe this host."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        ...
