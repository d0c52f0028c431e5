"""Poller of load reports and cache events, which also probes ejected engines."""

import asyncio
import random
from typing import Protocol

from msgspec import Struct

from wigeonspan.catalog import Engine
from wigeonspan.common import Clock, EngineId, WigeonspanError, part_logger
from wigeonspan.engines._client import EngineClient
from wigeonspan.engines._messages import CacheEvents, LoadReport

_log = part_logger("engines")


class PollSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the rate of polls.

    Parameters
    ----------
    interval_s : float
        Shortest time between two polls of one engine.
    max_polls_per_s : float
        Limit for all engines together. It bounds the cost for the entry: in a larger
        fleet, each engine is polled less often.
    """

    interval_s: float = 0.5
    max_polls_per_s: float = 100.0


class PollSink(Protocol):
    """Receiver of the poll results, for example the router."""

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record a load report."""
        ...

    def record_cache_events(
        self, engine: EngineId, events: CacheEvents, now: float
    ) -> None:
        """Record cache events."""
        ...

    def last_cache_event_seq(self, engine: EngineId) -> int:
        """Return the sequence number after which to request cache events."""
        ...

    def probe_targets(self, now: float) -> list[EngineId]:
        """Return ejected engines that are due for a probe."""
        ...

    def record_probe(self, engine: EngineId, ok: bool, now: float) -> None:
        """Record the result of a probe."""
        ...


class EnginePoller:
    """Polls the engines in turn.

    Parameters
    ----------
    client : EngineClient
        Client to use.
    sink : PollSink
        Receives the results.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter, so that entries do not poll at the same times.
    settings : PollSettings
        Limits on the rate of polls.
    """

    def __init__(
        self,
        client: EngineClient,
        sink: PollSink,
        clock: Clock,
        rng: random.Random,
        settings: PollSettings | None = None,
    ) -> None:
        self._client = client
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._settings = settings or PollSettings()
        self._addresses: dict[EngineId, str] = {}
        self._tasks: dict[EngineId, asyncio.Task[None]] = {}

    def update_engines(self, engines: list[Engine]) -> None:
        """Replace the list of engines that are polled."""
        self._addresses = {engine.name: engine.address for engine in engines}

    async def run(self) -> None:
        """Poll the engines until cancelled."""
        try:
            while True:
                await self._poll_all()
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def poll(self, engine: EngineId, address: str) -> None:
        """Fetch the load report and the cache events of one engine."""
        try:
            report = await self._client.load(address)
            if report.engine != engine:
                _log.warning(
                    "The engine at address {} reports the name {}.",
                    address,
                    report.engine,
                )
                return
            self._sink.record_load(report, self._clock.now())
            after = self._sink.last_cache_event_seq(engine)
            events = await self._client.cache_events(address, after)
            self._sink.record_cache_events(engine, events, self._clock.now())
        except WigeonspanError as error:
            _log.debug("Polling engine {} failed: {}.", engine, error)

    async def probe(self, engine: EngineId, address: str) -> None:
        """Fetch the state of an ejected engine and record whether it is reachable."""
        try:
            state = await self._client.state(address)
            ok = state.engine == engine
        except WigeonspanError:
            ok = False
        self._sink.record_probe(engine, ok, self._clock.now())

    async def _poll_all(self) -> None:
        """Start a poll of each engine, spread over the interval, and the due probes."""
        engines = list(self._addresses.items())
        for engine in self._sink.probe_targets(self._clock.now()):
            if engine in self._addresses:
                self._start_task(engine, self.probe(engine, self._addresses[engine]))
        interval_s = max(
            self._settings.interval_s, len(engines) / self._settings.max_polls_per_s
        )
        interval_s *= self._rng.uniform(0.9, 1.1)
        if not engines:
            await asyncio.sleep(interval_s)
        for engine, address in engines:
            self._start_task(engine, self.poll(engine, address))
            await asyncio.sleep(interval_s / len(engines))

    def _start_task(self, engine: EngineId, coroutine: "asyncio.Coroutine") -> None:
        if engine in self._tasks:
            # The previous poll has not ended. Another one would add load to an engine
            # that is slow already.
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self._tasks[engine] = task
        task.add_done_callback(lambda _: self._tasks.pop(engine, None))
