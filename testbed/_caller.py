"""Client requests to a deployment, over blocking connections."""

import http.client
import json
from collections.abc import Iterator

from standins.engine import answer_text
from testbed._deployment import MODEL_SERVICE, PLAIN_SERVICE
from testbed._processes import DeploymentError

TIMEOUT_S = 30.0
"""Socket timeout of a connection, in seconds."""


class Stream:
    """Streamed completion; the request is sent on construction.

    Parameters
    ----------
    address : str
        Address and port of the entry.
    prompt : str
        Prompt.
    max_tokens : int
        Number of tokens to generate.
    priority : str
        Priority class.

    Raises
    ------
    DeploymentError
        When the entry responds with another status than 200.
    """

    def __init__(
        self, address: str, prompt: str, max_tokens: int, priority: str = "desk"
    ) -> None:
        body = {
            "model": MODEL_SERVICE,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.text = ""
        self.is_complete = False
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
            raise DeploymentError(
                f"{address} rejected the completion: {self._response.read().decode()}"
            )

    def tokens(self) -> Iterator[str]:
        """Yield tokens as they arrive; an error chunk raises ``DeploymentError``."""
        for line in self._response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                self.is_complete = True
                break
            chunk = json.loads(data)
            if "error" in chunk:
                raise DeploymentError(
                    f"the stream ended with an error: {chunk['error']}"
                )
            text = chunk["choices"][0]["text"]
            self.text += text
            yield text
        self._connection.close()

    def read_to_end(self) -> None:
        """Read to the end and check that the stream is complete."""
        for _ in self.tokens():
            pass
        self.check_complete()

    def check_complete(self) -> None:
        """Raise ``DeploymentError`` unless the end and the expected text arrived."""
        if not self.is_complete or self.text != self._expected:
            raise DeploymentError(
                f"the stream is incomplete or has the wrong text: {self.text!r}"
            )


def release_loan(address: str, key: str, plate: str) -> tuple[int, str]:
    """Release a loan through an entry; return status and body.

    ``key`` is the idempotency key of the request.
    """
    headers = {
        "Content-Type": "application/json",
        "X-Tenant": "archive",
        "Idempotency-Key": key,
    }
    body = json.dumps({"plate": plate})
    path = f"/v1/services/{PLAIN_SERVICE}/loans"
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
