"""Entry side of at-most-once calls: open the key, run the call once, close the key."""

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, Protocol, TypeVar

from msgspec import Struct

from wigeonspan.calls._messages import (
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    OpenCall,
    OpenReply,
    OpenResult,
)
from wigeonspan.calls._table import drop_large_body
from wigeonspan.common import (
    Clock,
    ErrorKind,
    ExecutionState,
    HostId,
    ServiceName,
    TenantName,
    WigeonspanError,
    part_logger,
)

T = TypeVar("T")

OPEN_PATH = "/internal/v1/calls/open"
CLOSE_PATH = "/internal/v1/calls/close"

OPEN_TIMEOUT_S = 5.0
"""Longest time in seconds to open a call, whatever its deadline is. An election takes
about 2.5 s, and a caller should learn soon that there is no quorum."""

CLOSE_WAIT_S = 2.0
"""Longest time in seconds that a response waits until its outcome is committed. A
caller that repeats the key after the response then gets the stored outcome, except
during an election."""

CLOSE_RETRY_S = 10.0
"""Seconds for which sending an outcome is retried; after that the call expires with
an unknown outcome."""

_log = part_logger("calls")


class SendResult(Enum):
    """Result of one attempt to run a call.

    Attributes
    ----------
    ANSWERED
        The service sent a complete response.
    NOTHING_SENT
        Nothing was sent, so that another target may be tried.
    UNKNOWN
        The call may have run, but there is no complete response.
    """

    ANSWERED = "answered"
    NOTHING_SENT = "nothing_sent"
    UNKNOWN = "unknown"


class ExecutionResult(Struct, frozen=True):
    """End of one attempt to run a call; ``outcome`` is set for ``ANSWERED``."""

    result: SendResult
    outcome: CallOutcome | None = None
    message: str = ""


class KeyedCall(Struct, frozen=True):
    """Non-idempotent call with its idempotency key and its deadline.

    Parameters
    ----------
    body_hash : str
        Result of :func:`hash_call`.
    deadline : float
        Monotonic time in seconds.
    """

    tenant: TenantName
    service: ServiceName
    key: str
    body_hash: str
    deadline: float


class PostToLeader(Protocol):
    """Function that sends a message to the leader; see :meth:`LeaderClient.post`."""

    async def __call__(
        self, path: str, message: Any, reply: type[T], deadline: float
    ) -> T:
        """Send a message and return its reply."""
        ...


Send = Callable[[], Awaitable[ExecutionResult]]
"""Function that sends the call to one target. It is called again only when nothing
was sent, and raises ``WigeonspanError`` when there is no further target."""


