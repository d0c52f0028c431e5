"""Runs of one generation at several engines, of which one goes on.

A silent engine may be sound: it is let go only when another one has continued its
stream. Sending the request to a second target while the first may still answer is a
hedged request (Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013).
"""

import asyncio
from collections.abc import Iterator

from wigeonspan.placing import Plan
from wigeonspan.pool import Exchange, Head
from wigeonspan.targets import Target

TAKEOVER_S = 0.3
"""Seconds after which a successor that its engine has not refused takes over even
without an event: two engines must not work on one request for long."""


class Superseded(Exception):
    """The run was let go because a successor has continued its stream."""


class OpenRun:
    """One run of a generation at an engine.

    Parameters
    ----------
    plan : Plan
        Decision that led to the run.
    engine : Target
        Engine that runs it.
    started_at : float
        Monotonic time in seconds at which the request was sent.
    open_streams : int
        Streams that were open at the engine then.
    slot_wait_s : float
        Expected seconds until the engine has a slot and the memory for the stream.
    urgency : int
        Scheduling rank of the stream at the engine.
    """

    def __init__(
        self,
        plan: Plan,
        engine: Target,
        started_at: float,
        *,
        open_streams: int,
        slot_wait_s: float,
        urgency: int,
    ) -> None:
        self.plan = plan
        self.engine = engine
        self.started_at = started_at
        self.open_streams = open_streams
        self.slot_wait_s = slot_wait_s
        self.urgency = urgency
        self.exchange: Exchange | None = None
        self.head: Head | None = None
        self.first_event_at: float | None = None
        # Whether the engine has, or may have, begun to work on the request.
        self.ran = False
        # Whether the engine has answered that it does not run the request.
        self.refused = False
        # Whether it has refused without a reason of its own, so that the prompt may be
        # gone or the engine at fault.
        self.is_suspect = False
        # Runs whose engines have refused the same prefilled prompt.
        self.refused_before: list[OpenRun] = []
        # Search for a successor and its run; None before the engine is silent and
        # after a search without success.
        self.successor: asyncio.Task[None] | None = None
        # Whether the engine has been silent for longer than the limit since its last
        # event, so that a successor was searched.
        self.is_silent = False
        self.superseded = False
        self._takeover: asyncio.TimerHandle | None = None

    def set_takeover(self, timer: asyncio.TimerHandle | None) -> None:
        """Replace the timer at which this run lets the silent runs go."""
        if self._takeover is not None:
            self._takeover.cancel()
        self._takeover = timer

    def supersede(self) -> None:
        """Let the run go: its engine drops the request when the connection closes."""
        self.superseded = True
        if self.exchange is not None:
            self.exchange.abort()

    def drop_successor(self) -> None:
        """Cancel the search for a successor, or the successor's run."""
        successor, self.successor = self.successor, None
        if successor is not None:
            successor.cancel()


class OpenRuns:
    """The open runs of one generation, the oldest first.

    Each run but the oldest is the successor of one that is silent.
    """

    def __init__(self) -> None:
        self._runs: list[OpenRun] = []

    def __len__(self) -> int:
        return len(self._runs)

    def __iter__(self) -> Iterator[OpenRun]:
        return iter(self._runs)

    @property
    def oldest(self) -> OpenRun | None:
        """Run that began first, if any is open."""
        return self._runs[0] if self._runs else None

    def add(self, run: OpenRun) -> None:
        """Add the newest run."""
        self._runs.append(run)

    def remove(self, run: OpenRun) -> None:
        """Remove a run that has ended."""
        run.set_takeover(None)
        if run in self._runs:
            self._runs.remove(run)

    def schedule_takeover(self, run: OpenRun) -> None:
        """Let the silent runs go soon, unless the engine of a successor refuses it."""
        if self._runs and self._runs[0] is not run:
            loop = asyncio.get_running_loop()
            run.set_takeover(loop.call_later(TAKEOVER_S, self.claim, run))

    def claim(self, run: OpenRun) -> None:
        """Continue the stream with one run and let all others go."""
        run.set_takeover(None)
        run.drop_successor()
        older = self._runs[: self._runs.index(run)]
        for other in self._runs:
            if other is not run:
                other.set_takeover(None)
        self._runs = [run]
        for other in older:
            other.supersede()
