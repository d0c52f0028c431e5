"""Task of an entry that syncs with the leader at regular intervals."""

import asyncio
import random
from collections.abc import Callable, Sequence

from msgspec import Struct
from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.catalog import Member
from wigeonspan.common import (
    Clock,
    DomainName,
    EngineId,
    ErrorKind,
    TenantName,
    WigeonspanError,
    part_logger,
)
from wigeonspan.distribution._follower import Follower
from wigeonspan.distribution._handler import SYNC_PATH
from wigeonspan.distribution._messages import (
    DemandSample,
    EngineSample,
    InFlight,
    SyncReply,
    SyncRequest,
)
from wigeonspan.http import post_message

SYNC_INTERVAL_S = 0.5
"""Mean time between syncs in seconds; a routing lease covers eight of them."""

SYNC_TIMEOUT_S = 0.5
"""Timeout of a sync in seconds, short so that a leader that hangs does not use up
the lease."""

MEAN_RETRY_S = 0.1
"""Mean pause in seconds before another control host is tried, so that a group
without a leader is not flooded with requests."""

JITTER = 0.2
"""Relative variation of pauses, so that entries do not sync at the same time."""

_log = part_logger("distribution")


class Observations(Struct, frozen=True):
    """Values that an entry reports with a sync; samples cover the time since the last.

    The fields are described in ``SyncRequest``.
    """

    draining: bool = False
    in_flight: dict[EngineId, InFlight] = {}
    demand: list[DemandSample] = []
    engines: list[EngineSample] = []
    tenant_rates: dict[TenantName, float] = {}


class SyncTask:
    """Keep a follower in sync with the leader.

    Parameters
    ----------
    follower : Follower
        State that the replies update; its properties may be read at any time.
    address : str
        Address at which callers connect to this entry.
    domain : DomainName
        Failure domain of this entry.
    control_addresses : sequence of str
        Internal addresses of the control hosts in the settings.
    observe : callable
        Returns the values to report; called once for each request that is sent.
    client : CurlAsyncHTTPClient
        HTTP client for the syncs.
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Random source for the jitter and the first control host.
    on_reply : callable
        Called after each reply that the follower applied.
    """

    def __init__(
        self,
        follower: Follower,
        address: str,
        domain: DomainName,
        control_addresses: Sequence[str],
        observe: Callable[[], Observations],
        client: CurlAsyncHTTPClient,
        clock: Clock,
        rng: random.Random,
        on_reply: Callable[[], None] = lambda: None,
    ) -> None:
        self._follower = follower
        self._address = address
        self._domain = domain
        self._configured_addresses = list(control_addresses)
        self._observe = observe
        self._client = client
        self._clock = clock
        self._rng = rng
        self._on_reply = on_reply
        self._leader_address = ""
        self._next_index = rng.randrange(max(1, len(self._configured_addresses)))
        self._last_sync_at = clock.now()
        self._sync_requested = asyncio.Event()

    @property
    def leader_address(self) -> str:
        """Internal address of the last known leader; empty when unknown."""
        return self._leader_address

    def sync_soon(self) -> None:
        """Sync without waiting for the interval, for example when draining starts."""
        self._sync_requested.set()

    async def run(self) -> None:
        """Sync until cancelled."""
        while True:
            version = self._follower.version
            synced = await self.sync_once()
            if synced and self._follower.version != version:
                # Confirm the new version at once, because the leader waits for it.
                continue
            mean_pause_s = SYNC_INTERVAL_S if synced else MEAN_RETRY_S
            await self._pause(mean_pause_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    async def sync_once(self) -> bool:
        """Send one sync to the leader, or to the next control host.

        Returns
        -------
        bool
            Whether a leader replied and its reply was applied.
        """
        address = self._leader_address or self._next_address()
        sent_at = self._clock.now()
        request = self._request(sent_at)
        url = f"http://{address}{SYNC_PATH}"
        try:
            reply = await post_message(
                self._client, url, request, SyncReply, SYNC_TIMEOUT_S
            )
        except WigeonspanError as error:
            self._handle_sync_error(address, error)
            return False
        if not self._follower.accept(reply, sent_at):
            self._leader_address = ""
            return False
        if self._leader_address != address:
            _log.info("Syncing with leader {}, term {}.", address, reply.term)
        self._leader_address = address
        self._on_reply()
        return True

    def _request(self, now: float) -> SyncRequest:
        observations = self._observe()
        interval_s = now - self._last_sync_at
        self._last_sync_at = now
        return SyncRequest(
            entry=self._follower.entry,
            incarnation=self._follower.incarnation,
            address=self._address,
            domain=self._domain,
            version=self._follower.version,
            draining=observations.draining,
            interval_s=interval_s,
            in_flight=observations.in_flight,
            demand=observations.demand,
            engines=observations.engines,
            tenant_rates=observations.tenant_rates,
            live_stamp=self._follower.live_stamp,
        )

    def _handle_sync_error(self, address: str, error: WigeonspanError) -> None:
        leader_hint = error.leader if error.kind is ErrorKind.NOT_LEADER else ""
        if self._leader_address == address:
            _log.info("Sync with leader {} failed: {}.", address, error)
        self._leader_address = leader_hint if leader_hint != address else ""

    def _next_address(self) -> str:
        """Return the next control host from the settings and the configuration."""
        members = self._follower.configuration.all(Member)
        voter_addresses = {member.address for member in members if member.voter}
        addresses = self._configured_addresses + sorted(
            voter_addresses - set(self._configured_addresses)
        )
        self._next_index += 1
        return addresses[self._next_index % len(addresses)]

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._sync_requested.wait(), seconds)
        except TimeoutError:
            return
        finally:
            self._sync_requested.clear()
