"""Settings of a control host."""

from msgspec import Struct

from wigeonspan.common import DomainName, HostId
from wigeonspan.consensus import BootstrapMember


class CoordinatorSettings(Struct, frozen=True):
    """Settings of a control host.

    Parameters
    ----------
    address : str
        Internal address, which is also the host's name in the group.
    control, directory, metrics : str
        Addresses for operators, for callers that ask where to connect, and for
        metrics.
    seeds : list of str
        Internal addresses of control hosts.
    first_start : bool
        Whether the whole system starts for the first time.
    folder : str
        Data folder.
    wanted_voters : int
        Voters that survive the losses to be tolerated.
    bind : str
        Address of the interface to listen on when the other addresses lead there by
        way of a forwarder; empty when they are this host's own.
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
    bind: str = ""

    @property
    def first_voters(self) -> list[BootstrapMember]:
        """First voters: the seeds, when the whole system starts."""
        if not self.first_start or self.address not in self.seeds:
            return []
        return [BootstrapMember(HostId(a), a, DomainName("")) for a in self.seeds]
