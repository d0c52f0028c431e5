"""Wiring of the control daemon."""

import asyncio
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from wigeonspan.calls import CloseCall, OpenCall
from wigeonspan.catalog import Member
from wigeonspan.common import Clock, SystemClock, part_logger
from wigeonspan.consensus import BootstrapMember, LogTask, ReplicatedLog
from wigeonspan.controld._backend import Backend
from wigeonspan.controld._duties import (
    Duty,
    LeaderDuties,
    expire_calls,
    register_members,
)
from wigeonspan.controld._handlers import (
    CLOSE_CALL_PATH,
    OPEN_CALL_PATH,
    CallHandler,
)
from wigeonspan.controld._settings import ControlSettings
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor
from wigeonspan.distribution.tasks import SYNC_PATH, SyncHandler
from wigeonspan.http import make_client
from wigeonspan.operators.service import OperatorServer

MAX_CLIENTS = 64
"""Requests to other control hosts at once; a group has a handful of members."""

_log = part_logger("control")


class Daemon:
    """One control host: its log, state, routes and duties.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this host.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for election timeouts.
    """

    def __init__(
        self, settings: ControlSettings, clock: Clock, rng: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._client = make_client(MAX_CLIENTS)
        self._state = ControlState()
        self._log = build_log(settings, self._state, clock, rng, self._client)
        self._duties = build_duties(settings, self._log, self._state, clock)
        self._backend = build_backend(
            settings, self._log, self._state, lambda: self._duties.distributor, clock
        )
        self._http = HTTPServer(
            build_routes(
                self._log, lambda: self._duties.distributor, clock, self._log.handlers()
            )
        )
        self._operators = OperatorServer(self._backend, settings.operators)
        self._duties_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, join the group and begin to serve."""
        host, _, port = self._settings.address.rpartition(":")
        self._http.listen(int(port), host.strip("[]"))
        await self._log.start()
        await self._operators.start()
        self._duties_task = asyncio.create_task(self._duties.run())
        _log.info("Host {} serves on {}.", self._settings.host, self._settings.address)

    async def wait_failed(self) -> None:
        """Return when this host can no longer vote because its disk failed."""
        await self._log.wait_failed()

    async def stop(self) -> None:
        """Hand over and stop; calls in progress end first."""
        _log.info("Host {} stops.", self._settings.host)
        await self._operators.stop()
        if self._duties_task is not None:
            self._duties_task.cancel()
            await asyncio.gather(self._duties_task, return_exceptions=True)
        # The log hands leadership over through the HTTP server, so that stops last.
        await self._log.stop()
        self._http.stop()
        await self._http.close_all_connections()
        self._client.close()
        _log.info("Host {} has stopped.", self._settings.host)


def build_log(
    settings: ControlSettings,
    state: ControlState,
    clock: Clock,
    rng: random.Random,
    client: Any,
) -> LogTask:
    """Return the replicated log of this host."""
    first = [
        BootstrapMember(member.host, member.address, member.domain)
        for member in settings.members
    ]
    return LogTask(
        settings.host,
        settings.address,
        settings.domain,
        first,
        Path(settings.data_folder) / "log",
        state,
        clock,
        rng,
        client,
    )


def build_duties(
    settings: ControlSettings, log: ReplicatedLog, state: ControlState, clock: Clock
) -> LeaderDuties:
    """Return the duties of a leader."""
    operators = {member.host: member.operators for member in settings.members}

    def operators_address(member: Member) -> str:
        known = state.catalog.get("member", member.name)
        if isinstance(known, Member) and known.operators_address:
            return known.operators_address
        return member.operators_address or operators.get(member.name, "")

    def duties(distributor: Distributor) -> dict[str, Duty]:
        return {
            "members": register_members(log, state.catalog, operators_address, clock),
            "calls": expire_calls(log, state.calls, clock),
        }

    return LeaderDuties(log, state.catalog, clock, duties)


def build_backend(
    settings: ControlSettings,
    log: ReplicatedLog,
    state: ControlState,
    distributor: Callable[[], Distributor | None],
    clock: Clock,
) -> Backend:
    """Return the operators' view of this host."""
    operators = {member.host: member.operators for member in settings.members}
    return Backend(settings.host, log, state.catalog, distributor, operators, clock)


def build_routes(
    log: ReplicatedLog,
    distributor: Callable[[], Distributor | None],
    clock: Clock,
    log_routes: list[Any],
) -> Application:
    """Return the internal HTTP routes."""
    sync = {"log": log, "distributor": distributor, "clock": clock}
    opened = {"kind": OpenCall, "log": log, "clock": clock}
    closed = {"kind": CloseCall, "log": log, "clock": clock}
    routes = [
        (SYNC_PATH, SyncHandler, sync),
        (OPEN_CALL_PATH, CallHandler, opened),
        (CLOSE_CALL_PATH, CallHandler, closed),
    ]
    return Application([*log_routes, *routes], log_function=lambda handler: None)


async def run_daemon(settings: ControlSettings) -> None:
    """Run a control host until it is told to stop."""
    daemon = Daemon(settings, SystemClock(), random.Random())
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            _log.info("Already stopping; calls in progress end first.")
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await daemon.start()
    failed = asyncio.create_task(daemon.wait_failed())
    failed.add_done_callback(lambda _: stop.set())
    await stop.wait()
    await daemon.stop()
    if failed.done():
        raise SystemExit(1)
    failed.cancel()
