"""HTTP interface of the stand-in engine; see docs/engine-protocol.md."""

import asyncio
import math
from typing import Any

import msgspec
from tornado.httpclient import HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.web import Application, Finish, RequestHandler

from standins._batch import Aborted, Finished, Run, Token
from standins._engine import EngineCrashed, OrderRefused, SimulatedEngine
from standins._faults import EngineFaults
from standins._text import answer_text
from wigeonspan.catalog import PriorityClass
from wigeonspan.common import AttemptId
from wigeonspan.engines import (
    CacheEvents,
    CancelRequest,
    CompletionExtension,
    KvExportRequest,
    KvHandle,
    KvImportRequest,
    OrderRequest,
    PriorityRequest,
)
from wigeonspan.http import make_client


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/completions``; other OpenAI fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    wigeonspan: CompletionExtension = CompletionExtension(
        AttemptId(""), PriorityClass.DESK, 60_000
    )


class EngineHandler(RequestHandler):
    """Base class of the handlers: injected faults, decoding and responses."""

    def initialize(self, engine: SimulatedEngine) -> None:
        """Set the engine."""
        self.engine = engine

    async def prepare(self) -> None:
        """Drop the connection if the engine is down, and wait while it is frozen.

        Requests below ``/standin/`` are always handled.
        """
        if self.request.path.startswith("/standin/"):
            return
        if self.engine.is_dead:
            self.drop_connection()
        await self.engine.unfrozen.wait()
        await self.engine.wait_while_silent()
        if self.engine.faults.request_limit:
            self.set_header("X-Request-Limit", self.engine.faults.request_limit)

    def drop_connection(self) -> None:
        """Close the connection without a response and end the handler."""
        self.request.connection.stream.close()
        raise Finish

    def decode_body(self, kind: type) -> Any:
        """Return the validated body, or respond with status 400."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.DecodeError as error:
            self.refuse(400, str(error))

    def refuse(self, status: int, message: str) -> None:
        """Respond with an error and end the handler."""
        self.set_status(status)
        self.answer({"error": {"message": message}})
        raise Finish

    def answer(self, message: Any) -> None:
        """Respond with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class CompletionHandler(EngineHandler):
    """Runs a completion, from the start or a resume position."""

    run: Run | None = None

    async def post(self) -> None:
        """Respond with the complete text or a stream."""
        request: CompletionRequest = self.decode_body(CompletionRequest)
        self._check(request)
        faults = self.engine.next_stream_faults()
        if faults.refuse_status:
            self.refuse(faults.refuse_status, "refused by an injected fault")
        extension = request.wigeonspan
        self.run = Run(
            extension.attempt,
            extension.priority,
            request.prompt,
            extension.resume_position,
            request.max_tokens,
            extension.phase,
            self.engine.handles.get(extension.kv_handle, 0),
        )
        self.engine.completions += 1
        self.engine.batch.add(self.run)
        if request.stream:
            await self._send_stream(request, faults)
        else:
            await self._send_complete(request)

    def on_connection_close(self) -> None:
        """Abort the run when the client closes its connection."""
        if self.run is not None and self.run in self.engine.batch.runs:
            self.engine.batch.abort(self.run, "closed")

    def _check(self, request: CompletionRequest) -> None:
        if not self.engine.is_available:
            self.refuse(503, "the engine is executing an order or is withdrawn")
        if not self.engine.serves(request.model):
            self.refuse(404, f"model {request.model} is not loaded")
        extension = request.wigeonspan
        expected = answer_text(request.prompt, extension.resume_position)
        if extension.resume_text != expected:
            self.refuse(400, "resume_text differs from the text before resume_position")

    async def _send_complete(self, request: CompletionRequest) -> None:
        assert self.run is not None
        text = ""
        while True:
            event = await self.run.events.get()
            if isinstance(event, Aborted):
                self.drop_connection()
            if isinstance(event, Finished):
                break
            text += event.text
            self.engine.record_emitted(1)
        count = event.completion_tokens
        self.answer(
            _completion_chunk(self.run, request.model, count, text, self._usage(count))
        )

    async def _send_stream(
        self, request: CompletionRequest, faults: EngineFaults
    ) -> None:
        assert self.run is not None
        self.set_header("Content-Type", "text/event-stream")
        sent = 0
        try:
            while True:
                if sent == faults.silent_after_tokens:
                    self.engine.fall_silent()
                event = await self.run.events.get()
                await self.engine.wait_while_silent()
                if isinstance(event, Aborted):
                    self.drop_connection()
                if isinstance(event, Finished):
                    break
                await self._send_token(request.model, event, faults)
                sent += 1
                await self._inject_fault_after(sent, faults)
            await self._send_end(request.model, event, faults)
        except StreamClosedError:
            self.on_connection_close()

    async def _send_token(self, model: str, token: Token, faults: EngineFaults) -> None:
        self.engine.record_emitted(1)
        if token.position == faults.skip_position:
            return
        if token.position == faults.garbage_position:
            self.write(b'data: {"choices": [\xff\n\n')
            await self.flush()
            return
        chunk = _completion_chunk(self.run, model, token.position, token.text, None)
        if token.position == faults.cross_position:
            chunk["wigeonspan"]["attempt"] = "another-attempt"
        copies = 2 if token.position == faults.repeat_position else 1
        for _ in range(copies):
            self.write(_sse_event(chunk))
        await self.flush()

    async def _inject_fault_after(self, sent: int, faults: EngineFaults) -> None:
        if sent == faults.die_after_tokens:
            self.engine.crash()
            self.drop_connection()
        if sent == faults.freeze_after_tokens:
            await asyncio.sleep(faults.freeze_s or math.inf)

    async def _send_end(self, model: str, end: Finished, faults: EngineFaults) -> None:
        if faults.stop_before_end:
            return
        usage = self._usage(end.completion_tokens + faults.wrong_count)
        chunk = _completion_chunk(self.run, model, end.completion_tokens, "", usage)
        self.write(_sse_event(chunk))
        self.write(b"data: [DONE]\n\n")
        await self.flush()

    def _usage(self, completion_tokens: int) -> dict[str, int]:
        assert self.run is not None
        prompt_tokens = len(self.run.tokens)
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        }


