"""Parsers of callers' input; they raise :class:`WigeonspanError` for invalid values."""

import re
import uuid
from collections.abc import Mapping
from typing import Any
from urllib.parse import unquote

from msgspec import Struct

from wigeonspan.catalog import PlainService, PriorityClass
from wigeonspan.common import (
    ErrorKind,
    RequestId,
    TenantName,
    WigeonspanError,
    decode,
)

DEFAULT_TENANT = TenantName("default")
"""Tenant of requests without a tenant header."""

MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Longest deadline in milliseconds: one day, enough for a nightly catalogue run."""

MAX_TOKENS = 1_000_000
"""Largest number of output tokens of one request."""

DEFAULT_MAX_TOKENS = 16
"""Output token limit when the caller sets none, as in the OpenAI interface."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,12}")


class CallerHeaders(Struct, frozen=True):
    """Checked headers of a request.

    Parameters
    ----------
    deadline_ms : int or None
        Milliseconds after arrival; None stands for the default of the service.
    priority : PriorityClass or None
        None stands for the default of the service.
    """

    request: RequestId
    tenant: TenantName
    deadline_ms: int | None
    priority: PriorityClass | None


class CompletionBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a completion request in the OpenAI format.

    Fields that would change the format of the response are not supported. A request
    with such a field is refused, since its response would not have that format.
    """

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    temperature: float | None = None
    top_p: float | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    n: int = 1
    user: str | None = None


_FORWARDED_FIELDS = (
    "temperature",
    "top_p",
    "presence_penalty",
    "frequency_penalty",
    "seed",
    "stop",
    "user",
)


def parse_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Parse the headers that all requests have in common.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` for an invalid value.
    """
    tenant = headers.get("X-Tenant", DEFAULT_TENANT)
    request = headers.get("X-Request-Id")
    return CallerHeaders(
        request=RequestId(
            uuid.uuid4().hex
            if request is None
            else _check_name("X-Request-Id", request)
        ),
        tenant=TenantName(_check_name("X-Tenant", tenant)),
        deadline_ms=_parse_deadline(headers.get("X-Deadline-Ms")),
        priority=_parse_priority(headers.get("X-Priority-Class")),
    )


def parse_completion(body: bytes) -> CompletionBody:
    """Parse the body of a completion request.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the body is malformed, or a field has a wrong type or is
        out of range.
    """
    request = decode(body, CompletionBody)
    if not 1 <= request.max_tokens <= MAX_TOKENS:
        raise _bad_request(f"max_tokens must be from 1 to {MAX_TOKENS}")
    if request.n != 1:
        raise _bad_request("n must be 1")
    if not request.prompt:
        raise _bad_request("prompt must not be empty")
    return request


def engine_fields(body: CompletionBody, model: str) -> dict[str, Any]:
    """Return the fields of the completion request for an engine."""
    fields: dict[str, Any] = {
        "model": model,
        "prompt": body.prompt,
        "max_tokens": body.max_tokens,
    }
    for name in _FORWARDED_FIELDS:
        value = getattr(body, name)
        if value is not None:
            fields[name] = value
    return fields


def parse_key(value: str | None) -> str:
    """Check the idempotency key of a non-idempotent call.

    Raises
    ------
    WigeonspanError
        ``KEY_REQUIRED`` or ``BAD_REQUEST``.
    """
    if value is None:
        raise WigeonspanError(
            ErrorKind.KEY_REQUIRED, "this call needs the header Idempotency-Key"
        )
    if not _KEY_PATTERN.fullmatch(value):
        raise _bad_request("Idempotency-Key must be 1 to 255 visible ASCII characters")
    return value


def check_path(path: str) -> str:
    """Return the decoded path of a plain call, starting with a slash.

    A path that a service could resolve to a different one is refused, because the
    decoded path is matched against the list of non-idempotent calls.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` for dot segments, empty segments, backslashes, encoded
        slashes, and characters that cannot be decoded.
    """
    try:
        decoded = unquote(path, errors="strict")
    except UnicodeDecodeError as error:
        raise _bad_request("the path is not UTF-8") from error
    segments = decoded.split("/")
    ambiguous = decoded.count("/") != path.count("/") or "%" in decoded
    if ambiguous or "\\" in decoded or any(ord(c) < 32 for c in decoded):
        raise _bad_request("the path has characters that are not allowed")
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise _bad_request("the path has dot segments or empty segments")
    return f"/{decoded}"


def is_non_idempotent(service: PlainService, method: str, path: str) -> bool:
    """Return whether the service lists the call as non-idempotent."""
    folded_path = path.casefold()
    for call in service.non_idempotent:
        listed_method, _, prefix = call.partition(" ")
        same_method = listed_method.upper() == method.upper()
        if same_method and folded_path.startswith(prefix.casefold()):
            return True
    return False


def _check_name(header: str, value: str) -> str:
    if not _NAME_PATTERN.fullmatch(value):
        raise _bad_request(
            f"{header} must be 1 to 128 letters, digits, or any of . _ : -"
        )
    return value


def _parse_deadline(value: str | None) -> int | None:
    if value is None:
        return None
    if not _NUMBER_PATTERN.fullmatch(value) or not 0 < int(value) <= MAX_DEADLINE_MS:
        raise _bad_request(
            f"X-Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}"
        )
    return int(value)


def _parse_priority(value: str | None) -> PriorityClass | None:
    if value is None:
        return None
    try:
        return PriorityClass(value)
    except ValueError as error:
        names = ", ".join(item.value for item in PriorityClass)
        raise _bad_request(f"X-Priority-Class must be one of {names}") from error


def _bad_request(message: str) -> WigeonspanError:
    return WigeonspanError(ErrorKind.BAD_REQUEST, message)
