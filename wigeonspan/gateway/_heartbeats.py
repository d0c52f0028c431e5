"""Heartbeats to the control hosts, whose replies deliver configuration and entries."""

import asyncio
import random
from collections.abc import Callable

from wigeonspan.common import (
    Clock,
    ErrorBody,
    WigeonspanError,
    decode,
    keep_running,
)
from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._controls import ControlHosts
from wigeonspan.pool import ConnectionPool, ExchangeError, encode_message
from wigeonspan.presence import (
    BEAT_PATH,
    Beat,
    BeatReply,
    EntryInfo,
    InvalidValue,
    unpack,
)
from wigeonspan.quarantine import PartQuarantined
from wigeonspan.targets import TargetId
from wigeonspan.trail import EventLog

HEARTBEAT_INTERVAL_S = 0.5
"""Seconds between heartbeats to one control host, because a new configuration must be
in force within two seconds."""

SLOW_HEARTBEAT_INTERVAL_S = 1.0
"""Seconds between heartbeats to a control host that is neither leader nor relay; a
control host considers an entry alive for 1.6 seconds after a heartbeat."""

STARTUP_HEARTBEAT_INTERVAL_S = 0.15
"""Seconds between heartbeats until the first configuration is received."""

REPLY_TIMEOUT_S = 1.0
"""Seconds within which a control host must reply."""


