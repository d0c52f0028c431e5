"""Engines to which a generation may still be sent."""

from wigeonspan.gateway._active_request import ActiveRequest
from wigeonspan.placing import (
    Limit,
    Plan,
    PriorityBand,
    Prompt,
    Refusal,
    priority_band,
)
from wigeonspan.pool import ExchangeError
from wigeonspan.targets import Target, TargetId


class CandidateEngines:
    """Engines of a service that have not yet failed a particular request.

    Engines that accepted no connection are tried again, once, when no other engine
    remains: a connection attempt also fails when this process or a packet is delayed
    for a moment.

    Parameters
    ----------
    active_request : ActiveRequest
        The request.
    prompt : Prompt
        Size of the request's prompt.
    """

    def __init__(self, active_request: ActiveRequest, prompt: Prompt) -> None:
        self._active_request = active_request
        self._prompt = prompt
        self._failed: set[TargetId] = set()
        self._unreachable: set[TargetId] = set()
        self._retried = False
        # Limited engines of the latest plan; they get this request but none after it.
        self._claimed: set[TargetId] = set()

    def plan(
        self,
        *,
        direct_only: bool = False,
        prefers_direct: bool = False,
        has_run: bool = False,
    ) -> Plan | Refusal:
        """Return the engines on which the request is to run, or why it is refused.

        Parameters
        ----------
        direct_only : bool
            Whether one engine must do both the prefill and the answer.
        prefers_direct : bool
            Whether one engine should do both if the prompt is short.
        has_run : bool
            Whether the request may have run at an engine and runs at none now.
        """
        plan = self._plan(direct_only, prefers_direct, has_run)
        none_left = isinstance(plan, Refusal) and plan.limit is Limit.NO_ENGINE
        if none_left and self._readmit_unreachable():
            plan = self._plan(direct_only, prefers_direct, has_run)
        if isinstance(plan, Plan):
            self._claimed = {plan.decode.target}
            self._claim(plan.decode)
            if plan.prefill is not None:
                self._claim(plan.prefill)
        return plan

    def choose(self, source: Target) -> Target | None:
        """Return the best engine to decode a prompt that another engine has prefilled.

        Parameters
        ----------
        source : Target
            Engine that has prefilled the prompt.
        """
        engine = self._choose(source)
        if engine is None and self._readmit_unreachable():
            engine = self._choose(source)
        if engine is not None and engine.target not in self._claimed:
            self._claim(engine)
        self._claimed.clear()
        return engine

    def memory_tokens(self) -> int:
        """Return the tokens that the request holds at its decode engine.

        Returns 0 when the memory of engines is not considered.
        """
        request = self._active_request
        return request.context.placer.memory.need(request.route.name, self._prompt)

    def band(self) -> PriorityBand:
        """Return the ranks of the request's priority."""
        request = self._active_request
        priorities = request.context.config.priorities(request.service)
        return priority_band(priorities, request.priority)

    def has_other(self, engine: Target) -> bool:
        """Return whether another engine of the same phase is available."""
        request = self._active_request
        health, now = request.context.placer.health, request.context.clock.now()
        return any(
            target.phase is engine.phase
            and target.target != engine.target
            and target.target not in self._failed | self._unreachable
            and health.available(target.target, now)
            for target in request.context.target_table.usable(request.service)
        )

    def _claim(self, engine: Target) -> None:
        """Use this entry's turn at an engine that limits its requests."""
        request = self._active_request
        request.context.placer.limits.take(engine.target, request.context.clock.now())

    def exclude(self, engine: Target, event: str, **fields: object) -> None:
        """Exclude an engine for the rest of the request, and log why."""
        self._failed.add(engine.target)
        self._active_request.log_event(
            "generation", event, failure=True, target=engine.target, **fields
        )

    def exclude_after_error(
        self, engine: Target, event: str, failure: ExchangeError, **fields: object
    ) -> None:
        """Exclude an engine that cut off its response or accepted no connection."""
        if not failure.sent:
            self._unreachable.add(engine.target)
        else:
            self._failed.add(engine.target)
        self._active_request.log_event(
            "generation",
            event,
            failure=True,
            target=engine.target,
            why=str(failure),
            **fields,
        )

    def _plan(
        self, direct_only: bool, prefers_direct: bool, has_run: bool
    ) -> Plan | Refusal:
        request, now = self._active_request, self._active_request.context.clock.now()
        return request.context.placer.plan(
            request.route,
            self._prompt,
            request.context.target_table.usable(request.service),
            request.deadline - now,
            now,
            self._failed | self._unreachable,
            now - request.arrived_at,
            direct_only=direct_only,
            prefers_direct=prefers_direct,
            band=self.band(),
            tenant=request.tenant,
            has_run=has_run,
        )

    def _choose(self, source: Target) -> Target | None:
        request = self._active_request
        return request.context.placer.choose_decode(
            request.context.target_table.usable(request.service),
            self._prompt,
            request.context.clock.now(),
            self._failed | self._unreachable,
            near=source.domain,
            claimed=self._claimed,
            need=self.memory_tokens(),
            band=self.band(),
        )

    def _readmit_unreachable(self) -> bool:
        """Allow the unreachable engines again, at most once; return whether it did."""
        if self._retried or not self._unreachable:
            return False
        self._retried = True
        self._unreachable.clear()
        return True
