"""Task of the leader that polls the platform's host list."""

import asyncio
from typing import Protocol

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from wigeonspan.catalog import CatalogObject, Engine
from wigeonspan.common import (
    Clock,
    WigeonspanError,
    decode,
    encode,
    part_logger,
    split_array,
)
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.hostlist._core import commands_for_leaving_hosts
from wigeonspan.hostlist._messages import ListedHost

TIMEOUT_S = 2.0
"""Timeout in seconds of a request for the list; the next poll tries again."""

MAX_LOGGED = 200
"""Most bytes of a skipped entry in a log line."""

_log = part_logger("hostlist")


class EngineCatalog(Protocol):
    """Part of the catalog that the task reads."""

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind."""
        ...


class HostListPoller:
    """Moves engines on leaving hosts to the phase ``LEAVING``.

    Parameters
    ----------
    url : str
        URL of the list.
    interval_s : float
        Seconds between two polls.
    log : ReplicatedLog
        Log to which commands are committed.
    catalog : EngineCatalog
        Replicated configuration with the engines.
    client : CurlAsyncHTTPClient
        Client that sends the requests.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        url: str,
        interval_s: float,
        log: ReplicatedLog,
        catalog: EngineCatalog,
        client: CurlAsyncHTTPClient,
        clock: Clock,
    ) -> None:
        self._url = url
        self._interval_s = interval_s
        self._replicated_log = log
        self._catalog = catalog
        self._client = client
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled, but only while this host is the leader."""
        while True:
            if self._replicated_log.is_leader:
                await self.poll_once()
            await asyncio.sleep(self._interval_s)

    async def poll_once(self) -> int:
        """Read the list, commit the commands for it and return their number.

        A command that fails to commit is logged and counted, too.
        """
        hosts = await self._read()
        engines = [e for e in self._catalog.objects("engine") if isinstance(e, Engine)]
        commands = commands_for_leaving_hosts(hosts, engines, self._clock.wall_ms())
        for command in commands:
            try:
                await self._replicated_log.propose(encode(command))
            except WigeonspanError as error:
                _log.warning(
                    "Failed to commit phase LEAVING of engine {}: {}.",
                    command.engine,
                    error,
                )
            else:
                _log.info(
                    "Engine {} set to phase LEAVING: {}.",
                    command.engine,
                    command.reason,
                )
        return len(commands)

    async def _read(self) -> list[ListedHost]:
        """Return the list, or an empty list when it cannot be read."""
        request = HTTPRequest(
            self._url, connect_timeout=TIMEOUT_S, request_timeout=TIMEOUT_S
        )
        try:
            response = await self._client.fetch(request)
            encoded = split_array(response.body or b"")
        except (OSError, HTTPClientError, WigeonspanError) as error:
            _log.warning("Failed to read the host list: {}.", error)
            return []
        hosts: list[ListedHost] = []
        for element in encoded:
            try:
                hosts.append(decode(element, ListedHost))
            except WigeonspanError as error:
                text = bytes(element)[:MAX_LOGGED].decode(errors="replace")
                _log.warning("Skipped an entry of the host list: {}: {}.", error, text)
        return hosts
