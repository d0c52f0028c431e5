"""Transport that sends messages to other members over HTTP."""

import asyncio
from collections import deque
from collections.abc import Callable

from msgspec import structs
from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import Clock, WigeonspanError, part_logger
from wigeonspan.consensus._messages import (
    BatchReply,
    InstallSnapshot,
    Message,
    MessageBatch,
    SnapshotMeta,
)
from wigeonspan.http import post_message

RAFT_PATH = "/internal/v1/raft"
"""Path to which consensus messages are posted."""

REQUEST_TIMEOUT_S = 1.0
"""Timeout of a request in seconds; equal to the leader lease."""

LATE_REQUEST_S = 0.1
"""Seconds after which the next request is sent although the previous one is unanswered,
so that one unresponsive connection does not stop the heartbeats."""

MAX_IN_FLIGHT = 8
"""Maximum number of unanswered requests to one member."""

MAX_QUEUED = 256
"""Maximum number of queued messages to one member. Beyond it the oldest are dropped,
because the protocol sends them again."""

_log = part_logger("consensus")


class Transport:
    """Queues messages by address and sends them in HTTP requests.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client to use.
    clock : Clock
        Source of time.
    read_chunk : callable
        Returns the part of a snapshot at an offset, or None when the snapshot was
        replaced.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        clock: Clock,
        read_chunk: Callable[[SnapshotMeta, int], bytes | None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._read_chunk = read_chunk
        self._queues: dict[str, deque[Message]] = {}
        self._in_flight: dict[str, int] = {}
        self._started_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, messages: list[Message]) -> None:
        """Queue messages and send them as soon as possible."""
        for message in messages:
            address = message.target.address
            queue = self._queues.setdefault(address, deque(maxlen=MAX_QUEUED))
            queue.append(message)
        for address in {message.target.address for message in messages}:
            self._flush(address)

    def flush(self) -> None:
        """Send messages that are queued behind late requests."""
        for address in self._queues:
            self._flush(address)

    async def close(self) -> None:
        """Cancel all requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _flush(self, address: str) -> None:
        queue = self._queues[address]
        in_flight = self._in_flight.get(address, 0)
        now = self._clock.now()
        late = now - self._started_at.get(address, now) >= LATE_REQUEST_S
        if not queue or in_flight >= MAX_IN_FLIGHT or (in_flight and not late):
            return
        messages = list(queue)
        queue.clear()
        self._in_flight[address] = in_flight + 1
        self._started_at[address] = now
        task = asyncio.create_task(self._post(address, messages))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _post(self, address: str, messages: list[Message]) -> None:
        batch = MessageBatch(
            [m for m in map(self._with_snapshot_chunk, messages) if m is not None]
        )
        url = f"http://{address}{RAFT_PATH}"
        try:
            await post_message(self._client, url, batch, BatchReply, REQUEST_TIMEOUT_S)
        except WigeonspanError as error:
            _log.debug("Messages to {} were lost: {}.", address, error)
        finally:
            self._in_flight[address] -= 1
        self._flush(address)

    def _with_snapshot_chunk(self, message: Message) -> Message | None:
        """Return a message with its snapshot chunk filled in, if it needs one.

        None when the snapshot was replaced in the meantime.
        """
        body = message.body
        if not isinstance(body, InstallSnapshot):
            return message
        data = self._read_chunk(body.meta, body.offset)
        if data is None:
            return None
        return structs.replace(message, body=structs.replace(body, data=data))
