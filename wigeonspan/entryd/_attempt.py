"""Attempts of a completion on engines."""

import asyncio
from collections.abc import Callable

from wigeonspan.common import AttemptId, EngineId, WigeonspanError
from wigeonspan.engines import CompletionExtension, KvImportRequest, RunPhase
from wigeonspan.entryd._completion_job import CompletionJob, RelayContext
from wigeonspan.entryd._requests import engine_fields
from wigeonspan.entryd._stage import (
    AttemptOutcome,
    RunningStage,
    Silence,
    Stage,
    StageListener,
)
from wigeonspan.routing import AttemptEnd, AttemptResult, EngineRoute, RouteRequest
from wigeonspan.streams import (
    ResumePoint,
    StreamFault,
    StreamTracker,
    Token,
    TrackerResult,
)

FIRST_TOKEN_FACTOR = 3.0
"""An engine counts as silent when its first token takes longer than this multiple of
the expected time, which is computed from reports that may be out of date."""

_SILENCE_FAULTS = frozenset({StreamFault.SILENT, StreamFault.STALLED})

_CANCEL_FAULTS = _SILENCE_FAULTS | {
    StreamFault.GARBAGE,
    StreamFault.POSITION,
    StreamFault.COUNT,
}


class AttemptRunner:
    """Runs the attempts of a job and tracks the response.

    One attempt runs at a time, or a silent one and its successor. When one of them has
    a new token, the other one ends without a fault.

    Parameters
    ----------
    context : RelayContext
        State that all relays share.
    job : CompletionJob
        The request.
    tracker : StreamTracker
        State of the response.
    on_token : callable
        Called with each token.
    """

    def __init__(
        self,
        context: RelayContext,
        job: CompletionJob,
        tracker: StreamTracker,
        on_token: Callable[[Token], None],
    ) -> None:
        self._context = context
        self._job = job
        self._tracker = tracker
        self._on_token = on_token
        self._use_fresh_connection = False
        # The newest stage is the last one.
        self._running: list[RunningStage] = []
        # Attempt and position of the last silence.
        self._silent_since: tuple[AttemptId, int] | None = None

    @property
    def engine(self) -> EngineId | None:
        """Engine that runs the newest attempt now, or None."""
        return self._running[-1].stage.engine if self._running else None

    @property
    def newest_connected(self) -> bool:
        """Whether the engine of the newest attempt may have received the request."""
        return bool(self._running) and self._running[-1].stream.connected

    def reroute(self) -> None:
        """End the newest stage without a fault, so that another engine continues."""
        if self._running:
            self._end_without_fault(self._running[-1], "moved")

    def end_silent(self) -> None:
        """End all attempts but the newest one without a fault."""
        if not self._running or self._running[-1].listener.ended.done():
            # The newest attempt has just ended, so a silent one may be needed.
            return
        for running in self._running[:-1]:
            self._end_without_fault(running, "superseded")

    def check_silence(self) -> Silence | None:
        """Return whether a timeout of the newest attempt has expired.

        The attempt goes on. The router keeps new work away from an engine that is
        silent repeatedly.
        """
        context, now = self._context, self._context.clock.now()
        fault = self._tracker.check_silence(now)
        if fault is None:
            return None
        newest = self._running[-1]
        stale = fault is StreamFault.SILENT and newest.stream.reused
        # Other idle connections to the engine may be dead, too.
        self._use_fresh_connection |= stale
        context.engines.avoid_idle_connections(newest.stage.address)
        silent_since = (newest.stage.attempt, self._tracker.position)
        is_new = silent_since != self._silent_since
        self._silent_since = silent_since
        if is_new and not stale:
            context.router.record_silence(newest.stage.attempt, now)
        return Silence(fault, stale, is_new)

    def start(
        self, route: EngineRoute, request: RouteRequest, *, beside_silent: bool = False
    ) -> "asyncio.Task[AttemptOutcome | None]":
        """Start one attempt on the engines of a route.

        Parameters
        ----------
        beside_silent : bool
            Whether the attempt is the successor of a silent one that goes on. It skips
            the prefill engine: the silent attempt ends soon after its successor has
            begun, so the only engine that may refuse must do so at once.

        Returns
        -------
        asyncio.Task
            Its result is None when the deadline passed first.
        """
        if route.prefill_engine is not None and not beside_silent:
            return asyncio.create_task(self._run_with_prefill(route, request))
        stage = self._last_stage(route, "")
        begun = self._begin_stage(
            stage, self._tracker, request, route.first_token_s, beside_silent
        )
        return asyncio.create_task(self._finish_stage(begun))

    def _last_stage(self, route: EngineRoute, kv_handle: str) -> Stage:
        """Return the stage that generates the output."""
        phase = RunPhase.DECODE if kv_handle else RunPhase.FULL
        attempt = self._context.next_attempt()
        return Stage(attempt, route.engine, route.address, phase, kv_handle)

    async def _run_with_prefill(
        self, route: EngineRoute, request: RouteRequest
    ) -> AttemptOutcome | None:
        stage = self._last_stage(route, await self._prefill(route, request))
        begun = self._begin_stage(stage, self._tracker, request, route.first_token_s)
        return await self._finish_stage(begun)

    async def _prefill(self, route: EngineRoute, request: RouteRequest) -> str:
        """Compute the prompt on the prefill engine and transfer its KV cache.

        Returns
        -------
        str
            Handle of the KV cache on the decode engine. It is empty when a step failed;
            the decode engine then computes the prompt itself.
        """
        assert route.prefill_engine is not None
        stage = Stage(
            self._context.next_attempt(),
            route.prefill_engine,
            route.prefill_address,
            RunPhase.PREFILL,
            decode_engine=route.engine,
        )
        start = ResumePoint(self._tracker.position, self._tracker.text)
        tracker = StreamTracker(self._context.limits, start)
        begun = self._begin_stage(stage, tracker, request, route.first_token_s)
        outcome = await self._finish_stage(begun)
        if outcome is None or not outcome.tracker_result.complete:
            return ""
        engines = self._context.engines
        try:
            exported = await engines.export_kv(stage.address, stage.attempt)
            message = KvImportRequest(stage.address, exported.handle)
            return (await engines.import_kv(route.address, message)).handle
        except WigeonspanError:
            self._context.metrics.count("kv_transfer_failed")
            return ""

    def _begin_stage(
        self,
        stage: Stage,
        tracker: StreamTracker,
        request: RouteRequest,
        first_token_s: float,
        beside_silent: bool = False,
    ) -> RunningStage | AttemptOutcome:
        """Begin one stage on its engine; return the outcome if it may not begin."""
        context = self._context
        if not context.has_lease() or not context.accepts_new_work(stage.engine):
            # The lease and the engine's phase can change during the prefill.
            tracker_result = TrackerResult(fault=StreamFault.REFUSED)
            return AttemptOutcome(tracker_result, 0, "the engine accepts no new work")
        now = context.clock.now()
        point = tracker.begin(
            stage.attempt,
            now,
            FIRST_TOKEN_FACTOR * first_token_s,
            beside_silent=beside_silent,
        )

        def on_token(token: Token) -> None:
            # The router estimates rates from the times of the first and last token.
            tokens = token.position + 1 - point.position
            context.router.record_progress(stage.attempt, tokens, context.clock.now())
            if len(self._running) > 1:
                self._end_others(stage.attempt)
            self._on_token(token)

        listener = StageListener(stage.attempt, tracker, context.clock.now, on_token)
        context.router.record_start(
            stage.attempt,
            stage.engine,
            request,
            now,
            decode_engine=stage.decode_engine,
            prefilled=bool(stage.kv_handle),
        )
        context.target_limits.record_sent(stage.address)
        stream = context.engines.stream(
            stage.address,
            engine_fields(self._job.body, self._job.model),
            self._extension(stage, point, now),
            listener,
            self._use_fresh_connection,
        )
        running = RunningStage(stage, tracker, listener, stream)
        self._running.append(running)
        return running

    async def _finish_stage(
        self, running: RunningStage | AttemptOutcome
    ) -> AttemptOutcome | None:
        """Wait until a stage ends and report it to the router."""
        if isinstance(running, AttemptOutcome):
            return running
        context, attempt = self._context, running.stage.attempt
        result = AttemptResult.CANCELLED
        outcome = None
        try:
            outcome = await self._wait_for_end(running)
            result = _attempt_result(outcome)
        finally:
            self._running.remove(running)
            running.tracker.abandon(attempt)
            self._end_stream(running, outcome)
            context.router.record_end(attempt, AttemptEnd(result), context.clock.now())
        return outcome

    def _extension(
        self, stage: Stage, point: ResumePoint, now: float
    ) -> CompletionExtension:
        return CompletionExtension(
            attempt=stage.attempt,
            priority=self._job.priority,
            deadline_ms=max(1, round((self._job.deadline - now) * 1000)),
            resume_position=point.position,
            resume_text=point.text,
            kv_handle=stage.kv_handle,
            phase=stage.phase,
        )

    def _end_others(self, attempt: AttemptId) -> None:
        """End all attempts but one, which has a new token."""
        for running in self._running:
            if running.stage.attempt != attempt:
                self._end_without_fault(running, "superseded")

    def _end_without_fault(self, running: RunningStage, message: str) -> None:
        # Without this, a token that arrives before the attempt's task runs would end
        # the other attempt as well.
        self._tracker.abandon(running.stage.attempt)
        running.listener.end(AttemptOutcome(TrackerResult(), 200, message))

    async def _wait_for_end(self, running: RunningStage) -> AttemptOutcome | None:
        """Wait until the stage ends or reaches the deadline.

        A prefill also ends when it times out, because the decode engine can compute
        the prompt itself. Otherwise the relay checks the timeouts.

        Returns
        -------
        AttemptOutcome or None
            None when the deadline passed first.
        """
        clock, listener = self._context.clock, running.listener
        tracker = running.tracker
        is_prefill = tracker is not self._tracker
        while True:
            due = self._job.deadline
            if is_prefill:
                due = min(due, tracker.next_check)
            wait_s = max(0.0, due - clock.now())
            await asyncio.wait({listener.ended}, timeout=wait_s)
            if listener.ended.done():
                return listener.ended.result()
            now = clock.now()
            if now >= self._job.deadline:
                return None
            if not is_prefill:
                continue
            tracker_result = tracker.check(now)
            if tracker_result.fault is not None:
                silent = tracker_result.fault is StreamFault.SILENT
                stale = silent and running.stream.reused
                # Other idle connections to the engine may be dead, too.
                self._use_fresh_connection |= stale
                if not stale:
                    self._context.router.record_silence(running.stage.attempt, now)
                return AttemptOutcome(tracker_result, 0, "no token arrived in time")

    def _end_stream(
        self, running: RunningStage, outcome: AttemptOutcome | None
    ) -> None:
        """Keep the connection after a complete response; close it otherwise."""
        stage, stream = running.stage, running.stream
        if outcome is not None and outcome.tracker_result.complete:
            stream.release()
            return
        stream.close()
        fault = outcome.tracker_result.fault if outcome is not None else None
        if fault in _SILENCE_FAULTS:
            self._context.engines.avoid_idle_connections(stage.address)
        if fault is None or fault in _CANCEL_FAULTS:
            # The engine may not notice that a dead connection was closed.
            self._context.engines.cancel_later(stage.address, stage.attempt)


def _attempt_result(outcome: AttemptOutcome | None) -> AttemptResult:
    if outcome is not None and outcome.tracker_result.complete:
        return AttemptResult.OK
    fault = outcome.tracker_result.fault if outcome is not None else None
    if fault is None or fault in _SILENCE_FAULTS:
        # A silent engine may be sound.
        return AttemptResult.CANCELLED
    return AttemptResult.FAILED
