"""State of the control hosts as an entry sees them, without I/O."""

from collections import deque

from msgspec import Struct

from wigeonspan.common import DomainName
from wigeonspan.targets import TargetId

FORGET_AFTER_S = 20.0
"""Seconds without a reply after which heartbeats to a control host stop, unless the
settings name it."""

FALLBACK_DELAY_S = 0.8
"""Seconds after which a newer configuration is requested from any host that has it; by
then the relay has had time to deliver it in the reply to a heartbeat."""

MAX_PENDING_VERSIONS = 256
"""Largest number of reported versions that are remembered until one is in force."""


class _Control(Struct):
    """State of one control host.

    Parameters
    ----------
    replied_at : float
        Monotonic time in seconds of its last reply, or of the time it was added.
    in_group : bool
        Whether it is in contact with the other members of its group.
    """

    replied_at: float
    domain: DomainName | None = None
    reachable: bool = True
    version: int = 0
    in_group: bool = True
    switching: list[TargetId] = []
    leads: bool = True


class ControlHosts:
    """State of the control hosts, by internal address, and the choice of the relay.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    """

    def __init__(self, domain: DomainName) -> None:
        self._domain = domain
        self._controls: dict[str, _Control] = {}
        self._seeds: set[str] = set()
        self._relay = ""
        self._newest_version = 0
        # Versions that are not in force yet, with the time of the first report. While
        # versions follow each other, the wait for the oldest one goes on.
        self._pending: deque[tuple[int, float]] = deque()

    @property
    def newest_version(self) -> int:
        """Highest version that any control host has reported."""
        return self._newest_version

    @property
    def relay(self) -> str:
        """Host that relays this entry's datagrams and sends it changes.

        It is empty when no control host is reachable.
        """
        return self._relay

    @property
    def replied_at(self) -> float:
        """Monotonic time in seconds at which any control host last replied."""
        return max((c.replied_at for c in self._controls.values()), default=0.0)

    @property
    def switching(self) -> list[TargetId]:
        """Engines whose phase is changing according to any control host."""
        return [t for c in self._controls.values() for t in c.switching]

    def set_seeds(self, addresses: list[str]) -> None:
        """Set the hosts that are named in the settings."""
        self._seeds = set(addresses)

    def add(self, address: str, now: float) -> bool:
        """Add a host; return whether it is new."""
        if address in self._controls:
            return False
        self._controls[address] = _Control(now)
        return True

    def drop(self, address: str) -> None:
        """Remove a host."""
        del self._controls[address]
        self._choose_relay()

    def should_send_heartbeats(self, address: str, now: float) -> bool:
        """Return whether heartbeats to a host should continue."""
        silent_s = now - self._controls[address].replied_at
        return address in self._seeds or silent_s < FORGET_AFTER_S

    def record_reply(
        self,
        address: str,
        domain: DomainName,
        version: int,
        switching: list[TargetId],
        now: float,
        *,
        leads: bool = True,
        in_group: bool = True,
    ) -> bool:
        """Record a reply; return whether the host was unreachable before."""
        control = self._controls[address]
        was_unreachable = not control.reachable
        if version > self._newest_version:
            self._newest_version = version
            self._add_pending(version, now)
        control.version = version
        control.replied_at, control.reachable = now, True
        control.domain, control.switching = domain, switching
        control.leads, control.in_group = leads, in_group
        self._choose_relay()
        return was_unreachable

    def record_missed_reply(self, address: str) -> bool:
        """Record a missing reply; return whether the host was reachable before."""
        control = self._controls[address]
        was_reachable = control.reachable
        control.reachable = False
        # Its report on phase changes is no longer valid; the list of targets shows
        # whether they took place.
        control.switching = []
        self._choose_relay()
        return was_reachable

    def needs_frequent_heartbeats(self, address: str) -> bool:
        """Return whether a host needs heartbeats at the short interval.

        The relay delivers configurations and the leader changes the phases of engines;
        the other hosts only need to know that this entry is alive.
        """
        control = self._controls[address]
        return address == self._relay or control.leads or not control.reachable

    def wants_changes(self, address: str, held_version: int, now: float) -> bool:
        """Return whether a host should include changes in its next reply.

        Only the relay should, because every host has the same data. Another host should
        as well when it has had a newer configuration for a while that the relay has
        not delivered.

        Parameters
        ----------
        held_version : int
            Version of the configuration that this entry has; 0 when it has none.
        """
        if not held_version or not self._relay or address == self._relay:
            return True
        due_at = self.fallback_at(address, held_version)
        return due_at is not None and now >= due_at

    def fallback_at(self, address: str, held_version: int) -> float | None:
        """Return the time from which a host should include changes in its replies.

        It is None while the host has no configuration that the relay is late with.
        """
        while self._pending and self._pending[0][0] <= held_version:
            self._pending.popleft()
        if not self._pending:
            return None
        version, reported_at = self._pending[0]
        has_it = self._controls[address].version >= version
        return reported_at + FALLBACK_DELAY_S if has_it else None

    def _add_pending(self, version: int, now: float) -> None:
        if len(self._pending) < MAX_PENDING_VERSIONS:
            self._pending.append((version, now))
        else:
            # The newest version must not be forgotten; it counts as reported earlier.
            self._pending[-1] = (version, self._pending[-1][1])

    def _choose_relay(self) -> None:
        """Choose the first reachable host by address, hosts of this domain first.

        A host that is cut off from its group gets neither versions nor datagrams of the
        other domains, so it is chosen only if there is no other one.
        """
        candidates = [
            (not control.in_group, control.domain != self._domain, address)
            for address, control in self._controls.items()
            if control.reachable and control.domain is not None
        ]
        self._relay = min(candidates)[-1] if candidates else ""
