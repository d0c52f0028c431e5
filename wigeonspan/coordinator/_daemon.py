"""The control process as a whole."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.web import Application

from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorKind,
    HostId,
    WigeonspanError,
    bind_address,
    keep_running,
    watch_settings,
)
from wigeonspan.consensus import Disk, FolderDisk, LogTask, StorageError
from wigeonspan.coordinator._cache import CommittedCache
from wigeonspan.coordinator._group import JOIN_PATH, Group
from wigeonspan.coordinator._handlers import BeatHandler, JoinHandler, MetricsHandler
from wigeonspan.coordinator._heartbeats import Heartbeats
from wigeonspan.coordinator._membership import Candidate
from wigeonspan.coordinator._settings import CoordinatorSettings
from wigeonspan.fleetconfig import ConfigMachine, StoredConfig, encode_store
from wigeonspan.http import make_client
from wigeonspan.pool import ConnectionPool
from wigeonspan.presence import BEAT_PATH, Beat, BeatReply
from wigeonspan.serving import RequestServer, Serve
from wigeonspan.sharing import Relay
from wigeonspan.staging import Authority, DemandMeter, OrderPort, StagingTask
from wigeonspan.targets import Listing
from wigeonspan.trail import (
    Meters,
    Trail,
    bridge_logs,
    note_errors,
    open_trail,
    watch_loop,
)

MAX_CLIENTS = 64
"""Requests to other control hosts at once; a group has a handful of members."""

HOUSEKEEPING_S = 0.2
"""Seconds between two rounds of housekeeping."""

LISTEN_S = 0.7
"""Seconds after the start in which callers are told nothing yet: entries send a
heartbeat in that time."""

DIRECTORY_KEEP_S = 2.0
"""Seconds for which a caller keeps an answer of the directory; a stopping entry goes on
for three times as long."""

ORDER_WAIT_S = 3.5
"""Seconds for which a new leader gives no orders: the lease of a holder of orders on
the engines, and the time in which an unanswered order's connection ends."""

ORDER_MARGIN_S = 0.3
"""Seconds of the leader's lease that must be left when an order is sent."""

MOST_ADDRESSES = 64
"""Largest number of addresses that callers read."""


