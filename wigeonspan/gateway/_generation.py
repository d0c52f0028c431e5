"""Generations: one engine prefills the prompt, another one streams the response."""

from typing import Any

from wigeonspan.common import WigeonspanError
from wigeonspan.gateway._active_request import ActiveRequest
from wigeonspan.gateway._attempt import active_send
from wigeonspan.gateway._messages import PromptHandle, SendOptions
from wigeonspan.gateway._prefill import PromptPreparation
from wigeonspan.gateway._progress import GenerationProgress
from wigeonspan.gateway._relay import StreamRelay
from wigeonspan.gateway._release import release_prompt
from wigeonspan.gateway._runs import OpenRun, Superseded
from wigeonspan.placing import DIRECT_SLOWDOWN, Plan, WorkKind
from wigeonspan.pool import ExchangeError, FailureKind
from wigeonspan.serving import ResponseWriter
from wigeonspan.targets import Target

MAX_LOGGED = 8
"""Largest number of a prompt's parts in a line of the log."""

MAX_PROMPT_REFUSALS = 2
"""Number of engines that are offered a prefilled prompt; when both refuse it, it is
probably gone and is prefilled again."""


class Generation:
    """One generation of a caller, over all engines that it is sent to.

    Parameters
    ----------
    active_request : ActiveRequest
        The request.
    """

    def __init__(self, active_request: ActiveRequest) -> None:
        self._progress = GenerationProgress(active_request)
        self._preparation = PromptPreparation(self._progress)
        self._relay = StreamRelay(self._progress, self._run_rounds)

    def abort_error(self, message: str) -> WigeonspanError:
        """Return the error for the caller when serving the request is aborted."""
        return self._progress.error(message)

    def describe_progress(self) -> dict[str, Any]:
        """Return fields for the log that show what the request waits for."""
        progress = self._progress
        exchanges = [run.exchange for run in progress.runs if run.exchange is not None]
        return {
            "targets": [run.engine.target for run in progress.runs],
            "target_done": any(exchange.done for exchange in exchanges),
            "prefills": progress.prefill_count,
            "streams": progress.stream_count,
            "last_event": progress.position.last,
        }

    async def serve(self, caller: ResponseWriter) -> None:
        """Stream the response to the caller.

        Raises
        ------
        WigeonspanError
            When no target's response can be passed on, or the stream was cut off.
        """
        await self._run_rounds(caller)

    async def _run_rounds(self, caller: ResponseWriter) -> None:
        """Place, prefill and stream until the response is complete.

        Raises
        ------
        WigeonspanError
            When the request cannot be sent to an engine any more.
        """
        while True:
            plan, handle = await self._preparation.place_and_prefill()
            if await self._stream_from(caller, plan, handle):
                return
            self._progress.check_may_continue()

    async def _stream_from(
        self, caller: ResponseWriter, plan: Plan, handle: PromptHandle | None
    ) -> bool:
        """Stream the response; return False when another round may follow."""
        prompt_taken = False
        # Runs whose engine refused the prefilled prompt.
        refusing: list[OpenRun] = []
        # The prefill may take seconds; the planned engine may have left meanwhile.
        engine = (
            plan.decode
            if handle is None
            else self._progress.engines.choose(handle.source)
        )
        try:
            while engine is not None:
                self._progress.check_quarantine()
                self._spend_retry_after_first_stream()
                run = self._begin_run(plan, engine)
                run.refused_before = refusing
                try:
                    if await self._stream(caller, run, handle):
                        return True
                except ExchangeError as failure:
                    self._log_broken_run(run, failure)
                    if not failure.sent:
                        engine = self._next_engine(handle)
                        continue
                except Superseded:
                    # The successor goes on with the response.
                    pass
                except BaseException:
                    run.drop_successor()
                    raise
                finally:
                    self._progress.runs.remove(run)
                    prompt_taken |= run.ran
                    if run.refused and handle is not None:
                        self._record_refusal(run, handle, refusing)
                if run.successor is None and _may_send_prompt_on(run, handle, refusing):
                    self._progress.check_may_continue()
                    engine = self._next_engine(handle)
                    continue
                return await self._end_with_successor(run)
            return False
        finally:
            if handle is not None and not prompt_taken:
                release_prompt(self._progress, handle)

    def _next_engine(self, handle: PromptHandle | None) -> Target | None:
        """Return another engine for a prompt whose engine took no connection."""
        return None if handle is None else self._progress.engines.choose(handle.source)

    def _record_refusal(
        self, run: OpenRun, handle: PromptHandle, refusing: list[OpenRun]
    ) -> None:
        """Record that an engine has refused a prefilled prompt.

        An engine refuses it when it cannot run it, and also when the prompt is gone at
        the engine that prefilled it. When several refuse it, its source is to blame;
        when another one takes it, those that refused it are. A refusal with a
        reason of its own, such as a limit, counts against nobody.
        """
        refusing.append(run)
        suspects = [other for other in refusing if other.is_suspect]
        if len(suspects) == MAX_PROMPT_REFUSALS:
            source = handle.source.target
            self._progress.context.placer.health.record_error(source)

    async def _end_with_successor(self, run: OpenRun) -> bool:
        """Wait for the successor of a run that has ended; return whether it had one.

        Raises
        ------
        WigeonspanError
            When the successor has not completed the response either.
        """
        if run.successor is None:
            return False
        try:
            if self._progress.active_request.remaining_s <= 0.0:
                raise self._progress.error("the time is over")
            await run.successor
        finally:
            run.drop_successor()
        return True

    def _begin_run(self, plan: Plan, engine: Target) -> OpenRun:
        placer = self._progress.context.placer
        streams = placer.ledger.open_streams(engine.target)
        need = self._progress.engines.memory_tokens()
        wait_ms = max(
            placer.slots.wait_ms(engine.slots, streams, plan.urgency),
            placer.memory.engine_wait_ms(engine.target, need, plan.urgency),
        )
        return OpenRun(
            plan,
            engine,
            self._progress.context.clock.now(),
            open_streams=streams.total(),
            slot_wait_s=wait_ms / 1000.0,
            urgency=placer.memory.rank(engine.target, need, plan.urgency, plan.band),
        )

    def _log_broken_run(self, run: OpenRun, failure: ExchangeError) -> None:
        """Exclude the engine of a run that has broken off, and log the run."""
        had_event = run.first_event_at is not None
        if failure.sent:
            self._progress.context.metrics.count(
                "streams_broken", had_event=str(had_event)
            )
        if failure.sent and failure.kind in (FailureKind.CLOSED, FailureKind.RESET):
            self._progress.break_count += not had_event
            suspects = () if had_event else self._progress.shared_parts
            self._progress.context.record_break(run.engine, suspects, run.started_at)
        self._progress.engines.exclude_after_error(
            run.engine,
            "stream_broke_off",
            failure,
            open_streams=run.open_streams,
            slots=run.engine.slots,
            last_event=self._progress.position.last,
            silent_ms=self._relay.silent_ms(run),
            left_ms=round(self._progress.active_request.remaining_s * 1000),
            had_event=had_event,
            shared_parts=self._progress.shared_parts[:MAX_LOGGED],
        )

    async def _stream(
        self, caller: ResponseWriter, run: OpenRun, handle: PromptHandle | None
    ) -> bool:
        """Send the request to an engine and pass on the events of its response.

        Returns
        -------
        bool
            Whether the response is complete; otherwise another engine may be tried.

        Raises
        ------
        ExchangeError
            When the engine broke off or the caller's time is over.
        Superseded
            When a successor has continued the stream.
        """
        context, plan, engine = self._progress.context, run.plan, run.engine
        direct = handle is None
        send = SendOptions(
            engine,
            self._progress.active_request.deadline - run.started_at,
            run.urgency,
            fetch=handle,
            resume_after=self._progress.position.last,
            copy_from=plan.prefill_steps.source if direct else None,
        )
        async with active_send(
            self._progress.active_request,
            self._progress.check_access(),
            send,
            WorkKind.DIRECT if direct else WorkKind.DECODE,
            work_ms=plan.work_ms * DIRECT_SLOWDOWN if direct else 0.0,
            new_connection=not self._progress.route.repeatable,
            prompt_parts=self._progress.prompt.parts,
            new_tokens=context.placer.new_tokens(engine, self._progress.prompt),
            memory_tokens=self._progress.engines.memory_tokens(),
        ) as sent:
            run.exchange = sent.exchange
            self._progress.runs.add(run)
            self._progress.runs.schedule_takeover(run)
            self._progress.stream_count += 1
            # The request counts as run unless the engine reports otherwise.
            self._progress.run_count += 1
            run.ran = True
            try:
                if not await self._relay.receive(caller, run, sent):
                    return False
            except (ExchangeError, Superseded) as failure:
                if run.superseded:
                    # This entry has closed the connection itself.
                    sent.let_go = True
                    raise Superseded from failure
                sent.silence_recorded = run.is_silent
                raise
        context.placer.health.record_success(engine.target)
        return True

    def _spend_retry_after_first_stream(self) -> None:
        if self._progress.stream_count:
            self._progress.spend_retry()


def _may_send_prompt_on(
    run: OpenRun, handle: PromptHandle | None, refusing: list[OpenRun]
) -> bool:
    """Return whether to offer a refused prompt to another engine as it is.

    Prefilling it again takes a retry more, and the time of a prefill.
    """
    return run.refused and handle is not None and len(refusing) < MAX_PROMPT_REFUSALS
