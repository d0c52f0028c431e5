"""State of one generation that its parts share, and when it may be sent again."""

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._active_request import ActiveRequest
from wigeonspan.gateway._candidates import CandidateEngines
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._events import StreamPosition
from wigeonspan.gateway._runs import OpenRuns
from wigeonspan.placing import Limit, Plan, Prompt, Refusal, SpentRetry
from wigeonspan.pool import Head
from wigeonspan.tenants import Access

BODY_TIMEOUT_S = 1.0
"""Seconds within which the short body of a response that is not streamed, such as a
handle or a failure, must follow its head."""


def unsized_prompt(body_bytes: int) -> Prompt:
    """Return the prompt of a request that does not state its number of tokens.

    A token has at least one byte, so this is an upper bound.
    """
    return Prompt((), body_bytes, 1)


class GenerationProgress:
    """What was done for one generation, over all engines that it is sent to.

    Parameters
    ----------
    active_request : ActiveRequest
        The request.

    Attributes
    ----------
    prompt : Prompt
        Size of the request's prompt.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may have as well.
    engines : CandidateEngines
        Engines that have not failed the request.
    position : StreamPosition
        Last event that the caller has.
    round_count, prefill_count, stream_count, run_count : int
        Placements, sends for a prefill, sends for a stream, and those of the latter
        that may have run.
    break_count : int
        Runs that their engine broke off without an event.
    last_event_at : float or None
        Time of the last event.
    is_trial : bool
        Whether this request shows if a quarantined part still crashes engines.
    sent_head : Head or None
        Head that was sent to the caller.
    runs : OpenRuns
        Runs in progress.
    """

    def __init__(self, active_request: ActiveRequest) -> None:
        request = active_request.request
        self.active_request = active_request
        self.prompt = request.prompt or unsized_prompt(len(request.body))
        self.shared_parts = tuple(part.part for part in self.prompt.shared_parts)
        self.engines = CandidateEngines(active_request, self.prompt)
        self.position = StreamPosition()
        self.round_count = 0
        self.prefill_count = 0
        self.stream_count = 0
        self.run_count = 0
        self.break_count = 0
        self.last_event_at: float | None = None
        self.is_trial = False
        self.sent_head: Head | None = None
        self.runs = OpenRuns()
        self._access = active_request.access
        self._is_metered = False

    @property
    def context(self) -> GatewayContext:
        """State that the components of the gateway share."""
        return self.active_request.context

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.active_request.route

    def check_access(self) -> Access | None:
        """Check before each send that the key of the request is valid.

        See :meth:`ActiveRequest.check_access`.
        """
        self._access = self.active_request.check_access(ran=self.run_count > 0)
        return self._access

    def record_run(self) -> None:
        """Count the first run of the request for its tenant."""
        meter = self.context.meter
        tenant = None if self._access is None else self._access.tenant
        if meter is not None and tenant is not None and not self._is_metered:
            self._is_metered = True
            meter.begin(tenant)

    def check_quarantine(self) -> None:
        """Check before each send whether a part of the prompt is quarantined.

        Raises
        ------
        WigeonspanError
            When it is, unless the request is let through as a trial.
        """
        if self.is_trial:
            return
        # A trial is one send, so a request that was sent before is no trial.
        verdict = self.context.check_quarantine(
            self.shared_parts,
            may_try=not self.prefill_count and not self.stream_count,
        )
        if verdict is None:
            return
        self.is_trial = verdict.trial
        event = "quarantine_trial" if self.is_trial else "quarantined"
        self.log_event(event, failure=True, prompt_part=verdict.part)
        if self.is_trial:
            return
        self.context.metrics.count("refusals", limit=Limit.QUARANTINE.value)
        reason = "engines crashed on a part of the prompt"
        raise self.refusal(Refusal(Limit.QUARANTINE, reason, verdict.retry_after_s))

    def check_time_left(self, plan: Plan) -> None:
        """Check that a stream can be completed before this entry has stopped.

        A request that was already sent to an engine goes on as long as possible.

        Raises
        ------
        WigeonspanError
            When it cannot.
        """
        request = self.active_request
        planned_s, timer = plan.first_ms / 1000.0, request.timer
        timer.planned_s = timer.planned_s or planned_s
        if not self.context.stop.begun or self.stream_count:
            return
        expected_s = self.context.durations.stream_s(
            request.service,
            planned_s,
            self.prompt.output_tokens,
            self.context.clock.now(),
        )
        request.check_time_left(expected_s)

    def body_timeout_s(self) -> float:
        """Return the seconds to wait for the body of an unstreamed response."""
        return min(BODY_TIMEOUT_S, self.active_request.remaining_s)

    def spend_retry(self) -> SpentRetry:
        """Take a retry from the retry budget.

        Raises
        ------
        WigeonspanError
            When the budget is used up.
        """
        spent = self.context.spend_retry(self.active_request.service)
        if spent is None:
            raise self.error("the budget of repeated sends is used up")
        return spent

    def spares_retries(self) -> bool:
        """Return whether this is a repeat that should take few retries."""
        is_repeat = self.prefill_count > 0 or self.stream_count > 0
        return is_repeat and self.context.spares_retries(self.active_request.service)

    def may_run_again(self) -> bool:
        """Return whether the request may run once more besides its runs until now."""
        has_run_left = self.route.repeatable and self.remaining_runs() > 0
        return has_run_left and self.can_resume() and not self.is_trial

    def can_resume(self) -> bool:
        """Return whether another engine can go on with what the caller has."""
        return self.sent_head is None or self.position.last is not None

    def remaining_runs(self) -> int:
        """Return how many more runs the route allows."""
        return max(0, self.route.max_attempts - self.run_count)

    def check_may_continue(self) -> None:
        """Check that the request may be sent again.

        Raises
        ------
        WigeonspanError
            When it must not or cannot be sent again.
        """
        if self.run_count and not self.route.repeatable:
            raise self.error("the engine broke off")
        if self.run_count and not self.remaining_runs():
            raise self.error("all attempts broke off")
        if not self.can_resume():
            raise self.error("the events of the stream have no ids")
        if self.is_trial or not self.context.quarantine.may_repeat(
            self.shared_parts, self.context.clock.now(), self.break_count
        ):
            raise self.error("engines may crash on a part of the prompt")
        if self.context.clock.now() >= self.active_request.deadline:
            raise self.error("the time is over")

    def refusal(self, refusal: Refusal) -> WigeonspanError:
        """Return the error for a refusal, which may follow a run."""
        if self.run_count:
            return self.error(refusal.reason)
        kind = ErrorKind.OVERLOADED
        return WigeonspanError(
            kind, refusal.reason, retry_after_s=refusal.retry_after_s
        )

    def error(self, message: str) -> WigeonspanError:
        """Return the error for the caller when there is no response to pass on."""
        return self.active_request.error(message, ran=self.run_count > 0)

    def log_event(self, event: str, *, failure: bool = False, **fields: object) -> None:
        """Write a line about the generation to the decision log."""
        self.active_request.log_event("generation", event, failure=failure, **fields)
