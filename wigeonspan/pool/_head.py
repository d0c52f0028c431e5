"""Heads of requests and answers."""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from wigeonspan.common import PROTOCOL_VERSION, VERSION_HEADER, encode

HeaderList = list[tuple[str, str]]
"""Header fields in their order."""


class Head(Struct, frozen=True):
    """Status and header fields of an answer."""

    status: int
    headers: HeaderList

    def get(self, name: str) -> str | None:
        """Return the first field with a name, whatever its case."""
        lower = name.lower()
        return next((v for n, v in self.headers if n.lower() == lower), None)


def encode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the bytes of a request.

    A length is added when there is a body or the method usually has one.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_message(address: str, path: str, message: Any) -> bytes:
    """Return the request that sends a message to another process of the system."""
    headers = [
        ("Host", address),
        ("Content-Type", "application/json"),
        (VERSION_HEADER, str(PROTOCOL_VERSION)),
    ]
    return encode_request("POST", path, headers, encode(message))
