"""Choice of the caller that is refused or closed when a bound is reached.

It answers crowds of callers that send bodies without an end, open connections without
a request or read nothing of a response, beside ordinary callers that go on.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import TypeVar

from msgspec import Struct

from wigeonspan.serving._bounds import CallerRules

SMALL_BYTES = 64 * 1024
"""Bytes, held or announced, up to which a caller is closed last. Ordinary requests are
small, and closing them frees little."""

PROGRESS_BYTES = 16 * 1024
"""Bytes that count as progress, so that single bytes do not keep a body alive while
memory is short."""

STALLED_S = 0.5
"""Seconds without progress after which a caller goes first while memory is short; far
longer than the gaps between the packets of a transfer."""

IDLE_MARGIN_S = 2.0
"""Seconds that are added to the idle time. A request that a caller sends at the end of
its idle time must not meet the close."""

HEAD_MARGIN_S = 1.0
"""Seconds that are added to the time for a head, for its way and for a busy process."""

LINGER_S = 1.0
"""Seconds without a byte after which a refused connection is closed; its caller has
had the response for that long."""

LAST_UNUSED_GROUP = 1
"""Last group of connections, in the order in which they are closed, that are of no use
to their callers: refused ones and those without any request."""

T = TypeVar("T")

_Rank = tuple[int, float]


class ConnectionPhase(Enum):
    """What a connection of a caller is doing.

    Attributes
    ----------
    IDLE
        No byte of a request has arrived since the last one.
    HEAD
        A part of a head has arrived.
    BODY
        The head has arrived, the body not completely.
    RUNNING
        The request is complete and its response is not.
    REFUSED
        The response was sent, but the request is still arriving.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    REFUSED = "refused"


class CloseReason(Enum):
    """Why a connection is closed or its request refused."""

    IDLE = "idle"
    SLOW_HEAD = "slow_head"
    STALLED_BODY = "stalled_body"
    SLOW_READER = "slow_reader"
    AFTER_REFUSAL = "after_refusal"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    BODY_SIZE = "body_size"


class Holding(Struct, frozen=True):
    """What a connection holds and how it progresses.

    Parameters
    ----------
    phase : ConnectionPhase
        What it is doing.
    held_bytes : int
        Bytes that the process holds for it.
    phase_s : float
        Seconds since the phase began.
    silent_s : float
        Seconds since the last byte was read, or taken by a caller that has bytes to
        read.
    slow_s : float
        The same for the last ``PROGRESS_BYTES``.
    reads_response : bool
        Whether there are bytes that the caller has not taken yet.
    announced_bytes : int
        Length of the body that arrives, when its head names it; else 0.
    requests : int
        Requests of the connection that were answered.
    discarded_bytes : int
        Bytes that arrived after the request was refused.
    """

    phase: ConnectionPhase
    held_bytes: int = 0
    phase_s: float = 0.0
    silent_s: float = 0.0
    slow_s: float = 0.0
    reads_response: bool = False
    announced_bytes: int = 0
    requests: int = 0
    discarded_bytes: int = 0


def overdue(holding: Holding, rules: CallerRules) -> CloseReason | None:
    """Return why a connection is closed whatever the load is, if it is."""
    match holding.phase:
        case ConnectionPhase.IDLE:
            if holding.phase_s > rules.idle_timeout_s + IDLE_MARGIN_S:
                return CloseReason.IDLE
        case ConnectionPhase.HEAD:
            if holding.phase_s > rules.header_timeout_s + HEAD_MARGIN_S:
                return CloseReason.SLOW_HEAD
        case ConnectionPhase.BODY:
            if holding.silent_s > rules.idle_timeout_s:
                return CloseReason.STALLED_BODY
        case ConnectionPhase.RUNNING:
            if holding.reads_response and holding.silent_s > rules.idle_timeout_s:
                return CloseReason.SLOW_READER
        case ConnectionPhase.REFUSED:
            if (
                holding.silent_s > LINGER_S
                or holding.phase_s > rules.idle_timeout_s
                or holding.discarded_bytes > rules.body_bytes
            ):
                return CloseReason.AFTER_REFUSAL
    return None


def order_for_memory(holdings: Mapping[T, Holding]) -> list[T]:
    """Return the connections that are given up for memory, the first one first.

    Requests that run and whose response is not being written are left out.
    """
    return [key for _, key in _ranked(holdings, _memory_rank)]


def choose_for_connections(holdings: Mapping[T, Holding], at_most: int) -> list[T]:
    """Return the connections that make room for new ones; empty when there are none.

    Parameters
    ----------
    at_most : int
        Number of connections without a use that are closed together, so that not all
        connections are compared for each new one.
    """
    ranked = _ranked(holdings, _connection_rank)
    unused = [key for (group, _), key in ranked if group <= LAST_UNUSED_GROUP]
    return unused[:at_most] or [key for _, key in ranked[:1]]


def _ranked(
    holdings: Mapping[T, Holding], rank: Callable[[Holding], _Rank | None]
) -> list[tuple[_Rank, T]]:
    """Return the holdings that have a rank, sorted by it."""
    ranks = [(rank(holding), key) for key, holding in holdings.items()]
    found = [(each, key) for each, key in ranks if each is not None]
    return sorted(found, key=lambda pair: pair[0])


def _memory_rank(holding: Holding) -> _Rank | None:
    """Return the position in the order in which memory is taken; None for never."""
    is_running = holding.phase is ConnectionPhase.RUNNING
    if not holding.held_bytes or (is_running and not holding.reads_response):
        return None
    if max(holding.held_bytes, holding.announced_bytes) <= SMALL_BYTES:
        return 3, -holding.slow_s
    if holding.slow_s >= STALLED_S:
        return 0, -holding.held_bytes * holding.slow_s
    if is_running:
        return 2, -holding.slow_s
    return 1, holding.held_bytes


def _connection_rank(holding: Holding) -> _Rank | None:
    """Return the position in the order in which connections are closed."""
    is_waiting = holding.phase in (ConnectionPhase.IDLE, ConnectionPhase.HEAD)
    if holding.phase is ConnectionPhase.REFUSED:
        return 0, -holding.silent_s
    if is_waiting and not holding.requests:
        return 1, -holding.phase_s
    if is_waiting:
        return 2, -holding.phase_s
    stalls = holding.phase is ConnectionPhase.BODY or holding.reads_response
    if stalls and holding.slow_s >= STALLED_S:
        return 3, -holding.slow_s
    return None
