"""Operators: they change the configuration and read it back."""

import asyncio
import random
import time

from standin import HOST, encode_config, read_version, store

from soak._evidence import Stored, VersionRead
from soak._world import APPS, MODELS, SLOTS, World
from wigeonspan.fleetconfig import (
    CallKind,
    EngineTraits,
    FleetConfig,
    Route,
    ServiceSpec,
    WeightedService,
)

READ_EVERY_S = 0.4
"""Seconds between two reads of the configuration."""

RETRY_S = 0.15
"""Seconds before a change without a clear answer is sent again."""

GIVE_UP_S = 20.0
"""Seconds after which a change without a clear answer is given up."""

STREAM_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 1.2

ATTEMPTS = 2
"""Targets to which one request may be sent, on routes where it may run again."""


def marker_path(version: int) -> str:
    """Return the path that exists from a version on."""
    return f"/v{version}/"


def make_config(versions: list[int]) -> FleetConfig:
    """Return the configuration of the last version, with a route for each one."""
    models, apps = (WeightedService(MODELS, 1.0),), (WeightedService(APPS, 1.0),)

    def stream(name: str, *, resumable: bool) -> Route:
        return Route(
            name,
            HOST,
            f"/{name}/",
            CallKind.STREAM,
            models,
            STREAM_TIMEOUT_S,
            0.4,
            0.25,
            max_attempts=ATTEMPTS if resumable else 1,
            resumable=resumable,
        )

    def call(name: str, kind: CallKind, attempts: int) -> Route:
        prefix = f"/{name}/"
        return Route(
            name, HOST, prefix, kind, apps, CALL_TIMEOUT_S, 0.1, max_attempts=attempts
        )

    routes = (
        stream("resumable", resumable=True),
        stream("single", resumable=False),
        call("read", CallKind.IDEMPOTENT, ATTEMPTS),
        call("book", CallKind.NON_IDEMPOTENT, ATTEMPTS),
        *(call(f"v{version}", CallKind.IDEMPOTENT, 1) for version in versions),
    )
    services = (
        ServiceSpec(MODELS, "/health", 600, EngineTraits(SLOTS, 100_000, 5.0, 1.0)),
        ServiceSpec(APPS, "/health", 600),
    )
    return FleetConfig(versions[-1], routes, services)


class Operators:
    """Operators of a world."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._versions: list[int] = []

    @property
    def newest(self) -> int:
        """Newest version that was sent."""
        return self._versions[-1]

    async def change(self) -> bool:
        """Send the next version until it is acknowledged; return whether it was."""
        last = self._versions[-1] if self._versions else 0
        self._versions.append(last + self._rng.randint(1, 3))
        document = encode_config(make_config(self._versions))
        stored = Stored(self.newest, time.monotonic())
        self._world.evidence.stored.append(stored)
        status = await self._send(document)
        if status == 200:
            stored.acknowledged_at = time.monotonic()
        stored.refused = 400 <= status < 500
        return status == 200

    async def send_invalid(self) -> None:
        """Send a configuration with a route to a service that does not exist."""
        version = self.newest + 1000
        document = encode_config(make_config([*self._versions, version]))
        broken = document.replace(b'"apps"', b'"none"', 1)
        stored = Stored(version, time.monotonic(), valid=False)
        self._world.evidence.stored.append(stored)
        status = await self._send(broken)
        if status == 200:
            stored.acknowledged_at = time.monotonic()

    async def read_for(self, until: float) -> None:
        """Read the configuration at random hosts until a time."""
        while time.monotonic() < until:
            await asyncio.gather(
                self.read_once(), asyncio.sleep(READ_EVERY_S * self._rng.random() * 2)
            )

    async def read_once(self) -> int | None:
        """Read the configuration at one host."""
        host = self._rng.choice([h for h in self._world.controls if not h.removed])
        sent_at = time.monotonic()
        version = await read_version(self._world.control(host))
        if version is not None:
            read = VersionRead(sent_at, host.name, version)
            self._world.evidence.reads.append(read)
        return version

    async def _send(self, document: bytes) -> int:
        """Send a document to one host after the other; return a clear status or 0."""
        end = time.monotonic() + GIVE_UP_S
        while time.monotonic() < end:
            hosts = [h for h in self._world.controls if not h.removed]
            status = await store(self._world.control(self._rng.choice(hosts)), document)
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(RETRY_S)
        return 0
