"""Handler of ``POST /v1/completions``; responds with a stream or with one body."""

import asyncio
import time
from typing import Any

from tornado.iostream import StreamClosedError

from wigeonspan.common import ErrorKind, WigeonspanError, encode, part_logger
from wigeonspan.entryd._completion_job import CompletionJob
from wigeonspan.entryd._http import EntryHandler
from wigeonspan.entryd._relay import CompletionRelay
from wigeonspan.entryd._requests import parse_completion, parse_headers
from wigeonspan.http import check_json
from wigeonspan.streams import Token

_log = part_logger("relay")

KEEP_ALIVE = b": keep-alive\n\n"

END_MARKER = b"data: [DONE]\n\n"


class TokenBuffer:
    """Tokens that wait to be sent to the caller.

    The tracker bounds the size: it ends the attempt when too many bytes wait.
    """

    def __init__(self) -> None:
        self._tokens: list[Token] = []
        self._waiter: asyncio.Future[None] | None = None

    def put(self, token: Token) -> None:
        """Add a token."""
        self._tokens.append(token)
        self.wake()

    def wake(self, *_: Any) -> None:
        """Wake the task that waits in :meth:`take`."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def take(self, timeout_s: float) -> list[Token]:
        """Remove and return all tokens, after waiting at most ``timeout_s`` seconds."""
        if not self._tokens:
            # A future and a timer, since ``wait_for`` would create a task per token.
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_later(timeout_s, self.wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
        tokens, self._tokens = self._tokens, []
        return tokens


class CompletionHandler(EntryHandler):
    """Runs completion requests."""

    has_deadline = True

    _task: "asyncio.Task[None] | None" = None
    _write_blocked_since: float | None = None
    _reader_timer: asyncio.TimerHandle | None = None

    async def post(self) -> None:
        """Run a completion; respond with one body or with server-sent events."""
        self.record_arrival()
        self.entry.check_serving()
        headers = parse_headers(self.request.headers)
        check_json(self.request.headers)
        body = parse_completion(self.take_body())
        job = self.entry.make_job(headers, body)
        self.set_header("X-Request-Id", job.request)
        buffer = TokenBuffer()

        def consume(token: Token) -> None:
            # The tracker collects the text of a response with one body. No token waits
            # for the caller to read it, so each one counts as consumed immediately.
            relay.record_consumed(token.size)

        relay = self.entry.make_relay(job, buffer.put if body.stream else consume)
        task = asyncio.create_task(self.entry.complete(job, relay))
        self._task = task
        task.add_done_callback(buffer.wake)
        try:
            if body.stream:
                await self._stream(job, relay, task, buffer)
            else:
                await self._send_complete(job, relay, task)
        except (StreamClosedError, asyncio.CancelledError):
            # The caller closed its connection, so no response can be sent.
            return
        finally:
            task.cancel()
            self._task = None
            if self._reader_timer is not None:
                self._reader_timer.cancel()

    def on_connection_close(self) -> None:
        """Cancel the request when the caller has closed its connection."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()

    async def _send_complete(
        self, job: CompletionJob, relay: CompletionRelay, task: "asyncio.Task[None]"
    ) -> None:
        await task
        self.send_message(_response_body(job, relay))

    async def _stream(
        self,
        job: CompletionJob,
        relay: CompletionRelay,
        task: "asyncio.Task[None]",
        buffer: TokenBuffer,
    ) -> None:
        prefix = _chunk_prefix(job)
        self._check_reader()
        keep_alive_s = self.entry.settings.relay.keep_alive_s
        while True:
            tokens = await buffer.take(keep_alive_s)
            if tokens:
                await self._send(b"".join(_chunk(prefix, t.text) for t in tokens))
                relay.record_consumed(sum(t.size for t in tokens))
            elif task.done():
                break
            else:
                await self._send(KEEP_ALIVE)
        await self._finish_stream(job, relay, task)

    async def _finish_stream(
        self, job: CompletionJob, relay: CompletionRelay, task: "asyncio.Task[None]"
    ) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            # Raises for a cancelled task, whose caller has closed the connection.
            task.result()
            await self._send(_last_chunk(job, relay) + END_MARKER)
        elif not self._headers_written:
            raise error
        else:
            await self._send(_error_event(_as_wigeonspan_error(error)))
        self.finish()

    async def _send(self, block: bytes) -> None:
        """Write a block and wait until the connection has accepted it."""
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        self.write(block)
        written = self.flush()
        if not written.done():
            self._write_blocked_since = self.entry.clock.now()
        await written
        self._write_blocked_since = None

    def _check_reader(self) -> None:
        """Close the connection when the caller has read nothing for too long.

        One timer per stream costs less than a timeout per write.
        """
        limit_s = self.entry.settings.relay.slow_reader_s
        since = self._write_blocked_since
        if since is not None and self.entry.clock.now() - since >= limit_s:
            # No error event could be delivered to this caller either.
            self.entry.metrics.count(f"errors.{ErrorKind.SLOW_READER.value}")
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        loop = asyncio.get_running_loop()
        self._reader_timer = loop.call_later(limit_s / 4, self._check_reader)


def _usage(job: CompletionJob, relay: CompletionRelay) -> dict[str, int]:
    completion_tokens = relay.tracker.position
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": job.prompt_tokens + completion_tokens,
    }


def _common_fields(job: CompletionJob) -> dict[str, Any]:
    return {
        "id": job.request,
        "object": "text_completion",
        "created": int(time.time()),
        "model": job.service.name,
    }


def _response_body(job: CompletionJob, relay: CompletionRelay) -> dict[str, Any]:
    tracker = relay.tracker
    choice = {"index": 0, "text": tracker.text, "finish_reason": tracker.finish_reason}
    return {**_common_fields(job), "choices": [choice], "usage": _usage(job, relay)}


def _chunk_prefix(job: CompletionJob) -> bytes:
    """Return the bytes before a chunk's text, which are the same in all chunks."""
    head = encode(_common_fields(job))[:-1]
    return b"data: " + head + b',"choices":[{"index":0,"text":'


def _chunk(prefix: bytes, text: str) -> bytes:
    return prefix + encode(text) + b',"finish_reason":null}]}\n\n'


def _last_chunk(job: CompletionJob, relay: CompletionRelay) -> bytes:
    reason = relay.tracker.finish_reason
    choice = {"index": 0, "text": "", "finish_reason": reason}
    chunk = {**_common_fields(job), "choices": [choice], "usage": _usage(job, relay)}
    return b"data: " + encode(chunk) + b"\n\n"


def _as_wigeonspan_error(error: BaseException) -> WigeonspanError:
    if isinstance(error, WigeonspanError):
        return error
    _log.opt(exception=error).error("Unexpected error while relaying a completion.")
    return WigeonspanError(ErrorKind.INTERNAL, "the request failed inside the system")


def _error_event(error: WigeonspanError) -> bytes:
    return b"event: error\ndata: " + encode(error.body) + b"\n\n"
