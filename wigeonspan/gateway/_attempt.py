"""One send of a request to one target."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from itertools import count
from typing import TypeVar

from msgspec import Struct

from wigeonspan.gateway._messages import CallerRequest, Send
from wigeonspan.gateway._parts import Parts
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.pool import Exchange, ExchangeFailed, FailureKind, Head
from wigeonspan.targets import Target

T = TypeVar("T")

_numbers = count(1)


class Sending(Struct):
    """A request on its way.

    Parameters
    ----------
    completed : bool
        Whether the target has done the work; a refusal is a whole answer as well, but
        not to be taken for fast work.
    """

    exchange: Exchange
    completed: bool = False


@asynccontextmanager
async def sending(
    parts: Parts,
    request: CallerRequest,
    send: Send,
    kind: WorkKind,
    *,
    work_ms: float = 0.0,
    fresh: bool = False,
    reads: tuple[PromptPart, ...] = (),
    new_tokens: int = 0,
) -> AsyncIterator[Sending]:
    """Send a request and account for it until the block ends.

    An exchange that is not done at the end of the block is broken off, so that the
    target drops the request.

    Raises
    ------
    ExchangeFailed
        When no connection could be made.
    """
    target = send.target
    work = Work(
        f"{parts.host}/{next(_numbers)}",
        parts.host,
        target.target,
        kind,
        work_ms,
        send.urgency or 0,
    )
    began = parts.clock.now()
    parts.meters.count("sends", purpose=kind.value)
    parts.begin_work(work, reads, new_tokens)
    exchange, sent = None, None
    try:
        exchange = await parts.pool.send(
            target.address,
            parts.protocol.encode(request, send),
            accepts=lambda head: parts.protocol.is_answer_to(request, head),
            fresh=fresh,
        )
        sent = Sending(exchange)
        yield sent
    except ExchangeFailed as failure:
        parts.pool.forget(target.address)
        # A target that finishes other work is behind, not dead.
        behind = failure.kind is FailureKind.TIMEOUT and (
            parts.placer.ledger.finished_since(target.target, began)
        )
        if not (failure.sent and behind):
            parts.note_failure(
                target.target, silent=not failure.sent, reason=str(failure)
            )
        raise
    finally:
        parts.end_work(work, completed=sent is not None and sent.completed)
        if exchange is not None:
            parts.pool.release(target.address, exchange)


async def answer_head(
    parts: Parts, target: Target, exchange: Exchange, timeout_s: float
) -> Head:
    """Return the head of a target's answer and note what it says of the target.

    Raises
    ------
    ExchangeFailed
        When there is none in time.
    """
    head = await within(timeout_s, exchange.head())
    parts.take_notice(target, parts.protocol.read_notice(head))
    return head


async def within(timeout_s: float, step: Awaitable[T]) -> T:
    """Return the result of one step of an exchange.

    Raises
    ------
    ExchangeFailed
        When the step fails, or with ``TIMEOUT`` when it takes too long.
    """
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await step
    except TimeoutError as error:
        raise ExchangeFailed(FailureKind.TIMEOUT, sent=True) from error
