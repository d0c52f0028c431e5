"""Limits of a process on what its callers may hold, and of a caller on its requests."""

from msgspec import Struct

MB = 1024 * 1024

DEFAULT_MEMORY_MB = 1024.0
"""Memory in MB when the settings do not say; more than any deployment has."""

DEFAULT_MAX_FDS = 16384
"""File descriptors when the settings do not say; their half is more than the streams
that an entry daemon relays at once."""

BASE_MEMORY_MB = 48.0
"""Memory in MB of a process without callers; 37 MB were measured for an entry and
50 MB for a control host."""

MIN_CALLER_MB = 16.0
"""Smallest memory in MB that is divided, so that a wrong setting stops no service."""

BYTES_SHARE = 0.65
"""Part of the memory beyond the base for bytes of callers. The rest is for responses
of targets, the overhead of the allocator and all other state."""

CONNECTIONS_SHARE = 0.2
"""Part of the memory beyond the base for the objects of connections."""

CONNECTION_BYTES = 24 * 1024
"""Memory in bytes of an open connection with a request. The server was measured with
11 KB for an idle one and 16 KB with a request."""

DESCRIPTORS_SHARE = 0.5
"""Part of the descriptors for connections of callers; connections to targets, files
and the other ports need the rest."""

RUNNING_COPIES = 2
"""Copies of the body of a request that runs: its own and the one that is sent."""

DEFAULT_BODY_BYTES = 16 * MB
"""Largest request body in bytes before a configuration says less."""

DEFAULT_IDLE_TIMEOUT_S = 60.0
"""Seconds that a connection may be idle before a configuration says less."""

DEFAULT_HEADER_TIMEOUT_S = 10.0
"""Seconds that the head of a request may take before a configuration says less."""


class ProcessLimits(Struct, frozen=True):
    """Limits over all callers of a process.

    Parameters
    ----------
    held_bytes : int
        Largest number of bytes that callers may make the process hold.
    connections : int
        Largest number of connections of callers.
    """

    held_bytes: int
    connections: int


class CallerRules(Struct, frozen=True):
    """Limits on the requests of a caller and on the idle time of its connections."""

    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


def process_limits(
    memory_mb: float = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS
) -> ProcessLimits:
    """Return the limits that follow from the memory and the descriptors of a process.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in MB.
    max_fds : int
        File descriptors that the process may have open.
    """
    free_bytes = max(MIN_CALLER_MB, memory_mb - BASE_MEMORY_MB) * MB
    by_memory = free_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES
    by_descriptors = max_fds * DESCRIPTORS_SHARE
    return ProcessLimits(
        held_bytes=int(free_bytes * BYTES_SHARE),
        connections=max(1, int(min(by_memory, by_descriptors))),
    )


def held_bytes_limit(limits: ProcessLimits, rules: CallerRules) -> int:
    """Return the bytes that callers may hold; one request of any size always fits."""
    return max(limits.held_bytes, RUNNING_COPIES * rules.body_bytes)
