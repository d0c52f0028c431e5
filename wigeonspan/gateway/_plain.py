"""Plain calls: one target, and others after a refusal or, if repeatable, a failure."""

from msgspec import Struct

from wigeonspan.common import WigeonspanError
from wigeonspan.gateway._attempt import answer_head, sending, within
from wigeonspan.gateway._job import Job
from wigeonspan.gateway._messages import Send, TargetOutcome
from wigeonspan.placing import CALL_MS, WorkKind
from wigeonspan.pool import ExchangeFailed, FailureKind, Head
from wigeonspan.serving import Caller
from wigeonspan.targets import TargetId

ATTEMPT_SHARE = 0.4
"""Share of the time left that an attempt may take when another one may follow."""

MOST_SENDS = 5
"""Most sends of one call; after as many refusals the service is full."""


class _Whole(Struct):
    """Answer of a target with its whole body."""

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
        self._tried: set[TargetId] = set()
        self._sent = 0
        self._runs = 0
        self._failure: _Whole | None = None

    def give_up(self, message: str) -> WigeonspanError:
        """Return what the caller is told when the request is served no further."""
        return self._error(message)

    async def serve(self, caller: Caller) -> None:
        """Answer the caller.

        Raises
        ------
        WigeonspanError
            When there is no answer of a target to pass on.
        """
        for _ in range(MOST_SENDS):
            answer = await self._attempt()
            if answer is not None:
                await self._deliver(caller, answer)
                return
            if not self._may_go_on():
                break
        if self._failure is not None:
            await self._deliver(caller, self._failure)
            return
        raise self._error("no target answered")

    async def _attempt(self) -> _Whole | None:
        """Send to one target; return an answer to pass on, or None."""
        parts, route = self._job.parts, self._job.route
        now = parts.clock.now()
        targets = parts.board.usable(self._job.service)
        target = parts.placer.choose_call(targets, now, self._tried)
        if target is None and self._failure is not None:
            return self._failure
        if target is None:
            raise self._error("no target is available")
        self._tried.add(target.target)
        left_s = self._job.ends_at - now
        again = route.repeatable and self._runs + 1 < route.max_attempts
        self._job.note(
            "plain",
            "sent",
            failure=False,
            target=target.target,
            left_ms=round(left_s * 1000),
            sends=self._sent,
            list_age_ms=parts.board.age_ms(now),
        )
        limit_s = left_s * ATTEMPT_SHARE if again else left_s
        attempt_ends_at = now + limit_s
        try:
            async with sending(
                parts,
                self._job.request,
                Send(target, left_s),
                WorkKind.CALL,
                work_ms=CALL_MS,
                fresh=not route.repeatable,
            ) as sent:
                exchange = sent.exchange
                self._sent += 1
                # Until the target says otherwise the call counts as run.
                self._runs += 1
                head = await answer_head(parts, target, exchange, limit_s)
                outcome = parts.protocol.read_outcome(head)
                if outcome is TargetOutcome.UNREADABLE:
                    raise ExchangeFailed(FailureKind.GARBLED, sent=True)
                body = await within(
                    attempt_ends_at - parts.clock.now(), exchange.read_all()
                )
                sent.completed = outcome is TargetOutcome.ANSWERED
        except ExchangeFailed as failure:
            self._note("broke_off", target.target, why=str(failure))
            return None
        took_ms = (parts.clock.now() - now) * 1000.0
        if outcome in (TargetOutcome.NOT_RUN, TargetOutcome.WRONG_TARGET):
            self._runs -= 1
            self._note("not_run", target.target, status=head.status)
            if outcome is TargetOutcome.WRONG_TARGET:
                parts.note_failure(target.target, silent=True, reason="other target")
            return None
        if outcome is TargetOutcome.FAILED:
            parts.placer.health.erred(target.target)
            self._failure = _Whole(head, body)
            self._note("failed", target.target, status=head.status)
            return None if again else self._failure
        parts.placer.health.succeeded(target.target)
        parts.placer.speeds.observe(target.target, CALL_MS, took_ms, parts.clock.now())
        return _Whole(head, body)

    def _may_go_on(self) -> bool:
        if self._runs and not self._job.route.repeatable:
            return False
        if self._runs >= self._job.route.max_attempts:
            return False
        if self._job.left_s <= 0.0:
            return False
        if not self._sent:
            return True
        return self._job.parts.take_repeat(self._job.service)

    async def _deliver(self, caller: Caller, answer: _Whole) -> None:
        headers = self._job.parts.protocol.answer_headers(answer.head)
        await caller.answer(answer.head.status, headers, answer.body)

    def _error(self, message: str) -> WigeonspanError:
        return self._job.error(message, ran=self._runs > 0)

    def _note(self, event: str, target: TargetId, **fields: object) -> None:
        self._job.note("plain", event, failure=True, target=target, **fields)
