"""The gateway process: start, reload, housekeeping, monitoring and stop."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from msgspec import UNSET
from msgspec.structs import asdict, replace

from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorKind,
    HostId,
    ServiceName,
    WigeonspanError,
    bind_address,
    encode,
    keep_running,
    on_stop_signal,
    watch_settings,
)
from wigeonspan.explain import EXPLAIN_PATH, parse_query
from wigeonspan.fleetconfig import FleetConfig
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._controls import ControlHosts
from wigeonspan.gateway._explain import RequestExplainer
from wigeonspan.gateway._heartbeats import HeartbeatTask
from wigeonspan.gateway._listing import ListingTask
from wigeonspan.gateway._loans import RetryLoans
from wigeonspan.gateway._messages import TargetProtocol
from wigeonspan.gateway._serve import RESPONSE_MARGIN_S, Server
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.gateway._use import make_use_meter
from wigeonspan.placing import Placer, RetryBudget, RetryLending
from wigeonspan.pool import ConnectionPool
from wigeonspan.presence import (
    ADDRESS_KEEP_S,
    MAX_ADDRESSES,
    RETENTION_S,
    Beat,
    BeatReply,
    EntryInfo,
    EntryState,
    HeldSpills,
    caller_addresses,
)
from wigeonspan.serving import (
    CallerGuard,
    CallerRules,
    ProcessLimits,
    RequestServer,
    ResponseWriter,
    ServeRequest,
    make_limit_recorder,
    process_limits,
    show_limits,
)
from wigeonspan.sharing import (
    Event,
    ListRead,
    PeerLink,
)
from wigeonspan.targets import Listing, Phase, TargetTable
from wigeonspan.trail import (
    EventLog,
    ProcessMetrics,
    make_error_reporter,
    open_event_log,
    report_loop_errors,
)
from wigeonspan.usage import UsageMeter

HOUSEKEEPING_INTERVAL_S = 0.1
"""Seconds between two rounds of housekeeping, which flushes the log, closes idle
connections and removes expired ledger entries."""

CONFIRM_TIMEOUT_S = 1.5
"""Longest time in seconds to wait after the start for the list of targets and for
replies from enough control hosts; a single host may lag and offer an old
configuration."""

MIN_CONFIRMING_CONTROLS = 2
"""Number of control hosts whose replies this entry waits for before it serves, because
a single one may lag."""

DRAIN_S = 3.0 * ADDRESS_KEEP_S + 0.2
"""Seconds after the stop signal during which connections are still accepted: some
callers keep a response of the directory for three times ``ADDRESS_KEEP_S``."""

FINAL_RESPONSES_S = 0.5
"""Seconds before the process is killed at which open requests are ended, so that their
final responses are sent in time."""


DIRECTORY_DIVISOR = 8
"""Part of the limits on callers, as a divisor, that callers of the directory may use in
addition. The limits on callers leave 15% of the memory and half of the descriptors."""

DIRECTORY_BODY_BYTES = 16 * 1024
"""Largest request body of the directory in bytes; look-ups have none."""


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
        # Time on the boot clock at which a control host last replied.
        self._replied_at = 0.0
        event_log = open_event_log(settings.host, clock)
        pool = ConnectionPool(clock)
        self._context = GatewayContext(
            host=settings.host,
            clock=clock,
            protocol=protocol,
            config=ConfigHolder(read_config, event_log),
            target_table=TargetTable(),
            placer=Placer(
                settings.domain, rng, limits_memory=settings.limits_engine_memory
            ),
            budget=RetryBudget(
                settings.retry_ratio,
                settings.retry_minimum,
                settings.retry_window_s,
                entries=0,
            ),
            pool=pool,
            link=PeerLink(
                settings.host, self._receive_event, self._record_bad_datagram
            ),
            event_log=event_log,
            metrics=ProcessMetrics(),
            boot_clock=boot_clock or clock,
            max_key_age_s=settings.max_key_age_s,
            meter=_make_meter(settings, boot_clock or clock, rng),
        )
        context = self._context
        context.loans = RetryLoans(
            settings.host,
            RetryLending(context.budget, rng),
            context.config.has_service,
            context.link,
            event_log,
            context.metrics,
            context.boot_clock,
        )
        self._record_error = make_error_reporter(event_log, context.metrics)
        self._server = Server(context, rng)
        self._explainer = RequestExplainer(
            context, lambda: self._server.is_open, RESPONSE_MARGIN_S
        )
        limits = process_limits(settings.memory_mb, settings.max_fds)
        record_limit = make_limit_recorder(event_log.write, context.metrics.count)
        self._guard = CallerGuard(limits, self._caller_rules, record_limit, clock)
        # With a common guard, look-ups would close connections of requests.
        self._directory_guard = CallerGuard(
            ProcessLimits(
                limits.held_bytes // DIRECTORY_DIVISOR,
                max(1, limits.connections // DIRECTORY_DIVISOR),
            ),
            lambda: replace(self._caller_rules(), body_bytes=DIRECTORY_BODY_BYTES),
            record_limit,
            clock,
        )
        self._front_server = RequestServer(
            self._server.serve,
            self._record_error,
            clock,
            self._guard,
            self._server.check_oversized,
        )
        self._monitoring_server = RequestServer(
            self._serve_monitoring, self._record_error, clock, self._guard
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
        silent_s = self._context.boot_clock.now() - self._replied_at
        known = self._entries if silent_s <= RETENTION_S else []
        own = self._settings.host
        entries = [e for e in known if e.host != own or e.state is self._state]
        spills = self._spills.held(self._clock.now())
        found = caller_addresses(entries, domain, MAX_ADDRESSES, self._rng, spills, own)
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
                self._run_housekeeping,
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
        end_at = signalled_at + max(
            0.0, self._settings.stop_timeout_s - FINAL_RESPONSES_S
        )
        drain_until = min(signalled_at + DRAIN_S, end_at)
        now = self._clock.now()
        self._context.event_log.write(
            "process",
            "stopping",
            open=self._front_server.open_requests,
            ends_in_ms=round((end_at - now) * 1000),
            handled_after_ms=round((now - signalled_at) * 1000),
        )
        self._context.stop.begin(signalled_at, end_at)
        self._front_server.close_after_responses()
        self._front_server.refuse_early(self._server.check_head)
        if self._directory_server is not None:
            self._directory_server.close_after_responses()
        await self._heartbeats.send_now()
        await asyncio.sleep(max(0.0, drain_until - self._clock.now()))
        remaining_s = max(0.0, end_at - self._clock.now())
        drains = [
            self._front_server.drain(
                remaining_s, lambda: self._server.log_open_requests(signalled_at)
            )
        ]
        if self._directory_server is not None:
            drains.append(self._directory_server.drain(remaining_s))
        await asyncio.gather(*drains)
        if self._context.meter is not None:
            # The counts of the last requests are not in any heartbeat yet.
            await self._heartbeats.send_now()
        # A request that came later would wait unread until the process has ended.
        await self._front_server.close()
        if self._directory_server is not None:
            await self._directory_server.close()
        for task in self._tasks:
            task.cancel()
        self._heartbeats.close()
        self._context.link.close()
        self._context.event_log.write(
            "process", "stopped", open=self._front_server.open_requests
        )
        self._context.event_log.flush()

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

    async def _run_housekeeping(self) -> None:
        context = self._context
        while True:
            now = self._clock.now()
            context.renew_work()
            context.placer.expire(now)
            context.update_quarantine()
            context.update_pace()
            if context.loans is not None:
                context.loans.record_lapsed()
            self._check_for_pause()
            context.pool.close_expired()
            context.event_log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _caller_rules(self) -> CallerRules:
        """Return the limits of callers that the configuration in force sets."""
        config = self._context.config.config
        if config is None:
            return CallerRules()
        limits = config.limits
        return CallerRules(
            limits.body_bytes, limits.header_timeout_s, limits.idle_timeout_s
        )

    def _check_for_pause(self) -> None:
        """Ask the control hosts at once for changes when this process was paused."""
        context = self._context
        if context.freshness.record_turn(context.boot_clock.now()):
            context.event_log.write("process", "resumed_after_pause")
            context.run_in_background(self._heartbeats.send_now())

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
        else:
            self._context.receive_event(host, event)

    def _record_bad_datagram(self, why: str) -> None:
        self._context.event_log.write("sharing", "bad_datagram", why=why)

    async def _serve_monitoring(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        caller: ResponseWriter,
    ) -> None:
        """Respond to readiness checks and requests for metrics or explanations."""
        path, _, query = target.partition("?")
        if path == EXPLAIN_PATH:
            await self._serve_explanation(query, caller)
            return
        if target.startswith("/metrics"):
            text = self._metrics_text()
            await caller.send_response(200, [("Content-Type", "text/plain")], text)
            return
        ready = self._state is EntryState.READY
        await caller.send_response(200 if ready else 503, [], b"")

    async def _serve_explanation(self, query: str, caller: ResponseWriter) -> None:
        """Tell where a request would go now; the query may contain no key."""
        try:
            explanation = self._explainer.explain(parse_query(query))
        except WigeonspanError as error:
            await caller.send_error(error)
            return
        headers = [("Content-Type", "application/json")]
        await caller.send_response(200, headers, encode(explanation))

    def _count_targets(self, now: float) -> Counter[str]:
        """Return how many targets are usable, suspended and closed to new work."""
        context = self._context
        counts = Counter({"usable": 0, "suspended": 0, "not_for_new_work": 0})
        usable = {
            t.target
            for s in context.target_table.services
            for t in context.target_table.usable(s)
        }
        for target in context.target_table.all():
            if target.target not in usable:
                counts["not_for_new_work"] += 1
            elif context.placer.health.available(target.target, now):
                counts["usable"] += 1
            else:
                counts["suspended"] += 1
        return counts

    def _record_slots(self, service: ServiceName) -> None:
        """Set the gauges of a service's decode slots and of the streams for them."""
        context = self._context
        usable = context.target_table.usable(service)
        engines = [t for t in usable if t.phase is Phase.DECODE]
        if not engines:
            return
        slots = sum(t.slots for t in engines)
        streams = context.placer.ledger.open_streams(*(t.target for t in engines))
        context.metrics.gauge("decode_slots", slots, service=service)
        context.metrics.gauge("open_streams", streams.total(), service=service)
        memory = context.placer.memory
        if memory.applies:
            held = [memory.held_tokens(t.target) for t in engines]
            total = memory.capacity * len(engines)
            context.metrics.gauge("decode_memory_tokens", total, service=service)
            context.metrics.gauge("held_memory_tokens", sum(held), service=service)
            fullest = max(held) / memory.capacity
            context.metrics.gauge("fullest_memory_share", fullest, service=service)

    def _metrics_text(self) -> bytes:
        context = self._context
        now = self._clock.now()
        context.metrics.gauge("config_version", context.config.version)
        confirmed_s = now - self._controls.replied_at
        context.metrics.gauge("config_confirmed_seconds", confirmed_s)
        context.metrics.gauge("list_age_seconds", now - context.target_table.read_at)
        for state, number in self._count_targets(now).items():
            context.metrics.gauge("targets", number, state=state)
        for service in context.target_table.services:
            remaining = context.remaining_retries(service)
            context.metrics.gauge("repeats_left", remaining, service=service)
            self._record_slots(service)
        context.metrics.gauge("paced_targets", len(context.placer.pace.limits))
        quarantine = context.quarantine
        context.metrics.gauge("quarantined_parts", len(quarantine.quarantined))
        context.metrics.gauge("suspected_parts", quarantine.suspects)
        context.metrics.gauge("open_requests", self._front_server.open_requests)
        show_limits(self._guard, context.metrics.gauge)
        if self._use_meter is not None:
            used = asdict(self._use_meter.load().used)
            for name, amount in used.items():
                context.metrics.gauge("entry_use", amount, resource=name)
        context.metrics.gauge("connections_opened", context.pool.opened_connections)
        context.metrics.gauge("log_lines_left_out", context.event_log.omitted_lines)
        return context.metrics.text()


