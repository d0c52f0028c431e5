"""Messages between entries and the leader: configuration, leases and load."""

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
    """Numbers of requests that one entry has in flight on an engine."""

    urgent: int
    batch: int


class DemandSample(Struct, frozen=True):
    """Demand for a service and priority class at one entry since its last sync.

    Parameters
    ----------
    arrivals : int
        Number of requests that arrived, including refused ones.
    prompt_tokens, output_tokens : int
        Totals over the requests that arrived and that ended, respectively.
    finished, late, refused : int
        Numbers of requests that ended in time, ended late, or were refused.
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
    """Work of an engine for one entry since the entry's last sync.

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
    """Report of an entry to the leader: its configuration version and its load.

    Parameters
    ----------
    incarnation : str
        Random identifier, new at each start of the process.
    version : Version
        Latest configuration version that the entry uses; 0 requests a snapshot.
    draining : bool
        Whether the entry is shutting down.
    interval_s : float
        Period that the samples cover, in seconds.
    live_stamp : str
        Stamp of the list of live entries that the entry has; empty without a list.
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
    """Reply of the leader: a routing lease and the configuration.

    Parameters
    ----------
    lease_s : float
        Length of the routing lease in seconds, counted from the time at which the
        request was sent.
    version : Version
        Version after the snapshot or the updates.
    snapshot : list of CatalogObject or None
        The complete configuration if the entry is too far behind for ``updates``,
        else None.
    updates : list of ObjectUpdate
        Updates after the entry's version, in order.
    live_entries : list of HostId or None
        Entries that hold a routing lease and do not drain. None when the stamp in
        the request is current: the list is the largest part of a reply in a large
        deployment, and seldom changes.
    tenant_shares : dict of TenantName to float
        Share of each tenant's limit that this entry may use, from 0 to 1. For other
        tenants, the limit is divided equally among the live entries.
    """

    term: Term
    lease_s: float
    version: Version
    snapshot: list[CatalogObject] | None
    updates: list[ObjectUpdate]
    live_entries: list[HostId] | None
    tenant_shares: dict[TenantName, float]
    live_stamp: str = ""
