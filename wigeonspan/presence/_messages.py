"""Heartbeats between entries and control hosts."""

from enum import Enum
from typing import Annotated

from msgspec import UNSET, Meta, Struct, UnsetType

from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.quarantine import PartQuarantined
from wigeonspan.targets import TargetId
from wigeonspan.usage import UsageShare

BEAT_PATH = "/internal/v1/beat"
"""Path of heartbeats at a control host."""

ADDRESS_KEEP_S = 1.0
"""Seconds for which a caller may keep the addresses of entries. Some keep them three
times as long; a stopping entry serves them until then."""

# Totals since the start of an entry. The sums over all entries must be finite.
_Total = Annotated[float, Meta(ge=0.0, le=1e15)]


# Capacity or use of a resource; finite, so that sums and ratios are.
_Amount = Annotated[float, Meta(ge=0.0, le=1e9)]


# Part of the callers.
_Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class EntryState(Enum):
    """State of an entry; only ready ones are listed for callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class EntryInfo(Struct, frozen=True):
    """Identity, addresses and state of an entry.

    Parameters
    ----------
    caller_address : str
        Address that callers connect to.
    peer_address : str
        Address for datagrams from other entries.
    weight : int
        Share of the callers in percent of the mean; left out for 100, and in what
        entries say of themselves.
    """

    host: HostId
    domain: DomainName
    caller_address: str
    peer_address: str
    state: EntryState
    weight: Annotated[int, Meta(ge=1, le=10_000)] | UnsetType = UNSET


class Resources(Struct, frozen=True):
    """Capacity of an entry, or its use of it; None where it is not known.

    Parameters
    ----------
    cores : float or None
        Processor in cores.
    memory_mb : float or None
        Memory in MB beyond that of a process without callers.
    link_mbps : float or None
        Bandwidth of the link in Mbit/s, in the direction that carries more.
    descriptors : float or None
        Number of open descriptors.
    """

    cores: _Amount | None = None
    memory_mb: _Amount | None = None
    link_mbps: _Amount | None = None
    descriptors: _Amount | None = None


class EntryLoad(Struct, frozen=True):
    """Capacity of an entry and its use in the last seconds."""

    capacity: Resources
    used: Resources


class Beat(Struct, frozen=True):
    """Heartbeat of an entry.

    Parameters
    ----------
    config_version : int
        Version of the entry's configuration; 0 when it has none.
    entries_digest : str
        Digest of the list of entries that it has received from this control host.
    wants_changes : bool
        Whether the answer should include the configuration and the list of entries if
        they have changed.
    read_ms : dict
        Engine time of prefills in milliseconds since the start, by service.
    stream_s : dict
        Total duration of all streams in seconds since the start, by service.
    relay : str
        Internal address of the control host that relays this entry's datagrams; empty
        when there is none.
    limited : list of TargetId
        Targets that limit their requests.
    quarantined : list of PartQuarantined
        Verdicts of the quarantine that the entry holds.
    usage : UsageShare or None
        Use that the entry has counted; None when use is not metered.
    urgent_read_ms, urgent_stream_s : dict
        Like ``read_ms`` and ``stream_s`` for the most urgent requests of services whose
        replicas may be ordered.
    load : EntryLoad
        Capacity and use; left out by entries whose settings name no capacity and by
        older builds.
    """

    entry: EntryInfo
    config_version: int
    entries_digest: str
    wants_changes: bool = True
    read_ms: dict[ServiceName, _Total] = {}
    stream_s: dict[ServiceName, _Total] = {}
    relay: str = ""
    limited: list[TargetId] = []
    quarantined: list[PartQuarantined] = []
    usage: UsageShare | None = None
    urgent_read_ms: dict[ServiceName, _Total] = {}
    urgent_stream_s: dict[ServiceName, _Total] = {}
    load: EntryLoad | UnsetType = UNSET


class BeatReply(Struct, frozen=True):
    """Answer to a heartbeat.

    Parameters
    ----------
    config_version : int
        Version of the latest committed configuration at the host.
    config : bytes or None
        Packed ``StoredConfig`` if the entry asks for it and has an older one.
    entries : bytes or None
        Packed list of ``EntryInfo`` of the live entries if the entry asks for it and
        has a different one.
    controls : list of str
        Internal addresses of the control group's members.
    domain : DomainName
        Failure domain of the control host; entries use a relay in their own domain.
    switching : list of TargetId
        Engines that must not get new work because their phase is changing.
    leads : bool
        Whether the host leads its group; only a leader changes phases.
    in_group : bool
        Whether the host is in contact with the leader of its group, or leads it with
        a majority. Otherwise it gets no new configuration.
    quarantined : list of PartQuarantined
        Verdicts of other entries that the entry does not hold.
    wall_ms : int
        Wall-clock time of the control host in milliseconds; 0 when use is not metered.
    spills : dict
        Share of the callers of each domain that go to other domains; left out when
        there is none.
    """

    config_version: int
    config: bytes | None
    entries: bytes | None
    entries_digest: str
    controls: list[str]
    domain: DomainName = DomainName("")
    switching: list[TargetId] = []
    leads: bool = True
    in_group: bool = True
    quarantined: list[PartQuarantined] = []
    wall_ms: Annotated[int, Meta(ge=0, le=2**53)] = 0
    spills: dict[DomainName, _Share] | UnsetType = UNSET
