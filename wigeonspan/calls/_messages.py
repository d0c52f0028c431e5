"""Messages of at-most-once calls."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId, ServiceName, TenantName


class CallState(Enum):
    """State of an idempotency key."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallOutcome(Struct, frozen=True):
    """Answer of a plain service, as it is given again for the same key.

    Parameters
    ----------
    status_only : bool
        Whether the body was too large to be kept; ``body`` is empty then.
    """

    status: int
    content_type: str
    body: bytes
    status_only: bool = False


class OpenCall(Struct, frozen=True, tag="open_call"):
    """Command and message: intent to run a non-idempotent call.

    Parameters
    ----------
    body_hash : str
        SHA-256 of method, path and body, in hexadecimal.
    nonce : str
        Random for each request to open; only its owner may run the call.
    deadline_ms : int
        Wall-clock time in milliseconds after which the call counts as unknown.
    wall_ms : int
        Wall-clock time at the leader in milliseconds; 0 when sent by an entry.
    """

    tenant: TenantName
    service: ServiceName
    key: str
    body_hash: str
    entry: HostId
    nonce: str
    deadline_ms: int
    wall_ms: int = 0


class CloseCall(Struct, frozen=True, tag="close_call"):
    """Command and message: outcome of a call, from the entry that opened it."""

    tenant: TenantName
    service: ServiceName
    key: str
    nonce: str
    state: CallState
    outcome: CallOutcome | None = None
    wall_ms: int = 0


class ExpireCalls(Struct, frozen=True, tag="expire_calls"):
    """Command: mark overdue calls as unknown and drop keys past their retention."""

    wall_ms: int


class OpenResult(Enum):
    """Answer to an intent."""

    GRANTED = "granted"
    DONE = "done"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OpenReply(Struct, frozen=True):
    """Answer to :class:`OpenCall`; ``outcome`` is set for ``DONE``."""

    result: OpenResult
    outcome: CallOutcome | None = None


class CloseReply(Struct, frozen=True):
    """Answer to :class:`CloseCall`: the state that the key has now."""

    state: CallState


class KeptCall(Struct, frozen=True):
    """What the replicated state holds of one idempotency key.

    Parameters
    ----------
    nonce : str
        Nonce of the request that opened the call last.
    ended_ms : int
        Wall-clock time in milliseconds at which the call left ``OPEN``; 0 before.
    """

    tenant: TenantName
    service: ServiceName
    key: str
    body_hash: str
    entry: HostId
    nonce: str
    deadline_ms: int
    state: CallState
    ended_ms: int = 0
    outcome: CallOutcome | None = None


class CallBookSnapshot(Struct, frozen=True):
    """Whole state of the call book; ended calls are in the order of their end."""

    wall_ms: int
    calls: list[KeptCall]


CallCommand = OpenCall | CloseCall | ExpireCalls
"""Any command that the call book applies."""
