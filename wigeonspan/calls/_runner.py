"""Entry side of at-most-once calls: intent, one execution, outcome."""

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, Protocol, TypeVar

from msgspec import Struct

from wigeonspan.calls._book import limit_outcome
from wigeonspan.calls._messages import (
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    OpenCall,
    OpenReply,
    OpenResult,
)
from wigeonspan.common import (
    Clock,
    ErrorKind,
    HostId,
    Ran,
    ServiceName,
    TenantName,
    WigeonspanError,
    part_logger,
)

T = TypeVar("T")

OPEN_PATH = "/internal/v1/calls/open"
CLOSE_PATH = "/internal/v1/calls/close"

OPEN_WAIT_S = 5.0
"""Longest wait for an intent, however far the deadline is: an election takes about
2.5 s, and a caller should hear soon that there is no quorum."""

CLOSE_WAIT_S = 2.0
"""Longest time that an answer waits for its outcome to be committed. A caller that
repeats the key after its answer then finds the outcome, except during an election."""

CLOSE_RETRY_S = 10.0
"""Seconds for which an outcome is sent again; afterwards the key expires as unknown."""

_log = part_logger("calls")


class SendResult(Enum):
    """What is known about one execution."""

    ANSWERED = "answered"
    NOTHING_SENT = "nothing_sent"
    UNKNOWN = "unknown"


class Sent(Struct, frozen=True):
    """End of one execution; ``outcome`` is set when it was answered."""

    result: SendResult
    outcome: CallOutcome | None = None
    message: str = ""


class Intent(Struct, frozen=True):
    """A non-idempotent call.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds.
    """

    tenant: TenantName
    service: ServiceName
    key: str
    body_hash: str
    deadline: float


class ControlPost(Protocol):
    """Sends a message to the leader; see :class:`ControlLink`."""

    async def __call__(
        self, path: str, message: Any, reply: type[T], deadline: float
    ) -> T:
        """Return the reply."""
        ...


Send = Callable[[], Awaitable[Sent]]
"""Sends the call to one target. It is called again only when nothing was sent, and
raises ``WigeonspanError`` when there is no further target."""


def hash_call(method: str, path: str, body: bytes) -> str:
    """Return the hash that tells whether a key is used for the same call."""
    digest = hashlib.sha256(f"{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class CallRunner:
    """Runs non-idempotent calls of one entry.

    Parameters
    ----------
    entry : HostId
        Name of this entry host.
    post : ControlPost
        Sends messages to the leader.
    may_send : callable
        Whether this entry holds a routing lease now.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        entry: HostId,
        post: ControlPost,
        may_send: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._post = post
        self._may_send = may_send
        self._clock = clock
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def closing(self) -> int:
        """Number of outcomes that are not committed yet."""
        return len(self._closing)

    async def run(self, intent: Intent, send: Send) -> tuple[CallOutcome, bool]:
        """Run a call at most once.

        Parameters
        ----------
        intent : Intent
            The call.
        send : Send
            Executes it on a fresh connection.

        Returns
        -------
        outcome : CallOutcome
            Answer of the service, or the stored one.
        stored : bool
            Whether it is the answer of an earlier request with the same key.

        Raises
        ------
        WigeonspanError
            When the call was not run, or its outcome is not known.
        """
        nonce = uuid.uuid4().hex
        reply = await self._open(intent, nonce)
        if reply.result is OpenResult.DONE and reply.outcome is not None:
            return reply.outcome, True
        if reply.result is not OpenResult.GRANTED:
            raise _refusal(reply.result)
        return await self._execute(intent, nonce, send), False

    async def wait_closed(self) -> None:
        """Return when every outcome is committed or given up."""
        while self._closing:
            await asyncio.wait(self._closing)

    async def _open(self, intent: Intent, nonce: str) -> OpenReply:
        now = self._clock.now()
        remaining_s = max(0.0, intent.deadline - now)
        give_up_at = min(intent.deadline, now + OPEN_WAIT_S)
        message = OpenCall(
            tenant=intent.tenant,
            service=intent.service,
            key=intent.key,
            body_hash=intent.body_hash,
            entry=self._entry,
            nonce=nonce,
            deadline_ms=self._clock.wall_ms() + round(remaining_s * 1000),
        )
        try:
            return await self._post(OPEN_PATH, message, OpenReply, give_up_at)
        except WigeonspanError as error:
            if error.ran is not Ran.NO:
                # The intent may be committed. Nothing was sent, so the key is freed
                # as soon as a leader can be reached.
                await self._close(intent, nonce, CallState.NOT_RUN, wait_s=0.0)
            raise

    async def _execute(self, intent: Intent, nonce: str, send: Send) -> CallOutcome:
        while True:
            refusal = self._check(intent)
            if refusal is None:
                try:
                    sent = await send()
                except WigeonspanError as error:
                    refusal = error
            if refusal is not None:
                await self._close(intent, nonce, CallState.NOT_RUN)
                raise refusal
            if sent.result is not SendResult.NOTHING_SENT:
                break
        if sent.outcome is None:
            await self._close(intent, nonce, CallState.UNKNOWN)
            raise WigeonspanError(
                ErrorKind.OUTCOME_UNKNOWN, f"no complete answer came: {sent.message}"
            )
        kept = limit_outcome(sent.outcome)
        await self._close(intent, nonce, CallState.DONE, kept)
        return sent.outcome

    def _check(self, intent: Intent) -> WigeonspanError | None:
        if not self._may_send():
            return WigeonspanError(
                ErrorKind.LEASE_EXPIRED, "this entry has no routing lease"
            )
        if self._clock.now() >= intent.deadline:
            return WigeonspanError(
                ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed before the call ran"
            )
        return None

    async def _close(
        self,
        intent: Intent,
        nonce: str,
        state: CallState,
        outcome: CallOutcome | None = None,
        wait_s: float = CLOSE_WAIT_S,
    ) -> None:
        message = CloseCall(
            tenant=intent.tenant,
            service=intent.service,
            key=intent.key,
            nonce=nonce,
            state=state,
            outcome=outcome,
        )
        task = asyncio.create_task(self._send_close(message))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        if wait_s > 0:
            await asyncio.wait({task}, timeout=wait_s)

    async def _send_close(self, message: CloseCall) -> None:
        deadline = self._clock.now() + CLOSE_RETRY_S
        try:
            await self._post(CLOSE_PATH, message, CloseReply, deadline)
        except WigeonspanError as error:
            _log.warning("Outcome of a call was not committed: {}.", error)


def _refusal(result: OpenResult) -> WigeonspanError:
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
