"""Exchange of record entries between members of the control group."""

import asyncio
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import WigeonspanError, part_logger
from wigeonspan.http import JsonHandler, post_message
from wigeonspan.record._book import RecordBook
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._messages import FetchRecord, RecordChunk

RECORD_PATH = "/internal/v1/record"
"""Path at which a member gives its entries."""

FETCH_TIMEOUT_S = 3.0
"""Longest wait for one chunk."""

WRITE_INTERVAL_S = 1.0
"""Longest time that an entry waits in memory before other programs can read it."""

_log = part_logger("record")


class RecordHandler(JsonHandler):
    """Gives entries of the record to another member."""

    def initialize(self, book: RecordBook) -> None:
        """Take the record of this host."""
        self._book = book

    async def post(self) -> None:
        """Answer with a chunk, read in a worker thread."""
        message: FetchRecord = self.read_message(FetchRecord)
        chunk = await asyncio.to_thread(self._book.chunk, message.first, message.last)
        self.send_message(chunk)


async def fetch_chunk(
    client: CurlAsyncHTTPClient, address: str, first: int, last: int
) -> RecordChunk:
    """Ask a member for entries.

    Raises
    ------
    WigeonspanError
        When it does not answer.
    """
    url = f"http://{address}{RECORD_PATH}"
    message = FetchRecord(first, last)
    return await post_message(client, url, message, RecordChunk, FETCH_TIMEOUT_S)


async def keep_record(
    book: RecordBook,
    client: CurlAsyncHTTPClient,
    sources: Callable[[], list[str]],
) -> None:
    """Write entries out and fetch missing ones until cancelled.

    Parameters
    ----------
    book : RecordBook
        Record of this host.
    client : CurlAsyncHTTPClient
        Client for messages to other members.
    sources : callable
        Returns the internal addresses of the other members, best first.
    """
    while True:
        try:
            await asyncio.to_thread(book.write_out)
        except OSError as error:
            _log.error("Entries wait in memory: {}.", error)
        progress = await _fetch_some(book, client, sources())
        await asyncio.sleep(0.0 if progress else WRITE_INTERVAL_S)


async def _fetch_some(
    book: RecordBook, client: CurlAsyncHTTPClient, sources: list[str]
) -> bool:
    """Fetch one chunk of the first gap; return whether some entries came."""
    gap = book.gap()
    if gap is None:
        return False
    for address in sources:
        try:
            chunk = await fetch_chunk(client, address, gap.first, gap.last)
            if not chunk.lines:
                continue
            await asyncio.to_thread(book.fill, gap, chunk.lines)
        except (WigeonspanError, RecordFault, OSError) as error:
            _log.warning("Entries from {} are not usable: {}.", address, error)
            continue
        _log.info("Got {} entries from {}.", len(chunk.lines), address)
        return True
    return False
