"""HTTP interface of the stand-in engine; see docs/engine-protocol.md."""

import asyncio
from typing import Any

import msgspec
from tornado.httpclient import HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.web import Application, Finish, RequestHandler

from standins._batch import Cut, Finished, Run, Token
from standins._engine import EngineCrashed, EngineModel, OrderRefused
from standins._faults import EngineFaults
from standins._text import answer_text
from wigeonspan.catalog import PriorityClass
from wigeonspan.common import AttemptId
from wigeonspan.engines import (
    CacheEvents,
    CancelRequest,
    Extension,
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
    wigeonspan: Extension = Extension(AttemptId(""), PriorityClass.DESK, 60_000)


class EngineHandler(RequestHandler):
    """Base of the handlers: death, freezing and bodies."""

    def initialize(self, engine: EngineModel) -> None:
        """Take the engine."""
        self.engine = engine

    async def prepare(self) -> None:
        """Drop the connection of a dead engine, and wait while frozen."""
        if self.request.path.startswith("/standin/"):
            return
        if self.engine.is_dead:
            self.drop_connection()
        await self.engine.unfrozen.wait()

    def drop_connection(self) -> None:
        """Close the connection without an answer and end the handler."""
        self.request.connection.stream.close()
        raise Finish

    def body(self, kind: type) -> Any:
        """Return the checked body, or answer 400."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.DecodeError as error:
            self.refuse(400, str(error))

    def refuse(self, status: int, message: str) -> None:
        """Answer with an error and end the handler."""
        self.set_status(status)
        self.answer({"error": {"message": message}})
        raise Finish

    def answer(self, message: Any) -> None:
        """Answer with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class CompletionHandler(EngineHandler):
    """Runs a prompt, or resumes one."""

    run: Run | None = None

    async def post(self) -> None:
        """Answer whole or as a stream."""
        request: CompletionRequest = self.body(CompletionRequest)
        self._check(request)
        faults = self.engine.faults_of_next_stream()
        if faults.refuse_status:
            self.refuse(faults.refuse_status, "refused by a fault switch")
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
            await self._stream(request, faults)
        else:
            await self._whole(request)

    def on_connection_close(self) -> None:
        """Cancel the run of a caller that went away."""
        if self.run is not None and self.run in self.engine.batch.runs:
            self.engine.batch.cut(self.run, "closed")

    def _check(self, request: CompletionRequest) -> None:
        if not self.engine.is_available:
            self.refuse(503, "an order is carried out")
        if not self.engine.serves(request.model):
            self.refuse(404, f"model {request.model} is not loaded")
        extension = request.wigeonspan
        expected = answer_text(request.prompt, extension.resume_position)
        if extension.resume_text != expected:
            self.refuse(400, "resume_text is not the text up to resume_position")

    async def _whole(self, request: CompletionRequest) -> None:
        assert self.run is not None
        text = ""
        while True:
            event = await self.run.events.get()
            if isinstance(event, Cut):
                self.drop_connection()
            if isinstance(event, Finished):
                break
            text += event.text
            self.engine.note_emitted(1)
        count = event.completion_tokens
        self.answer(_chunk(self.run, request.model, count, text, self._usage(count)))

    async def _stream(self, request: CompletionRequest, faults: EngineFaults) -> None:
        assert self.run is not None
        self.set_header("Content-Type", "text/event-stream")
        sent = 0
        try:
            while True:
                event = await self.run.events.get()
                if isinstance(event, Cut):
                    self.drop_connection()
                if isinstance(event, Finished):
                    break
                await self._send_token(request.model, event, faults)
                sent += 1
                await self._fault_after(sent, faults)
            await self._send_end(request.model, event, faults)
        except StreamClosedError:
            self.on_connection_close()

    async def _send_token(self, model: str, token: Token, faults: EngineFaults) -> None:
        self.engine.note_emitted(1)
        if token.position == faults.skip_position:
            return
        if token.position == faults.garbage_position:
            self.write(b'data: {"choices": [\xff\n\n')
            await self.flush()
            return
        chunk = _chunk(self.run, model, token.position, token.text, None)
        if token.position == faults.cross_position:
            chunk["wigeonspan"]["attempt"] = "another-attempt"
        copies = 2 if token.position == faults.repeat_position else 1
        for _ in range(copies):
            self.write(_event(chunk))
        await self.flush()

    async def _fault_after(self, sent: int, faults: EngineFaults) -> None:
        if sent == faults.die_after_tokens:
            self.engine.crash()
            self.drop_connection()
        if sent == faults.freeze_after_tokens:
            await asyncio.Event().wait()

    async def _send_end(self, model: str, end: Finished, faults: EngineFaults) -> None:
        if faults.stop_before_end:
            return
        usage = self._usage(end.completion_tokens + faults.wrong_count)
        chunk = _chunk(self.run, model, end.completion_tokens, "", usage)
        self.write(_event(chunk))
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
    """Reports the load."""

    def get(self) -> None:
        """Answer with the last measurement."""
        self.answer(self.engine.load())


class CacheEventsHandler(EngineHandler):
    """Reports what entered and left the prefix cache."""

    def get(self) -> None:
        """Answer with the events after ``after``."""
        after = int(self.get_query_argument("after", "0"))
        events = self.engine.cache.events_after(after, self.engine.now)
        self.answer(CacheEvents(self.engine.incarnation, events))


class StateHandler(EngineHandler):
    """Reports the state."""

    def get(self) -> None:
        """Answer with the state now."""
        self.answer(self.engine.state())


class CancelHandler(EngineHandler):
    """Ends a run."""

    def post(self) -> None:
        """Cut the run of an attempt, if it is here."""
        run = self.engine.batch.find(self.body(CancelRequest).attempt)
        if run is not None:
            self.engine.batch.cut(run, "cancelled")
        self.answer({"cancelled": run is not None})


class PriorityHandler(EngineHandler):
    """Changes the priority of a run."""

    def post(self) -> None:
        """Set the priority of an attempt, if it is here."""
        request: PriorityRequest = self.body(PriorityRequest)
        run = self.engine.batch.find(request.attempt)
        if run is not None:
            run.priority = request.priority
        self.answer({"changed": run is not None})


class KvExportHandler(EngineHandler):
    """Gives the KV cache of an attempt a handle."""

    def post(self) -> None:
        """Answer with a handle, or 404 for an unknown attempt."""
        attempt = self.body(KvExportRequest).attempt
        tokens = self.engine.batch.context_tokens(attempt)
        if tokens is None:
            self.refuse(404, f"attempt {attempt} has no KV cache here")
        handle = f"kv-{self.engine.settings.name}-{attempt}"
        self.engine.handles[handle] = tokens
        self.answer(KvHandle(handle, tokens))


class KvImportHandler(EngineHandler):
    """Fetches a KV cache from another engine."""

    async def post(self) -> None:
        """Answer with a handle at this engine, or 502 when the source has none."""
        request: KvImportRequest = self.body(KvImportRequest)
        url = f"http://{request.source}/standin/kv/{request.handle}"
        try:
            response = await make_client(1).fetch(url, request_timeout=5.0)
        except (OSError, HTTPClientError) as error:
            self.refuse(502, f"{request.source}: {error}")
        handle = msgspec.json.decode(response.body, type=KvHandle)
        self.engine.handles[handle.handle] = handle.tokens
        self.answer(handle)


class KvTransferHandler(EngineHandler):
    """Engine to engine: hands over an exported KV cache."""

    def get(self, handle: str) -> None:
        """Answer with the handle, or 404."""
        tokens = self.engine.handles.get(handle)
        if tokens is None:
            self.refuse(404, f"there is no KV cache {handle}")
        self.answer(KvHandle(handle, tokens))


class OrderHandler(EngineHandler):
    """Takes orders."""

    async def post(self) -> None:
        """Answer with the state after the order, 409, or nothing after a crash."""
        order: OrderRequest = self.body(OrderRequest)
        try:
            state = await self.engine.carry_out(order)
        except OrderRefused as refusal:
            self.set_status(409)
            self.answer({"error": str(refusal)})
        except EngineCrashed:
            self.drop_connection()
        else:
            self.answer(state)


class FaultHandler(EngineHandler):
    """Sets the fault switches."""

    def post(self) -> None:
        """Replace all switches."""
        self.engine.set_faults(self.body(EngineFaults))
        self.answer({})


class StatsHandler(EngineHandler):
    """Reports what the engine saw, for tests."""

    def get(self) -> None:
        """Answer with cuts, completions and the orders that arrived."""
        self.answer(
            {
                "cut_urgent": self.engine.cut_urgent,
                "cut_batch": self.engine.cut_batch,
                "completions": self.engine.completions,
                "orders": self.engine.orders,
            }
        )


def make_application(engine: EngineModel) -> Application:
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


def _chunk(
    run: Run | None, model: str, position: int, text: str, usage: dict | None
) -> dict[str, Any]:
    """Return a chunk; the one with ``usage`` ends the answer."""
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


def _event(chunk: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
