"""Control process: wires the parts of a control host together and runs them."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
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
    on_stop_signal,
    start_unless_stopped,
    watch_settings,
)
from wigeonspan.consensus import Disk, FolderDisk, LogTask, StorageError
from wigeonspan.controlstate import (
    ControlStateMachine,
    DutyCommand,
    encode_duty_command,
)
from wigeonspan.coordinator._cache import CommittedCache
from wigeonspan.coordinator._decoded import DecodedConfig
from wigeonspan.coordinator._duties import Duties
from wigeonspan.coordinator._group import JOIN_PATH, GroupMembership
from wigeonspan.coordinator._handlers import BeatHandler, JoinHandler, MetricsHandler
from wigeonspan.coordinator._heartbeats import Heartbeats
from wigeonspan.coordinator._membership import Candidate
from wigeonspan.coordinator._settings import CoordinatorSettings
from wigeonspan.duties import DutyPort
from wigeonspan.fleetconfig import (
    FleetConfig,
    StoredConfig,
    encode_store_command,
)
from wigeonspan.http import make_client
from wigeonspan.pool import ConnectionPool
from wigeonspan.presence import BEAT_PATH, MAX_ADDRESSES, Beat, BeatReply
from wigeonspan.serving import (
    CallerGuard,
    RequestServer,
    ServeRequest,
    make_limit_recorder,
    process_limits,
    show_limits,
)
from wigeonspan.sharing import Relay
from wigeonspan.staging import Authority, DemandMeter, OrderPort, PhaseChangeTask
from wigeonspan.targets import Listing
from wigeonspan.trail import (
    EventLog,
    ProcessMetrics,
    bridge_logs,
    make_error_reporter,
    open_event_log,
    report_loop_errors,
)

MAX_CLIENTS = 64
"""Maximum concurrent requests to other control hosts; a group has few members."""

HOUSEKEEPING_INTERVAL_S = 0.2
"""Seconds between two rounds of a periodic task of this process."""

STARTUP_GRACE_S = 0.7
"""Seconds after the start in which the directory refuses callers, so that every entry
has time to send a heartbeat first."""

NEW_LEADER_ORDER_DELAY_S = 3.5
"""Seconds for which a new leader sends no orders to engines. It covers the lease that
engines keep for the previous sender of orders, and the time until the connection of an
unanswered order is closed."""

LAST_CALLS_S = 1.0
"""Seconds at the stop, after leadership is handed over, for the last calls of operators
and look-ups."""

FINAL_RESPONSES_S = 0.5
"""Seconds before the process is killed at which open calls are ended, so that their
final responses are sent in time."""

ORDER_LEASE_MARGIN_S = 0.3
"""Minimum remaining seconds of the leader's lease when an order is sent."""


