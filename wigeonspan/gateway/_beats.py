"""Heartbeats to the control hosts; they bring the configuration and the entries."""

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
from wigeonspan.gateway._controls import ControlBook
from wigeonspan.pool import ConnectionPool, ExchangeFailed, encode_message
from wigeonspan.presence import (
    BEAT_PATH,
    BadValue,
    Beat,
    BeatReply,
    EntryInfo,
    unpack,
)
from wigeonspan.targets import TargetId
from wigeonspan.trail import Trail

BEAT_S = 0.5
"""Seconds between heartbeats to one control host; a configuration must be in force
within two seconds."""

CALM_BEAT_S = 1.0
"""Seconds between heartbeats to a host that neither leads nor relays; it takes an entry
for alive for 1.6 seconds."""

FIRST_BEAT_S = 0.15
"""Seconds between heartbeats until the first configuration."""

TIMEOUT_S = 1.0
"""Seconds in which a control host must answer."""


class BeatTask:
    """Asks every known control host in turn.

    Parameters
    ----------
    controls : ControlBook
        Control hosts as this entry sees them.
    make_beat : callable
        Returns the heartbeat to send now from the digest of the entries, whether
        changes are wanted, and the relay.
    note_entries : callable
        Takes the live entries when they have changed.
    note_switching : callable
        Takes the engines whose phase is changing.
    note_relay : callable
        Takes the address of the relay of datagrams.
    note_error : callable
        Takes an unexpected error; the host is asked again.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        config: ConfigHolder,
        trail: Trail,
        rng: random.Random,
        controls: ControlBook,
        make_beat: Callable[[str, bool, str], Beat],
        note_entries: Callable[[list[EntryInfo]], None],
        note_switching: Callable[[list[TargetId]], None],
        note_relay: Callable[[str], None],
        note_error: Callable[[Exception], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._config = config
        self._trail = trail
        self._rng = rng
        self._controls = controls
        self._make_beat = make_beat
        self._note_entries = note_entries
        self._note_switching = note_switching
        self._note_relay = note_relay
        self._note_error = note_error
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._digests: dict[str, str] = {}
        self._answered: set[str] = set()
        self._relay = ""

    @property
    def answers(self) -> int:
        """Number of control hosts that have answered since the start."""
        return len(self._answered)

    def set_seeds(self, addresses: list[str]) -> None:
        """Note the control hosts that the settings name."""
        self._controls.set_seeds(addresses)
        for address in addresses:
            self._add(address)

    async def beat_now(self) -> None:
        """Send a heartbeat to every control host, for instance before stopping."""
        await asyncio.gather(*(self._beat(address) for address in self._tasks))

    def close(self) -> None:
        """Stop all heartbeats."""
        for task in self._tasks.values():
            task.cancel()

    def _add(self, address: str) -> None:
        if self._controls.add(address, self._clock.now()):
            self._tasks[address] = asyncio.create_task(
                keep_running(lambda: self._run(address), self._note_error)
            )

    async def _run(self, address: str) -> None:
        while self._controls.is_wanted(address, self._clock.now()):
            await self._beat(address)
            pause = BEAT_S if self._controls.is_urgent(address) else CALM_BEAT_S
            if not self._config.version:
                pause = FIRST_BEAT_S
            await asyncio.sleep(pause * (0.8 + 0.4 * self._rng.random()))
        self._controls.drop(address)
        del self._tasks[address]

    async def _beat(self, address: str) -> None:
        held, now = self._config.version, self._clock.now()
        wants_changes = self._controls.wants_changes(address, held, now)
        digest = self._digests.get(address, "")
        beat = self._make_beat(digest, wants_changes, self._controls.relay)
        request = encode_message(address, BEAT_PATH, beat)
        try:
            head, body = await self._pool.fetch(address, request, TIMEOUT_S)
            if head.status != 200:
                detail = decode(body, ErrorBody).error
                raise WigeonspanError(detail.kind, detail.message)
            reply = decode(body, BeatReply)
            self._take_changes(address, reply)
        except (ExchangeFailed, WigeonspanError, BadValue) as error:
            if self._controls.unanswered(address):
                self._trail.note(
                    "beats", "control_lost", control=address, why=str(error)
                )
            self._tell_relay()
            return
        self._take(address, reply)

    def _take_changes(self, address: str, reply: BeatReply) -> None:
        """Take what has changed.

        Raises
        ------
        BadValue
            When it cannot be read.
        """
        if reply.config is not None:
            self._config.offer(unpack(reply.config, StoredConfig), address)
        if reply.entries is not None:
            self._note_entries(unpack(reply.entries, list[EntryInfo]))
            self._digests[address] = reply.entries_digest

    def _take(self, address: str, reply: BeatReply) -> None:
        self._answered.add(address)
        version, now = reply.config_version, self._clock.now()
        if self._controls.answered(
            address,
            reply.domain,
            version,
            reply.switching,
            now,
            leads=reply.leads,
        ):
            self._trail.note("beats", "control_back", control=address)
        for control in reply.controls:
            self._add(control)
        self._note_switching(self._controls.switching)
        self._tell_relay()

    def _tell_relay(self) -> None:
        if self._controls.relay != self._relay:
            self._relay = self._controls.relay
            self._note_relay(self._relay)
            self._trail.note("beats", "relay_chosen", relay=self._relay)
