"""Replicated state of at-most-once calls: grants and outcomes of idempotency keys."""

import msgspec

from wigeonspan.calls._messages import (
    CallCommand,
    CallOutcome,
    CallState,
    CallTableSnapshot,
    CloseCall,
    CloseReply,
    ExpireCalls,
    OpenCall,
    OpenReply,
    OpenResult,
    StoredCall,
)
from wigeonspan.common import LogIndex, ServiceName, TenantName

RETENTION_MS = 72 * 3600 * 1000
"""Milliseconds for which an ended call is stored. Callers may repeat a call after a
weekend."""

OVERDUE_MARGIN_MS = 10_000
"""Milliseconds after its deadline at which the outcome of an open call is unknown.

The margin lets a live entry deliver its close message during one leader change.
"""

MAX_STORED_BODY_BYTES = 64 * 1024
"""Largest response body in bytes that is stored; the state is in memory and in every
snapshot."""

MAX_STORED_TOTAL_BYTES = 32 * 1024 * 1024
"""Largest total size in bytes of the stored bodies; beyond it only the status of the
oldest outcomes is stored. The memory of a control host must not grow with the size
of the responses of services."""

CallKey = tuple[TenantName, ServiceName, str]


def drop_large_body(outcome: CallOutcome) -> CallOutcome:
    """Return the part of a service's response that is stored.

    Parameters
    ----------
    outcome : CallOutcome
        Complete response of the service.

    Returns
    -------
    CallOutcome
        The same response, or the response without its body when that is too large.
    """
    if len(outcome.body) <= MAX_STORED_BODY_BYTES:
        return outcome
    return msgspec.structs.replace(outcome, body=b"", status_only=True)


