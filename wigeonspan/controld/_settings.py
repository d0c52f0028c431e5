"""Settings of a control daemon."""

import re

from msgspec import Struct

from wigeonspan.catalog import check_address
from wigeonspan.common import DomainName, HostId, MetricsSettings

_HOST_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class MemberSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one initial voter.

    Parameters
    ----------
    host : HostId
        Name of the host.
    domain : DomainName
        Failure domain.
    address : str
        ``IP:PORT`` of its internal HTTP interface.
    operators : str
        ``IP:PORT`` of its operators' interface.
    """

    host: HostId
    domain: DomainName
    address: str
    operators: str

    def __post_init__(self) -> None:
        _check_host(self.host)
        _check_address("address", self.address)
        _check_address("operators", self.operators)


class ControlSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one control daemon.

    Parameters
    ----------
    host : HostId
        Name of this host.
    domain : DomainName
        Failure domain of this host.
    address : str
        ``IP:PORT`` of the internal HTTP interface.
    operators : str
        ``IP:PORT`` of the operators' gRPC interface.
    data_folder : str
        Folder for all files of this daemon; created if missing.
    members : list of MemberSettings
        The initial voters; the same list on each of them. Empty on a host that joins
        later as a learner.
    host_list : str
        URL of the platform's list of live and leaving hosts; empty to disable.
    host_list_interval_s : float
        Interval in seconds between reads of the list.
    log_level : str
        Lowest level of the messages to log.
    metrics : MetricsSettings
        Where and whether to send metrics.
    """

    host: HostId
    domain: DomainName
    address: str
    operators: str
    data_folder: str
    members: list[MemberSettings] = []
    host_list: str = ""
    host_list_interval_s: float = 2.0
    log_level: str = "INFO"
    metrics: MetricsSettings = MetricsSettings()

    def __post_init__(self) -> None:
        _check_host(self.host)
        _check_address("address", self.address)
        _check_address("operators", self.operators)
        if not self.data_folder:
            raise ValueError("data_folder must not be empty")
        if self.host_list_interval_s <= 0:
            raise ValueError("host_list_interval_s must be above 0")
        names = [member.host for member in self.members]
        if len(set(names)) < len(names):
            raise ValueError("members must name each host once")
        if self.members and self.host not in names:
            raise ValueError(f"members must name this host, {self.host}")
        for member in self.members:
            if member.host == self.host:
                self._check_own_entry(member)

    def _check_own_entry(self, member: MemberSettings) -> None:
        listed = (member.domain, member.address, member.operators)
        if listed != (self.domain, self.address, self.operators):
            raise ValueError(
                "members must give this host the same domain, address and operators"
            )


def _check_host(host: str) -> None:
    if not _HOST_NAME_PATTERN.fullmatch(host):
        raise ValueError(f"host must be letters, digits and ._-, not {host!r}")


def _check_address(key: str, address: str) -> None:
    problem = check_address(address)
    if problem is not None:
        raise ValueError(f"{key} must be IP:PORT, not {address!r}")
