"""Control hosts as an entry sees them, and what it asks of which; without I/O."""

from msgspec import Struct

from wigeonspan.common import DomainName
from wigeonspan.targets import TargetId

FORGET_S = 20.0
"""Seconds without an answer after which a control host is not asked any more, unless
the settings name it."""

FALLBACK_S = 0.6
"""Seconds after which a newer configuration is taken from any host that has it; the
relay of this domain gets one heartbeat to bring it."""


class _Control(Struct):
    answered_at: float
    domain: DomainName | None = None
    reachable: bool = True
    version: int = 0
    # When it first told the version that it tells now.
    told_at: float = 0.0
    switching: list[TargetId] = []
    leads: bool = True


class ControlBook:
    """Control hosts by their internal address.

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

    @property
    def relay(self) -> str:
        """Host that relays this entry's datagrams and brings it what has changed."""
        return self._relay

    @property
    def answered_at(self) -> float:
        """Monotonic time at which a control host last answered."""
        return max((c.answered_at for c in self._controls.values()), default=0.0)

    @property
    def switching(self) -> list[TargetId]:
        """Engines whose phase is changing, as any host says."""
        return [t for c in self._controls.values() for t in c.switching]

    def set_seeds(self, addresses: list[str]) -> None:
        """Note the hosts that the settings name."""
        self._seeds = set(addresses)

    def add(self, address: str, now: float) -> bool:
        """Note a host; return whether it is new."""
        if address in self._controls:
            return False
        self._controls[address] = _Control(now)
        return True

    def drop(self, address: str) -> None:
        """Forget a host."""
        del self._controls[address]
        self._choose_relay()

    def is_wanted(self, address: str, now: float) -> bool:
        """Whether a host should still be asked."""
        silent_s = now - self._controls[address].answered_at
        return address in self._seeds or silent_s < FORGET_S

    def answered(
        self,
        address: str,
        domain: DomainName,
        version: int,
        switching: list[TargetId],
        now: float,
        *,
        leads: bool = True,
    ) -> bool:
        """Note an answer; return whether the host was unreachable before."""
        control = self._controls[address]
        back = not control.reachable
        if version != control.version:
            control.version, control.told_at = version, now
        control.answered_at, control.reachable = now, True
        control.domain, control.switching = domain, switching
        control.leads = leads
        self._choose_relay()
        return back

    def unanswered(self, address: str) -> bool:
        """Note a heartbeat without an answer; return whether it is the first."""
        control = self._controls[address]
        lost = control.reachable
        control.reachable = False
        # Its word on phases is void; the list shows what came of it.
        control.switching = []
        self._choose_relay()
        return lost

    def is_urgent(self, address: str) -> bool:
        """Whether a host says what an entry must hear soon.

        The relay brings configurations and the leader changes phases; the others only
        have to know that this entry is alive.
        """
        control = self._controls[address]
        return address == self._relay or control.leads or not control.reachable

    def wants_changes(self, address: str, held: int, now: float) -> bool:
        """Whether a host should send what has changed with its next answer.

        One host does, since every host has the same; another one steps in when it
        knows a newer configuration that the first one does not bring.

        Parameters
        ----------
        held : int
            Version of the configuration that this entry holds; 0 when none.
        """
        if not held or not self._relay or address == self._relay:
            return True
        control = self._controls[address]
        return control.version > held and now - control.told_at >= FALLBACK_S

    def _choose_relay(self) -> None:
        """Keep the relay while it answers; best one of this domain."""
        heard = [
            (control.domain != self._domain, address)
            for address, control in self._controls.items()
            if control.reachable and control.domain is not None
        ]
        self._relay = min(heard)[1] if heard else ""
