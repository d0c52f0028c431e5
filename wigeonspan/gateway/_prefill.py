"""Placement of a generation, and the prefill of its prompt by an engine."""

from msgspec.structs import replace

from wigeonspan.common import WigeonspanError
from wigeonspan.gateway._attempt import (
    ActiveSend,
    active_send,
    receive_head,
    with_timeout,
)
from wigeonspan.gateway._backup import Backup
from wigeonspan.gateway._messages import PromptHandle, SendOptions
from wigeonspan.gateway._patience import prefill_timeout_s
from wigeonspan.gateway._progress import GenerationProgress
from wigeonspan.placing import (
    Limit,
    Plan,
    Refusal,
    SpentRetry,
    WorkKind,
    abandon_after_s,
)
from wigeonspan.pool import ExchangeError, FailureKind, Head
from wigeonspan.targets import Phase, Target

PreparedPrompt = tuple[Plan, PromptHandle | None]
"""Plan of a request with its prefilled prompt, if that is a step of its own."""

MAX_ROUNDS = 5
"""Largest number of rounds of placement, prefill and streaming for one request."""

POLL_INTERVAL_S = 0.1
"""Seconds between two checks of an engine that is to prefill a prompt."""

MAX_PREFILL_RESPONSE_BYTES = 64 * 1024
"""Largest body in bytes of an engine's response to a prefill; a handle is short."""


class NoOtherPrefill(Exception):
    """Beside a silent engine, the request would do without a separate prefill."""


