"""Simulated operators that change the configuration and read it back."""

import asyncio
import random
import time
from itertools import count

from standin import HOST, encode_config, read_version, store

from soak._evidence import SentConfig, VersionRead
from soak._world import APPS, ENGINE_SLOTS, ENGINE_TOKENS, HANDLE_TTL_S, MODELS, World
from wigeonspan.common import DomainName, TenantName
from wigeonspan.fleetconfig import (
    ApiKey,
    CallKind,
    EngineTraits,
    FleetConfig,
    Route,
    ScalingSpec,
    ServiceSpec,
    TenantSpec,
    WeightedService,
)

READ_INTERVAL_S = 0.4
"""Mean time in seconds between two reads of the configuration."""

RETRY_DELAY_S = 0.15
"""Seconds before a change without a definite answer is sent again."""

SEND_TIMEOUT_S = 20.0
"""Seconds after which a change without a definite answer is abandoned."""

STREAM_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 1.2

MAX_ATTEMPTS = 2
"""Largest number of attempts for a request, on routes that allow retries."""


KEY_START = "soak-key-"
"""Beginning of every key of a run."""

TENANTS = ("large", "small", "rare")

SCALING = ScalingSpec(1, 4, 2.0, 0.2, {DomainName(f"z{n}"): 1.0 for n in range(3)})
"""Bounds of the engines. Orders are recorded, but the engines stay as they are, since
their phases are part of the schedule."""


def marker_path(version: int) -> str:
    """Return the path of the route that was added with a version."""
    return f"/v{version}/"


def make_config(
    versions: list[int],
    keys: dict[str, list[str]] | None = None,
    engine_tokens: int = ENGINE_TOKENS,
) -> FleetConfig:
    """Make the configuration of the last version, with a route for each version.

    Parameters
    ----------
    keys : dict or None
        Keys by tenant; None for a configuration without tenants and orders.
    engine_tokens : int
        Tokens that fit into the memory of an engine.
    """
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
            max_attempts=MAX_ATTEMPTS if resumable else 1,
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
        call("read", CallKind.IDEMPOTENT, MAX_ATTEMPTS),
        call("book", CallKind.NON_IDEMPOTENT, MAX_ATTEMPTS),
        *(call(f"v{version}", CallKind.IDEMPOTENT, 1) for version in versions),
    )
    services = (
        ServiceSpec(
            MODELS,
            "/health",
            600,
            EngineTraits(ENGINE_SLOTS, engine_tokens, HANDLE_TTL_S, 1.0),
            None if keys is None else SCALING,
        ),
        ServiceSpec(APPS, "/health", 600),
    )
    tenants = None
    if keys is not None:
        tenants = tuple(
            TenantSpec(TenantName(tenant), tuple(ApiKey(key) for key in held))
            for tenant, held in keys.items()
        )
    return FleetConfig(versions[-1], routes, services, tenants=tenants)


class Operators:
    """Simulated operators.

    Parameters
    ----------
    rng : random.Random
        Draws version increments, control hosts and the pauses between reads.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._versions: list[int] = []
        self._key_numbers = count(1)
        self._keys: dict[str, list[str]] | None = None
        if world.schedule.has_tenants:
            self._keys = {tenant: [] for tenant in TENANTS}
            for tenant in (*TENANTS, *TENANTS):
                self._add_key(tenant)

    def _add_key(self, tenant: str) -> None:
        assert self._keys is not None
        # The name of no tenant is part of a key, so that logs can be searched for keys.
        key = f"{KEY_START}{self._world.schedule.seed}-{next(self._key_numbers)}"
        self._keys[tenant].append(key)
        self._world.evidence.tenant_by_key[key] = tenant

    async def revoke_key(self, number: int) -> None:
        """Send a configuration in which a tenant has another key in place of one."""
        assert self._keys is not None
        tenant = TENANTS[number % len(TENANTS)]
        # The first key of each tenant stays, to show that no valid key is refused.
        removed = self._keys[tenant].pop(1)
        self._world.evidence.removed_keys.add(removed)
        self._add_key(tenant)
        await self.change()

    @property
    def newest(self) -> int:
        """Newest version that was sent, apart from invalid ones."""
        return self._versions[-1]

    async def change(self) -> bool:
        """Send the next version; return whether it was acknowledged."""
        last = self._versions[-1] if self._versions else 0
        self._versions.append(last + self._rng.randint(1, 3))
        document = encode_config(self._make_config())
        removed = set(self._world.evidence.removed_keys)
        config = SentConfig(self.newest, time.monotonic())
        self._world.evidence.sent_configs.append(config)
        status = await self._send(document)
        if status == 200:
            config.acknowledged_at = time.monotonic()
            for key in removed:
                revoked_at = self._world.evidence.revoked_at
                revoked_at.setdefault(key, config.acknowledged_at)
        config.refused = 400 <= status < 500
        return status == 200

    def _make_config(self, *versions: int) -> FleetConfig:
        memory = self._world.schedule.engine_memory
        engine_tokens = ENGINE_TOKENS if memory is None else memory.tokens
        return make_config([*self._versions, *versions], self._keys, engine_tokens)

    async def send_invalid(self) -> None:
        """Send a configuration with a route to a service that does not exist."""
        version = self.newest + 1000
        document = encode_config(self._make_config(version))
        invalid = document.replace(b'"apps"', b'"none"', 1)
        config = SentConfig(version, time.monotonic(), valid=False)
        self._world.evidence.sent_configs.append(config)
        status = await self._send(invalid)
        if status == 200:
            config.acknowledged_at = time.monotonic()

    async def read_until(self, until: float) -> None:
        """Read the configuration from random control hosts until a given time."""
        while time.monotonic() < until:
            await asyncio.gather(
                self.read_once(),
                asyncio.sleep(READ_INTERVAL_S * self._rng.random() * 2),
            )

    async def read_once(self) -> int | None:
        """Read and record the version at a random control host, if it answers."""
        host = self._rng.choice([h for h in self._world.controls if not h.removed])
        sent_at = time.monotonic()
        version = await read_version(self._world.control_address(host))
        if version is not None:
            read = VersionRead(sent_at, host.name, version)
            self._world.evidence.reads.append(read)
        return version

    async def _send(self, document: bytes) -> int:
        """Send a document to random control hosts until one gives a definite answer.

        Returns
        -------
        int
            Status of that answer; 0 if there was none within ``SEND_TIMEOUT_S``.
        """
        end = time.monotonic() + SEND_TIMEOUT_S
        while time.monotonic() < end:
            hosts = [h for h in self._world.controls if not h.removed]
            status = await store(
                self._world.control_address(self._rng.choice(hosts)), document
            )
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(RETRY_DELAY_S)
        return 0
