"""What a day's callers, targets and operators saw, and what was disturbed when."""

from enum import Enum

from msgspec import Struct
from standin import CallSeen, Journal

CONTACT_S = 3.0
"""Seconds without a disturbance after which time limits bind a host again, as in the
first deployments."""


class Scope(Enum):
    """What a disturbance touches."""

    HOST = "host"
    CORE = "core"
    TARGETS = "targets"
    LIST = "list"


class Disturbance(Struct):
    """Time in which something was disturbed, ``until`` included.

    Parameters
    ----------
    name : str
        Host; empty for other scopes.
    planned : bool
        Whether it is a stop or a change of settings, during which nothing is lost.
    """

    scope: Scope
    name: str
    what: str
    begins: float
    until: float
    planned: bool = False


class Probe(Struct, frozen=True):
    """Request that shows whether a version is in force at an entry.

    Parameters
    ----------
    start : int
        Number of the entry's start, since only a running process cannot go back.
    in_force : bool or None
        None when the answer does not tell.
    """

    sent_at: float
    ended_at: float
    host: str
    start: int
    version: int
    in_force: bool | None


class VersionRead(Struct, frozen=True):
    """Version that a control host told an operator."""

    sent_at: float
    control: str
    version: int


class Stored(Struct):
    """Configuration that an operator sent."""

    version: int
    sent_at: float
    valid: bool = True
    acknowledged_at: float | None = None
    refused: bool = False


class Departure(Struct, frozen=True):
    """Target that the list showed as leaving or gone."""

    target: str
    shown_at: float


class Evidence(Struct):
    """Everything that the checks look at."""

    journal: Journal
    calls: list[CallSeen] = []
    probes: list[Probe] = []
    reads: list[VersionRead] = []
    stored: list[Stored] = []
    departures: list[Departure] = []
    disturbances: list[Disturbance] = []
    own_ends: list[str] = []
    traffic_began: float = 0.0
    recovered_by: float = 0.0
    judged_until: float = 0.0
    last_version: int | None = None
    host_by_address: dict[str, str] = {}
    retry_ratio: float = 0.0
    retry_minimum: float = 0.0
    retry_window_s: float = 10.0

    def disturb(
        self,
        scope: Scope,
        name: str,
        what: str,
        begins: float,
        until: float,
        *,
        planned: bool = False,
    ) -> Disturbance:
        """Note a disturbance; its end may be set later."""
        made = Disturbance(scope, name, what, begins, until, planned)
        self.disturbances.append(made)
        return made

    def is_calm(
        self, begins: float, until: float, *, host: str = "", scopes: tuple = ()
    ) -> bool:
        """Whether nothing that matters to a host was disturbed in or before a time.

        Parameters
        ----------
        scopes : tuple of Scope
            Scopes that matter beside the host and the control hosts.
        """
        matter = {Scope.CORE, *scopes}
        for each in self.disturbances:
            if each.scope is Scope.HOST:
                if each.name != host:
                    continue
            elif each.scope not in matter:
                continue
            if each.begins <= until and each.until + CONTACT_S >= begins:
                return False
        return True
