"""Settings of an entry daemon."""

from msgspec import Struct

from wigeonspan.common import DomainName, HostId, MetricsSettings
from wigeonspan.entryd._stopping import COMMIT_S, FINAL_RESPONSES_S
from wigeonspan.serving import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB

MIN_STOP_TIMEOUT_S = FINAL_RESPONSES_S + COMMIT_S
"""Seconds that a stop needs to commit the outcomes of calls and send the responses."""


class RelaySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the relays between callers and targets.

    Parameters
    ----------
    progress_timeout_s : float
        Longest time without a token before an attempt counts as silent, so that a
        successor begins beside it.
    connect_timeout_s : float
        Timeout of connecting to a target. Within a deployment, connecting takes
        milliseconds.
    keep_alive_s : float
        Interval of keep-alive comments to a caller while no token arrives.
    buffer_bytes : int
        Largest number of bytes that are buffered for a slow reader.
    slow_reader_s : float
        Longest time that a caller may read nothing before its request ends.
    max_body_bytes : int
        Largest size of a request body.
    max_answer_bytes : int
        Largest size of a plain service's response.
    max_streams : int
        Largest number of concurrent streams.
    retry_ratio : float
        Retries allowed per first attempt, so that a fault does not multiply the load.
    """

    progress_timeout_s: float = 5.0
    connect_timeout_s: float = 1.0
    keep_alive_s: float = 1.0
    buffer_bytes: int = 65_536
    slow_reader_s: float = 30.0
    max_body_bytes: int = 8_388_608
    max_answer_bytes: int = 16_777_216
    max_streams: int = 4_096
    retry_ratio: float = 0.2

    def __post_init__(self) -> None:
        if min(self.progress_timeout_s, self.connect_timeout_s) <= 0:
            raise ValueError("timeouts must be above 0")
        if min(self.keep_alive_s, self.slow_reader_s) <= 0:
            raise ValueError("intervals must be above 0")
        if min(self.buffer_bytes, self.max_body_bytes, self.max_streams) <= 0:
            raise ValueError("sizes must be above 0")


class EntrySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry daemon.

    Parameters
    ----------
    host : HostId
        Name of this host in the configuration.
    domain : DomainName
        Failure domain of this host.
    address : str
        ``IP:PORT`` that callers connect to; port 0 selects an unused port.
    control : list of str
        ``IP:PORT`` of the internal interface of each control daemon.
    stop_timeout_s : float
        Seconds from SIGTERM until the supervisor kills the process. The default is that
        of systemd.
    memory_mb : float
        Memory of the process in MB, which bounds what callers may hold.
    max_fds : int
        Descriptors that the process may have open.
    """

    host: HostId
    domain: DomainName
    address: str
    control: list[str]
    log_level: str = "INFO"
    metrics: MetricsSettings = MetricsSettings()
    relay: RelaySettings = RelaySettings()
    stop_timeout_s: float = 90.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS

    def __post_init__(self) -> None:
        if not self.stop_timeout_s > MIN_STOP_TIMEOUT_S:
            raise ValueError(f"stop_timeout_s must be above {MIN_STOP_TIMEOUT_S:g}")
        if min(self.memory_mb, self.max_fds) < 1:
            raise ValueError("memory_mb and max_fds must be at least 1")
        split_address(self.address)
        for address in self.control:
            split_address(address)


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Raises
    ------
    ValueError
        When the text does not have this form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not of the form IP:PORT")
    return host, int(port)
