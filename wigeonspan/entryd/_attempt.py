"""One attempt of a completion on one engine."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.common import AttemptId, EngineId, WigeonspanError
from wigeonspan.engines import Extension, KvImportRequest, RunPhase
from wigeonspan.engines.tasks import EngineStream
from wigeonspan.entryd._job import CompletionJob, RelayParts
from wigeonspan.entryd._requests import engine_fields
from wigeonspan.routing import AttemptEnd, AttemptResult, Route, RouteRequest
from wigeonspan.streams import (
    ResumePoint,
    StreamFault,
    StreamTracker,
    Token,
    TokenFrame,
    TrackerResult,
)

FIRST_TOKEN_FACTOR = 3.0
"""An attempt may take this many times the expected time until its first token, since
the expectation rests on reports that lag."""

_CONNECTION_LOST = frozenset({StreamFault.SILENT, StreamFault.STALLED})

_CANCEL_NEEDED = frozenset(
    {
        StreamFault.SILENT,
        StreamFault.STALLED,
        StreamFault.GARBAGE,
        StreamFault.POSITION,
        StreamFault.COUNT,
    }
)


class AttemptOutcome(Struct, frozen=True):
    """How an attempt ended.

    Parameters
    ----------
    tracker_result : TrackerResult
        Last result of the tracker: a fault, a pause or the whole answer.
    status : int
        HTTP status of the engine, 0 when there was none.
    message : str
        What the engine or the connection reported.
    stale_connection : bool
        Whether nothing came over a connection that was open before. The connection
        may have died while it was idle, which says nothing about the engine.
    """

    tracker_result: TrackerResult
    status: int = 0
    message: str = ""
    stale_connection: bool = False


class _Stage(Struct, frozen=True):
    """What one engine is asked to run."""

    attempt: AttemptId
    engine: EngineId
    address: str
    phase: RunPhase
    kv_handle: str = ""
    decode_engine: EngineId | None = None


class _Listener:
    """Passes the events of one attempt to the tracker."""

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
        """Take a chunk."""
        tracker_result = self._tracker.on_frame(frame, self._attempt, self._now())
        if tracker_result.token is not None:
            self._on_token(tracker_result.token)
        if tracker_result.fault is not None or tracker_result.pause:
            self.end(AttemptOutcome(tracker_result, 200))

    def on_comment(self) -> None:
        """Take a keep-alive comment."""
        self._tracker.on_comment(self._attempt, self._now())

    def on_end_marker(self) -> None:
        """Take the end marker."""
        tracker_result = self._tracker.on_end_marker(self._attempt, self._now())
        if tracker_result.complete or tracker_result.fault is not None:
            self.end(AttemptOutcome(tracker_result, 200))

    def on_ended(self, fault: StreamFault, status: int, message: str) -> None:
        """Take the end of the connection."""
        tracker_result = self._tracker.on_ended(self._attempt, fault)
        if tracker_result.fault is not None:
            self.end(AttemptOutcome(tracker_result, status, message))

    def end(self, outcome: AttemptOutcome) -> None:
        """End the attempt unless it has ended."""
        if not self.ended.done():
            self.ended.set_result(outcome)


class Attempt:
    """Runs a job on a route and follows it with a tracker.

    Parameters
    ----------
    parts : RelayParts
        Shared parts.
    job : CompletionJob
        The request.
    tracker : StreamTracker
        State of the answer.
    on_token : callable
        Takes each token.
    """

    def __init__(
        self,
        parts: RelayParts,
        job: CompletionJob,
        tracker: StreamTracker,
        on_token: Callable[[Token], None],
    ) -> None:
        self._parts = parts
        self._job = job
        self._tracker = tracker
        self._on_token = on_token
        self._fresh = False
        self._stage: _Stage | None = None
        self._listener: _Listener | None = None

    @property
    def engine(self) -> EngineId | None:
        """Engine that runs the job now."""
        return self._stage.engine if self._stage is not None else None

    def move(self) -> None:
        """End the running stage without a fault, so that another engine continues."""
        if self._listener is not None:
            self._listener.end(AttemptOutcome(TrackerResult(), 200, "moved"))

    async def run(self, route: Route, request: RouteRequest) -> AttemptOutcome | None:
        """Run until the attempt ends.

        Returns
        -------
        AttemptOutcome or None
            None when the deadline came first.
        """
        handle = ""
        if route.prefill_engine is not None:
            handle = await self._prefill(route, request)
        phase = RunPhase.DECODE if handle else RunPhase.FULL
        attempt = self._parts.next_attempt()
        stage = _Stage(attempt, route.engine, route.address, phase, handle)
        return await self._follow(stage, self._tracker, request, route.first_token_s)

    async def _prefill(self, route: Route, request: RouteRequest) -> str:
        """Run the prompt on the prefill engine and move its KV cache.

        Returns
        -------
        str
            Handle at the decode engine; empty when any step failed, since the decode
            engine can run the prompt itself.
        """
        assert route.prefill_engine is not None
        stage = _Stage(
            self._parts.next_attempt(),
            route.prefill_engine,
            route.prefill_address,
            RunPhase.PREFILL,
            decode_engine=route.engine,
        )
        start = ResumePoint(self._tracker.position, self._tracker.text)
        tracker = StreamTracker(self._parts.limits, start)
        outcome = await self._follow(stage, tracker, request, route.first_token_s)
        if outcome is None or not outcome.tracker_result.complete:
            return ""
        engines = self._parts.engines
        try:
            exported = await engines.export_kv(stage.address, stage.attempt)
            message = KvImportRequest(stage.address, exported.handle)
            return (await engines.import_kv(route.address, message)).handle
        except WigeonspanError:
            self._parts.metrics.count("kv_transfer_failed")
            return ""

    async def _follow(
        self,
        stage: _Stage,
        tracker: StreamTracker,
        request: RouteRequest,
        first_token_s: float,
    ) -> AttemptOutcome | None:
        """Run one stage on one engine."""
        parts = self._parts
        if not parts.has_lease() or not parts.may_use(stage.engine):
            # Both can end while a prompt runs on the prefill engine.
            tracker_result = TrackerResult(fault=StreamFault.REFUSED)
            return AttemptOutcome(tracker_result, 0, "the engine takes no new work")
        now = parts.clock.now()
        point = tracker.begin(stage.attempt, now, FIRST_TOKEN_FACTOR * first_token_s)

        def on_token(token: Token) -> None:
            # The router learns rates from the times of the first and the last token.
            tokens = token.position + 1 - point.position
            parts.router.record_progress(stage.attempt, tokens, parts.clock.now())
            self._on_token(token)

        listener = _Listener(stage.attempt, tracker, parts.clock.now, on_token)
        parts.router.record_start(
            stage.attempt,
            stage.engine,
            request,
            now,
            decode_engine=stage.decode_engine,
            prefilled=bool(stage.kv_handle),
        )
        self._stage, self._listener = stage, listener
        result = AttemptResult.CANCELLED
        stream = parts.engines.stream(
            stage.address,
            engine_fields(self._job.body, self._job.model),
            self._extension(stage, point, now),
            listener,
            self._fresh,
        )
        outcome = None
        try:
            outcome = await self._watch(listener, tracker, stream)
            result = _result(outcome)
        finally:
            self._stage = self._listener = None
            tracker.abandon(stage.attempt)
            self._end_stream(stage, stream, outcome)
            parts.router.record_end(
                stage.attempt, AttemptEnd(result), parts.clock.now()
            )
        return outcome

    def _extension(self, stage: _Stage, point: ResumePoint, now: float) -> Extension:
        return Extension(
            attempt=stage.attempt,
            priority=self._job.priority,
            deadline_ms=max(1, round((self._job.deadline - now) * 1000)),
            resume_position=point.position,
            resume_text=point.text,
            kv_handle=stage.kv_handle,
            phase=stage.phase,
        )

    async def _watch(
        self, listener: _Listener, tracker: StreamTracker, stream: EngineStream
    ) -> AttemptOutcome | None:
        """Wait for the end of the attempt, its timers, or the deadline."""
        clock = self._parts.clock
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
                # Other idle connections may be dead as well.
                self._fresh |= stale
                return AttemptOutcome(tracker_result, 0, "no token came in time", stale)

    def _end_stream(
        self, stage: _Stage, stream: EngineStream, outcome: AttemptOutcome | None
    ) -> None:
        """Keep the connection after a whole answer, otherwise close it."""
        if outcome is not None and outcome.tracker_result.complete:
            stream.release()
            return
        stream.close()
        fault = outcome.tracker_result.fault if outcome is not None else None
        if fault in _CONNECTION_LOST:
            self._parts.engines.avoid_idle_connections(stage.address)
        if fault is None or fault in _CANCEL_NEEDED:
            # The close may never reach an engine behind a dead connection.
            self._parts.engines.cancel_later(stage.address, stage.attempt)


def _result(outcome: AttemptOutcome | None) -> AttemptResult:
    if outcome is not None and outcome.tracker_result.complete:
        return AttemptResult.OK
    blamed = outcome is not None and outcome.tracker_result.fault is not None
    if blamed and not outcome.stale_connection:
        return AttemptResult.FAILED
    return AttemptResult.CANCELLED