class LoadHandler(EngineHandler):
    """Reports the load of the engine."""

    def get(self) -> None:
        """Respond with the last load measurement."""
        self.answer(self.engine.load())


class CacheEventsHandler(EngineHandler):
    """Reports which prefixes were stored in and evicted from the prefix cache."""

    def get(self) -> None:
        """Respond with the events after the sequence number ``after``."""
        after = int(self.get_query_argument("after", "0"))
        events = self.engine.cache.events_after(after, self.engine.now)
        self.answer(CacheEvents(self.engine.incarnation, events))


class StateHandler(EngineHandler):
    """Reports the state of the engine."""

    def get(self) -> None:
        """Respond with the current state."""
        self.answer(self.engine.state())


class CancelHandler(EngineHandler):
    """Cancels a run."""

    def post(self) -> None:
        """Abort the run of an attempt, if there is one."""
        run = self.engine.batch.find(self.decode_body(CancelRequest).attempt)
        if run is not None:
            self.engine.batch.abort(run, "cancelled")
        self.answer({"cancelled": run is not None})


class PriorityHandler(EngineHandler):
    """Changes the priority of a run."""

    def post(self) -> None:
        """Set the priority of the run of an attempt, if there is one."""
        request: PriorityRequest = self.decode_body(PriorityRequest)
        run = self.engine.batch.find(request.attempt)
        if run is not None:
            run.priority = request.priority
        self.answer({"changed": run is not None})


