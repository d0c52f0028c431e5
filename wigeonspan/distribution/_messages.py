"""Messages between entries and the leader: configuration, leases, load."""

from msgspec import Struct

from wigeonspan.catalog import CatalogObject, ObjectUpdate, PriorityClass
from wigeonspan.common import (
    DomainName,
    EngineId,
    HostId,
    ServiceName,
    TenantName,
    Term,
    Version,
)


class InFlight(Struct, frozen=True):
    """Requests of one entry that are on an engine now."""

    urgent: int
    batch: int


class DemandSample(Struct, frozen=True):
    """What one entry saw of a service and class since its last sync.

    Parameters
    ----------
    arrivals : int
        Requests that arrived, refused ones included.
    prompt_tokens, output_tokens : int
        Sums over the requests that arrived and ended.
    finished, late, refused : int
        Requests that ended in time, ended late, or were refused.
    """

    service: ServiceName
    priority: PriorityClass
    arrivals: int
    prompt_tokens: int
    output_tokens: int
    finished: int
    late: int
    refused: int


class EngineSample(Struct, frozen=True):
    """Work that one entry saw an engine do since its last sync.

    Parameters
    ----------
    prefill_tokens, decode_tokens : int
        Tokens of the attempts that ended.
    prefill_s, decode_s : float
        Seconds that those attempts spent before and after their first token.
    """

    engine: EngineId
    prefill_tokens: int
    decode_tokens: int
    prefill_s: float
    decode_s: float


class SyncRequest(Struct, frozen=True):
    """Entry to leader: what it has and what it sees.

    Parameters
    ----------
    incarnation : str
        Random for each start of the process.
    version : Version
        Newest configuration version in force on the entry; 0 asks for a snapshot.
    draining : bool
        Whether the entry is stopping.
    interval_s : float
        Seconds that the samples cover.
    live_stamp : str
        Stamp of the live entries that the entry has; empty when it has none.
    """

    entry: HostId
    incarnation: str
    address: str
    domain: DomainName
    version: Version
    draining: bool
    interval_s: float
    in_flight: dict[EngineId, InFlight]
    demand: list[DemandSample]
    engines: list[EngineSample]
    tenant_rates: dict[TenantName, float]
    live_stamp: str = ""


class SyncReply(Struct, frozen=True):
    """Leader to entry: a routing lease and the configuration.

    Parameters
    ----------
    lease_s : float
        Length of the routing lease, counted from when the request was sent.
    version : Version
        Version after the snapshot or the updates.
    snapshot : list of CatalogObject or None
        The whole configuration, when the entry is too far behind.
    updates : list of ObjectUpdate
        Steps after the entry's version, in order.
    live_entries : list of HostId or None
        Entries that hold a routing lease and do not drain; None when they are still
        those of the stamp in the request. The list is the largest part of a reply in
        a large deployment, and seldom changes.
    tenant_shares : dict of TenantName to float
        Share of each tenant's limit that this entry may use, from 0 to 1. A tenant
        that is absent has an equal share.
    """

    term: Term
    lease_s: float
    version: Version
    snapshot: list[CatalogObject] | None
    updates: list[ObjectUpdate]
    live_entries: list[HostId] | None
    tenant_shares: dict[TenantName, float]
    live_stamp: str = ""
