"""Plain calls: one target, and others after a refusal or, if repeatable, a failure."""

from msgspec import Struct

from wigeonspan.common import ServiceName, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._attempt import sending, within
from wigeonspan.gateway._failures import describe_failure
from wigeonspan.gateway._messages import CallerRequest, Send, TargetOutcome
from wigeonspan.gateway._parts import Parts
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
    ends_at : float
        Monotonic time at which nobody waits for the answer any more.
    """

    def __init__(
        self,
        parts: Parts,
        request: CallerRequest,
        route: Route,
        service: ServiceName,
        ends_at: float,
    ) -> None:
        self._parts = parts
        self._request = request
        self._route = route
        self._service = service
        self._ends_at = ends_at
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
        parts, now = self._parts, self._parts.clock.now()
        targets = parts.board.usable(self._service)
        target = parts.placer.choose_call(targets, now, self._tried)
        if target is None and self._failure is not None:
            return self._failure
        if target is None:
            raise self._error("no target is available")
        self._tried.add(target.target)
        left_s = self._ends_at - now
        again = self._route.repeatable and self._runs + 1 < self._route.max_attempts
        send = Send(target, left_s)
        fresh = not self._route.repeatable
        parts.trail.note(
            "plain",
            "sent",
            request=self._request.request,
            target=target.target,
            left_ms=round(left_s * 1000),
            sends=self._sent,
            list_age_ms=parts.board.age_ms(now),
        )
        limit_s = left_s * ATTEMPT_SHARE if again else left_s
        attempt_ends_at = now + limit_s
        try:
            async with sending(
                parts, self._request, send, WorkKind.CALL, work_ms=CALL_MS, fresh=fresh
            ) as exchange:
                self._sent += 1
                # Until the target says otherwise the call counts as run.
                self._runs += 1
                head = await within(limit_s, exchange.head())
                outcome = parts.protocol.read_outcome(head)
                if outcome is TargetOutcome.UNREADABLE:
                    raise ExchangeFailed(FailureKind.GARBLED, sent=True)
                body = await within(
                    attempt_ends_at - parts.clock.now(), exchange.read_all()
                )
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
        if self._runs and not self._route.repeatable:
            return False
        if self._runs >= self._route.max_attempts:
            return False
        if self._parts.clock.now() >= self._ends_at:
            return False
        if not self._sent:
            return True
        return self._parts.take_repeat(self._service)

    async def _deliver(self, caller: Caller, answer: _Whole) -> None:
        headers = self._parts.protocol.answer_headers(answer.head)
        await caller.answer(answer.head.status, headers, answer.body)

    def _error(self, message: str) -> WigeonspanError:
        over = self._parts.clock.now() >= self._ends_at
        return describe_failure(message, ran=self._runs > 0, over=over)

    def _note(self, event: str, target: TargetId, **fields: object) -> None:
        self._parts.trail.note(
            "plain",
            event,
            request=self._request.request,
            failure=True,
            target=target,
            **fields,
        )
