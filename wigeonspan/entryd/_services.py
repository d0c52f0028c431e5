"""Handler of ``/v1/services/{service}/{path}``: calls to plain services."""

from wigeonspan.calls import CallOutcome
from wigeonspan.calls.tasks import KeyedCall, hash_call
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.engines.tasks import ExchangeEnd
from wigeonspan.entryd._http import EntryHandler
from wigeonspan.entryd._plain import PlainCall, forwarded_headers, returned_headers
from wigeonspan.entryd._requests import (
    CallerHeaders,
    check_path,
    is_non_idempotent,
    parse_headers,
    parse_key,
)

PREFIX = "/v1/services/"

STORED_HEADER = "X-Wigeonspan-Stored"
"""Header of a response that was stored for an earlier request with the same key. Its
value is ``whole``, or ``status-only`` when the body was too large to store."""

_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD"})


class ServiceHandler(EntryHandler):
    """Forwards calls to plain services."""

    has_deadline = True

    async def get(self) -> None:
        """Forward a call."""
        await self._handle()

    head = post = put = delete = patch = options = get

    async def _handle(self) -> None:
        self.record_arrival()
        self.entry.check_serving()
        headers = parse_headers(self.request.headers)
        call, path = self._make_call(headers)
        if is_non_idempotent(call.service, call.method, path):
            await self._run_once(call, headers)
        else:
            end = await self.entry.run_plain_call(call)
            self._send_response(end)

    def _make_call(self, headers: CallerHeaders) -> tuple[PlainCall, str]:
        name, _, raw_path = self.request.path.removeprefix(PREFIX).partition("/")
        service = self.entry.find_plain_service(name)
        path = check_path(raw_path)
        method = self.request.method or ""
        body = self.take_body()
        if body and method in _METHODS_WITHOUT_BODY:
            raise WigeonspanError(
                ErrorKind.BAD_REQUEST, f"a {method} request must not have a body"
            )
        query = f"?{self.request.query}" if self.request.query else ""
        deadline_ms = headers.deadline_ms or service.default_deadline_ms
        call = PlainCall(
            service=service,
            method=method,
            path=f"/{raw_path}{query}",
            headers=forwarded_headers(self.request.headers),
            body=None if method in _METHODS_WITHOUT_BODY else body,
            deadline=self.entry.clock.now() + deadline_ms / 1000,
        )
        return call, path

    async def _run_once(self, call: PlainCall, headers: CallerHeaders) -> None:
        key = parse_key(self.request.headers.get("Idempotency-Key"))
        # Responses are stored without their content encoding, so none is offered to
        # the target.
        call.headers.pop("Accept-Encoding", None)
        keyed_call = KeyedCall(
            tenant=headers.tenant,
            service=call.service.name,
            key=key,
            body_hash=hash_call(call.method, call.path, call.body or b""),
            deadline=call.deadline,
        )
        # The call continues when the caller closes its connection. If it were aborted
        # after its execution but before its outcome is recorded, the outcome for the
        # key would stay unknown.
        outcome, stored = await self.entry.run_call(
            keyed_call, lambda: self.entry.plain.send_once(call)
        )
        self._send_outcome(outcome, stored)

    def _send_response(self, end: ExchangeEnd) -> None:
        self.set_status(end.status)
        self.clear_header("Content-Type")
        for name, value in returned_headers(end.headers).items():
            self.set_header(name, value)
        self._finish_response(end.status, end.body)

    def _send_outcome(self, outcome: CallOutcome, stored: bool) -> None:
        self.set_status(outcome.status)
        if outcome.content_type:
            self.set_header("Content-Type", outcome.content_type)
        else:
            self.clear_header("Content-Type")
        if stored:
            stored_part = "status-only" if outcome.status_only else "whole"
            self.set_header(STORED_HEADER, stored_part)
        self._finish_response(outcome.status, outcome.body)

    def _finish_response(self, status: int, body: bytes) -> None:
        if status in (204, 304) or not body:
            self.finish()
        else:
            self.finish(body)
