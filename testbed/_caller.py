"""A caller of a deployment, with blocking connections."""

import http.client
import json
from collections.abc import Iterator

from standins.engine import answer_text
from testbed._deployment import MODEL, PLAIN
from testbed._processes import StepFailed

TIMEOUT_S = 30.0
"""Longest silence of a connection before the caller gives up."""


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
    priority : str
        Priority class.
    """

    def __init__(
        self, address: str, prompt: str, max_tokens: int, priority: str = "desk"
    ) -> None:
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.text = ""
        self.is_whole = False
        self._expected = answer_text(prompt, max_tokens)
        self._connection = _connect(address)
        headers = {
            "Content-Type": "application/json",
            "X-Tenant": "archive",
            "X-Priority-Class": priority,
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

    def read_whole(self) -> None:
        """Read to the end and check that the answer is whole."""
        for _ in self.tokens():
            pass
        self.check_whole()

    def check_whole(self) -> None:
        """Raise unless the whole answer was received."""
        if not self.is_whole or self.text != self._expected:
            raise StepFailed(f"the stream is not whole: {self.text!r}")


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