class Coordinator:
    """One control host.

    Parameters
    ----------
    make_order_port : callable
        Returns how engines are ordered over a connection pool.
    read_listing : callable
        Reads the list of targets.
    make_disk : callable
        Opens a data folder.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        make_order_port: Callable[[ConnectionPool], OrderPort],
        read_listing: Callable[[ConnectionPool, Trail], Awaitable[Listing]],
        clock: Clock,
        rng: random.Random,
        make_disk: Callable[[str | Path], Disk] = FolderDisk,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._started_at = clock.now()
        self._trail = open_trail(settings.host, clock)
        self._meters = Meters()
        self._note_error = note_errors(self._trail, self._meters)
        self._machine = ConfigMachine()
        self._pool = ConnectionPool(clock)
        self._client = make_client(MAX_CLIENTS)
        name = HostId(settings.address)
        self._log = LogTask(
            name,
            settings.address,
            settings.domain,
            settings.first_voters,
            f"{settings.folder}/log",
            self._machine,
            clock,
            rng,
            self._client,
            make_disk=make_disk,
            observe_write=lambda took_s: self._meters.observe("sync_seconds", took_s),
        )
        candidate = Candidate(name, settings.address, settings.domain, "")
        self._group = Group(
            candidate, self._log, clock, self._pool, self._trail, settings.wanted_voters
        )
        self._group.set_seeds(settings.seeds)
        self._cache = CommittedCache(make_disk(f"{settings.folder}/committed"))
        # Committed configuration for entries, also from before a restart.
        self._committed = self._cache.read()
        meter = DemandMeter()
        self._heartbeats = Heartbeats(settings.address, settings.domain, clock, meter)
        self._staging = StagingTask(
            settings.host,
            clock,
            make_order_port(self._pool),
            self._trail,
            self._authority,
            lambda: read_listing(self._pool, self._trail),
            meter,
            self._meters,
        )
        self._relay = Relay(
            self._heartbeats.relayed_entries, self._heartbeats.other_relays
        )
        self._servers: list[RequestServer] = []
        self._http = HTTPServer(self._internal_routes())
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def stored(self) -> StoredConfig:
        """Committed configuration as far as it is known here."""
        return self._machine.stored

    @property
    def note_error(self) -> Callable[[BaseException], None]:
        """Takes an unexpected error for the log and the metrics."""
        return self._note_error

    async def start(self, serve_control: Serve, serve_directory: Serve) -> None:
        """Listen, join the group and begin to serve."""
        bridge_logs(self._trail)
        settings = self._settings
        self._trail.note(
            "process",
            "started",
            domain=settings.domain,
            seeds=settings.seeds,
            first_start=settings.first_start,
        )
        bind = settings.bind
        for address in (settings.address, settings.metrics):
            host, _, port = bind_address(address, bind).rpartition(":")
            self._http.listen(int(port), host)
        await self._relay.listen(bind_address(settings.address, bind))
        await self._log.start()
        for serve, address in (
            (serve_control, settings.control),
            (serve_directory, settings.directory),
        ):
            server = RequestServer(serve, self._note_error)
            server.listen(bind_address(address, bind))
            self._servers.append(server)
        watch_loop(self._note_error)
        self._tasks = [
            asyncio.create_task(keep_running(work, self._note_error))
            for work in (
                self._group.run,
                self._staging.run,
                self._keep_committed,
                self._keep_house,
            )
        ]

    def reload(self, settings: CoordinatorSettings) -> None:
        """Take the settings that may change while the process runs."""
        if settings.seeds != self._settings.seeds:
            self._trail.note("process", "reloaded", seeds=settings.seeds)
            self._group.set_seeds(settings.seeds)
        self._settings = settings

    async def wait_failed(self) -> None:
        """Return when this host cannot go on."""
        await self._log.wait_failed()

    async def stop(self) -> None:
        """Hand leadership over and end."""
        self._trail.note("process", "stopping", leader=self._log.is_leader)
        for task in self._tasks:
            task.cancel()
        await self._log.stop()
        self._cache.close()
        self._relay.close()
        for server in self._servers:
            await server.close()
        self._http.stop()
        self._client.close()
        self._trail.note("process", "stopped")
        self._trail.flush()

    async def store(self, config: StoredConfig) -> StoredConfig:
        """Store a checked configuration and return what is in force after it.

        A version that is not higher than the stored one changes nothing.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's address when it is known, ``NO_QUORUM``
            when it may or may not be stored, ``STORAGE_FULL`` or ``TOO_LARGE``.
        """
        self._log.check_leader()
        await self._log.confirm_leadership()
        before = self.stored.version
        after, began = self.stored, self._clock.now()
        if config.version > before:
            _, after = await self._log.propose(encode_store(config))
            self._meters.observe("store_seconds", self._clock.now() - began)
        self._trail.note(
            "config",
            "config_stored" if config.version > before else "config_overtaken",
            version=config.version,
            before=before,
            after=after.version,
            term=self._log.term,
        )
        return after

    async def newest(self) -> StoredConfig:
        """Return the newest configuration.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM`` when this host cannot be sure.
        """
        self._log.check_leader()
        await self._log.confirm_leadership()
        return self.stored

    def addresses(self, domain: DomainName) -> list[str]:
        """Return the addresses of entries that a caller should use.

        Raises
        ------
        WigeonspanError
            ``NO_TARGET`` when none is known.
        """
        now = self._clock.now()
        addresses = self._heartbeats.board.addresses(
            domain, MOST_ADDRESSES, self._rng, now
        )
        if not addresses or now - self._started_at < LISTEN_S:
            raise WigeonspanError(ErrorKind.NO_TARGET, "no entry is known yet")
        return addresses

    def note_refusal(self, interface: str, call: str, error: WigeonspanError) -> None:
        """Log a refused call of an interface."""
        self._meters.count("refused", interface=interface, kind=error.kind.value)
        self._trail.note(
            "serve",
            "refused",
            failure=True,
            interface=interface,
            call=call,
            kind=error.kind.value,
            why=error.message,
        )

    def _take_beat(self, beat: Beat) -> BeatReply:
        stored = max(self.stored, self._committed, key=lambda c: c.version)
        return self._heartbeats.take(
            beat,
            stored,
            [member.address for member in self._log.members],
            self._staging.switching,
            leads=self._log.is_leader,
        )

    def _authority(self) -> Authority | None:
        """Return the right to order engines, well within this leader's lease.

        A new leader waits until an order of the one before it cannot arrive any more.
        """
        now, log = self._clock.now(), self._log
        if not log.is_leader or now - log.led_since < ORDER_WAIT_S:
            return None
        if log.lease_valid_until < now + ORDER_MARGIN_S:
            return None
        return Authority(log.term, log.lease_valid_until)

    def _internal_routes(self) -> Application:
        return Application(
            [
                *self._log.handlers(),
                (BEAT_PATH, BeatHandler, {"take": self._take_beat}),
                (JOIN_PATH, JoinHandler, {"ask": self._group.ask}),
                ("/metrics", MetricsHandler, {"text": self._metrics_text}),
            ],
            log_function=lambda handler: None,
        )

    def _metrics_text(self) -> bytes:
        meters = self._meters
        meters.gauge("config_version", self.stored.version)
        meters.gauge("leads", float(self._log.is_leader))
        meters.gauge("term", float(self._log.term))
        meters.gauge("members", float(len(self._log.members)))
        meters.gauge("log_applied", float(self._log.applied))
        meters.gauge("lease_left_seconds", self._lease_left_s())
        meters.gauge("log_lines_left_out", self._trail.left_out)
        meters.gauge("engines_changing", len(self._staging.switching))
        meters.gauge("entries_live", self._heartbeats.live_entries)
        return meters.text()

    def _lease_left_s(self) -> float:
        """Return the seconds for which this host may lead; 0 when it does not."""
        if not self._log.is_leader:
            return 0.0
        return max(0.0, self._log.lease_valid_until - self._clock.now())

    async def _keep_committed(self) -> None:
        """Copy each committed configuration to disk for the next start."""
        while True:
            if self.stored.version > self._committed.version:
                self._committed = self.stored
                try:
                    await asyncio.to_thread(self._cache.write, self._committed)
                except StorageError as error:
                    self._trail.note(
                        "config",
                        "copy_unwritten",
                        version=self._committed.version,
                        why=str(error),
                    )
            await asyncio.sleep(HOUSEKEEPING_S)

    async def _keep_house(self) -> None:
        seen = (False, 0)
        while True:
            now_seen = (self._log.is_leader, self._log.term)
            if now_seen != seen:
                seen = now_seen
                leader = self._log.leader
                self._trail.note(
                    "group",
                    "role",
                    leads=seen[0],
                    term=seen[1],
                    leader=leader.name if leader else None,
                    members=[m.name for m in self._log.members if m.voter],
                )
            self._pool.drop_idle()
            self._trail.flush()
            await asyncio.sleep(HOUSEKEEPING_S)


async def run_coordinator(
    make: Callable[[Clock, random.Random], Coordinator],
    make_routes: Callable[[Coordinator], tuple[Serve, Serve]],
    read_settings: Callable[[], CoordinatorSettings],
    settings_path: str,
    clock: Clock,
) -> None:
    """Run a control host until it is told to stop.

    Parameters
    ----------
    make : callable
        Makes the control host.
    make_routes : callable
        Returns what serves operators and what serves the directory.
    clock : Clock
        Source of time; it must count the time in which the host is suspended.
    """
    coordinator = make(clock, random.Random())
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await coordinator.start(*make_routes(coordinator))
    failed = asyncio.create_task(coordinator.wait_failed())
    failed.add_done_callback(lambda _: stop.set())
    watch = asyncio.create_task(
        watch_settings(
            settings_path,
            reload,
            lambda: coordinator.reload(read_settings()),
            coordinator.note_error,
        )
    )
    await stop.wait()
    watch.cancel()
    has_failed = failed.done()
    failed.cancel()
    await coordinator.stop()
    if has_failed:
        raise SystemExit(1)
