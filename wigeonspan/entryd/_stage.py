"""Stages of the attempts of a completion, each of which runs on one engine."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.common import AttemptId, EngineId
from wigeonspan.engines import RunPhase
from wigeonspan.engines.tasks import EngineStream
from wigeonspan.streams import (
    StreamFault,
    StreamTracker,
    Token,
    TokenFrame,
    TrackerResult,
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
    """

    tracker_result: TrackerResult
    status: int = 0
    message: str = ""


class Stage(Struct, frozen=True):
    """Part of an attempt that one engine runs: prefill, decode or both."""

    attempt: AttemptId
    engine: EngineId
    address: str
    phase: RunPhase
    kv_handle: str = ""
    decode_engine: EngineId | None = None


class Silence(Struct, frozen=True):
    """A timeout of an attempt that goes on.

    Parameters
    ----------
    fault : StreamFault
        Which timeout has expired.
    stale_connection : bool
        Whether the attempt uses a connection that was already open. The connection may
        have died while it was idle, so this is no silence of the engine.
    is_new : bool
        Whether it is the first timeout since the last token of the attempt.
    """

    fault: StreamFault
    stale_connection: bool
    is_new: bool


class StageListener:
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


class RunningStage(Struct, frozen=True, eq=False):
    """Stage in progress."""

    stage: Stage
    tracker: StreamTracker
    listener: StageListener
    stream: EngineStream
