"""Plain calls, sent to other targets after a refusal or, if repeatable, a failure."""

from msgspec import Struct

from wigeonspan.common import WigeonspanError
from wigeonspan.gateway._attempt import active_send, receive_head, with_timeout
from wigeonspan.gateway._job import Job
from wigeonspan.gateway._messages import SendOptions, TargetOutcome
from wigeonspan.placing import CALL_MS, WorkKind
from wigeonspan.pool import ExchangeError, FailureKind, Head
from wigeonspan.serving import ResponseWriter
from wigeonspan.targets import TargetId

ATTEMPT_TIME_SHARE = 0.4
"""Share of the remaining time that an attempt may use when another may follow it."""

MAX_SENDS = 5
"""Largest number of sends of one call; a service with that many refusals is full."""


class _CompleteAnswer(Struct):
    """Answer of a target with its complete body."""

    head: Head
    body: bytes


class PlainCall:
    """One plain call of a caller.

    Parameters
    ----------
    job : Job
        The request.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._tried_targets: set[TargetId] = set()
        self._send_count = 0
        self._run_count = 0
        self._failure: _CompleteAnswer | None = None

    def abort_error(self, message: str) -> WigeonspanError:
        """Return the error for the caller when serving the request is aborted."""
        return self._error(message)

    async def serve(self, caller: ResponseWriter) -> None:
        """Answer the caller.

        Raises
        ------
        WigeonspanError
            When no target has given an answer that can be passed on.
        """
        for _ in range(MAX_SENDS):
            answer = await self._attempt()
            if answer is not None:
                await self._deliver(caller, answer)
                return
            if not self._may_send_again():
                break
        if self._failure is not None:
            await self._deliver(caller, self._failure)
            return
        raise self._error("no target answered")

    async def _attempt(self) -> _CompleteAnswer | None:
        """Send the call to one target; return an answer to pass on, or None."""
        context, route = self._job.context, self._job.route
        now = context.clock.now()
        targets = context.target_table.usable(self._job.service)
        target = context.placer.choose_call(targets, now, self._tried_targets)
        if target is None and self._failure is not None:
            return self._failure
        if target is None:
            raise self._error("no target is available")
        self._tried_targets.add(target.target)
        remaining_s = self._job.deadline - now
        may_retry = route.repeatable and self._run_count + 1 < route.max_attempts
        self._job.log_event(
            "plain",
            "sent",
            failure=False,
            target=target.target,
            left_ms=round(remaining_s * 1000),
            sends=self._send_count,
            list_age_ms=context.target_table.age_ms(now),
        )
        limit_s = remaining_s * ATTEMPT_TIME_SHARE if may_retry else remaining_s
        attempt_ends_at = now + limit_s
        try:
            async with active_send(
                context,
                self._job.request,
                SendOptions(target, remaining_s),
                WorkKind.CALL,
                work_ms=CALL_MS,
                new_connection=not route.repeatable,
            ) as sent:
                exchange = sent.exchange
                self._send_count += 1
                # The call counts as run unless the target reports otherwise.
                self._run_count += 1
                head = await receive_head(context, target, exchange, limit_s)
                outcome = context.protocol.read_outcome(head)
                if outcome is TargetOutcome.UNREADABLE:
                    raise ExchangeError(FailureKind.MALFORMED, sent=True)
                body = await with_timeout(
                    attempt_ends_at - context.clock.now(), exchange.read_all()
                )
                sent.completed = outcome is TargetOutcome.ANSWERED
        except ExchangeError as failure:
            self._log_event("broke_off", target.target, why=str(failure))
            return None
        took_ms = (context.clock.now() - now) * 1000.0
        if outcome in (TargetOutcome.NOT_RUN, TargetOutcome.WRONG_TARGET):
            self._run_count -= 1
            self._log_event("not_run", target.target, status=head.status)
            if outcome is TargetOutcome.WRONG_TARGET:
                context.record_failure(
                    target.target, unreachable=True, reason="another target answered"
                )
            return None
        if outcome is TargetOutcome.FAILED:
            context.placer.health.record_error(target.target)
            self._failure = _CompleteAnswer(head, body)
            self._log_event("failed", target.target, status=head.status)
            return None if may_retry else self._failure
        context.placer.health.record_success(target.target)
        context.placer.speeds.observe(
            target.target, CALL_MS, took_ms, context.clock.now()
        )
        return _CompleteAnswer(head, body)

    def _may_send_again(self) -> bool:
        """Return whether to send again; take a repeated send from the retry budget."""
        if self._run_count and not self._job.route.repeatable:
            return False
        if self._run_count >= self._job.route.max_attempts:
            return False
        if self._job.remaining_s <= 0.0:
            return False
        if not self._send_count:
            return True
        return self._job.context.take_retry(self._job.service)

    async def _deliver(self, caller: ResponseWriter, answer: _CompleteAnswer) -> None:
        headers = self._job.context.protocol.answer_headers(answer.head)
        await caller.answer(answer.head.status, headers, answer.body)

    def _error(self, message: str) -> WigeonspanError:
        return self._job.error(message, ran=self._run_count > 0)

    def _log_event(self, event: str, target: TargetId, **fields: object) -> None:
        self._job.log_event("plain", event, failure=True, target=target, **fields)
