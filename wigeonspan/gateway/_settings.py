"""Settings of a gateway."""

from msgspec import Struct

from wigeonspan.common import DomainName, HostId
from wigeonspan.serving import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB

STOP_TIMEOUT_S = 8.0
"""Seconds from the stop signal until the process is killed, unless the settings say
otherwise."""


class GatewaySettings(Struct, frozen=True):
    """Settings of a gateway.

    Parameters
    ----------
    front, ready, peer, metrics : str
        Addresses for callers, for readiness checks, for datagrams from other entries
        and for metrics.
    controls : list of str
        Internal addresses of control hosts.
    retry_ratio, retry_minimum, retry_window_s : float
        Parameters of the retry budget.
    stop_timeout_s : float
        Seconds from the stop signal until the process is killed.
    max_key_age_s : float or None
        Longest time in seconds without a reply of a control host for which keys of
        tenants are still accepted; None for no limit.
    usage_window_s : float or None
        Length in seconds of the windows in which use is metered; None when it is not.
    usage_due_s : float
        Seconds after the end of a window at which its report is due.
    memory_mb : float
        Memory of the process in MB, which bounds what callers may hold.
    max_fds : int
        Descriptors that the process may have open.
    cores, link_mbps : float or None
        Processor of the process in cores and bandwidth of its link in Mbit/s; None when
        not known. An entry that knows neither reports no capacity.
    directory : str
        Address for callers that ask which entries to connect to; empty when this host
        does not answer them.
    limits_engine_memory : bool
        Whether requests go only to engines that have the memory for them.
    bind : str
        Address of the interface to listen on when a forwarder relays traffic from the
        other addresses to it; empty when they are this host's own addresses.
    """

    host: HostId
    domain: DomainName
    front: str
    ready: str
    peer: str
    metrics: str
    controls: list[str]
    retry_ratio: float
    retry_minimum: float
    retry_window_s: float
    stop_timeout_s: float = STOP_TIMEOUT_S
    max_key_age_s: float | None = None
    usage_window_s: float | None = None
    usage_due_s: float = 10.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    cores: float | None = None
    link_mbps: float | None = None
    directory: str = ""
    limits_engine_memory: bool = False
    bind: str = ""
