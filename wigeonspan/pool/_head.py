"""Response heads and the encoding of requests."""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from wigeonspan.common import PROTOCOL_VERSION, VERSION_HEADER, encode

HeaderList = list[tuple[str, str]]
"""Header names and values in the order received."""


class Head(Struct, frozen=True):
    """Status and header fields of a response."""

    status: int
    headers: HeaderList

    def get(self, name: str) -> str | None:
        """Return the first value of a header, ignoring the case of its name."""
        lower = name.lower()
        return next((v for n, v in self.headers if n.lower() == lower), None)


def encode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Encode an HTTP/1.1 request.

    ``Content-Length`` is added when there is a body or the method usually has one.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_message(address: str, path: str, message: Any) -> bytes:
    """Encode the request that sends a message to another process of the system."""
    headers = [
        ("Host", address),
        ("Content-Type", "application/json"),
        (VERSION_HEADER, str(PROTOCOL_VERSION)),
    ]
    return encode_request("POST", path, headers, encode(message))