class KvExportHandler(EngineHandler):
    """Exports the KV cache of an attempt under a handle."""

    def post(self) -> None:
        """Respond with a handle, or 404 for an attempt without a KV cache."""
        attempt = self.decode_body(KvExportRequest).attempt
        tokens = self.engine.batch.context_tokens(attempt)
        if tokens is None:
            self.refuse(404, f"attempt {attempt} has no KV cache on this engine")
        handle = f"kv-{self.engine.settings.name}-{attempt}"
        self.engine.handles[handle] = tokens
        self.answer(KvHandle(handle, tokens))


class KvImportHandler(EngineHandler):
    """Imports a KV cache from another engine."""

    async def post(self) -> None:
        """Respond with a handle on this engine, or 502 if the transfer failed."""
        request: KvImportRequest = self.decode_body(KvImportRequest)
        url = f"http://{request.source}/standin/kv/{request.handle}"
        try:
            response = await make_client(1).fetch(url, request_timeout=5.0)
        except (OSError, HTTPClientError) as error:
            self.refuse(502, f"{request.source} did not transfer the KV cache: {error}")
        handle = msgspec.json.decode(response.body, type=KvHandle)
        self.engine.handles[handle.handle] = handle.tokens
        self.answer(handle)


class KvTransferHandler(EngineHandler):
    """Transfers an exported KV cache to another engine."""

    def get(self, handle: str) -> None:
        """Respond with the handle and its token count, or 404."""
        tokens = self.engine.handles.get(handle)
        if tokens is None:
            self.refuse(404, f"unknown KV cache handle {handle}")
        self.answer(KvHandle(handle, tokens))


class OrderHandler(EngineHandler):
    """Executes orders."""

    async def post(self) -> None:
        """Respond with the state after the order, or 409 if it is refused.

        After a crash the connection is closed without a response.
        """
        order: OrderRequest = self.decode_body(OrderRequest)
        try:
            state = await self.engine.execute(order)
        except OrderRefused as refusal:
            self.set_status(409)
            self.answer({"error": str(refusal)})
        except EngineCrashed:
            self.drop_connection()
        else:
            self.answer(state)


class FaultHandler(EngineHandler):
    """Sets the injected faults."""

    def post(self) -> None:
        """Replace all injected faults."""
        self.engine.set_faults(self.decode_body(EngineFaults))
        self.answer({})


class StatsHandler(EngineHandler):
    """Reports statistics for tests and benchmarks."""

    def get(self) -> None:
        """Respond with aborted runs, accepted completions and received orders."""
        self.answer(
            {
                "cut_urgent": self.engine.cut_urgent,
                "cut_batch": self.engine.cut_batch,
                "completions": self.engine.completions,
                "orders": self.engine.orders,
            }
        )


def make_application(engine: SimulatedEngine) -> Application:
    """Return the HTTP application of an engine."""
    context = {"engine": engine}
    return Application(
        [
            ("/v1/completions", CompletionHandler, context),
            ("/wigeonspan/load", LoadHandler, context),
            ("/wigeonspan/cache-events", CacheEventsHandler, context),
            ("/wigeonspan/state", StateHandler, context),
            ("/wigeonspan/cancel", CancelHandler, context),
            ("/wigeonspan/priority", PriorityHandler, context),
            ("/wigeonspan/kv/export", KvExportHandler, context),
            ("/wigeonspan/kv/import", KvImportHandler, context),
            ("/wigeonspan/order", OrderHandler, context),
            ("/standin/kv/([^/]+)", KvTransferHandler, context),
            ("/standin/fault", FaultHandler, context),
            ("/standin/stats", StatsHandler, context),
        ],
        log_function=lambda handler: None,
    )


def _completion_chunk(
    run: Run | None, model: str, position: int, text: str, usage: dict | None
) -> dict[str, Any]:
    """Return a completion object or chunk; ``usage`` marks the end of the answer."""
    assert run is not None
    reason = None if usage is None else "stop"
    chunk = {
        "id": f"cmpl-{run.attempt}",
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": text, "finish_reason": reason}],
        "wigeonspan": {"attempt": run.attempt, "position": position},
    }
    if usage is not None:
        chunk["usage"] = usage
    return chunk


def _sse_event(chunk: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
