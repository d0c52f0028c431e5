"""Callers that read the entry directory and retry, as an application would."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from msgspec import Struct
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from standins.engine import answer_text
from testbed import MODEL_SERVICE, PLAIN_SERVICE

DEADLINE_S = 25.0
"""Time in seconds during which a caller retries; longer than any single fault lasts."""

RETRY_S = 0.2
"""Pause in seconds before a caller tries another entry."""


class RequestResult(Enum):
    """Final result of a request from the caller's point of view."""

    COMPLETE = "whole"
    WRONG = "wrong"
    REFUSED = "refused"
    NO_ANSWER = "nothing"
    UNKNOWN = "unknown"


class RequestOutcome(Struct):
    """Outcome of one finished request.

    Parameters
    ----------
    attempts : int
        Number of times the request was sent.
    error_kinds : list of str
        Error kinds of the attempts without a final result.
    reported_not_run : bool
        Whether the last response stated that the request did not run.
    """

    name: str
    result: RequestResult
    seconds: float
    attempts: int
    error_kinds: list[str]
    reported_not_run: bool = False


class Callers:
    """Sends requests through the entries that the directory names.

    Parameters
    ----------
    entries : list of str
        Addresses that are used until the directory has been read.
    rng : random.Random
        Random generator that picks the entries.
    """

    def __init__(self, entries: list[str], rng: random.Random) -> None:
        self.outcomes: list[RequestOutcome] = []
        self._initial_entries = list(entries)
        self._listed_entries = list(entries)
        self._directory_expires_at = 0.0
        self._rng = rng
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=2000)

    async def stream(self, name: str, tokens: int, priority: str) -> None:
        """Request a streamed completion; retry until it is complete or time is up."""
        prompt = f"prompt {name}"
        body = {
            "model": MODEL_SERVICE,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"X-Request-Id": name, "X-Priority-Class": priority}
        expected = answer_text(prompt, tokens)

        async def attempt(
            address: str, remaining_s: float
        ) -> tuple[RequestResult, str, bool]:
            received = bytearray()
            answer = await self._send(
                address,
                "/v1/completions",
                body,
                headers | {"X-Deadline-Ms": str(round(remaining_s * 1000))},
                remaining_s,
                received.extend,
            )
            return _classify_stream(answer, bytes(received), expected)

        await self._retry_until_final(name, attempt)

    async def release(self, name: str) -> None:
        """Release a loan with an idempotency key; retry until the outcome is final."""
        headers = {"Idempotency-Key": name}

        async def attempt(
            address: str, remaining_s: float
        ) -> tuple[RequestResult, str, bool]:
            path = f"/v1/services/{PLAIN_SERVICE}/loans"
            answer = await self._send(
                address, path, {"plate": name}, headers, min(remaining_s, 12.0), None
            )
            return _classify_call(answer)

        await self._retry_until_final(name, attempt)

    async def _retry_until_final(self, name: str, attempt: Callable[..., Any]) -> None:
        began, error_kinds, attempts = time.monotonic(), [], 0
        result, not_run, failed = RequestResult.NO_ANSWER, False, ""
        while (remaining_s := began + DEADLINE_S - time.monotonic()) > 0.5:
            address = await self._choose_entry(failed)
            attempts += 1
            result, kind, not_run = await attempt(address, remaining_s)
            if result in (
                RequestResult.COMPLETE,
                RequestResult.WRONG,
                RequestResult.UNKNOWN,
            ):
                break
            error_kinds.append(kind)
            failed = address
            await asyncio.sleep(RETRY_S)
        seconds = time.monotonic() - began
        outcome = RequestOutcome(name, result, seconds, attempts, error_kinds, not_run)
        self.outcomes.append(outcome)

    async def _choose_entry(self, failed: str) -> str:
        if time.monotonic() >= self._directory_expires_at:
            await self._refresh_directory()
        others = [each for each in self._listed_entries if each != failed]
        return self._rng.choice(others or self._initial_entries)

    async def _refresh_directory(self) -> None:
        for address in self._rng.sample(
            self._initial_entries, len(self._initial_entries)
        ):
            request = HTTPRequest(f"http://{address}/v1/directory", request_timeout=0.5)
            answer = await self._fetch(request)
            if answer is not None and answer.code == 200:
                body = json.loads(answer.body)
                if body["entries"]:
                    self._listed_entries = [each["address"] for each in body["entries"]]
                    self._directory_expires_at = time.monotonic() + body["keep_s"]
                    return

    async def _send(
        self,
        address: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        timeout_s: float,
        receive: Callable[[bytes], Any] | None,
    ) -> HTTPResponse | None:
        common = {"Content-Type": "application/json", "X-Tenant": "archive"}
        request = HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            headers=common | headers,
            body=json.dumps(body),
            connect_timeout=1.0,
            request_timeout=timeout_s,
            streaming_callback=receive,
            prepare_curl_callback=_abort_idle_transfer,
        )
        return await self._fetch(request)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | None:
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return None


def _abort_idle_transfer(curl: Any) -> None:
    """Abort a transfer that receives nothing for 4 s; entries send keep-alives."""
    curl.setopt(curl.LOW_SPEED_LIMIT, 1)
    curl.setopt(curl.LOW_SPEED_TIME, 4)


def _classify_stream(
    answer: HTTPResponse | None, received: bytes, expected: str
) -> tuple[RequestResult, str, bool]:
    if answer is None or answer.code == 599:
        return RequestResult.NO_ANSWER, "connection", False
    if answer.code != 200:
        return _classify_error(received or answer.body)
    text, done, error = "", False, ""
    for line in received.decode().splitlines():
        if line.startswith("data: [DONE]"):
            done = True
        elif line.startswith("data: "):
            chunk = json.loads(line[6:])
            if "error" in chunk:
                error = chunk["error"]["kind"]
            else:
                text += "".join(each["text"] for each in chunk["choices"])
    if done:
        complete = text == expected and not error
        return (RequestResult.COMPLETE if complete else RequestResult.WRONG), "", False
    return RequestResult.NO_ANSWER, error or "truncated", False


def _classify_call(answer: HTTPResponse | None) -> tuple[RequestResult, str, bool]:
    if answer is None or answer.code == 599:
        return RequestResult.NO_ANSWER, "connection", False
    if answer.code == 201:
        return RequestResult.COMPLETE, "", False
    result, kind, not_run = _classify_error(answer.body)
    if kind == "outcome_unknown":
        return RequestResult.UNKNOWN, kind, False
    return result, kind, not_run


def _classify_error(body: bytes) -> tuple[RequestResult, str, bool]:
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError):
        return RequestResult.WRONG, "unreadable", False
    return RequestResult.REFUSED, error["kind"], error["ran"] == "no"
