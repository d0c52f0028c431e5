"""A caller of the demo deployment, with blocking connections."""

import http.client
import json
from collections.abc import Iterator
from typing import Any

from demo._settings import MODEL, PLAIN
from testbed import StepFailed

TIMEOUT_S = 30.0
"""Longest silence of a connection before the demo gives up."""


class Stream:
    """Streamed completion.

    Parameters
    ----------
    address : str
        Entry to ask.
    prompt : str
        Prompt.
    max_tokens : int
        Length of the answer.
    """

    def __init__(self, address: str, prompt: str, max_tokens: int) -> None:
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.text = ""
        self.is_whole = False
        self._connection = _connect(address)
        headers = {
            "Content-Type": "application/json",
            "X-Tenant": "archive",
            "X-Priority-Class": "desk",
        }
        self._connection.request("POST", "/v1/completions", json.dumps(body), headers)
        self._response = self._connection.getresponse()
        if self._response.status != 200:
            raise StepFailed(f"{address}: {self._response.read().decode()}")

    def tokens(self) -> Iterator[str]:
        """Yield the tokens as they arrive."""
        for line in self._response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                self.is_whole = True
                break
            chunk = json.loads(data)
            if "error" in chunk:
                raise StepFailed(f"the stream failed: {chunk['error']}")
            text = chunk["choices"][0]["text"]
            self.text += text
            yield text
        self._connection.close()


def release_loan(address: str, key: str, plate: str) -> tuple[int, str]:
    """Call the plain service through an entry; return status and body."""
    headers = {
        "Content-Type": "application/json",
        "X-Tenant": "archive",
        "Idempotency-Key": key,
    }
    body = json.dumps({"plate": plate})
    path = f"/v1/services/{PLAIN}/loans"
    return _call(address, "POST", path, body, headers)


def get_json(address: str, path: str) -> Any:
    """Return the JSON answer of a GET, or raise."""
    status, body = _call(address, "GET", path, None, {})
    if status != 200:
        raise StepFailed(f"{address}{path}: status {status}: {body}")
    return json.loads(body)


def _call(
    address: str, method: str, path: str, body: str | None, headers: dict[str, str]
) -> tuple[int, str]:
    connection = _connect(address)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
