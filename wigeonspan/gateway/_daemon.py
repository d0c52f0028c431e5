"""The gateway: its servers, heartbeats and list of entries, start and reload."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from msgspec import UNSET
from msgspec.structs import replace

from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorKind,
    HostId,
    WigeonspanError,
    bind_address,
    keep_running,
)
from wigeonspan.fleetconfig import FleetConfig
from wigeonspan.gateway._controls import ControlHosts
from wigeonspan.gateway._explain import RequestExplainer
from wigeonspan.gateway._heartbeats import HeartbeatTask
from wigeonspan.gateway._housekeeping import Housekeeping
from wigeonspan.gateway._listing import ListingTask
from wigeonspan.gateway._messages import TargetProtocol
from wigeonspan.gateway._monitoring import Monitoring
from wigeonspan.gateway._parts import make_context, make_guards
from wigeonspan.gateway._serve import RESPONSE_MARGIN_S, Server
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.gateway._stop_sequence import StopSequence
from wigeonspan.gateway._use import make_use_meter
from wigeonspan.pool import ConnectionPool
from wigeonspan.presence import (
    MAX_ADDRESSES,
    RETENTION_S,
    Beat,
    BeatReply,
    EntryInfo,
    EntryState,
    HeldSpills,
    StoppingEntries,
    caller_addresses,
)
from wigeonspan.serving import (
    RequestServer,
    ServeRequest,
)
from wigeonspan.sharing import (
    EntryStopping,
    Event,
    ListRead,
)
from wigeonspan.targets import Listing
from wigeonspan.trail import (
    EventLog,
    make_error_reporter,
    report_loop_errors,
)

CONFIRM_TIMEOUT_S = 1.5
"""Longest time in seconds to wait after the start for the list of targets and for
replies from enough control hosts; a single host may lag and offer an old
configuration."""

MIN_CONFIRMING_CONTROLS = 2
"""Number of control hosts whose replies this entry waits for before it serves, because
a single one may lag."""


class Gateway:
    """One entry: the process that serves callers and relays their requests.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start.
    protocol : TargetProtocol
        Protocol of callers and targets.
    read_config : callable
        Decodes a configuration document that an operator wrote.
    read_listing : callable
        Reads the list of targets over a connection pool.
    boot_clock : Clock or None
        Clock that also advances while the host is suspended; None for ``clock``.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        protocol: TargetProtocol,
        read_config: Callable[[bytes], FleetConfig],
        read_listing: Callable[[ConnectionPool, EventLog], Awaitable[Listing]],
        clock: Clock,
        rng: random.Random,
        boot_clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._state = EntryState.STARTING
        self._entries: list[EntryInfo] = []
        self._spills = HeldSpills()
        self._stopping_entries = StoppingEntries()
        # Time on the boot clock at which a control host last replied.
        self._replied_at = 0.0
        self._context = make_context(
            settings,
            protocol,
            read_config,
            clock,
            rng,
            boot_clock or clock,
            self._receive_event,
        )
        context, pool = self._context, self._context.pool
        event_log = context.event_log
        self._record_error = make_error_reporter(event_log, context.metrics)
        self._server = Server(context, rng)
        self._guard, self._directory_guard = make_guards(settings, context)
        self._front_server = RequestServer(
            self._server.serve,
            self._record_error,
            clock,
            self._guard,
            self._server.check_oversized,
        )
        self._controls = ControlHosts(settings.domain)
        self._heartbeats = HeartbeatTask(
            clock,
            pool,
            context.config,
            event_log,
            rng,
            self._controls,
            self._make_heartbeat,
            self._update_entries,
            context.target_table.set_switching,
            context.link.set_relay,
            lambda verdicts: context.quarantine.restore(verdicts, clock.now()),
            self._receive_reply,
            self._record_error,
            context.boot_clock,
        )
        self._listing = ListingTask(
            settings.host,
            clock,
            context.target_table,
            context.placer,
            context.link,
            event_log,
            rng,
            lambda: read_listing(pool, event_log),
        )
        self._use_meter = make_use_meter(
            settings,
            [
                self._guard.traffic,
                self._directory_guard.traffic,
                pool.traffic,
                context.link.traffic,
            ],
            clock,
        )
        explainer = RequestExplainer(
            context, lambda: self._server.is_open, RESPONSE_MARGIN_S
        )
        self._monitoring = Monitoring(
            context,
            self._controls,
            explainer,
            self._front_server,
            self._guard,
            self._use_meter,
            lambda: self._state is EntryState.READY,
        )
        self._monitoring_server = RequestServer(
            self._monitoring.serve, self._record_error, clock, self._guard
        )
        self._stop_sequence = StopSequence(
            context, self._server, self._front_server, self._heartbeats
        )
        self._housekeeping = Housekeeping(context, self._heartbeats.send_now)
        self._directory_server: RequestServer | None = None
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def record_error(self) -> Callable[[BaseException], None]:
        """Function that records an unexpected error in the log and the metrics."""
        return self._record_error

    def serve_directory(self, serve: ServeRequest) -> None:
        """Serve callers that ask which entries to connect to, if the settings say so.

        Parameters
        ----------
        serve : callable
            Request handler, which uses ``addresses`` and ``record_refusal``.
        """
        self._directory_server = RequestServer(
            serve, self._record_error, self._clock, self._directory_guard
        )

    def addresses(self, domain: DomainName) -> list[str]:
        """Return the addresses of entries for a caller in a failure domain.

        They are as recent as the last reply of a control host, so that callers find
        entries also while the control hosts elect a leader or are all restarting.

        Raises
        ------
        WigeonspanError
            ``NO_TARGET`` when no entry is known, or without a reply for too long.
        """
        # Entries may have been replaced while this host was suspended.
        now = self._context.boot_clock.now()
        silent_s = now - self._replied_at
        known = self._entries if silent_s <= RETENTION_S else []
        own = self._settings.host
        entries = [e for e in known if e.host != own or e.state is self._state]
        stopping = self._stopping_entries.hosts(now)
        staying = [e for e in entries if e.host not in stopping]
        spills = self._spills.held(self._clock.now())

        def choose(entries: list[EntryInfo]) -> list[str]:
            return caller_addresses(
                entries, domain, MAX_ADDRESSES, self._rng, spills, own
            )

        # Entries that have announced their stop still serve while they drain.
        found = choose(staying) or choose(entries)
        if not found:
            raise WigeonspanError(ErrorKind.NO_TARGET, "no entries are known")
        return found

    def record_refusal(self, interface: str, call: str, error: WigeonspanError) -> None:
        """Record a call of another interface than that for requests that is refused."""
        self._context.metrics.count("calls_refused", interface=interface)
        self._context.event_log.write(
            "serve", "call_refused", failure=True, call=call[:200], why=str(error)
        )

    async def start(self) -> None:
        """Listen, and start the heartbeats and the background tasks."""
        settings = self._settings
        self._context.event_log.write(
            "process", "started", domain=settings.domain, controls=settings.controls
        )
        bind = settings.bind
        await self._context.link.listen(bind_address(settings.peer, bind))
        self._front_server.listen(bind_address(settings.front, bind))
        self._monitoring_server.listen(bind_address(settings.ready, bind))
        self._monitoring_server.listen(bind_address(settings.metrics, bind))
        if self._directory_server is not None and settings.directory:
            self._directory_server.listen(bind_address(settings.directory, bind))
        self._heartbeats.set_seeds(settings.controls)
        report_loop_errors(self._record_error)
        self._tasks = [
            asyncio.create_task(keep_running(work, self._record_error))
            for work in (
                self._listing.run,
                self._open_when_ready,
                self._housekeeping.run,
            )
        ]

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change at run time.

        These are the control hosts and the time until a stopping process is killed.
        """
        controls_before = self._settings.controls
        self._settings = settings
        if settings.controls == controls_before:
            return
        self._context.event_log.write("process", "reloaded", controls=settings.controls)
        self._heartbeats.set_seeds(settings.controls)

    async def stop(self, signalled_at: float) -> None:
        """Announce the stop, finish open requests, and close.

        Parameters
        ----------
        signalled_at : float
            Monotonic time in seconds of the stop signal.
        """
        self._state = EntryState.LEAVING
        await self._stop_sequence.run(
            signalled_at,
            self._settings.stop_timeout_s,
            self._directory_server,
            self._tasks,
        )

    async def _open_when_ready(self) -> None:
        """Begin to serve once there is a configuration that is probably current."""
        config, started = self._context.config, self._clock.now()
        while not config.version or (
            not self._is_confirmed() and self._clock.now() - started < CONFIRM_TIMEOUT_S
        ):
            await asyncio.sleep(0.02)
        self._server.open()
        if self._state is EntryState.STARTING:
            self._state = EntryState.READY
        self._context.event_log.write("process", "ready", config_version=config.version)
        await self._heartbeats.send_now()

    def _is_confirmed(self) -> bool:
        """Return whether enough control hosts have replied and targets are known."""
        listed = self._context.target_table.age_ms(self._clock.now()) is not None
        return listed and self._heartbeats.replied_count >= MIN_CONFIRMING_CONTROLS

    def _receive_reply(
        self, address: str, reply: BeatReply, sent_at: float, received_at: float
    ) -> None:
        """Process what a reply says besides the configuration and the entries."""
        self._replied_at = max(self._replied_at, received_at)
        if reply.in_group and self._context.config.version >= reply.config_version:
            self._context.freshness.record_confirmation(sent_at)
        if reply.leads:
            # Control hosts begin with no share when they start; one source is steady.
            spills = {} if reply.spills is UNSET else reply.spills
            self._spills.receive(spills, self._clock.now())
        if self._context.meter is not None and reply.wall_ms:
            self._context.meter.record_clock(
                address, reply.wall_ms, sent_at, received_at
            )

    def _make_heartbeat(self, digest: str, wants_changes: bool, relay: str) -> Beat:
        settings = self._settings
        entry = EntryInfo(
            settings.host, settings.domain, settings.front, settings.peer, self._state
        )
        context = self._context
        return Beat(
            entry,
            context.config.version,
            digest,
            wants_changes,
            context.read_ms,
            context.stream_s,
            relay,
            limited=sorted(context.placer.limits.rates),
            quarantined=context.quarantine.verdicts(self._clock.now()),
            usage=None if context.meter is None else context.meter.share(),
            urgent_read_ms=context.urgent_read_ms,
            urgent_stream_s=context.urgent_stream_s,
            load=UNSET if self._use_meter is None else self._use_meter.load(),
        )

    def _update_entries(self, entries: list[EntryInfo]) -> None:
        own = self._settings.host
        removed = {e.host for e in self._entries} - {e.host for e in entries}
        for host in removed:
            self._context.placer.drop_host(host, self._clock.now())
        if _without_weights(entries) != _without_weights(self._entries):
            self._context.event_log.write(
                "entries", "entries_changed", hosts=[e.host for e in entries]
            )
        self._entries = entries
        self._stopping_entries.update(entries)
        others = [e for e in entries if e.host != own]
        ready = sum(e.state is EntryState.READY for e in others)
        self._context.stop.set_ready_peer(ready > 0)
        self._context.link.set_peers([e.peer_address for e in entries if e.host != own])
        self._context.budget.record_list(
            len(entries),
            self._context.boot_clock.now(),
            is_running=2 * ready > len(others),
        )
        hosts = sorted({own, *(e.host for e in entries)})
        rank, now = hosts.index(own), self._clock.now()
        self._context.placer.limits.set_entries(rank, len(hosts), now)
        self._context.placer.health.set_entries(len(hosts))
        self._context.quarantine.set_entries(rank, len(hosts), now)
        self._listing.set_entries([e.host for e in entries])

    def _receive_event(self, host: HostId, event: Event) -> None:
        if isinstance(event, ListRead):
            self._listing.receive(event)
        elif isinstance(event, EntryStopping):
            self._record_stop(host, event)
        else:
            self._context.receive_event(host, event)

    def _record_stop(self, host: HostId, event: EntryStopping) -> None:
        """Leave out an entry from directory responses that has announced its stop."""
        now = self._context.boot_clock.now()
        if self._stopping_entries.record(host, event.drain_s, self._entries, now):
            self._context.metrics.count("stops_announced")
            self._context.event_log.write("entries", "entry_stopping", host=host)


def _without_weights(entries: list[EntryInfo]) -> list[EntryInfo]:
    return [replace(entry, weight=UNSET) for entry in entries]
