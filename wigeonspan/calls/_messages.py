"""Messages, commands and stored types of at-most-once calls."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId, ServiceName, TenantName


class CallState(Enum):
    """State of the call with an idempotency key.

    Attributes
    ----------
    OPEN
        Granted to an entry and not closed yet.
    DONE
        The service responded; the response is stored.
    NOT_RUN
        Nothing was sent to the service; the key may be granted again.
    UNKNOWN
        The call may have run, but there is no complete response.
    """

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallOutcome(Struct, frozen=True):
    """Response of a plain service, which is returned again for the same key.

    Parameters
    ----------
    status_only : bool
        Whether the body was not stored because of its size; ``body`` is then empty.
    """

    status: int
    content_type: str
    body: bytes
    status_only: bool = False


class OpenCall(Struct, frozen=True, tag="open_call"):
    """Command and message that asks for permission to run a non-idempotent call.

    Parameters
    ----------
    body_hash : str
        SHA-256 of method, path and body, in hexadecimal.
    nonce : str
        Random value of each request to open; only the entry whose nonce is granted
        may run the call.
    deadline_ms : int
        Deadline of the call as a wall-clock time in milliseconds; its outcome is
        unknown if it is still open some time later.
    wall_ms : int
        Wall-clock time at the leader in milliseconds; 0 in the message of an entry.
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
    """Command and message of an entry that reports how its call ended."""

    tenant: TenantName
    service: ServiceName
    key: str
    nonce: str
    state: CallState
    outcome: CallOutcome | None = None
    wall_ms: int = 0


class ExpireCalls(Struct, frozen=True, tag="expire_calls"):
    """Command that marks overdue calls as unknown and drops keys past retention."""

    wall_ms: int


class OpenResult(Enum):
    """Result of a request to open a call.

    Attributes
    ----------
    GRANTED
        The requesting entry may run the call.
    DONE
        The call has run already; its outcome is in the reply.
    IN_PROGRESS
        Another request with this key is running.
    UNKNOWN
        An earlier call with this key may have run.
    CONFLICT
        The key was used for a different call.
    """

    GRANTED = "granted"
    DONE = "done"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OpenReply(Struct, frozen=True):
    """Reply to :class:`OpenCall`; ``outcome`` is set for ``DONE``."""

    result: OpenResult
    outcome: CallOutcome | None = None


class CloseReply(Struct, frozen=True):
    """Reply to :class:`CloseCall` with the resulting state of the call."""

    state: CallState


class StoredCall(Struct, frozen=True):
    """Replicated state of the call with one idempotency key.

    Parameters
    ----------
    nonce : str
        Nonce of the last request that was granted the key.
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


class CallTableSnapshot(Struct, frozen=True):
    """Complete state of a :class:`CallTable`; ended calls are ordered by end time."""

    wall_ms: int
    calls: list[StoredCall]


CallCommand = OpenCall | CloseCall | ExpireCalls
"""Any command that :class:`CallTable` applies."""
