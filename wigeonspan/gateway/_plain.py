"""Plain calls, sent to other targets after a refusal or, if repeatable, a failure."""

import asyncio
from typing import Any

from msgspec import Struct

from wigeonspan.common import ErrorKind, TenantName, WigeonspanError
from wigeonspan.gateway._active_request import ActiveRequest
from wigeonspan.gateway._attempt import active_send, receive_head, with_timeout
from wigeonspan.gateway._messages import SendOptions, TargetOutcome
from wigeonspan.gateway._patience import shows_silence
from wigeonspan.placing import CALL_MS, Limit, WorkKind
from wigeonspan.pool import ExchangeError, FailureKind, Head
from wigeonspan.serving import ResponseWriter
from wigeonspan.targets import Target, TargetId
from wigeonspan.tenants import Access

ATTEMPT_TIME_SHARE = 0.4
"""Share of the remaining time after which a call that may be repeated is also sent to
another target."""

MAX_SENDS = 5
"""Largest number of sends of one call; a service with that many refusals is full."""


class _CompleteResponse(Struct):
    """Response of a target with its complete body."""

    head: Head
    body: bytes


_Attempt = asyncio.Task[_CompleteResponse | None]


class PlainCall:
    """One plain call of a caller.

    Parameters
    ----------
    active_request : ActiveRequest
        The request.
    """

    def __init__(self, active_request: ActiveRequest) -> None:
        self._active_request = active_request
        self._tried_targets: set[TargetId] = set()
        self._send_count = 0
        self._run_count = 0
        self._failure: _CompleteResponse | None = None
        self._has_response = False
        # Tenant and true time for which the call is counted.
        self._metered: tuple[TenantName, int] | None = None
        prompt = active_request.request.prompt
        parts = prompt.shared_parts if prompt is not None else ()
        self._shared_parts = tuple(part.part for part in parts)

    def abort_error(self, message: str) -> WigeonspanError:
        """Return the error for the caller when serving the request is aborted."""
        return self._error(message)

    def describe_progress(self) -> dict[str, Any]:
        """Return fields for the log that show what the request waits for."""
        return {
            "targets": sorted(self._tried_targets),
            "target_done": self._has_response or self._failure is not None,
            "sends": self._send_count,
            "runs": self._run_count,
        }

    async def serve(self, caller: ResponseWriter) -> None:
        """Send the response of a target to the caller.

        Raises
        ------
        WigeonspanError
            When no target has sent a response that can be passed on.
        """
        self._check_quarantine()
        self._check_time_left()
        response = await self._first_response() or self._failure
        if response is None:
            raise self._error("no target answered")
        self._has_response = True
        await self._deliver(caller, response)

    def _check_quarantine(self) -> None:
        """Refuse a call whose prompt has a quarantined part.

        A call is no trial of the part: it has no event that shows that its answer has
        begun.

        Raises
        ------
        WigeonspanError
            When a part of the prompt is quarantined.
        """
        context = self._active_request.context
        verdict = context.check_quarantine(self._shared_parts, may_try=False)
        if verdict is None:
            return
        context.metrics.count("refusals", limit=Limit.QUARANTINE.value)
        self._active_request.log_event(
            "plain", "quarantined", failure=True, prompt_part=verdict.part
        )
        raise WigeonspanError(
            ErrorKind.OVERLOADED,
            "targets crashed on a part of the prompt",
            retry_after_s=verdict.retry_after_s,
        )

    def _check_time_left(self) -> None:
        """Check that the call can be completed before this entry has stopped.

        Raises
        ------
        WigeonspanError
            When it cannot.
        """
        request, context = self._active_request, self._active_request.context
        if context.stop.begun:
            expected_s = context.durations.call_s(request.service, context.clock.now())
            request.check_time_left(expected_s)

    async def _first_response(self) -> _CompleteResponse | None:
        """Return the first response of a target that can be passed on, if any.

        A call that may be repeated is also sent to another target while the first one
        is silent. Neither is given up for the other: both may be sound.

        Raises
        ------
        WigeonspanError
            When no target is available and none was tried that may still answer.
        """
        attempts: set[_Attempt] = set()
        try:
            for _ in range(MAX_SENDS):
                try:
                    access = self._active_request.check_access(ran=self._run_count > 0)
                except WigeonspanError:
                    if not attempts and self._failure is None:
                        raise
                    # What was sent while the key was valid is delivered.
                    break
                target = self._choose()
                if target is None and not attempts and self._failure is None:
                    raise self._error("no target is available")
                if target is None:
                    break
                limit_s = self._silence_limit_s()
                newest = asyncio.create_task(self._attempt(target, access))
                attempts.add(newest)
                response = await self._wait(attempts, newest, limit_s)
                if response is not None:
                    return response
                route = self._active_request.route
                if newest in attempts and shows_silence(route, limit_s or 0.0):
                    self._active_request.context.record_silence(target.target)
                if not self._may_send_again():
                    break
            while attempts:
                response = await self._wait(attempts, next(iter(attempts)), None)
                if response is not None:
                    return response
            return None
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _silence_limit_s(self) -> float | None:
        """Return the seconds after which another target is tried; None for never."""
        route = self._active_request.route
        # The attempt that begins is not counted yet.
        if not route.repeatable or self._run_count + 1 >= route.max_attempts:
            return None
        return self._active_request.remaining_s * ATTEMPT_TIME_SHARE

    async def _wait(
        self, attempts: set[_Attempt], newest: _Attempt, limit_s: float | None
    ) -> _CompleteResponse | None:
        """Return the first response, or None once the newest attempt gives none.

        Parameters
        ----------
        attempts : set of asyncio.Task
            Attempts in progress; those that have ended are removed.
        limit_s : float or None
            Seconds after which the newest attempt counts as silent; None for never.
        """
        try:
            async with asyncio.timeout(limit_s):
                while newest in attempts:
                    done, _ = await asyncio.wait(
                        attempts, return_when=asyncio.FIRST_COMPLETED
                    )
                    attempts -= done
                    responses = [attempt.result() for attempt in done]
                    for response in responses:
                        if response is not None:
                            return response
        except TimeoutError:
            # The newest target is silent.
            pass
        return None

    def _choose(self) -> Target | None:
        """Choose a target that has not been tried; None when there is none."""
        context, now = (
            self._active_request.context,
            self._active_request.context.clock.now(),
        )
        targets = context.target_table.usable(self._active_request.service)
        target = context.placer.choose_call(targets, now, self._tried_targets)
        if target is not None:
            context.placer.limits.take(target.target, now)
            self._tried_targets.add(target.target)
        return target

    async def _attempt(
        self, target: Target, access: Access | None
    ) -> _CompleteResponse | None:
        """Send the call to one target; return a response to pass on, or None."""
        context, route = self._active_request.context, self._active_request.route
        now = context.clock.now()
        remaining_s = self._active_request.deadline - now
        # The call counts as run unless it is not sent or the target reports otherwise.
        self._run_count += 1
        self._active_request.log_event(
            "plain",
            "sent",
            failure=False,
            target=target.target,
            left_ms=round(remaining_s * 1000),
            sends=self._send_count,
            list_age_ms=context.target_table.age_ms(now),
        )
        try:
            async with active_send(
                self._active_request,
                access,
                SendOptions(target, remaining_s),
                WorkKind.CALL,
                work_ms=CALL_MS,
                new_connection=not route.repeatable,
            ) as sent:
                exchange = sent.exchange
                self._send_count += 1
                self._record_run(access)
                head = await receive_head(context, target, sent, remaining_s)
                outcome = context.protocol.read_outcome(head)
                if outcome is TargetOutcome.UNREADABLE:
                    raise ExchangeError(FailureKind.MALFORMED, sent=True)
                body = await with_timeout(
                    self._active_request.remaining_s, exchange.read_all()
                )
                sent.completed = outcome is TargetOutcome.ANSWERED
        except ExchangeError as failure:
            if not failure.sent:
                self._run_count -= 1
                self._withdraw_run()
            elif failure.kind in (FailureKind.CLOSED, FailureKind.RESET):
                if self._shared_parts:
                    context.record_break(target, self._shared_parts, now)
            self._log_event("broke_off", target.target, why=str(failure))
            return None
        took_ms = (context.clock.now() - now) * 1000.0
        if outcome in (TargetOutcome.NOT_RUN, TargetOutcome.WRONG_TARGET):
            self._run_count -= 1
            self._withdraw_run()
            self._log_event("not_run", target.target, status=head.status)
            if outcome is TargetOutcome.WRONG_TARGET:
                context.record_failure(
                    target.target, unreachable=True, reason="another target answered"
                )
            return None
        if outcome is TargetOutcome.FAILED:
            context.placer.health.record_error(target.target)
            self._failure = _CompleteResponse(head, body)
            self._log_event("failed", target.target, status=head.status)
            return None
        context.placer.health.record_success(target.target)
        context.record_written(self._shared_parts)
        context.placer.speeds.observe(
            target.target, CALL_MS, took_ms, context.clock.now()
        )
        return _CompleteResponse(head, body)

    def _record_run(self, access: Access | None) -> None:
        """Count the call for its tenant; a target takes it as soon as it is sent."""
        meter = self._active_request.context.meter
        tenant = None if access is None else access.tenant
        if meter is not None and tenant is not None and self._metered is None:
            self._metered = tenant, meter.begin(tenant)

    def _withdraw_run(self) -> None:
        """Withdraw the count of the call when no target has run it."""
        meter = self._active_request.context.meter
        if meter is not None and self._metered is not None and not self._run_count:
            meter.withdraw(*self._metered)
            self._metered = None

    def _may_send_again(self) -> bool:
        """Return whether to send again; take a retry from the retry budget."""
        if self._run_count and not self._active_request.route.repeatable:
            return False
        if self._run_count >= self._active_request.route.max_attempts:
            return False
        if self._active_request.remaining_s <= 0.0:
            return False
        quarantine, clock = (
            self._active_request.context.quarantine,
            self._active_request.context.clock,
        )
        if not quarantine.may_repeat(self._shared_parts, clock.now()):
            return False
        if not self._send_count:
            return True
        return self._active_request.context.take_retry(self._active_request.service)

    async def _deliver(
        self, caller: ResponseWriter, response: _CompleteResponse
    ) -> None:
        headers = self._active_request.context.protocol.response_headers(response.head)
        await caller.send_response(response.head.status, headers, response.body)

    def _error(self, message: str) -> WigeonspanError:
        return self._active_request.error(message, ran=self._run_count > 0)

    def _log_event(self, event: str, target: TargetId, **fields: object) -> None:
        self._active_request.log_event(
            "plain", event, failure=True, target=target, **fields
        )