class PromptPreparation:
    """Placement and prefill of one generation.

    Parameters
    ----------
    progress : GenerationProgress
        State of the generation.
    """

    def __init__(self, progress: GenerationProgress) -> None:
        self._progress = progress

    async def place_and_prefill(self, *, as_backup: bool = False) -> PreparedPrompt:
        """Place the request and have its prompt prefilled, at another engine if needed.

        Parameters
        ----------
        as_backup : bool
            Whether a silent engine may still prefill the prompt, so that a plan without
            a prefill of its own is of no use.

        Raises
        ------
        WigeonspanError
            When the request cannot be sent to an engine any more.
        NoOtherPrefill
            When the plan of a backup has no prefill of its own.
        """
        while self._progress.round_count < MAX_ROUNDS:
            self._progress.round_count += 1
            plan = self._plan(as_backup)
            if plan.prefill is None and as_backup:
                raise NoOtherPrefill
            if plan.prefill is None:
                return plan, None
            prepared = await self._prefill_prompt(plan, plan.prefill)
            if prepared is not None:
                return prepared
        raise self._progress.error("no engine answered")

    def _plan(self, as_backup: bool) -> Plan:
        """Place the generation.

        Parameters
        ----------
        as_backup : bool
            See :meth:`place_and_prefill`.

        Raises
        ------
        WigeonspanError
            When it is refused.
        """
        context, now = self._progress.context, self._progress.context.clock.now()
        self._progress.check_access()
        self._progress.check_quarantine()
        # While a silent engine may still go on, another one is only worth its work when
        # it is expected to be on time.
        has_run = self._progress.run_count > 0 and not self._progress.runs
        plan = self._progress.engines.plan(
            direct_only=self._progress.is_trial,
            prefers_direct=not as_backup and self._progress.spares_retries(),
            has_run=has_run,
        )
        list_age_ms = context.target_table.age_ms(now)
        if isinstance(plan, Refusal):
            if self._progress.runs:
                raise self._progress.error(f"no successor: {plan.reason}")
            self._count_refusal(plan.limit)
            self._progress.log_event(
                "refused",
                failure=True,
                limit=plan.limit.value,
                why=plan.reason,
                priority=self._progress.active_request.priority,
                retry_after_s=round(plan.retry_after_s, 2),
                list_age_ms=list_age_ms,
            )
            self._add_refused_demand(plan)
            raise self._progress.refusal(plan)
        self._progress.check_time_left(plan)
        self._add_prefill_demand(plan.work_ms)
        context.metrics.count(
            "placements",
            rank=plan.urgency,
            share="exceeded" if plan.over_share else "kept",
        )
        context.metrics.observe("expected_wait_seconds", plan.wait_ms / 1000.0)
        context.metrics.observe(
            "expected_slot_wait_seconds", plan.slot_wait_ms / 1000.0
        )
        self._progress.log_event(
            "placed",
            how=plan.decision.value,
            prefill=plan.prefill.target if plan.prefill else None,
            decode=plan.decode.target,
            wait_ms=round(plan.wait_ms),
            slot_wait_ms=round(plan.slot_wait_ms),
            **self._memory_fields(plan),
            cost_ms=round(plan.cost_ms),
            first_ms=round(plan.first_ms),
            transfer_ms=round(context.placer.transfer_ms(plan, self._progress.prompt)),
            urgency=plan.urgency,
            priority=self._progress.active_request.priority,
            over_share=plan.over_share,
            read_tokens=plan.prefill_steps.prefilled_tokens,
            copied_tokens=plan.prefill_steps.copied_tokens,
            source=plan.prefill_steps.source.target
            if plan.prefill_steps.source
            else None,
            list_age_ms=list_age_ms,
        )
        return plan

    def _memory_fields(self, plan: Plan) -> dict[str, object]:
        """Return the fields of the log about memory, where it is considered."""
        memory = self._progress.context.placer.memory
        if not memory.applies:
            return {}
        return {
            "memory_tokens": self._progress.engines.memory_tokens(),
            "room_tokens": memory.room_tokens(plan.decode.target),
            "memory_wait_ms": round(plan.memory_wait_ms),
        }

    def _count_refusal(self, limit: Limit) -> None:
        metrics = self._progress.context.metrics
        metrics.count("refusals", limit=limit.value)
        priority = self._progress.active_request.priority
        metrics.count("refusals_by_priority", priority=priority, limit=limit.value)

    def _add_prefill_demand(self, work_ms: float) -> None:
        """Count the engine time of a prefill as demand of the service."""
        context, now = self._progress.context, self._progress.context.clock.now()
        read_ms = work_ms * context.placer.ledger.median_slowness(now)
        request = self._progress.active_request
        context.add_demand(request.service, request.priority, read_ms=read_ms)

    def _add_refused_demand(self, refusal: Refusal) -> None:
        """Count what a request that was refused for lack of slots would have taken.

        Without it, engines that are short of slots would seem to have enough once
        requests are refused. Requests that wait for prefill need no slots.
        """
        if not refusal.lacks_decode:
            return
        self._add_prefill_demand(refusal.work_ms)
        request = self._progress.active_request
        self._progress.context.add_demand(
            request.service,
            request.priority,
            stream_s=self._progress.context.placer.slots.stream_s,
        )

    async def _prefill_prompt(
        self, plan: Plan, engine: Target
    ) -> PreparedPrompt | None:
        """Have an engine prefill the prompt; return None if another one must do it.

        While the engine is silent, another one is tried beside it, because both may be
        sound. The first prompt that is prefilled is used.
        """
        context, now = self._progress.context, self._progress.context.clock.now()
        spent = self._progress.spend_retry() if self._progress.prefill_count else None
        self._progress.prefill_count += 1
        send = SendOptions(
            engine,
            self._progress.active_request.deadline - now,
            plan.urgency,
            Phase.PREFILL,
            copy_from=plan.prefill_steps.source,
        )
        backup = Backup(lambda: self.place_and_prefill(as_backup=True))
        try:
            async with active_send(
                self._progress.active_request,
                self._progress.check_access(),
                send,
                WorkKind.PREFILL,
                work_ms=plan.work_ms,
                prompt_parts=self._progress.prompt.parts,
                new_tokens=plan.prefill_steps.new_tokens,
                memory_tokens=self._progress.engines.memory_tokens(),
            ) as sent:
                head = await self._wait_for_prefill(plan, engine, sent, backup)
                if head is None:
                    sent.let_go = sent.silence_recorded
                    return await backup.result()
                body = await with_timeout(
                    self._progress.body_timeout_s(),
                    sent.exchange.read_all(MAX_PREFILL_RESPONSE_BYTES),
                )
                handle = self._decode_handle(engine, head, body)
                sent.completed = handle is not None
            if handle is None:
                self._progress.engines.exclude(
                    engine, "read_refused", status=head.status
                )
                return await _outcome(backup)
        except ExchangeError as failure:
            if not failure.sent:
                self._withdraw_prefill(spent)
            self._progress.engines.exclude_after_error(
                engine, "read_broke_off", failure
            )
            return await _outcome(backup)
        finally:
            backup.drop()
        took_ms = (context.clock.now() - now) * 1000.0
        context.placer.health.record_success(engine.target)
        context.placer.record_prefill(plan, took_ms)
        context.metrics.observe("prompt_read_seconds", took_ms / 1000.0)
        self._progress.log_event("read", target=engine.target, took_ms=round(took_ms))
        return plan, replace(handle, work=sent.work)

    def _withdraw_prefill(self, spent: SpentRetry | None) -> None:
        """Withdraw a prefill for which no connection was made: it did not arrive."""
        self._progress.prefill_count -= 1
        if spent is not None:
            service = self._progress.active_request.service
            self._progress.context.return_retry(service, spent)

    def _decode_handle(
        self, engine: Target, head: Head, body: bytes
    ) -> PromptHandle | None:
        if head.status != 200:
            return None
        return self._progress.context.protocol.read_handle(engine, body)

    async def _wait_for_prefill(
        self,
        plan: Plan,
        engine: Target,
        sent: ActiveSend,
        backup: Backup[PreparedPrompt],
    ) -> Head | None:
        """Wait for an engine to prefill a prompt, as long as that can still succeed.

        An engine that finishes other prompts is busy, not silent. When another request
        has found the engine silent, the backup begins at once.

        Returns
        -------
        Head or None
            Head of the engine's response; None when the backup was first.

        Raises
        ------
        ExchangeError
            When the engine broke off or the caller's time is over.
        WigeonspanError
            When the caller will have left before its first event.
        """
        clock, placer = self._progress.context.clock, self._progress.context.placer
        started_at = progress_at = clock.now()
        limit_s = prefill_timeout_s(plan)
        while not backup.succeeded:
            remaining_s = self._prefill_deadline() - clock.now()
            try:
                return await receive_head(
                    self._progress.context,
                    engine,
                    sent,
                    min(POLL_INTERVAL_S, remaining_s),
                )
            except ExchangeError as failure:
                now = clock.now()
                is_over = now >= self._progress.active_request.deadline
                if failure.kind is not FailureKind.TIMEOUT or is_over:
                    raise
                if now >= self._prefill_deadline():
                    raise self._late_refusal(plan) from failure
            if placer.ledger.finished_since(engine.target, progress_at):
                progress_at = now
            no_progress = now - progress_at >= limit_s
            is_suspended = placer.health.suspended_since(engine.target, started_at)
            if (no_progress or is_suspended) and not backup.begun:
                self._begin_backup(engine, backup)
            # In a large fleet, what other entries found must not count once more.
            is_silent = no_progress or not placer.health.is_shared
            if backup.begun and is_silent and not sent.silence_recorded:
                sent.silence_recorded = True
                self._progress.context.record_silence(engine.target)
        return None

    def _begin_backup(self, engine: Target, backup: Backup[PreparedPrompt]) -> None:
        """Have another engine prefill the prompt of a silent one, if there is any."""
        if self._may_prefill_elsewhere(engine):
            self._progress.engines.exclude(engine, "read_silent")
            backup.begin()

    def _may_prefill_elsewhere(self, engine: Target) -> bool:
        """Return whether another engine may prefill the prompt of a silent one."""
        context, service = self._progress.context, self._progress.active_request.service
        has_retry = context.remaining_retries(service) >= 1.0
        return has_retry and self._progress.engines.has_other(engine)

    def _prefill_deadline(self) -> float:
        """Return the time after which a prefill is too late for the caller.

        It is as late as possible, because an engine does not show how much of a prompt
        it has already prefilled.
        """
        if self._progress.run_count:
            return self._progress.active_request.deadline
        leaves_at = min(
            self._progress.active_request.arrived_at
            + abandon_after_s(self._progress.route),
            self._progress.active_request.deadline,
        )
        return leaves_at - self._progress.context.placer.handoff_ms / 1000.0

    def _late_refusal(self, plan: Plan) -> WigeonspanError:
        """Return the refusal of a request whose prompt has waited too long."""
        self._count_refusal(Limit.TIME)
        self._progress.log_event(
            "refused", failure=True, limit=Limit.TIME.value, why="overtaken"
        )
        reason = "the prompt still waits to be read"
        retry_after_s = self._progress.context.placer.retry_after_s(
            plan, self._progress.route
        )
        return self._progress.refusal(Refusal(Limit.TIME, reason, retry_after_s))


async def _outcome(backup: Backup[PreparedPrompt]) -> PreparedPrompt | None:
    """Return the prompt of a backup; None when the request is to be placed again.

    An engine that prefills and decodes is of no use beside a silent prefill engine, but
    it is once that one has failed.
    """
    try:
        return await backup.result()
    except NoOtherPrefill:
        return None
