"""Poller of the platform's host list, on the leader."""

import asyncio
from typing import Protocol

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from wigeonspan.catalog import CatalogObject, Engine
from wigeonspan.common import Clock, WigeonspanError, decode, encode, part_logger
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.hostlist._core import leave_commands
from wigeonspan.hostlist._messages import ListedHost

TIMEOUT_S = 2.0
"""Longest wait for the list; the next poll asks again."""

_log = part_logger("hostlist")


class EngineSource(Protocol):
    """What the poller reads of the catalogue."""

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind."""
        ...


class HostListTask:
    """Sets engines on leaving hosts to the phase LEAVING.

    Parameters
    ----------
    url : str
        URL of the list.
    interval_s : float
        Time between two reads in seconds.
    log : ReplicatedLog
        Log to commit through.
    catalog : EngineSource
        Replicated configuration.
    client : CurlAsyncHTTPClient
        Client to use.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        url: str,
        interval_s: float,
        log: ReplicatedLog,
        catalog: EngineSource,
        client: CurlAsyncHTTPClient,
        clock: Clock,
    ) -> None:
        self._url = url
        self._interval_s = interval_s
        self._replicated = log
        self._catalog = catalog
        self._client = client
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled; does nothing while this host does not lead."""
        while True:
            if self._replicated.is_leader:
                await self.poll_once()
            await asyncio.sleep(self._interval_s)

    async def poll_once(self) -> int:
        """Read the list and commit what follows; return the number of commands."""
        hosts = await self._read()
        engines = [e for e in self._catalog.objects("engine") if isinstance(e, Engine)]
        commands = leave_commands(hosts, engines, self._clock.wall_ms())
        for command in commands:
            try:
                await self._replicated.propose(encode(command))
            except WigeonspanError as error:
                _log.warning("{}: commit failed: {}.", command.engine, error)
            else:
                _log.info("{}: {}.", command.engine, command.reason)
        return len(commands)

    async def _read(self) -> list[ListedHost]:
        """Return the list; an unreadable one counts as empty."""
        request = HTTPRequest(
            self._url, connect_timeout=TIMEOUT_S, request_timeout=TIMEOUT_S
        )
        try:
            response = await self._client.fetch(request)
            return decode(response.body, list[ListedHost])
        except (OSError, HTTPClientError, WigeonspanError) as error:
            _log.warning("Host list cannot be read: {}.", error)
            return []
