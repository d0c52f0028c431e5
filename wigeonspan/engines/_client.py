"""Client of the engine protocol."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from wigeonspan.common import (
    AttemptId,
    ErrorKind,
    WigeonspanError,
    decode,
    encode,
)
from wigeonspan.engines._connections import Exchange, ExchangeEnd, TargetConnections
from wigeonspan.engines._frames import (
    END_MARKER,
    FrameError,
    parse_cache_events,
    parse_frame,
)
from wigeonspan.engines._messages import (
    CacheEvents,
    CancelRequest,
    CompletionExtension,
    EngineState,
    KvExportRequest,
    KvHandle,
    KvImportRequest,
    LoadReport,
    PriorityRequest,
)
from wigeonspan.http import JSON_TYPE
from wigeonspan.streams import (
    SseDecoder,
    SseError,
    SseEvent,
    StreamFault,
    TokenFrame,
)

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0
"""Timeout in seconds of a short call to an engine, such as a load report."""

KV_TIMEOUT_S = 5.0
"""Timeout in seconds of a KV cache transfer. When it runs out, the prompt is computed
again instead."""

RELEASE_TIMEOUT_S = 1.0
"""Seconds after which the connection of a released stream is closed if its response has
not ended. A faulty engine may send data forever."""

COMPLETIONS_PATH = "/v1/completions"

_REFUSED_STATUSES = frozenset({404, 409, 429, 503})
"""HTTP statuses with which an engine refuses work that it has not started."""

_JSON_HEADERS = {"Content-Type": JSON_TYPE}


class StreamListener(Protocol):
    """Receiver of the events of one attempt."""

    def on_frame(self, frame: TokenFrame) -> None:
        """Handle a chunk."""
        ...

    def on_comment(self) -> None:
        """Handle a keep-alive comment."""
        ...

    def on_end_marker(self) -> None:
        """Handle the end marker."""
        ...

    def on_ended(self, fault: StreamFault, status: int, message: str) -> None:
        """Handle the end of the connection, or input that cannot be decoded."""
        ...


class EngineStream:
    """One attempt on an engine, which decodes the response and notifies a listener.

    Parameters
    ----------
    connections : TargetConnections
        Connections to use.
    address : str
        ``IP:PORT`` of the engine.
    body : bytes
        Request body.
    listener : StreamListener
        Receives the events. It is called from the event loop, and never after
        ``close``.
    fresh : bool
        Whether to use a new connection.
    """

    def __init__(
        self,
        connections: TargetConnections,
        address: str,
        body: bytes,
        listener: StreamListener,
        fresh: bool = False,
    ) -> None:
        self._connections = connections
        self._address = address
        self._listener: StreamListener | None = listener
        self._decoder = SseDecoder()
        self._status = 0
        self._error_body = b""
        self._exchange: Exchange = connections.open(
            address,
            "POST",
            COMPLETIONS_PATH,
            headers=_JSON_HEADERS,
            body=body,
            on_data=self._on_data,
            fresh=fresh,
        )
        self._exchange.ended.add_done_callback(self._on_ended)

    @property
    def reused(self) -> bool:
        """Whether the attempt uses a connection that was already open."""
        return self._exchange.reused

    @property
    def connected(self) -> bool:
        """Whether the engine may have received a part of the request."""
        return self._exchange.connected

    def close(self) -> None:
        """Close the connection and send the listener no further events."""
        self._listener = None
        self._exchange.close()

    def release(self) -> None:
        """Stop notifying the listener and let the response end.

        The connection can then be reused. It is closed when the response has not ended
        after ``RELEASE_TIMEOUT_S`` seconds.
        """
        self._listener = None
        if not self._exchange.ended.done():
            loop = asyncio.get_running_loop()
            timer = loop.call_later(RELEASE_TIMEOUT_S, self._exchange.close)
            self._exchange.ended.add_done_callback(lambda _: timer.cancel())

    def _on_data(self, data: bytes) -> None:
        if self._listener is None:
            return
        if not self._status:
            self._status = self._exchange.status
        if self._status != 200:
            self._error_body = (self._error_body + data)[:2_000]
            return
        try:
            for item in self._decoder.feed(data):
                self._on_item(item)
        except (SseError, FrameError) as error:
            self._end(StreamFault.GARBAGE, str(error))

    def _on_item(self, item: Any) -> None:
        listener = self._listener
        if listener is None:
            return
        if not isinstance(item, SseEvent):
            listener.on_comment()
        elif item.data == END_MARKER:
            listener.on_end_marker()
        elif item.event == "error":
            self._end(
                StreamFault.SERVER_ERROR, item.data[:200].decode(errors="replace")
            )
        else:
            listener.on_frame(parse_frame(item.data))

    def _on_ended(self, future: "asyncio.Future[ExchangeEnd]") -> None:
        if future.cancelled():
            return
        end = future.result()
        if end.status not in (0, 200):
            self._connections.avoid_idle_connections(self._address)
        if self._listener is None:
            return
        self._status = self._status or end.status
        if self._status not in (0, 200):
            text = (self._error_body or end.body).decode(errors="replace")
            self._end(_fault_for_status(self._status), text)
        elif end.sent_nothing:
            self._end(StreamFault.UNREACHABLE, end.message)
        else:
            self._end(StreamFault.TRUNCATED, end.message)

    def _end(self, fault: StreamFault, message: str) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_ended(fault, self._status, message)


class EngineClient:
    """Client of the engine protocol.

    Parameters
    ----------
    connections : TargetConnections
        Connections to use.
    """

    def __init__(self, connections: TargetConnections) -> None:
        self._connections = connections
        self._cancels: set[asyncio.Task[None]] = set()

    def stream(
        self,
        address: str,
        fields: dict[str, Any],
        extension: CompletionExtension,
        listener: StreamListener,
        fresh: bool = False,
    ) -> EngineStream:
        """Start an attempt.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        fields : dict
            Completion request in the OpenAI format, without ``stream``.
        extension : CompletionExtension
            Attempt, priority, deadline and resume point.
        listener : StreamListener
            Receives the events.
        fresh : bool
            Whether to use a new connection.
        """
        body = encode({**fields, "stream": True, "wigeonspan": extension})
        return EngineStream(self._connections, address, body, listener, fresh)

    def avoid_idle_connections(self, address: str) -> None:
        """Use new connections to an engine until its idle ones have expired."""
        self._connections.avoid_idle_connections(address)

    async def load(self, address: str) -> LoadReport:
        """Return the engine's load report."""
        return await self._call(address, "GET", "/wigeonspan/load", _reader(LoadReport))

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        path = f"/wigeonspan/cache-events?after={after}"
        return await self._call(address, "GET", path, parse_cache_events)

    async def state(self, address: str) -> EngineState:
        """Return the engine's state."""
        return await self._call(
            address, "GET", "/wigeonspan/state", _reader(EngineState)
        )

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Cancel an attempt.

        An attempt that is unknown to the engine or has ended is not an error.
        """
        await self._post(address, "/wigeonspan/cancel", CancelRequest(attempt))

    def cancel_later(self, address: str, attempt: AttemptId) -> None:
        """Start to cancel an attempt without waiting for the response."""
        task = asyncio.create_task(self.cancel(address, attempt))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def set_priority(self, address: str, request: PriorityRequest) -> None:
        """Change the priority of an attempt."""
        await self._post(address, "/wigeonspan/priority", request)

    async def export_kv(self, address: str, attempt: AttemptId) -> KvHandle:
        """Make the KV cache of an attempt available to other engines.

        Raises
        ------
        WigeonspanError
            ``TARGET_FAILED`` when the engine does not respond or refuses.
        """
        body = encode(KvExportRequest(attempt))
        return await self._call(
            address,
            "POST",
            "/wigeonspan/kv/export",
            _reader(KvHandle),
            body,
            KV_TIMEOUT_S,
        )

    async def import_kv(self, address: str, request: KvImportRequest) -> KvHandle:
        """Make an engine fetch a KV cache from another one.

        Raises
        ------
        WigeonspanError
            ``TARGET_FAILED`` when the engine does not respond or refuses.
        """
        body = encode(request)
        return await self._call(
            address,
            "POST",
            "/wigeonspan/kv/import",
            _reader(KvHandle),
            body,
            KV_TIMEOUT_S,
        )

    async def _post(self, address: str, path: str, message: Any) -> None:
        await self._fetch(address, "POST", path, encode(message), CALL_TIMEOUT_S)

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        read: Callable[[bytes], T],
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> T:
        end = await self._fetch(address, method, path, body, timeout_s)
        if end.status != 200:
            message = end.message or f"status {end.status}"
            raise WigeonspanError(
                ErrorKind.TARGET_FAILED, f"{address}{path}: {message}"
            )
        try:
            return read(end.body)
        except WigeonspanError as error:
            raise WigeonspanError(
                ErrorKind.TARGET_FAILED, f"{address}{path}: {error.message}"
            ) from error

    async def _fetch(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> ExchangeEnd:
        exchange = self._connections.open(
            address,
            method,
            path,
            headers=_JSON_HEADERS if body is not None else None,
            body=body,
            timeout_s=timeout_s,
        )
        try:
            end = await exchange.ended
        except asyncio.CancelledError:
            exchange.close()
            raise
        if end.timed_out or end.status not in (0, 200):
            self._connections.avoid_idle_connections(address)
        return end


def _fault_for_status(status: int) -> StreamFault:
    if status in _REFUSED_STATUSES or 400 <= status < 500:
        return StreamFault.REFUSED
    return StreamFault.SERVER_ERROR


def _reader(response_type: Callable[..., T]) -> Callable[[bytes], T]:
    """Return the function that decodes a response of a type."""
    return lambda body: decode(body, response_type)
