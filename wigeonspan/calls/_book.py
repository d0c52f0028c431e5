"""Replicated state of at-most-once calls: which key was granted and how it ended."""

import msgspec

from wigeonspan.calls._messages import (
    CallBookSnapshot,
    CallCommand,
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    ExpireCalls,
    KeptCall,
    OpenCall,
    OpenReply,
    OpenResult,
)
from wigeonspan.common import LogIndex, ServiceName, TenantName

RETENTION_MS = 72 * 3600 * 1000
"""Milliseconds an ended key is kept: a weekend, over which callers may resend."""

OVERDUE_MARGIN_MS = 10_000
"""Milliseconds after its deadline at which an open call counts as unknown.

The margin covers the closing message of a live entry through one leader change.
"""

MAX_STORED_BODY_BYTES = 64 * 1024
"""Largest body that is kept; state is held in memory and in every snapshot."""

MAX_STORED_TOTAL_BYTES = 32 * 1024 * 1024
"""Bodies kept for all keys together; beyond it the oldest answers keep their status
only. A control host's memory must not grow with what services answer."""

CallKey = tuple[TenantName, ServiceName, str]


def limit_outcome(outcome: CallOutcome) -> CallOutcome:
    """Return the part of an answer that is kept.

    Parameters
    ----------
    outcome : CallOutcome
        Whole answer of the service.

    Returns
    -------
    CallOutcome
        The same answer, or its status alone when the body is too large.
    """
    if len(outcome.body) <= MAX_STORED_BODY_BYTES:
        return outcome
    return msgspec.structs.replace(outcome, body=b"", status_only=True)


class CallBook:
    """Calls by tenant, service and key.

    A key is granted to one nonce at a time. It is granted again only after the owner
    of the last grant reported that no byte left, or after the retention period.
    """

    def __init__(self) -> None:
        self._wall_ms = 0
        self._open: dict[CallKey, KeptCall] = {}
        self._ended: dict[CallKey, KeptCall] = {}
        self._with_body: dict[CallKey, int] = {}
        self._body_bytes = 0

    @property
    def body_bytes(self) -> int:
        """Size of all stored bodies in bytes."""
        return self._body_bytes

    @property
    def open_calls(self) -> list[KeptCall]:
        """Calls that are granted and not closed."""
        return list(self._open.values())

    @property
    def size(self) -> int:
        """Number of keys that are kept."""
        return len(self._open) + len(self._ended)

    def get(
        self, tenant: TenantName, service: ServiceName, key: str
    ) -> KeptCall | None:
        """Return what is kept of a key."""
        where = (tenant, service, key)
        return self._open.get(where) or self._ended.get(where)

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
            Position of the command in the log; not used.
        command : CallCommand
            Command to apply.

        Returns
        -------
        OpenReply, CloseReply or int
            Answer to the command; for an expiry the number of keys that changed.
        """
        if isinstance(command, ExpireCalls):
            self._advance(command.wall_ms)
            return self._expire()
        self._advance(command.wall_ms)
        if isinstance(command, OpenCall):
            return self._apply_open(command)
        return self._apply_close(command)

    def snapshot(self) -> CallBookSnapshot:
        """Return the whole state."""
        calls = [*self._open.values(), *self._ended.values()]
        return CallBookSnapshot(wall_ms=self._wall_ms, calls=calls)

    def restore(self, snapshot: CallBookSnapshot) -> None:
        """Replace the state with a snapshot."""
        self._wall_ms = snapshot.wall_ms
        self._open = {}
        self._ended = {}
        self._with_body = {}
        self._body_bytes = 0
        for call in snapshot.calls:
            self._store(call)

    def _advance(self, wall_ms: int) -> None:
        # A new leader's clock may be behind; time in the state never goes back, so
        # the ended calls stay ordered by the time of their end.
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

    def _grant(self, command: OpenCall, last: KeptCall | None) -> OpenReply:
        # A delayed copy of an intent that was closed as not run must not open the key
        # again: its entry no longer waits for the grant and would never close it.
        if last is not None and last.nonce == command.nonce:
            return OpenReply(OpenResult.IN_PROGRESS)
        self._store(
            KeptCall(
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
        # The owner may still report after the call was marked as unknown: only it
        # knows what happened.
        undecided = call.state in (CallState.OPEN, CallState.UNKNOWN)
        if call.nonce != command.nonce or not undecided:
            return CloseReply(call.state)
        if command.state is CallState.OPEN:
            return CloseReply(call.state)
        outcome = command.outcome
        if command.state is CallState.DONE and outcome is not None:
            return CloseReply(
                self._end(call, CallState.DONE, limit_outcome(outcome)).state
            )
        state = command.state
        if state is CallState.DONE:
            state = CallState.UNKNOWN
        return CloseReply(self._end(call, state, None).state)

    def _end(
        self, call: KeptCall, state: CallState, outcome: CallOutcome | None
    ) -> KeptCall:
        ended = msgspec.structs.replace(
            call, state=state, outcome=outcome, ended_ms=self._wall_ms
        )
        self._store(ended)
        return ended

    def _store(self, call: KeptCall) -> None:
        where = (call.tenant, call.service, call.key)
        self._remove(where)
        calls = self._open if call.state is CallState.OPEN else self._ended
        calls[where] = call
        if call.outcome is not None and call.outcome.body:
            self._with_body[where] = len(call.outcome.body)
            self._body_bytes += len(call.outcome.body)
            self._limit_bodies()

    def _remove(self, where: CallKey) -> None:
        self._open.pop(where, None)
        self._ended.pop(where, None)
        self._body_bytes -= self._with_body.pop(where, 0)

    def _limit_bodies(self) -> None:
        """Drop the oldest bodies beyond the limit; their keys and states stay."""
        while self._body_bytes > MAX_STORED_TOTAL_BYTES:
            where = next(iter(self._with_body))
            self._body_bytes -= self._with_body.pop(where)
            call = self._ended[where]
            outcome = msgspec.structs.replace(call.outcome, body=b"", status_only=True)
            self._ended[where] = msgspec.structs.replace(call, outcome=outcome)

    def _expire(self) -> int:
        overdue = [c for c in self._open.values() if _is_overdue(c, self._wall_ms)]
        for call in overdue:
            self._end(call, CallState.UNKNOWN, None)
        dropped = []
        for where, call in self._ended.items():
            if not _is_past_retention(call, self._wall_ms):
                break
            dropped.append(where)
        for where in dropped:
            self._remove(where)
        return len(overdue) + len(dropped)


def _is_overdue(call: KeptCall, wall_ms: int) -> bool:
    if call.state is not CallState.OPEN:
        return False
    return wall_ms > call.deadline_ms + OVERDUE_MARGIN_MS


def _is_past_retention(call: KeptCall, wall_ms: int) -> bool:
    if call.state is CallState.OPEN:
        return False
    return wall_ms > call.ended_ms + RETENTION_MS
