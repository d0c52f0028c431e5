"""Heartbeats to the control hosts; they bring the configuration and the entries."""

import asyncio
import random
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorBody,
    WigeonspanError,
    decode,
)
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.pool import ConnectionPool, ExchangeFailed, encode_message
from wigeonspan.presence import BEAT_PATH, Beat, BeatReply, EntryInfo
from wigeonspan.targets import TargetId
from wigeonspan.trail import Trail

BEAT_S = 0.5
"""Seconds between heartbeats to one control host; a configuration must be in force
within two seconds."""

FIRST_BEAT_S = 0.15
"""Seconds between heartbeats until the first configuration."""

TIMEOUT_S = 1.0
"""Seconds in which a control host must answer."""

FORGET_S = 20.0
"""Seconds without an answer after which a control host is not asked any more, unless
the settings name it."""


class _Control(Struct):
    answered_at: float
    switching: list[TargetId] = []
    domain: DomainName | None = None
    reachable: bool = True


class BeatTask:
    """Asks every known control host in turn.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    make_beat : callable
        Returns the heartbeat to send now from the digest of the entries and the chosen
        relay.
    note_entries : callable
        Takes the live entries when they have changed.
    note_switching : callable
        Takes the engines whose phase is changing.
    note_relay : callable
        Takes the address of the relay of datagrams.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        config: ConfigHolder,
        trail: Trail,
        rng: random.Random,
        domain: DomainName,
        make_beat: Callable[[str, str], Beat],
        note_entries: Callable[[list[EntryInfo]], None],
        note_switching: Callable[[list[TargetId]], None],
        note_relay: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._config = config
        self._trail = trail
        self._rng = rng
        self._domain = domain
        self._make_beat = make_beat
        self._note_entries = note_entries
        self._note_switching = note_switching
        self._note_relay = note_relay
        self._seeds: set[str] = set()
        self._controls: dict[str, _Control] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._digests: dict[str, str] = {}
        self._answered: set[str] = set()
        self._relay = ""

    @property
    def answers(self) -> int:
        """Number of control hosts that have answered since the start."""
        return len(self._answered)

    @property
    def answered_at(self) -> float:
        """Monotonic time at which a control host last answered."""
        return max((c.answered_at for c in self._controls.values()), default=0.0)

    def set_seeds(self, addresses: list[str]) -> None:
        """Note the control hosts that the settings name."""
        self._seeds = set(addresses)
        for address in addresses:
            self._add(address)

    async def beat_now(self) -> None:
        """Send a heartbeat to every control host, for instance before stopping."""
        await asyncio.gather(*(self._beat(address) for address in self._controls))

    def close(self) -> None:
        """Stop all heartbeats."""
        for task in self._tasks.values():
            task.cancel()

    def _add(self, address: str) -> None:
        if address in self._controls:
            return
        self._controls[address] = _Control(self._clock.now())
        self._tasks[address] = asyncio.create_task(self._run(address))

    async def _run(self, address: str) -> None:
        while self._is_wanted(address):
            await self._beat(address)
            pause = BEAT_S if self._config.version else FIRST_BEAT_S
            await asyncio.sleep(pause * (0.8 + 0.4 * self._rng.random()))
        del self._controls[address], self._tasks[address]

    def _is_wanted(self, address: str) -> bool:
        silent_s = self._clock.now() - self._controls[address].answered_at
        return address in self._seeds or silent_s < FORGET_S

    async def _beat(self, address: str) -> None:
        control = self._controls[address]
        beat = self._make_beat(self._digests.get(address, ""), self._relay)
        request = encode_message(address, BEAT_PATH, beat)
        try:
            head, body = await self._pool.fetch(address, request, TIMEOUT_S)
            if head.status != 200:
                detail = decode(body, ErrorBody).error
                raise WigeonspanError(detail.kind, detail.message)
            reply = decode(body, BeatReply)
        except (ExchangeFailed, WigeonspanError) as error:
            if control.reachable:
                control.reachable = False
                # Its word on phases is void; the list shows what came of it.
                control.switching = []
                self._choose_relay()
                self._trail.note(
                    "beats", "control_lost", control=address, why=str(error)
                )
            return
        control.answered_at = self._clock.now()
        if not control.reachable:
            control.reachable = True
            self._trail.note("beats", "control_back", control=address)
        self._take(address, reply)

    def _take(self, address: str, reply: BeatReply) -> None:
        self._answered.add(address)
        if reply.config is not None:
            self._config.offer(reply.config, address)
        for control in reply.controls:
            self._add(control)
        if reply.entries is not None:
            self._note_entries(reply.entries)
        self._digests[address] = reply.entries_digest
        self._controls[address].switching = reply.switching
        self._controls[address].domain = reply.domain
        self._choose_relay()
        self._note_switching([t for c in self._controls.values() for t in c.switching])

    def _choose_relay(self) -> None:
        """Use the relay of a control host that answers, best one of this domain."""
        heard = [
            (control.domain != self._domain, address)
            for address, control in self._controls.items()
            if control.reachable and control.domain is not None
        ]
        relay = min(heard)[1] if heard else ""
        if relay != self._relay:
            self._relay = relay
            self._note_relay(relay)
            self._trail.note("beats", "relay_chosen", relay=relay)
