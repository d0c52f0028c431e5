"""Sending of a request to one target."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from itertools import count
from typing import TypeVar

from msgspec import Struct

from wigeonspan.gateway._active_request import ActiveRequest
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._messages import SendOptions, TargetOutcome
from wigeonspan.gateway._patience import shows_silence
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.pool import Exchange, ExchangeError, FailureKind, Head
from wigeonspan.targets import Target
from wigeonspan.tenants import Access

T = TypeVar("T")

_work_numbers = count(1)

_BREAKS = (FailureKind.CLOSED, FailureKind.RESET)
"""Failures of an exchange by which a target breaks off work. An answer that is too
large, malformed or too late for its caller may be due to the request."""


class ActiveSend(Struct):
    """A request that was sent to a target and is not finished.

    Parameters
    ----------
    exchange : Exchange
        Exchange with the target.
    work : str
        Name of the work at the target.
    sent_at : float
        Time at which the request was sent.
    completed : bool
        Whether the target has done the work. A refusal is a complete response too,
        but must not be counted as work that was done fast.
    silence_recorded : bool
        Whether the silence of the target was recorded before its request timed out.
    let_go : bool
        Whether the target was silent and another one has taken over its work.
    """

    exchange: Exchange
    work: str
    sent_at: float
    completed: bool = False
    silence_recorded: bool = False
    let_go: bool = False


@asynccontextmanager
async def active_send(
    active_request: ActiveRequest,
    access: Access | None,
    send: SendOptions,
    kind: WorkKind,
    *,
    work_ms: float = 0.0,
    new_connection: bool = False,
    prompt_parts: tuple[PromptPart, ...] = (),
    new_tokens: int = 0,
    memory_tokens: int = 0,
) -> AsyncIterator[ActiveSend]:
    """Send a request and account for its work until the block ends.

    An exchange that is not finished at the end of the block is aborted, so that the
    target drops the request.

    Parameters
    ----------
    active_request : ActiveRequest
        Request of the caller.
    access : Access or None
        Result of the check of the request's key, under which it is sent.
    send : SendOptions
        Target and how the request is sent to it.
    kind : WorkKind
        Kind of the work.
    work_ms : float
        Expected time of the work in milliseconds.
    new_connection : bool
        Whether a new connection is required.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, which the target prefills or fetches; empty for a plain
        call.
    new_tokens : int
        Number of tokens of the prompt that the target has not cached.
    memory_tokens : int
        Tokens that the request holds at its decode engine; 0 when unknown.

    Raises
    ------
    ExchangeError
        When no connection could be made, or with ``WITHHELD`` when the key is not valid
        any more.
    """
    context, request = active_request.context, active_request.request
    target = send.target
    work = Work(
        f"{context.host}/{next(_work_numbers)}",
        context.host,
        target.target,
        kind,
        work_ms,
        send.urgency or 0,
    )
    started_at = context.clock.now()
    context.metrics.count("sends", purpose=kind.value)
    tenant = None if access is None else access.tenant
    prompt_work = "" if send.fetch is None else send.fetch.work
    context.begin_work(
        work, prompt_parts, new_tokens, tenant, memory_tokens, prompt_work
    )
    exchange, sent, broken = None, None, False
    try:
        exchange = await context.pool.send(
            target.address,
            context.protocol.encode(request, send, access),
            request_id=request.request,
            accepts=lambda head: context.protocol.is_response_to(request, head),
            keeps_connection=lambda head: context.protocol.keeps_connection(
                request, head
            ),
            new_connection=new_connection,
            may_send=lambda: active_request.may_send(access),
        )
        sent = ActiveSend(exchange, work.work, started_at)
        yield sent
    except ExchangeError as failure:
        if failure.kind is FailureKind.WITHHELD:
            # This says nothing about the target.
            raise
        broken = not failure.sent or failure.kind in _BREAKS
        context.pool.close_idle(target.address)
        # A target that has finished other work meanwhile is busy, not down.
        is_busy = failure.kind is FailureKind.TIMEOUT and (
            context.placer.ledger.finished_since(target.target, started_at)
        )
        if failure.sent and failure.kind is FailureKind.TIMEOUT:
            waited_s = context.clock.now() - started_at
            is_brief = kind is WorkKind.CALL and not shows_silence(
                active_request.route, waited_s
            )
            is_recorded = sent is not None and sent.silence_recorded
            if not (is_busy or is_brief or is_recorded):
                context.record_silence(target.target)
        else:
            context.record_failure(
                target.target, unreachable=not failure.sent, reason=str(failure)
            )
        raise
    finally:
        context.end_work(
            work,
            completed=sent is not None and sent.completed,
            broken=broken or (sent is not None and sent.let_go),
        )
        if exchange is not None:
            context.pool.release(target.address, exchange)


async def receive_head(
    context: GatewayContext, target: Target, sent: ActiveSend, timeout_s: float
) -> Head:
    """Return the head of a target's response and process the notice that it contains.

    Raises
    ------
    ExchangeError
        When no head arrives in time.
    """
    head = await with_timeout(timeout_s, sent.exchange.head())
    process_notice(context, target, sent, head)
    return head


def process_notice(
    context: GatewayContext, target: Target, sent: ActiveSend, head: Head
) -> None:
    """Process what the head of a target's response says about the target itself."""
    if context.protocol.read_outcome(head) is not TargetOutcome.WRONG_TARGET:
        notice = context.protocol.read_notice(head)
        context.handle_notice(target, notice, sent.sent_at)


async def with_timeout(timeout_s: float, step: Awaitable[T]) -> T:
    """Return the result of one step of an exchange, with a time limit in seconds.

    Raises
    ------
    ExchangeError
        When the step fails, or with ``TIMEOUT`` when it takes too long.
    """
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await step
    except TimeoutError as error:
        raise ExchangeError(FailureKind.TIMEOUT, sent=True) from error
