"""Exchange of record entries between members of the control group."""

import asyncio
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import WigeonspanError, part_logger
from wigeonspan.http import JsonHandler, post_message
from wigeonspan.record._errors import RecordError
from wigeonspan.record._messages import FetchRecord, RecordChunk
from wigeonspan.record._store import RecordStore

RECORD_PATH = "/internal/v1/record"
"""HTTP path at which a member serves its entries."""

FETCH_TIMEOUT_S = 3.0
"""Timeout in seconds of the request for one chunk."""

WRITE_INTERVAL_S = 1.0
"""Seconds between writes of pending entries, so that other programs can read them."""

_log = part_logger("record")


class RecordHandler(JsonHandler):
    """Serve entries of the record to other members."""

    def initialize(self, store: RecordStore) -> None:
        """Set the record to serve."""
        self._store = store

    async def post(self) -> None:
        """Respond with the requested entries, read in a worker thread."""
        message: FetchRecord = self.read_message(FetchRecord)
        chunk = await asyncio.to_thread(self._store.chunk, message.first, message.last)
        self.send_message(chunk)


async def fetch_chunk(
    client: CurlAsyncHTTPClient, address: str, first: int, last: int
) -> RecordChunk:
    """Request entries from a member.

    Raises
    ------
    WigeonspanError
        When the request fails.
    """
    url = f"http://{address}{RECORD_PATH}"
    message = FetchRecord(first, last)
    return await post_message(client, url, message, RecordChunk, FETCH_TIMEOUT_S)


async def maintain_record(
    store: RecordStore,
    client: CurlAsyncHTTPClient,
    peers: Callable[[], list[str]],
) -> None:
    """Write pending entries and fetch missing ones until cancelled.

    Parameters
    ----------
    store : RecordStore
        Record of this host.
    client : CurlAsyncHTTPClient
        HTTP client for requests to other members.
    peers : callable
        Returns the internal addresses of the other members, in order of preference.
    """
    while True:
        try:
            await asyncio.to_thread(store.write_pending)
        except OSError as error:
            _log.error("Cannot write record entries, they stay in memory: {}.", error)
        fetched = await _fetch_missing(store, client, peers())
        await asyncio.sleep(0.0 if fetched else WRITE_INTERVAL_S)


async def _fetch_missing(
    store: RecordStore, client: CurlAsyncHTTPClient, peers: list[str]
) -> bool:
    """Fetch one chunk of the first gap; return whether entries were stored."""
    gap = store.gap()
    if gap is None:
        return False
    for address in peers:
        try:
            chunk = await fetch_chunk(client, address, gap.first, gap.last)
            if not chunk.lines:
                continue
            await asyncio.to_thread(store.fill, gap, chunk.lines)
        except (WigeonspanError, RecordError, OSError) as error:
            _log.warning("Cannot use record entries from {}: {}.", address, error)
            continue
        _log.info("Fetched {} record entries from {}.", len(chunk.lines), address)
        return True
    return False