class HeartbeatTask:
    """Send heartbeats to every known control host and process the replies.

    Parameters
    ----------
    controls : ControlHosts
        State of the control hosts as this entry sees it.
    make_heartbeat : callable
        Creates the heartbeat to send, given the digest of the known entries, whether
        changes are wanted, and the address of the relay.
    on_entries : callable
        Called with the live entries when they have changed.
    on_switching : callable
        Called with the engines whose phase is changing.
    on_relay : callable
        Called with the address of the datagram relay when it changes.
    on_quarantined : callable
        Called with the verdicts of the quarantine that the host has kept.
    on_reply : callable
        Called with each reply after its changes are applied, and the times on
        ``boot_clock`` at which the heartbeat was sent and the reply was received.
    record_error : callable
        Called with an unexpected error; heartbeats to the host continue.
    boot_clock : Clock
        Clock that also advances while the host is suspended.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        config: ConfigHolder,
        event_log: EventLog,
        rng: random.Random,
        controls: ControlHosts,
        make_heartbeat: Callable[[str, bool, str], Beat],
        on_entries: Callable[[list[EntryInfo]], None],
        on_switching: Callable[[list[TargetId]], None],
        on_relay: Callable[[str], None],
        on_quarantined: Callable[[list[PartQuarantined]], None],
        on_reply: Callable[[str, BeatReply, float, float], None],
        record_error: Callable[[Exception], None],
        boot_clock: Clock,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._config = config
        self._event_log = event_log
        self._rng = rng
        self._controls = controls
        self._make_heartbeat = make_heartbeat
        self._on_entries = on_entries
        self._on_switching = on_switching
        self._on_relay = on_relay
        self._on_quarantined = on_quarantined
        self._on_reply = on_reply
        self._record_error = record_error
        self._boot_clock = boot_clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # A digest for each host would hide that another host's list replaced its own.
        self._entries_digest = ""
        self._replied_hosts: set[str] = set()
        self._published_relay = ""

    @property
    def replied_count(self) -> int:
        """Number of control hosts that have replied since the start."""
        return len(self._replied_hosts)

    def set_seeds(self, addresses: list[str]) -> None:
        """Set the control hosts that are named in the settings."""
        self._controls.set_seeds(addresses)
        for address in addresses:
            self._add(address)

    async def send_now(self) -> None:
        """Send a heartbeat to all control hosts immediately, such as before a stop."""
        await asyncio.gather(
            *(self._send_heartbeat(address) for address in self._tasks)
        )

    def close(self) -> None:
        """Stop all heartbeats."""
        for task in self._tasks.values():
            task.cancel()

    def _add(self, address: str) -> None:
        if self._controls.add(address, self._clock.now()):
            self._tasks[address] = asyncio.create_task(
                keep_running(lambda: self._run(address), self._record_error)
            )

    async def _run(self, address: str) -> None:
        while self._controls.should_send_heartbeats(address, self._clock.now()):
            asked_for_changes = await self._send_heartbeat(address)
            pause = self._pause_s(address)
            fallback_at = self._controls.fallback_at(address, self._config.version)
            if fallback_at is not None and not asked_for_changes:
                # Waiting for the next regular heartbeat would make the change late.
                pause = min(pause, max(0.0, fallback_at - self._clock.now()))
            await asyncio.sleep(pause)
        self._controls.drop(address)
        del self._tasks[address]

    def _pause_s(self, address: str) -> float:
        """Return the seconds until the next regular heartbeat to a host."""
        interval_s = (
            HEARTBEAT_INTERVAL_S
            if self._controls.needs_frequent_heartbeats(address)
            else SLOW_HEARTBEAT_INTERVAL_S
        )
        if not self._config.version:
            interval_s = STARTUP_HEARTBEAT_INTERVAL_S
        return interval_s * (0.8 + 0.4 * self._rng.random())

    async def _send_heartbeat(self, address: str) -> bool:
        """Send a heartbeat and process the reply; return whether it asked for changes.

        The time of the next one depends on it.
        """
        held_version, now = self._config.version, self._clock.now()
        wants_changes = self._controls.wants_changes(address, held_version, now)
        heartbeat = self._make_heartbeat(
            self._entries_digest, wants_changes, self._controls.relay
        )
        request = encode_message(address, BEAT_PATH, heartbeat)
        sent_at = self._boot_clock.now()
        try:
            head, body = await self._pool.fetch(address, request, REPLY_TIMEOUT_S)
            if head.status != 200:
                detail = decode(body, ErrorBody).error
                raise WigeonspanError(detail.kind, detail.message)
            reply = decode(body, BeatReply)
            self._apply_changes(address, reply)
        except (ExchangeError, WigeonspanError, InvalidValue) as error:
            if self._controls.record_missed_reply(address):
                self._event_log.write(
                    "beats", "control_lost", control=address, why=str(error)
                )
            self._publish_relay()
            return wants_changes
        self._record_reply(address, reply)
        self._on_reply(address, reply, sent_at, self._boot_clock.now())
        return wants_changes

    def _apply_changes(self, address: str, reply: BeatReply) -> None:
        """Apply the configuration and the list of entries of a reply, if it has any.

        Raises
        ------
        InvalidValue
            When one of them cannot be decoded.
        """
        if reply.config is not None:
            self._config.offer(unpack(reply.config, StoredConfig), address)
        if reply.entries is not None:
            self._on_entries(unpack(reply.entries, list[EntryInfo]))
            self._entries_digest = reply.entries_digest

    def _record_reply(self, address: str, reply: BeatReply) -> None:
        self._replied_hosts.add(address)
        version, now = reply.config_version, self._clock.now()
        if version > self._controls.newest_version:
            self._event_log.write(
                "beats",
                "version_reported",
                version=version,
                held=self._config.version,
                control=address,
                leads=reply.leads,
                relay=self._controls.relay,
            )
        if self._controls.record_reply(
            address,
            reply.domain,
            version,
            reply.switching,
            now,
            leads=reply.leads,
            in_group=reply.in_group,
        ):
            self._event_log.write("beats", "control_back", control=address)
        for control in reply.controls:
            self._add(control)
        self._on_switching(self._controls.switching)
        if reply.quarantined:
            self._on_quarantined(reply.quarantined)
        self._publish_relay()

    def _publish_relay(self) -> None:
        if self._controls.relay != self._published_relay:
            self._published_relay = self._controls.relay
            self._on_relay(self._published_relay)
            self._event_log.write("beats", "relay_chosen", relay=self._published_relay)