def hash_call(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 by which a reuse of a key for another call is detected."""
    digest = hashlib.sha256(f"{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class CallRunner:
    """Runs the non-idempotent calls of one entry host.

    Parameters
    ----------
    entry : HostId
        Name of this entry host.
    post : PostToLeader
        Function that sends messages to the leader.
    may_send : callable
        Returns whether this entry holds a routing lease now.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        entry: HostId,
        post: PostToLeader,
        may_send: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._post = post
        self._may_send = may_send
        self._clock = clock
        self._close_tasks: set[asyncio.Task[None]] = set()

    @property
    def uncommitted_outcomes(self) -> int:
        """Number of outcomes that are not committed yet."""
        return len(self._close_tasks)

    async def run(self, call: KeyedCall, send: Send) -> tuple[CallOutcome, bool]:
        """Run a call at most once.

        Parameters
        ----------
        call : KeyedCall
            The call.
        send : Send
            Sends the call to one target on a new connection.

        Returns
        -------
        outcome : CallOutcome
            Response of the service, or the stored one.
        stored : bool
            Whether it is the response to an earlier request with the same key.

        Raises
        ------
        WigeonspanError
            When the call was not run, or its outcome is unknown.
        """
        nonce = uuid.uuid4().hex
        reply = await self._open(call, nonce)
        if reply.result is OpenResult.DONE and reply.outcome is not None:
            return reply.outcome, True
        if reply.result is not OpenResult.GRANTED:
            raise _error_for_result(reply.result)
        return await self._execute(call, nonce, send), False

    async def wait_closed(self) -> None:
        """Wait until every outcome is committed or its retries have ended."""
        while self._close_tasks:
            await asyncio.wait(self._close_tasks)

    async def _open(self, call: KeyedCall, nonce: str) -> OpenReply:
        now = self._clock.now()
        remaining_s = max(0.0, call.deadline - now)
        open_deadline = min(call.deadline, now + OPEN_TIMEOUT_S)
        message = OpenCall(
            tenant=call.tenant,
            service=call.service,
            key=call.key,
            body_hash=call.body_hash,
            entry=self._entry,
            nonce=nonce,
            deadline_ms=self._clock.wall_ms() + round(remaining_s * 1000),
        )
        try:
            return await self._post(OPEN_PATH, message, OpenReply, open_deadline)
        except WigeonspanError as error:
            if error.ran is not ExecutionState.NO:
                # The OpenCall may be committed. Nothing was sent to the service, so
                # the call is closed as not run once a leader can be reached.
                await self._close(call, nonce, CallState.NOT_RUN, wait_s=0.0)
            raise

    async def _execute(self, call: KeyedCall, nonce: str, send: Send) -> CallOutcome:
        while True:
            not_run_error = self._check_may_run(call)
            if not_run_error is None:
                try:
                    sent = await send()
                except WigeonspanError as error:
                    not_run_error = error
            if not_run_error is not None:
                await self._close(call, nonce, CallState.NOT_RUN)
                raise not_run_error
            if sent.result is not SendResult.NOTHING_SENT:
                break
        if sent.outcome is None:
            await self._close(call, nonce, CallState.UNKNOWN)
            raise WigeonspanError(
                ErrorKind.OUTCOME_UNKNOWN, f"no complete answer came: {sent.message}"
            )
        stored_outcome = drop_large_body(sent.outcome)
        await self._close(call, nonce, CallState.DONE, stored_outcome)
        return sent.outcome

    def _check_may_run(self, call: KeyedCall) -> WigeonspanError | None:
        if not self._may_send():
            return WigeonspanError(
                ErrorKind.LEASE_EXPIRED, "this entry has no routing lease"
            )
        if self._clock.now() >= call.deadline:
            return WigeonspanError(
                ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed before the call ran"
            )
        return None

    async def _close(
        self,
        call: KeyedCall,
        nonce: str,
        state: CallState,
        outcome: CallOutcome | None = None,
        wait_s: float = CLOSE_WAIT_S,
    ) -> None:
        message = CloseCall(
            tenant=call.tenant,
            service=call.service,
            key=call.key,
            nonce=nonce,
            state=state,
            outcome=outcome,
        )
        task = asyncio.create_task(self._send_close(message))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)
        if wait_s > 0:
            await asyncio.wait({task}, timeout=wait_s)

    async def _send_close(self, message: CloseCall) -> None:
        deadline = self._clock.now() + CLOSE_RETRY_S
        try:
            await self._post(CLOSE_PATH, message, CloseReply, deadline)
        except WigeonspanError as error:
            _log.warning("Failed to commit the outcome of a call: {}.", error)


def _error_for_result(result: OpenResult) -> WigeonspanError:
    if result is OpenResult.CONFLICT:
        return WigeonspanError(
            ErrorKind.KEY_CONFLICT, "the key was used for another call"
        )
    if result is OpenResult.IN_PROGRESS:
        return WigeonspanError(
            ErrorKind.CALL_IN_PROGRESS, "a call with this key is in progress"
        )
    return WigeonspanError(
        ErrorKind.OUTCOME_UNKNOWN, "it is not known whether the call with this key ran"
    )
