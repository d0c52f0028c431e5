"""Attempts of a completion on engines."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.common import AttemptId, EngineId, WigeonspanError
from wigeonspan.engines import CompletionExtension, KvImportRequest, RunPhase
from wigeonspan.engines.tasks import EngineStream
from wigeonspan.entryd._completion_job import CompletionJob, RelayContext
from wigeonspan.entryd._requests import engine_fields
from wigeonspan.routing import AttemptEnd, AttemptResult, EngineRoute, RouteRequest
from wigeonspan.streams import (
    ResumePoint,
    StreamFault,
    StreamTracker,
    Token,
    TokenFrame,
    TrackerResult,
)

FIRST_TOKEN_FACTOR = 3.0
"""An attempt fails when its first token takes longer than this multiple of the expected
time, which is computed from reports that may be out of date."""

_CONNECTION_FAULTS = frozenset({StreamFault.SILENT, StreamFault.STALLED})

_CANCEL_FAULTS = frozenset(
    {
        StreamFault.SILENT,
        StreamFault.STALLED,
        StreamFault.GARBAGE,
        StreamFault.POSITION,
        StreamFault.COUNT,
    }
)


class AttemptOutcome(Struct, frozen=True):
    """Result of an attempt.

    Parameters
    ----------
    tracker_result : TrackerResult
        Last result of the tracker: a fault, a pause or the complete response.
    status : int
        HTTP status of the engine, 0 when there was none.
    message : str
        Error message of the engine or the connection.
    stale_connection : bool
        Whether nothing was received over a reused connection. The connection may have
        died while it was idle, so this does not count as a failure of the engine.
    """

    tracker_result: TrackerResult
    status: int = 0
    message: str = ""
    stale_connection: bool = False


class _Stage(Struct, frozen=True):
    """Part of an attempt that one engine runs: prefill, decode or both."""

    attempt: AttemptId
    engine: EngineId
    address: str
    phase: RunPhase
    kv_handle: str = ""
    decode_engine: EngineId | None = None


class _Listener:
    """Stream listener that passes the events of one attempt to the tracker."""

    def __init__(
        self,
        attempt: AttemptId,
        tracker: StreamTracker,
        now: Callable[[], float],
        on_token: Callable[[Token], None],
    ) -> None:
        self._attempt = attempt
        self._tracker = tracker
        self._now = now
        self._on_token = on_token
        self.ended: asyncio.Future[AttemptOutcome] = asyncio.Future()

    def on_frame(self, frame: TokenFrame) -> None:
        """Handle a chunk."""
        tracker_result = self._tracker.on_frame(frame, self._attempt, self._now())
        if tracker_result.token is not None:
            self._on_token(tracker_result.token)
        if tracker_result.fault is not None or tracker_result.pause:
            self.end(AttemptOutcome(tracker_result, 200))

    def on_comment(self) -> None:
        """Handle a keep-alive comment."""
        self._tracker.on_comment(self._attempt, self._now())

    def on_end_marker(self) -> None:
        """Handle the end marker."""
        tracker_result = self._tracker.on_end_marker(self._attempt, self._now())
        if tracker_result.complete or tracker_result.fault is not None:
            self.end(AttemptOutcome(tracker_result, 200))

    def on_ended(self, fault: StreamFault, status: int, message: str) -> None:
        """Handle the end of the connection."""
        tracker_result = self._tracker.on_ended(self._attempt, fault)
        if tracker_result.fault is not None:
            self.end(AttemptOutcome(tracker_result, status, message))

    def end(self, outcome: AttemptOutcome) -> None:
        """Set the outcome of the attempt unless it has ended."""
        if not self.ended.done():
            self.ended.set_result(outcome)


class AttemptRunner:
    """Runs the attempts of a job, one at a time, and tracks the response.

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
        self._stage: _Stage | None = None
        self._listener: _Listener | None = None

    @property
    def engine(self) -> EngineId | None:
        """Engine that runs the job now, or None."""
        return self._stage.engine if self._stage is not None else None

    def reroute(self) -> None:
        """End the running stage without a fault, so that another engine continues."""
        if self._listener is not None:
            self._listener.end(AttemptOutcome(TrackerResult(), 200, "moved"))

    async def run(
        self, route: EngineRoute, request: RouteRequest
    ) -> AttemptOutcome | None:
        """Run one attempt on the engines of a route.

        Returns
        -------
        AttemptOutcome or None
            None when the deadline passed first.
        """
        handle = ""
        if route.prefill_engine is not None:
            handle = await self._prefill(route, request)
        phase = RunPhase.DECODE if handle else RunPhase.FULL
        attempt = self._context.next_attempt()
        stage = _Stage(attempt, route.engine, route.address, phase, handle)
        return await self._run_stage(stage, self._tracker, request, route.first_token_s)

    async def _prefill(self, route: EngineRoute, request: RouteRequest) -> str:
        """Compute the prompt on the prefill engine and transfer its KV cache.

        Returns
        -------
        str
            Handle of the KV cache on the decode engine. It is empty when a step failed;
            the decode engine then computes the prompt itself.
        """
        assert route.prefill_engine is not None
        stage = _Stage(
            self._context.next_attempt(),
            route.prefill_engine,
            route.prefill_address,
            RunPhase.PREFILL,
            decode_engine=route.engine,
        )
        start = ResumePoint(self._tracker.position, self._tracker.text)
        tracker = StreamTracker(self._context.limits, start)
        outcome = await self._run_stage(stage, tracker, request, route.first_token_s)
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

    async def _run_stage(
        self,
        stage: _Stage,
        tracker: StreamTracker,
        request: RouteRequest,
        first_token_s: float,
    ) -> AttemptOutcome | None:
        """Run one stage on its engine and report it to the router."""
        context = self._context
        if not context.has_lease() or not context.accepts_new_work(stage.engine):
            # The lease and the engine's phase can change during the prefill.
            tracker_result = TrackerResult(fault=StreamFault.REFUSED)
            return AttemptOutcome(tracker_result, 0, "the engine accepts no new work")
        now = context.clock.now()
        point = tracker.begin(stage.attempt, now, FIRST_TOKEN_FACTOR * first_token_s)

        def on_token(token: Token) -> None:
            # The router estimates rates from the times of the first and last token.
            tokens = token.position + 1 - point.position
            context.router.record_progress(stage.attempt, tokens, context.clock.now())
            self._on_token(token)

        listener = _Listener(stage.attempt, tracker, context.clock.now, on_token)
        context.router.record_start(
            stage.attempt,
            stage.engine,
            request,
            now,
            decode_engine=stage.decode_engine,
            prefilled=bool(stage.kv_handle),
        )
        self._stage, self._listener = stage, listener
        context.target_limits.record_sent(stage.address)
        result = AttemptResult.CANCELLED
        stream = context.engines.stream(
            stage.address,
            engine_fields(self._job.body, self._job.model),
            self._extension(stage, point, now),
            listener,
            self._use_fresh_connection,
        )
        outcome = None
        try:
            outcome = await self._wait_for_end(listener, tracker, stream)
            result = _attempt_result(outcome)
        finally:
            self._stage = self._listener = None
            tracker.abandon(stage.attempt)
            self._end_stream(stage, stream, outcome)
            context.router.record_end(
                stage.attempt, AttemptEnd(result), context.clock.now()
            )
        return outcome

    def _extension(
        self, stage: _Stage, point: ResumePoint, now: float
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

    async def _wait_for_end(
        self, listener: _Listener, tracker: StreamTracker, stream: EngineStream
    ) -> AttemptOutcome | None:
        """Wait until the attempt ends, times out, or reaches the deadline.

        Returns
        -------
        AttemptOutcome or None
            None when the deadline passed first.
        """
        clock = self._context.clock
        while True:
            due = min(tracker.next_check, self._job.deadline)
            wait_s = max(0.0, due - clock.now())
            await asyncio.wait({listener.ended}, timeout=wait_s)
            if listener.ended.done():
                return listener.ended.result()
            now = clock.now()
            if now >= self._job.deadline:
                return None
            tracker_result = tracker.check(now)
            if tracker_result.fault is not None:
                stale = tracker_result.fault is StreamFault.SILENT and stream.reused
                # Other idle connections to the engine may be dead, too.
                self._use_fresh_connection |= stale
                return AttemptOutcome(
                    tracker_result, 0, "no token arrived in time", stale
                )

    def _end_stream(
        self, stage: _Stage, stream: EngineStream, outcome: AttemptOutcome | None
    ) -> None:
        """Keep the connection after a complete response; close it otherwise."""
        if outcome is not None and outcome.tracker_result.complete:
            stream.release()
            return
        stream.close()
        fault = outcome.tracker_result.fault if outcome is not None else None
        if fault in _CONNECTION_FAULTS:
            self._context.engines.avoid_idle_connections(stage.address)
        if fault is None or fault in _CANCEL_FAULTS:
            # The engine may not notice that a dead connection was closed.
            self._context.engines.cancel_later(stage.address, stage.attempt)


def _attempt_result(outcome: AttemptOutcome | None) -> AttemptResult:
    if outcome is not None and outcome.tracker_result.complete:
        return AttemptResult.OK
    has_fault = outcome is not None and outcome.tracker_result.fault is not None
    if has_fault and not outcome.stale_connection:
        return AttemptResult.FAILED
    return AttemptResult.CANCELLED
