"""Observations of callers, targets and operators in a run, and its disturbances."""

from enum import Enum

from msgspec import Struct
from standin import CallRecord, DutyCalls, Journal

SETTLING_S = 3.0
"""Seconds after a disturbance until time limits apply to a host again, as in the first
deployments."""

MAX_APPLY_S = 2.0
"""Seconds within which an acknowledged configuration must be in force everywhere."""

BY_PROMPT = "crashed by a prompt"
"""Description of the disturbance of a target by a crashing part of a prompt."""

BY_MEMORY = "crashed out of memory"
"""Description of the disturbance of an engine that held more than its memory."""


STOPPED = "stopped"
STARTED = "started"
"""Descriptions of the disturbances of a host by a planned stop and by a start."""


class Scope(Enum):
    """Part of the system that a disturbance affects.

    ``HOST`` is a single entry, ``CORE`` all control hosts, ``TARGETS`` all targets, and
    ``LIST`` the instance list.
    """

    HOST = "host"
    CORE = "core"
    TARGETS = "targets"
    LIST = "list"


class Disturbance(Struct):
    """Period in which something was disturbed, ``until`` included.

    Parameters
    ----------
    name : str
        Name of what is disturbed; it only matters for ``Scope.HOST``.
    planned : bool
        Whether it is a planned stop or change of settings, which must lose no request.
    """

    scope: Scope
    name: str
    what: str
    begins: float
    until: float
    planned: bool = False


class Probe(Struct, frozen=True):
    """Request that shows whether a configuration version is in force at an entry.

    Parameters
    ----------
    start : int
        Number of the entry's start; an entry may return to an older version only after
        a restart.
    in_force : bool or None
        None if the answer does not show it.
    """

    sent_at: float
    ended_at: float
    host: str
    start: int
    version: int
    in_force: bool | None


class VersionRead(Struct, frozen=True):
    """Configuration version that an operator read from a control host."""

    sent_at: float
    control: str
    version: int


class SentConfig(Struct):
    """Configuration that an operator sent, and how it was answered."""

    version: int
    sent_at: float
    valid: bool = True
    acknowledged_at: float | None = None
    refused: bool = False


class Departure(Struct, frozen=True):
    """Target that the instance list showed as leaving."""

    target: str
    shown_at: float


class Evidence(Struct):
    """Observations of a run that the checks read.

    Parameters
    ----------
    refused_connections : dict
        Times at which proxies found no process listening, by the address and port of
        the caller.
    unexpected_exits : list of str
        Descriptions of processes that ended by themselves, and of a failed start.
    recovered_by, evaluation_ends : float
        Period in which the service level after the recovery is checked.
    last_version : int or None
        Version that a control host reported at the end; None if none answered.
    host_by_address : dict
        Names of entries by their address for callers.
    retry_ratio, retry_minimum : float
        Retries that are allowed for each request, and in any case within a window.
    retry_window_s : float
        Window of the retry budget in seconds.
    duty_calls : DutyCalls or None
        Calls of duties; None in a run without tenants and duties.
    usage_window_s, usage_due_s : float
        Length of a window of use, and time after its end when its report is due.
    tenant_by_key : dict
        Tenant of each key that was ever part of a configuration.
    revoked_at : dict
        Time at which the removal of a key was acknowledged, by key.
    removed_keys : set of str
        Keys that a configuration without them was sent for, acknowledged or not.
    epoch_offset_s : float
        Wall-clock time minus time on the monotonic clock, in seconds.
    observed_until : float
        Time at which the run ended, on the monotonic clock in seconds.
    files_with_keys : list of str
        Files with what the programs wrote that contain a key.
    """

    journal: Journal
    calls: list[CallRecord] = []
    probes: list[Probe] = []
    reads: list[VersionRead] = []
    sent_configs: list[SentConfig] = []
    departures: list[Departure] = []
    disturbances: list[Disturbance] = []
    refused_connections: dict[str, float] = {}
    unexpected_exits: list[str] = []
    traffic_began: float = 0.0
    recovered_by: float = 0.0
    evaluation_ends: float = 0.0
    last_version: int | None = None
    host_by_address: dict[str, str] = {}
    retry_ratio: float = 0.0
    retry_minimum: float = 0.0
    retry_window_s: float = 10.0
    duty_calls: DutyCalls | None = None
    usage_due_s: float = 0.0
    usage_window_s: float = 0.0
    tenant_by_key: dict[str, str] = {}
    revoked_at: dict[str, float] = {}
    removed_keys: set[str] = set()
    epoch_offset_s: float = 0.0
    observed_until: float = 0.0
    files_with_keys: list[str] = []

    def record_disturbance(
        self,
        scope: Scope,
        name: str,
        what: str,
        begins: float,
        until: float,
        *,
        planned: bool = False,
    ) -> Disturbance:
        """Record a disturbance and return it; its end may be changed later."""
        disturbance = Disturbance(scope, name, what, begins, until, planned)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(
        self, begins: float, until: float, *, host: str = "", scopes: tuple = ()
    ) -> bool:
        """Whether nothing that affects a host was disturbed in or just before a period.

        Parameters
        ----------
        scopes : tuple of Scope
            Scopes to consider in addition to the host and the control hosts.
        """
        relevant = {Scope.CORE, *scopes}
        for each in self.disturbances:
            if each.scope is Scope.HOST:
                if each.name != host:
                    continue
            elif each.scope not in relevant:
                continue
            if each.begins <= until and each.until + SETTLING_S >= begins:
                return False
        return True


def was_refused(evidence: Evidence, record: CallRecord) -> bool:
    """Whether a proxy accepted a connection of which no process read the request."""
    at = evidence.refused_connections.get(record.caller)
    return at is not None and record.began <= at <= record.ended


def is_sound(evidence: Evidence, target: str, record: CallRecord) -> bool:
    """Whether nothing but silences disturbed a target during a request."""
    return not any(
        each.scope is Scope.TARGETS
        and _host_of(each.name) == _host_of(target)
        and each.begins <= record.ended
        and each.until + SETTLING_S >= record.began
        for each in evidence.disturbances
    )


def _host_of(target: str) -> str:
    """Return the part of a target's name that stays the same after a restart."""
    return target.partition("+")[0]


def newest_required_version(evidence: Evidence, at: float) -> int:
    """Return the newest version that must be in force everywhere at a time."""
    return max(
        (
            each.version
            for each in evidence.sent_configs
            if each.acknowledged_at is not None
            and each.acknowledged_at + MAX_APPLY_S < at
        ),
        default=0,
    )
