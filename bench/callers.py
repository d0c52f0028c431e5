"""Callers that follow the directory and ask again, as an application would."""

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
"""Time in which a caller asks again; longer than any single fault lasts."""

RETRY_S = 0.2
"""Pause of a caller before it asks another entry."""


class Result(Enum):
    """What a caller got in the end."""

    WHOLE = "whole"
    WRONG = "wrong"
    REFUSED = "refused"
    NOTHING = "nothing"
    UNKNOWN = "unknown"


class Report(Struct):
    """One finished request.

    Parameters
    ----------
    asked : int
        How often the caller sent it.
    kinds : list of str
        Kinds of the errors on the way.
    claims_not_run : bool
        Whether the last answer said that the request did not run.
    """

    name: str
    result: Result
    seconds: float
    asked: int
    kinds: list[str]
    claims_not_run: bool = False


class Callers:
    """Sends requests through the entries that the directory names.

    Parameters
    ----------
    entries : list of str
        Addresses that the callers know at first.
    rng : random.Random
        Source of choices.
    """

    def __init__(self, entries: list[str], rng: random.Random) -> None:
        self.reports: list[Report] = []
        self._known = list(entries)
        self._listed = list(entries)
        self._keep_until = 0.0
        self._rng = rng
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=2000)

    async def stream(self, name: str, tokens: int, priority: str) -> None:
        """Ask for a streamed completion until it is whole or time is up."""
        prompt = f"prompt {name}"
        body = {
            "model": MODEL_SERVICE,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"X-Request-Id": name, "X-Priority-Class": priority}
        expected = answer_text(prompt, tokens)

        async def attempt(address: str, left_s: float) -> tuple[Result, str, bool]:
            received = bytearray()
            answer = await self._send(
                address,
                "/v1/completions",
                body,
                headers | {"X-Deadline-Ms": str(round(left_s * 1000))},
                left_s,
                received.extend,
            )
            return _judge_stream(answer, bytes(received), expected)

        await self._persist(name, attempt)

    async def release(self, name: str) -> None:
        """Release a loan with an idempotency key until the outcome is final."""
        headers = {"Idempotency-Key": name}

        async def attempt(address: str, left_s: float) -> tuple[Result, str, bool]:
            path = f"/v1/services/{PLAIN_SERVICE}/loans"
            answer = await self._send(
                address, path, {"plate": name}, headers, min(left_s, 12.0), None
            )
            return _judge_call(answer)

        await self._persist(name, attempt)

    async def _persist(self, name: str, attempt: Callable[..., Any]) -> None:
        began, kinds, asked = time.monotonic(), [], 0
        result, not_run, failed = Result.NOTHING, False, ""
        while (left_s := began + DEADLINE_S - time.monotonic()) > 0.5:
            address = await self._choose(failed)
            asked += 1
            result, kind, not_run = await attempt(address, left_s)
            if result in (Result.WHOLE, Result.WRONG, Result.UNKNOWN):
                break
            kinds.append(kind)
            failed = address
            await asyncio.sleep(RETRY_S)
        seconds = time.monotonic() - began
        report = Report(name, result, seconds, asked, kinds, not_run)
        self.reports.append(report)

    async def _choose(self, failed: str) -> str:
        if time.monotonic() >= self._keep_until:
            await self._refresh()
        others = [each for each in self._listed if each != failed]
        return self._rng.choice(others or self._known)

    async def _refresh(self) -> None:
        for address in self._rng.sample(self._known, len(self._known)):
            request = HTTPRequest(f"http://{address}/v1/directory", request_timeout=0.5)
            answer = await self._fetch(request)
            if answer is not None and answer.code == 200:
                body = json.loads(answer.body)
                if body["entries"]:
                    self._listed = [each["address"] for each in body["entries"]]
                    self._keep_until = time.monotonic() + body["keep_s"]
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
            prepare_curl_callback=_end_when_silent,
        )
        return await self._fetch(request)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | None:
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return None


def _end_when_silent(curl: Any) -> None:
    """Give up a connection that brings nothing for 4 s; entries send keep-alives."""
    curl.setopt(curl.LOW_SPEED_LIMIT, 1)
    curl.setopt(curl.LOW_SPEED_TIME, 4)


def _judge_stream(
    answer: HTTPResponse | None, received: bytes, expected: str
) -> tuple[Result, str, bool]:
    if answer is None or answer.code == 599:
        return Result.NOTHING, "connection", False
    if answer.code != 200:
        return _judge_error(received or answer.body)
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
        whole = text == expected and not error
        return (Result.WHOLE if whole else Result.WRONG), "", False
    return Result.NOTHING, error or "truncated", False


def _judge_call(answer: HTTPResponse | None) -> tuple[Result, str, bool]:
    if answer is None or answer.code == 599:
        return Result.NOTHING, "connection", False
    if answer.code == 201:
        return Result.WHOLE, "", False
    result, kind, not_run = _judge_error(answer.body)
    if kind == "outcome_unknown":
        return Result.UNKNOWN, kind, False
    return result, kind, not_run


def _judge_error(body: bytes) -> tuple[Result, str, bool]:
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError):
        return Result.WRONG, "unreadable", False
    return Result.REFUSED, error["kind"], error["ran"] == "no"
