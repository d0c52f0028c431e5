"""The gateway process as a whole."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from msgspec import Struct

from wigeonspan.common import (
    Clock,
    DomainName,
    HostId,
    bind_address,
    keep_running,
    watch_settings,
)
from wigeonspan.fleetconfig import FleetConfig
from wigeonspan.gateway._beats import BeatTask
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._controls import ControlBook
from wigeonspan.gateway._listing import ListingTask
from wigeonspan.gateway._messages import TargetProtocol
from wigeonspan.gateway._parts import Parts
from wigeonspan.gateway._serve import Server
from wigeonspan.placing import Placer, RetryBudget
from wigeonspan.pool import ConnectionPool
from wigeonspan.presence import Beat, EntryInfo, EntryState
from wigeonspan.serving import Caller, RequestServer
from wigeonspan.sharing import (
    Event,
    ListSeen,
    PeerLink,
    TargetLeaving,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.targets import Listing, TargetBoard
from wigeonspan.trail import Meters, Trail, note_errors, open_trail, watch_loop

HOUSEKEEPING_S = 0.1
"""Seconds between two rounds of housekeeping: log lines, idle connections, limits."""

CONFIRM_S = 1.5
"""Seconds after the start in which the list of targets and a second control host are
waited for; one host may lag and offer an old configuration."""

CONFIRMING_CONTROLS = 2
"""Control hosts that must have answered before this entry serves; one may lag."""

LEAVE_S = 6.2
"""Seconds after the signal to stop in which connections are still accepted: callers
keep an answer of the directory for two seconds, some three times as long."""

LAST_ANSWERS_S = 1.0
"""Seconds for the last answers after that; what is open then is refused. The platform
kills a process eight seconds after the signal."""

MOST_ENTRIES_SEEN = 64
"""Largest number of callers' addresses in one answer of the directory."""


class GatewaySettings(Struct, frozen=True):
    """Settings of a gateway.

    Parameters
    ----------
    front, ready, peer, metrics : str
        Addresses for callers, for checks of readiness, for datagrams of other entries
        and for metrics.
    controls : list of str
        Internal addresses of control hosts.
    bind : str
        Address of the interface to listen on when the other addresses lead there by
        way of a forwarder; empty when they are this host's own.
    """

    host: HostId
    domain: DomainName
    front: str
    ready: str
    peer: str
    metrics: str
    controls: list[str]
    retry_ratio: float
    retry_minimum: float
    retry_window_s: float
    bind: str = ""


