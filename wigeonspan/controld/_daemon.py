"""Control daemon: start, stop and failure handling."""

import asyncio
import random
import signal

from tornado.httpserver import HTTPServer

from wigeonspan.common import (
    Clock,
    SystemClock,
    describe_error,
    keep_running,
    make_metrics,
    part_logger,
    start_unless_stopped,
)
from wigeonspan.controld._build import (
    build_backend,
    build_duties,
    build_log,
    build_routes,
    build_state,
)
from wigeonspan.controld._gauges import send_gauges
from wigeonspan.controld._settings import ControlSettings
from wigeonspan.distribution import Distributor
from wigeonspan.http import make_client
from wigeonspan.operators.service import OperatorServer
from wigeonspan.record.tasks import maintain_record

MAX_CONCURRENT_REQUESTS = 64
"""Concurrent requests to other control hosts; a group has only a few members."""

FAILURE_POLL_INTERVAL_S = 0.2
"""Interval between checks for a failure that makes this daemon exit."""

_log = part_logger("control")


class Daemon:
    """Control daemon of one host: log, state, routes and leader's duties.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this host.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for election timeouts.
    """

    def __init__(
        self, settings: ControlSettings, clock: Clock, rng: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._client = client = make_client(MAX_CONCURRENT_REQUESTS)
        self._state = state = build_state(settings)
        self._log = log = build_log(settings, state, clock, rng, client)
        self._metrics = metrics = make_metrics(settings.metrics)
        self._duties = build_duties(settings, log, state, clock, client, metrics)
        self._http = HTTPServer(build_routes(log, state, self._distributor, clock))
        backend = build_backend(
            settings, log, state, self._distributor, clock, client, metrics
        )
        self._operator_server = OperatorServer(backend, settings.operators)
        self._tasks: list[asyncio.Task[None]] = []
        self._gauges: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the listeners, join the group and start the background tasks."""
        host, _, port = self._settings.address.rpartition(":")
        self._http.listen(int(port), host.strip("[]"))
        await self._log.start()
        await self._operator_server.start()
        self._tasks = [
            asyncio.create_task(self._duties.run()),
            asyncio.create_task(
                keep_running(self._maintain_record, self._on_unexpected_error)
            ),
        ]
        if self._settings.metrics.enabled:
            # Kept out of `_tasks`: the daemon must not exit when only the gauges stop.
            gauges = keep_running(self._send_gauges, self._on_unexpected_error)
            self._gauges = asyncio.create_task(gauges)
        _log.info(
            "Host {} is listening on {}.", self._settings.host, self._settings.address
        )

    async def _maintain_record(self) -> None:
        await maintain_record(self._state.record, self._client, self._other_addresses)

    async def _send_gauges(self) -> None:
        await send_gauges(
            self._metrics, self._log, self._state, self._distributor, self._clock
        )

    def _on_unexpected_error(self, error: Exception) -> None:
        _log.error("Unexpected error, continuing: {}.", describe_error(error))
        self._metrics.count("unexpected_errors")

    async def wait_failed(self) -> None:
        """Return when the log, the state or a background task has failed or ended."""
        disk = asyncio.create_task(self._log.wait_until_failed())
        try:
            while not disk.done() and not any(task.done() for task in self._tasks):
                if self._state.failure is not None:
                    _log.critical(
                        "The replicated state failed: {}.", self._state.failure
                    )
                    return
                await asyncio.sleep(FAILURE_POLL_INTERVAL_S)
        finally:
            disk.cancel()

    async def stop(self) -> None:
        """Finish operators' calls, hand over leadership and stop."""
        _log.info("Host {} is stopping.", self._settings.host)
        await self._operator_server.stop()
        tasks = [*self._tasks, *([self._gauges] if self._gauges else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The log hands over leadership through the HTTP server, so stop that last.
        await self._log.stop()
        try:
            await asyncio.to_thread(self._state.record.flush)
        except OSError as error:
            _log.error(
                "Cannot flush the record; its newest entries are only in the log: {}.",
                error,
            )
        self._http.stop()
        await self._http.close_all_connections()
        self._client.close()
        _log.info("Host {} has stopped.", self._settings.host)

    def _distributor(self) -> Distributor | None:
        return self._duties.distributor

    def _other_addresses(self) -> list[str]:
        """Return the addresses of the other members, with the leader's first."""
        leader = self._log.leader
        others = [m for m in self._log.members if m.name != self._settings.host]
        others.sort(key=lambda m: leader is None or m.name != leader.name)
        return [member.address for member in others]


async def run_daemon(settings: ControlSettings) -> None:
    """Run a control daemon until SIGTERM, SIGINT or a fatal failure.

    Exits with status 1 after a failure.
    """
    daemon = Daemon(settings, SystemClock(), random.Random())
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            _log.info("Already stopping; waiting for calls in progress.")
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    # A start on a full disk waits for space, so a signal must be able to end it.
    if not await start_unless_stopped(daemon.start(), stop):
        await daemon.stop()
        return
    failed = asyncio.create_task(daemon.wait_failed())
    failed.add_done_callback(lambda _: stop.set())
    await stop.wait()
    has_failed = failed.done()
    failed.cancel()
    await daemon.stop()
    if has_failed:
        raise SystemExit(1)