def _without_weights(entries: list[EntryInfo]) -> list[EntryInfo]:
    return [replace(entry, weight=UNSET) for entry in entries]


def _make_meter(
    settings: GatewaySettings, clock: Clock, rng: random.Random
) -> UsageMeter | None:
    """Return the meter of use, or None when use is not metered."""
    if settings.usage_window_s is None:
        return None
    incarnation = f"{rng.getrandbits(64):016x}"
    return UsageMeter(incarnation, settings.usage_window_s, settings.usage_due_s, clock)


async def run_gateway(
    make: Callable[[Clock, random.Random], Gateway],
    read_settings: Callable[[], GatewaySettings],
    settings_path: str,
    clock: Clock,
) -> None:
    """Run a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Parameters
    ----------
    make : callable
        Creates the gateway.
    read_settings : callable
        Reads the settings for a reload.
    settings_path : str
        Settings file; changes to it cause a reload without a signal.
    clock : Clock
        Source of time.
    """
    gateway = make(clock, random.Random())
    stop, reload = asyncio.Queue[float](), asyncio.Event()
    on_stop_signal(clock, stop.put_nowait)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload.set)
    await gateway.start()
    watch = asyncio.create_task(
        watch_settings(
            settings_path,
            reload,
            lambda: gateway.reload(read_settings()),
            gateway.record_error,
        )
    )
    signalled_at = await stop.get()
    watch.cancel()
    await gateway.stop(signalled_at)