class CallTable:
    """State machine that stores calls by tenant, service and key.

    A key is granted to one nonce at a time. It is granted again only after the owner
    of the previous grant reported that nothing was sent, or after the retention
    period.
    """

    def __init__(self) -> None:
        self._wall_ms = 0
        self._open: dict[CallKey, StoredCall] = {}
        self._ended: dict[CallKey, StoredCall] = {}
        self._body_sizes: dict[CallKey, int] = {}
        self._body_bytes = 0

    @property
    def body_bytes(self) -> int:
        """Size of all stored bodies in bytes."""
        return self._body_bytes

    @property
    def open_calls(self) -> list[StoredCall]:
        """Calls that are granted and not closed."""
        return list(self._open.values())

    @property
    def size(self) -> int:
        """Number of stored keys."""
        return len(self._open) + len(self._ended)

    def get(
        self, tenant: TenantName, service: ServiceName, key: str
    ) -> StoredCall | None:
        """Return the stored call of a key, or None."""
        call_key = (tenant, service, key)
        return self._open.get(call_key) or self._ended.get(call_key)

    def needs_expiry(self, wall_ms: int) -> bool:
        """Whether an :class:`ExpireCalls` command at this time would change anything.

        Parameters
        ----------
        wall_ms : int
            Wall-clock time in milliseconds.
        """
        if any(_is_overdue(call, wall_ms) for call in self._open.values()):
            return True
        oldest = next(iter(self._ended.values()), None)
        return oldest is not None and _is_past_retention(oldest, wall_ms)

    def apply(
        self, index: LogIndex, command: CallCommand
    ) -> OpenReply | CloseReply | int:
        """Apply a committed command.

        Parameters
        ----------
        index : LogIndex
            Index of the command in the log; not used.
        command : CallCommand
            Command to apply.

        Returns
        -------
        OpenReply, CloseReply or int
            Reply to the command; for an expiry the number of keys that changed.
        """
        if isinstance(command, ExpireCalls):
            self._advance(command.wall_ms)
            return self._expire()
        self._advance(command.wall_ms)
        if isinstance(command, OpenCall):
            return self._apply_open(command)
        return self._apply_close(command)

    def snapshot(self) -> CallTableSnapshot:
        """Return the complete state."""
        calls = [*self._open.values(), *self._ended.values()]
        return CallTableSnapshot(wall_ms=self._wall_ms, calls=calls)

    def restore(self, snapshot: CallTableSnapshot) -> None:
        """Replace the state with a snapshot."""
        self._wall_ms = snapshot.wall_ms
        self._open = {}
        self._ended = {}
        self._body_sizes = {}
        self._body_bytes = 0
        for call in snapshot.calls:
            self._store(call)

    def _advance(self, wall_ms: int) -> None:
        # A new leader's clock may be behind. The time in the state never decreases,
        # so the ended calls stay ordered by the time at which they ended.
        self._wall_ms = max(self._wall_ms, wall_ms)

    def _apply_open(self, command: OpenCall) -> OpenReply:
        call = self.get(command.tenant, command.service, command.key)
        if call is not None and _is_overdue(call, self._wall_ms):
            call = self._end(call, CallState.UNKNOWN, None)
        if call is not None and _is_past_retention(call, self._wall_ms):
            call = None
        if call is None or call.state is CallState.NOT_RUN:
            return self._grant(command, call)
        if call.body_hash != command.body_hash:
            return OpenReply(OpenResult.CONFLICT)
        if call.state is CallState.OPEN:
            owner = call.nonce == command.nonce
            return OpenReply(OpenResult.GRANTED if owner else OpenResult.IN_PROGRESS)
        if call.state is CallState.DONE:
            return OpenReply(OpenResult.DONE, call.outcome)
        return OpenReply(OpenResult.UNKNOWN)

    def _grant(self, command: OpenCall, previous: StoredCall | None) -> OpenReply:
        # A delayed copy of an OpenCall that was closed as not run must not open the
        # key again: its entry no longer waits for the grant and would not close it.
        if previous is not None and previous.nonce == command.nonce:
            return OpenReply(OpenResult.IN_PROGRESS)
        self._store(
            StoredCall(
                tenant=command.tenant,
                service=command.service,
                key=command.key,
                body_hash=command.body_hash,
                entry=command.entry,
                nonce=command.nonce,
                deadline_ms=command.deadline_ms,
                state=CallState.OPEN,
            )
        )
        return OpenReply(OpenResult.GRANTED)

    def _apply_close(self, command: CloseCall) -> CloseReply:
        call = self.get(command.tenant, command.service, command.key)
        if call is None:
            return CloseReply(CallState.UNKNOWN)
        # The owner may close a call that was marked as unknown, because only the
        # owner knows the outcome.
        may_close = call.state in (CallState.OPEN, CallState.UNKNOWN)
        if call.nonce != command.nonce or not may_close:
            return CloseReply(call.state)
        if command.state is CallState.OPEN:
            return CloseReply(call.state)
        outcome = command.outcome
        if command.state is CallState.DONE and outcome is not None:
            return CloseReply(
                self._end(call, CallState.DONE, drop_large_body(outcome)).state
            )
        state = command.state
        if state is CallState.DONE:
            state = CallState.UNKNOWN
        return CloseReply(self._end(call, state, None).state)

    def _end(
        self, call: StoredCall, state: CallState, outcome: CallOutcome | None
    ) -> StoredCall:
        ended = msgspec.structs.replace(
            call, state=state, outcome=outcome, ended_ms=self._wall_ms
        )
        self._store(ended)
        return ended

    def _store(self, call: StoredCall) -> None:
        call_key = (call.tenant, call.service, call.key)
        self._remove(call_key)
        calls = self._open if call.state is CallState.OPEN else self._ended
        calls[call_key] = call
        if call.outcome is not None and call.outcome.body:
            self._body_sizes[call_key] = len(call.outcome.body)
            self._body_bytes += len(call.outcome.body)
            self._drop_oldest_bodies()

    def _remove(self, call_key: CallKey) -> None:
        self._open.pop(call_key, None)
        self._ended.pop(call_key, None)
        self._body_bytes -= self._body_sizes.pop(call_key, 0)

    def _drop_oldest_bodies(self) -> None:
        """Drop the oldest bodies beyond the limit, but keep their keys and states."""
        while self._body_bytes > MAX_STORED_TOTAL_BYTES:
            call_key = next(iter(self._body_sizes))
            self._body_bytes -= self._body_sizes.pop(call_key)
            call = self._ended[call_key]
            outcome = msgspec.structs.replace(call.outcome, body=b"", status_only=True)
            self._ended[call_key] = msgspec.structs.replace(call, outcome=outcome)

    def _expire(self) -> int:
        overdue = [c for c in self._open.values() if _is_overdue(c, self._wall_ms)]
        for call in overdue:
            self._end(call, CallState.UNKNOWN, None)
        dropped = []
        for call_key, call in self._ended.items():
            if not _is_past_retention(call, self._wall_ms):
                break
            dropped.append(call_key)
        for call_key in dropped:
            self._remove(call_key)
        return len(overdue) + len(dropped)


def _is_overdue(call: StoredCall, wall_ms: int) -> bool:
    if call.state is not CallState.OPEN:
        return False
    return wall_ms > call.deadline_ms + OVERDUE_MARGIN_MS


def _is_past_retention(call: StoredCall, wall_ms: int) -> bool:
    if call.state is CallState.OPEN:
        return False
    return wall_ms > call.ended_ms + RETENTION_MS