class Gateway:
    """One entry.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start.
    protocol : TargetProtocol
        How callers and targets are spoken to.
    read_config : callable
        Decodes an operator's document.
    read_listing : callable
        Makes the reader of the list of targets from a connection pool.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        protocol: TargetProtocol,
        read_config: Callable[[bytes], FleetConfig],
        read_listing: Callable[[ConnectionPool, Trail], Awaitable[Listing]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._state = EntryState.STARTING
        self._entries: list[EntryInfo] = []
        trail = open_trail(settings.host, clock)
        pool = ConnectionPool(clock)
        self._parts = Parts(
            host=settings.host,
            clock=clock,
            protocol=protocol,
            config=ConfigHolder(read_config, trail),
            board=TargetBoard(),
            placer=Placer(settings.domain, rng),
            budget=RetryBudget(
                settings.retry_ratio, settings.retry_minimum, settings.retry_window_s
            ),
            pool=pool,
            link=PeerLink(settings.host, self._hear, self._note_bad_datagram),
            trail=trail,
            meters=Meters(),
        )
        parts = self._parts
        self._note_error = note_errors(trail, parts.meters)
        self._server = Server(parts, rng)
        self._front = RequestServer(self._server.serve, self._note_error)
        self._side = RequestServer(self._answer_side, self._note_error)
        self._controls = ControlBook(settings.domain)
        self._beats = BeatTask(
            clock,
            pool,
            parts.config,
            trail,
            rng,
            self._controls,
            self._make_beat,
            self._note_entries,
            parts.board.set_switching,
            parts.link.set_relay,
            self._note_error,
        )
        self._listing = ListingTask(
            settings.host,
            clock,
            parts.board,
            parts.placer,
            parts.link,
            trail,
            rng,
            lambda: read_listing(pool, trail),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def note_error(self) -> Callable[[BaseException], None]:
        """Takes an unexpected error for the log and the metrics."""
        return self._note_error

    async def start(self) -> None:
        """Listen and begin to take part."""
        settings = self._settings
        self._parts.trail.note(
            "process", "started", domain=settings.domain, controls=settings.controls
        )
        bind = settings.bind
        await self._parts.link.listen(bind_address(settings.peer, bind))
        self._front.listen(bind_address(settings.front, bind))
        self._side.listen(bind_address(settings.ready, bind))
        self._side.listen(bind_address(settings.metrics, bind))
        self._beats.set_seeds(settings.controls)
        watch_loop(self._note_error)
        self._tasks = [
            asyncio.create_task(keep_running(work, self._note_error))
            for work in (self._listing.run, self._open, self._keep_house)
        ]

    def reload(self, settings: GatewaySettings) -> None:
        """Take the settings that may change while the process runs."""
        if settings.controls == self._settings.controls:
            return
        self._settings = settings
        self._parts.trail.note("process", "reloaded", controls=settings.controls)
        self._beats.set_seeds(settings.controls)

    async def stop(self) -> None:
        """Leave: tell callers to go elsewhere, answer what is open, and end."""
        self._state = EntryState.LEAVING
        self._parts.trail.note("process", "stopping", open=self._front.open_requests)
        self._front.close_after_answers()
        leave_at = self._clock.now() + LEAVE_S
        await self._beats.beat_now()
        await asyncio.sleep(max(0.0, leave_at - self._clock.now()))
        self._front.stop_accepting()
        give_up_at = self._clock.now() + LAST_ANSWERS_S
        while self._front.open_requests and self._clock.now() < give_up_at:
            await asyncio.sleep(HOUSEKEEPING_S / 2)
        await self._front.end_requests()
        for task in self._tasks:
            task.cancel()
        self._beats.close()
        self._parts.link.close()
        self._parts.trail.note("process", "stopped", open=self._front.open_requests)
        self._parts.trail.flush()

    async def _open(self) -> None:
        """Serve once the configuration is known well enough."""
        config, started = self._parts.config, self._clock.now()
        while not config.version or (
            not self._has_confirmed() and self._clock.now() - started < CONFIRM_S
        ):
            await asyncio.sleep(0.02)
        self._server.open()
        if self._state is EntryState.STARTING:
            self._state = EntryState.READY
        self._parts.trail.note("process", "ready", config_version=config.version)
        await self._beats.beat_now()

    def _has_confirmed(self) -> bool:
        """Whether enough hosts have answered and the targets are known."""
        listed = self._parts.board.age_ms(self._clock.now()) is not None
        return listed and self._beats.answers >= CONFIRMING_CONTROLS

    async def _keep_house(self) -> None:
        parts = self._parts
        while True:
            now = self._clock.now()
            parts.placer.ledger.expire(now)
            parts.pool.drop_idle()
            parts.trail.flush()
            await asyncio.sleep(HOUSEKEEPING_S)

    def _make_beat(self, digest: str, wants_changes: bool, relay: str) -> Beat:
        settings = self._settings
        entry = EntryInfo(
            settings.host, settings.domain, settings.front, settings.peer, self._state
        )
        parts = self._parts
        return Beat(
            entry,
            parts.config.version,
            digest,
            wants_changes,
            parts.read_ms,
            parts.stream_s,
            relay,
        )

    def _note_entries(self, entries: list[EntryInfo]) -> None:
        own = self._settings.host
        gone = {e.host for e in self._entries} - {e.host for e in entries}
        for host in gone:
            self._parts.placer.ledger.drop_host(host, self._clock.now())
        if entries != self._entries:
            self._parts.trail.note(
                "entries", "entries_changed", hosts=[e.host for e in entries]
            )
        self._entries = entries
        self._parts.link.set_peers([e.peer_address for e in entries if e.host != own])
        self._parts.budget.set_entries(len(entries))
        self._listing.set_entries([e.host for e in entries])

    def _hear(self, host: HostId, event: Event) -> None:
        placer, now = self._parts.placer, self._clock.now()
        match event:
            case WorkBegun():
                placer.ledger.begin(event.work, now)
                if event.parts:
                    placer.prefixes.begin(
                        event.work.work,
                        event.work.target,
                        event.parts,
                        event.new_tokens,
                    )
            case WorkEnded():
                placer.end_work(event.work, now, completed=event.completed)
            case TargetSuspended():
                placer.health.suspend(event.target, now)
            case TargetLeaving():
                self._parts.board.note_leaving(event.target, event.born_ms)
            case ListSeen():
                self._listing.take(event)

    def _note_bad_datagram(self, why: str) -> None:
        self._parts.trail.note("sharing", "bad_datagram", why=why)

    async def _answer_side(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        caller: Caller,
    ) -> None:
        """Answer checks of readiness, and metrics."""
        if target.startswith("/metrics"):
            text = self._metrics_text()
            await caller.answer(200, [("Content-Type", "text/plain")], text)
            return
        ready = self._state is EntryState.READY
        await caller.answer(200 if ready else 503, [], b"")

    def _count_targets(self, now: float) -> Counter[str]:
        """Return how many targets are usable, suspended and leaving."""
        parts = self._parts
        counts = Counter({"usable": 0, "suspended": 0, "not_for_new_work": 0})
        usable = {t.target for s in parts.board.services for t in parts.board.usable(s)}
        for target in parts.board.all():
            if target.target not in usable:
                counts["not_for_new_work"] += 1
            elif parts.placer.health.available(target.target, now):
                counts["usable"] += 1
            else:
                counts["suspended"] += 1
        return counts

    def _metrics_text(self) -> bytes:
        parts = self._parts
        now = self._clock.now()
        parts.meters.gauge("config_version", parts.config.version)
        confirmed_s = now - self._controls.answered_at
        parts.meters.gauge("config_confirmed_seconds", confirmed_s)
        parts.meters.gauge("list_age_seconds", now - parts.board.read_at)
        for state, number in self._count_targets(now).items():
            parts.meters.gauge("targets", number, state=state)
        for service in parts.board.services:
            left = parts.budget.left(service, now)
            parts.meters.gauge("repeats_left", left, service=service)
        parts.meters.gauge("open_requests", self._front.open_requests)
        parts.meters.gauge("connections_opened", parts.pool.opened)
        parts.meters.gauge("log_lines_left_out", parts.trail.left_out)
        return parts.meters.text()


async def run_gateway(
    make: Callable[[Clock, random.Random], Gateway],
    read_settings: Callable[[], GatewaySettings],
    settings_path: str,
    clock: Clock,
) -> None:
    """Run a gateway until it is told to stop.

    Parameters
    ----------
    make : callable
        Makes the gateway.
    read_settings : callable
        Reads the settings again.
    settings_path : str
        File whose changes are noticed without a signal.
    clock : Clock
        Source of time.
    """
    gateway = make(clock, random.Random())
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await gateway.start()
    watch = asyncio.create_task(
        watch_settings(
            settings_path,
            reload,
            lambda: gateway.reload(read_settings()),
            gateway.note_error,
        )
    )
    await stop.wait()
    watch.cancel()
    await gateway.stop()
