"""Settings of a control host."""

from msgspec import Struct

from wigeonspan.common import DomainName, HostId
from wigeonspan.consensus import BootstrapMember
from wigeonspan.duties import DutySettings
from wigeonspan.serving import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB


class CoordinatorSettings(Struct, frozen=True):
    """Settings of a control host.

    Parameters
    ----------
    host : HostId
        Name of the host in the log.
    domain : DomainName
        Failure domain of the host.
    address : str
        Internal address, which is also the host's name in the group.
    control, directory, metrics : str
        Addresses to serve operators, callers that ask for the addresses of entries,
        and metrics.
    seeds : list of str
        Internal addresses of control hosts to contact for joining the group.
    first_start : bool
        Whether the deployment starts for the first time, without any stored state.
    folder : str
        Data folder.
    wanted_voters : int
        Number of voters to maintain, which limits how many hosts may be lost.
    stop_timeout_s : float
        Seconds from the stop signal until the process is killed.
    duties : DutySettings
        Duties towards the platform.
    memory_mb : float
        Memory of the process in MB, which bounds what callers may hold.
    max_fds : int
        Descriptors that the process may have open.
    bind : str
        Address of the interface to listen on if the other addresses belong to a
        forwarder; empty if they are this host's own.
    """

    host: HostId
    domain: DomainName
    address: str
    control: str
    directory: str
    metrics: str
    seeds: list[str]
    first_start: bool
    folder: str
    wanted_voters: int
    stop_timeout_s: float = 8.0
    duties: DutySettings = DutySettings()
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    bind: str = ""

    @property
    def first_voters(self) -> list[BootstrapMember]:
        """Initial voters: the seeds if the deployment starts for the first time."""
        if not self.first_start or self.address not in self.seeds:
            return []
        return [BootstrapMember(HostId(a), a, DomainName("")) for a in self.seeds]
