"""Heartbeats of entries: tracks live entries and builds replies, without I/O."""

from collections.abc import Mapping

from msgspec import UNSET

from wigeonspan.common import Clock, DomainName
from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.presence import Beat, BeatReply, EntryHeartbeats, pack_once
from wigeonspan.quarantine import VerdictMemory
from wigeonspan.staging import DemandMeter
from wigeonspan.targets import TargetId


class Heartbeats:
    """Tracks the entries that send heartbeats to this control host.

    Parameters
    ----------
    address : str
        Internal address of the host.
    domain : DomainName
        Failure domain of the host.
    meter : DemandMeter
        Records the demand that entries report.
    """

    def __init__(
        self, address: str, domain: DomainName, clock: Clock, meter: DemandMeter
    ) -> None:
        self._address = address
        self._domain = domain
        self._clock = clock
        self._meter = meter
        self._entries = EntryHeartbeats()
        self._verdicts = VerdictMemory()
        self._pack_config = pack_once()
        self._pack_entries = pack_once()

    @property
    def entries(self) -> EntryHeartbeats:
        """Entries by name, with the time of their last heartbeat."""
        return self._entries

    @property
    def live_entries(self) -> int:
        """Number of entries that count as alive."""
        return len(self._entries.live(self._clock.now()))

    def receive(
        self,
        beat: Beat,
        stored: StoredConfig,
        controls: list[str],
        switching: list[TargetId],
        *,
        leads: bool = False,
        in_group: bool = True,
    ) -> BeatReply:
        """Record a heartbeat and return the reply.

        The configuration and the list of live entries are sent only if the entry asks
        for changes and has an older version.

        Parameters
        ----------
        beat : Beat
            Heartbeat of an entry.
        stored : StoredConfig
            Newest committed configuration.
        controls : list of str
            Internal addresses of the control group's members.
        switching : list of TargetId
            Engines whose phase is changing.
        leads : bool
            Whether this host leads its group.
        in_group : bool
            Whether this host is in contact with the other members of its group.
        """
        now = self._clock.now()
        self._entries.record(beat, now)
        for service, read_ms in beat.read_ms.items():
            stream_s = beat.stream_s.get(service, 0.0)
            self._meter.record(beat.entry.host, service, read_ms, stream_s, now)
        self._verdicts.record(beat.quarantined, now)
        digest = self._entries.digest(now)
        config = entries = None
        if beat.wants_changes and stored.version > beat.config_version:
            config = self._pack_config(stored.version, stored)
        if beat.wants_changes and digest != beat.entries_digest:
            entries = self._pack_entries(digest, self._entries.live(now))
        return BeatReply(
            config_version=stored.version,
            config=config,
            entries=entries,
            entries_digest=digest,
            controls=controls,
            domain=self._domain,
            switching=switching,
            leads=leads,
            in_group=in_group,
            quarantined=self._verdicts.missing(beat.quarantined, now),
            wall_ms=0 if beat.usage is None else self._clock.wall_ms(),
            spills=_rounded(self._entries.spills) or UNSET,
        )

    def limited_targets(self) -> set[TargetId]:
        """Return the targets that limit their requests, as the live entries report."""
        beats = self._entries.beats(self._clock.now())
        return {target for beat in beats for target in beat.limited}

    def relayed_entries(self) -> list[str]:
        """Return the datagram addresses of the entries that use this host's relay."""
        beats = self._entries.beats(self._clock.now())
        return [b.entry.peer_address for b in beats if b.relay == self._address]

    def other_relays(self) -> list[str]:
        """Return the addresses of the relays that other entries use."""
        beats = self._entries.beats(self._clock.now())
        return sorted({beat.relay for beat in beats} - {"", self._address})


def _rounded(spills: Mapping[DomainName, float]) -> dict[DomainName, float]:
    """Return the shares in percent steps, without those that are none."""
    rounded = {domain: round(share, 2) for domain, share in spills.items()}
    return {domain: share for domain, share in rounded.items() if share}