class Coordinator:
    """Control host: a member of the control group that serves operators and entries.

    Parameters
    ----------
    make_order_port : callable
        Returns the port that sends orders to engines over a connection pool.
    read_listing : callable
        Reads the list of targets.
    make_disk : callable
        Opens a data folder.
    make_duty_port : callable or None
        Returns the port for calls of duties over a connection pool; None when the
        settings name no duty.
    read_config : callable or None
        Decodes a configuration document; needed for duties.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        make_order_port: Callable[[ConnectionPool], OrderPort],
        read_listing: Callable[[ConnectionPool, EventLog], Awaitable[Listing]],
        clock: Clock,
        rng: random.Random,
        make_disk: Callable[[str | Path], Disk] = FolderDisk,
        make_duty_port: Callable[[ConnectionPool], DutyPort] | None = None,
        read_config: Callable[[bytes], FleetConfig] | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._started_at = clock.now()
        self._event_log = open_event_log(settings.host, clock)
        self._metrics = ProcessMetrics()
        self._record_error = make_error_reporter(self._event_log, self._metrics)
        self._state_machine = ControlStateMachine()
        self._pool = ConnectionPool(clock)
        self._client = make_client(MAX_CLIENTS)
        name = HostId(settings.address)
        self._log = LogTask(
            name,
            settings.address,
            settings.domain,
            settings.first_voters,
            f"{settings.folder}/log",
            self._state_machine,
            clock,
            rng,
            self._client,
            make_disk=make_disk,
            observe_write=lambda took_s: self._metrics.observe("sync_seconds", took_s),
        )
        candidate = Candidate(name, settings.address, settings.domain, "")
        self._group = GroupMembership(
            candidate,
            self._log,
            clock,
            self._pool,
            self._event_log,
            settings.wanted_voters,
        )
        self._group.set_seeds(settings.seeds)
        self._cache = CommittedCache(make_disk(f"{settings.folder}/committed"))
        # Sent to entries; after a restart it comes from the cache.
        self._committed_config = self._cache.read()
        self._logged_weights: Mapping[HostId, int] = {}
        self._spilling: set[DomainName] = set()
        meter = DemandMeter()
        self._heartbeats = Heartbeats(settings.address, settings.domain, clock, meter)
        self._staging = PhaseChangeTask(
            settings.host,
            clock,
            make_order_port(self._pool),
            self._event_log,
            self._authority,
            lambda: read_listing(self._pool, self._event_log),
            meter,
            self._metrics,
            self._heartbeats.limited_targets,
            lambda service: self._duties.orders_replicas_of(service),
        )
        self._duties = Duties(
            settings.host,
            settings.duties,
            clock,
            None if make_duty_port is None else make_duty_port(self._pool),
            self._state_machine,
            None
            if read_config is None
            else DecodedConfig(read_config, self._event_log),
            self._authority,
            self._propose_duty_command,
            self._staging.targets,
            meter,
            self._event_log,
            self._metrics,
        )
        self._relay = Relay(
            self._heartbeats.relayed_entries, self._heartbeats.other_relays
        )
        self._guard = CallerGuard(
            process_limits(settings.memory_mb, settings.max_fds),
            record=make_limit_recorder(self._event_log.write, self._metrics.count),
            clock=clock,
        )
        self._servers: list[RequestServer] = []
        self._http = HTTPServer(self._internal_routes())
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def stored(self) -> StoredConfig:
        """Newest configuration that this host knows to be committed."""
        return self._state_machine.stored

    @property
    def record_error(self) -> Callable[[BaseException], None]:
        """Callback that records an unexpected error in the log and the metrics."""
        return self._record_error

    async def start(
        self, serve_control: ServeRequest, serve_directory: ServeRequest
    ) -> None:
        """Open the ports, start the replicated log and the background tasks."""
        bridge_logs(self._event_log)
        settings = self._settings
        self._event_log.write(
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
            server = RequestServer(serve, self._record_error, self._clock, self._guard)
            server.listen(bind_address(address, bind))
            self._servers.append(server)
        report_loop_errors(self._record_error)
        self._tasks = [
            asyncio.create_task(keep_running(work, self._record_error))
            for work in (
                self._group.run,
                self._staging.run,
                self._cache_committed_config,
                self._run_housekeeping,
                *self._duties.runs,
            )
        ]

    def reload(self, settings: CoordinatorSettings) -> None:
        """Apply the settings that may change while the process runs."""
        if settings.seeds != self._settings.seeds:
            self._event_log.write("process", "reloaded", seeds=settings.seeds)
            self._group.set_seeds(settings.seeds)
        self._settings = settings

    async def wait_until_failed(self) -> None:
        """Wait until the replicated log has failed and this host cannot continue."""
        await self._log.wait_until_failed()

    async def stop(self, signalled_at: float | None = None) -> None:
        """Hand over leadership, respond to all calls in progress and stop.

        Parameters
        ----------
        signalled_at : float or None
            Monotonic time in seconds of the stop signal; None for now.
        """
        if signalled_at is None:
            signalled_at = self._clock.now()
        end_at = signalled_at + self._settings.stop_timeout_s - FINAL_RESPONSES_S
        self._event_log.write("process", "stopping", leader=self._log.is_leader)
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close_after_responses()
        await self._log.stop(max(0.0, end_at - LAST_CALLS_S - self._clock.now()))
        self._cache.close()
        self._relay.close()
        remaining_s = max(0.0, min(LAST_CALLS_S, end_at - self._clock.now()))
        await asyncio.gather(*(server.drain(remaining_s) for server in self._servers))
        for server in self._servers:
            await server.close()
        self._http.stop()
        self._client.close()
        self._event_log.write("process", "stopped")
        self._event_log.flush()

    async def store(self, config: StoredConfig) -> StoredConfig:
        """Store a validated configuration and return the one then in force.

        A configuration whose version is not higher than the stored one is ignored.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's address if it is known, ``NO_QUORUM`` if
            it is unknown whether the configuration was stored, ``STORAGE_FULL`` or
            ``TOO_LARGE``.
        """
        self._log.check_leader()
        await self._log.confirm_leadership()
        before = self.stored.version
        after, started_at = self.stored, self._clock.now()
        if config.version > before:
            _, after = await self._log.propose(encode_store_command(config))
            self._metrics.observe("store_seconds", self._clock.now() - started_at)
        self._event_log.write(
            "config",
            "config_stored" if config.version > before else "config_overtaken",
            version=config.version,
            before=before,
            after=after.version,
            term=self._log.term,
        )
        return after

    async def newest_config(self) -> StoredConfig:
        """Return the newest committed configuration of the group.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM`` if this host cannot confirm that it leads.
        """
        self._log.check_leader()
        await self._log.confirm_leadership()
        return self.stored

    def addresses(self, domain: DomainName) -> list[str]:
        """Return the addresses of entries for a caller in a failure domain.

        Raises
        ------
        WigeonspanError
            ``NO_TARGET`` if no entry is known, or too soon after the start.
        """
        now = self._clock.now()
        addresses = self._heartbeats.entries.addresses(
            domain, MAX_ADDRESSES, self._rng, now, self._settings.host
        )
        if not addresses or now - self._started_at < STARTUP_GRACE_S:
            raise WigeonspanError(ErrorKind.NO_TARGET, "no entry is known yet")
        return addresses

    def record_refusal(self, interface: str, call: str, error: WigeonspanError) -> None:
        """Record a refused call in the log and the metrics."""
        self._metrics.count("refused", interface=interface, kind=error.kind.value)
        self._event_log.write(
            "serve",
            "refused",
            failure=True,
            interface=interface,
            call=call,
            kind=error.kind.value,
            why=error.message,
        )

    async def _propose_duty_command(self, command: DutyCommand) -> None:
        """Commit a command about a duty.

        Raises
        ------
        WigeonspanError
            When it is not known to be committed.
        """
        await self._log.propose(encode_duty_command(command))

    def _receive_beat(self, beat: Beat) -> BeatReply:
        self._duties.record(beat)
        stored = max(self.stored, self._committed_config, key=lambda c: c.version)
        reply = self._heartbeats.receive(
            beat,
            stored,
            [member.address for member in self._log.members],
            self._staging.switching,
            leads=self._log.is_leader,
            in_group=self._log.in_contact,
        )
        self._record_weights()
        return reply

    def _record_weights(self) -> None:
        """Log the weights in the list of entries when they have changed."""
        weights = self._heartbeats.entries.listed_weights
        spilling = set(self._heartbeats.entries.spills)
        if spilling != self._spilling:
            self._event_log.write("entries", "spill_changed", domains=sorted(spilling))
            for domain in self._spilling - spilling:
                self._metrics.gauge("domain_spill", 0.0, domain=domain)
            self._spilling = spilling
        if weights != self._logged_weights:
            self._event_log.write("entries", "weights_changed", weights=dict(weights))
            for host in weights.keys() | self._logged_weights.keys():
                self._metrics.gauge("entry_weight", weights.get(host, 100), entry=host)
            self._logged_weights = weights

    def _authority(self) -> Authority | None:
        """Return the authority to send orders to engines, or None if there is none.

        A new leader waits until orders of the previous leader can no longer arrive.
        Near the end of its lease a leader sends no orders.
        """
        now, log = self._clock.now(), self._log
        if not log.is_leader or now - log.leader_since < NEW_LEADER_ORDER_DELAY_S:
            return None
        if log.lease_valid_until < now + ORDER_LEASE_MARGIN_S:
            return None
        return Authority(log.term, log.lease_valid_until)

    def _internal_routes(self) -> Application:
        return Application(
            [
                *self._log.handlers(),
                (BEAT_PATH, BeatHandler, {"take": self._receive_beat}),
                (JOIN_PATH, JoinHandler, {"ask": self._group.receive_join_request}),
                ("/metrics", MetricsHandler, {"text": self._metrics_text}),
            ],
            log_function=lambda handler: None,
        )

    def _metrics_text(self) -> bytes:
        metrics = self._metrics
        metrics.gauge("config_version", self.stored.version)
        metrics.gauge("leads", float(self._log.is_leader))
        metrics.gauge("term", float(self._log.term))
        metrics.gauge("members", float(len(self._log.members)))
        metrics.gauge("log_applied", float(self._log.applied))
        metrics.gauge("lease_left_seconds", self._lease_remaining_s())
        show_limits(self._guard, metrics.gauge)
        metrics.gauge("log_lines_left_out", self._event_log.omitted_lines)
        metrics.gauge("engines_changing", len(self._staging.switching))
        for domain, share in self._heartbeats.entries.spills.items():
            metrics.gauge("domain_spill", share, domain=domain)
        metrics.gauge("entries_live", self._heartbeats.live_entries)
        return metrics.text()

    def _lease_remaining_s(self) -> float:
        """Return the seconds left of the lease, or 0 if this host does not lead."""
        if not self._log.is_leader:
            return 0.0
        return max(0.0, self._log.lease_valid_until - self._clock.now())

    async def _cache_committed_config(self) -> None:
        """Write each newly committed configuration to the cache for the next start."""
        while True:
            if self.stored.version > self._committed_config.version:
                self._committed_config = self.stored
                try:
                    await asyncio.to_thread(self._cache.write, self._committed_config)
                except StorageError as error:
                    self._event_log.write(
                        "config",
                        "copy_unwritten",
                        version=self._committed_config.version,
                        why=str(error),
                    )
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    async def _run_housekeeping(self) -> None:
        """Log changes of leadership, close idle connections and flush the log."""
        last = (False, 0)
        while True:
            current = (self._log.is_leader, self._log.term)
            if current != last:
                last = current
                leader = self._log.leader
                self._event_log.write(
                    "group",
                    "role",
                    leads=last[0],
                    term=last[1],
                    leader=leader.name if leader else None,
                    members=[m.name for m in self._log.members if m.voter],
                )
            self._pool.close_expired()
            self._event_log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)


async def run_coordinator(
    make: Callable[[Clock, random.Random], Coordinator],
    make_routes: Callable[[Coordinator], tuple[ServeRequest, ServeRequest]],
    read_settings: Callable[[], CoordinatorSettings],
    settings_path: str,
    clock: Clock,
) -> None:
    """Run a control host until SIGTERM, SIGINT or a failure; SIGHUP reloads settings.

    Parameters
    ----------
    make : callable
        Creates the control host.
    make_routes : callable
        Returns the handlers of the operator interface and of the directory.
    read_settings : callable
        Reads the settings again for a reload.
    settings_path : str
        Settings file, which is watched for changes.
    clock : Clock
        Source of time; it must also advance while the host is suspended.

    Raises
    ------
    SystemExit
        With status 1 if the control host failed.
    """
    coordinator = make(clock, random.Random())
    stop, reload = asyncio.Event(), asyncio.Event()
    signalled_at: float | None = None

    def request_stop(at: float) -> None:
        nonlocal signalled_at
        if signalled_at is None:
            signalled_at = at
        stop.set()

    loop = asyncio.get_running_loop()
    on_stop_signal(clock, request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    # A start on a full disk waits for space, so a signal must be able to end it.
    start = coordinator.start(*make_routes(coordinator))
    if not await start_unless_stopped(start, stop):
        await coordinator.stop(signalled_at)
        return
    failed = asyncio.create_task(coordinator.wait_until_failed())
    failed.add_done_callback(lambda _: stop.set())
    watch = asyncio.create_task(
        watch_settings(
            settings_path,
            reload,
            lambda: coordinator.reload(read_settings()),
            coordinator.record_error,
        )
    )
    await stop.wait()
    watch.cancel()
    has_failed = failed.done()
    failed.cancel()
    await coordinator.stop(signalled_at)
    if has_failed:
        raise SystemExit(1)
