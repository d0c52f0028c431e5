"""Task of an entry that syncs with the leader."""

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
"""Time between syncs; eight of them fit into a routing lease."""

SYNC_TIMEOUT_S = 0.5
"""Longest wait for a reply; a frozen leader must not use up the lease."""

RETRY_S = 0.1
"""Mean pause before another control host is asked, so that a group without a leader
is not flooded."""

JITTER = 0.2
"""Relative spread of pauses, so that entries do not sync in step."""

_log = part_logger("distribution")


class Observations(Struct, frozen=True):
    """What an entry reports with a sync; samples cover the time since the last one."""

    draining: bool = False
    in_flight: dict[EngineId, InFlight] = {}
    demand: list[DemandSample] = []
    engines: list[EngineSample] = []
    tenant_rates: dict[TenantName, float] = {}


class SyncTask:
    """Keeps a follower in sync with the leader.

    Parameters
    ----------
    follower : Follower
        Core that takes the replies; its properties may be read at any time.
    address : str
        Address to which callers of this entry connect.
    domain : DomainName
        Failure domain of this entry.
    control_addresses : sequence of str
        Internal addresses of control hosts from the settings.
    observe : callable
        Returns what to report; called once for each request that is sent.
    client : CurlAsyncHTTPClient
        Client to use.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    on_reply : callable
        Called after each reply that the follower used.
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
        self._settings_addresses = list(control_addresses)
        self._observe = observe
        self._client = client
        self._clock = clock
        self._rng = rng
        self._on_reply = on_reply
        self._leader = ""
        self._next = rng.randrange(max(1, len(self._settings_addresses)))
        self._last_sent = clock.now()
        self._wake = asyncio.Event()

    @property
    def leader_address(self) -> str:
        """Internal address of the leader as last seen; empty when unknown."""
        return self._leader

    def sync_soon(self) -> None:
        """Sync without waiting for the interval, for example when draining starts."""
        self._wake.set()

    async def run(self) -> None:
        """Sync until cancelled."""
        while True:
            version = self._follower.version
            answered = await self.sync_once()
            if answered and self._follower.version != version:
                # Confirms the new version at once; the leader waits for it.
                continue
            mean = SYNC_INTERVAL_S if answered else RETRY_S
            await self._pause(mean * self._rng.uniform(1 - JITTER, 1 + JITTER))

    async def sync_once(self) -> bool:
        """Send one sync to the leader, or to the next control host.

        Returns
        -------
        bool
            Whether a leader answered and its reply was used.
        """
        address = self._leader or self._next_address()
        sent_at = self._clock.now()
        request = self._request(sent_at)
        url = f"http://{address}{SYNC_PATH}"
        try:
            reply = await post_message(
                self._client, url, request, SyncReply, SYNC_TIMEOUT_S
            )
        except WigeonspanError as error:
            self._lost_leader(address, error)
            return False
        if not self._follower.accept(reply, sent_at):
            self._leader = ""
            return False
        if self._leader != address:
            _log.info("Leader is {}, term {}.", address, reply.term)
        self._leader = address
        self._on_reply()
        return True

    def _request(self, now: float) -> SyncRequest:
        seen = self._observe()
        interval_s = now - self._last_sent
        self._last_sent = now
        return SyncRequest(
            entry=self._follower.entry,
            incarnation=self._follower.incarnation,
            address=self._address,
            domain=self._domain,
            version=self._follower.version,
            draining=seen.draining,
            interval_s=interval_s,
            in_flight=seen.in_flight,
            demand=seen.demand,
            engines=seen.engines,
            tenant_rates=seen.tenant_rates,
            live_stamp=self._follower.live_stamp,
        )

    def _lost_leader(self, address: str, error: WigeonspanError) -> None:
        hint = error.leader if error.kind is ErrorKind.NOT_LEADER else ""
        if self._leader == address:
            _log.info("Leader {} lost: {}.", address, error)
        self._leader = hint if hint != address else ""

    def _next_address(self) -> str:
        """Return the next control host of the settings and the configuration."""
        members = self._follower.configuration.all(Member)
        known = {member.address for member in members if member.voter}
        addresses = self._settings_addresses + sorted(
            known - set(self._settings_addresses)
        )
        self._next += 1
        return addresses[self._next % len(addresses)]

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), seconds)
        except TimeoutError:
            return
        finally:
            self._wake.clear()
