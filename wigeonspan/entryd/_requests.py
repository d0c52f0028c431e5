"""Parsing of what callers send; every fault is one error of the closed list."""

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
"""Tenant of requests that name none."""

MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Longest deadline in milliseconds; a catalogue run of one night fits into it."""

MAX_TOKENS = 1_000_000
"""Largest number of output tokens of one request."""

DEFAULT_MAX_TOKENS = 16
"""Output tokens when the caller sets no limit, as in the OpenAI interface."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_NUMBER = re.compile(r"[0-9]{1,12}")


class CallerHeaders(Struct, frozen=True):
    """Checked headers of a request.

    Parameters
    ----------
    deadline_ms : int or None
        Milliseconds from arrival; None takes the default of the service.
    priority : PriorityClass or None
        None takes the default of the service.
    """

    request: RequestId
    tenant: TenantName
    deadline_ms: int | None
    priority: PriorityClass | None


class CompletionBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a completion request in the OpenAI form.

    Fields that would change the form of the answer are not offered; a request that
    has them is refused rather than answered in another form.
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


_PASSED_ON = (
    "temperature",
    "top_p",
    "presence_penalty",
    "frequency_penalty",
    "seed",
    "stop",
    "user",
)


def parse_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Check the headers that all requests share.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` for a value that is not valid.
    """
    tenant = headers.get("X-Tenant", DEFAULT_TENANT)
    request = headers.get("X-Request-Id")
    return CallerHeaders(
        request=RequestId(
            uuid.uuid4().hex if request is None else _name("X-Request-Id", request)
        ),
        tenant=TenantName(_name("X-Tenant", tenant)),
        deadline_ms=_deadline(headers.get("X-Deadline-Ms")),
        priority=_priority(headers.get("X-Priority-Class")),
    )


def parse_completion(body: bytes) -> CompletionBody:
    """Check the body of a completion request.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when it is malformed, mistyped or out of range.
    """
    request = decode(body, CompletionBody)
    if not 1 <= request.max_tokens <= MAX_TOKENS:
        raise _bad(f"max_tokens must be from 1 to {MAX_TOKENS}")
    if request.n != 1:
        raise _bad("n must be 1")
    if not request.prompt:
        raise _bad("prompt must not be empty")
    return request


def engine_fields(body: CompletionBody, model: str) -> dict[str, Any]:
    """Return the fields of the completion request to an engine."""
    fields: dict[str, Any] = {
        "model": model,
        "prompt": body.prompt,
        "max_tokens": body.max_tokens,
    }
    for name in _PASSED_ON:
        value = getattr(body, name)
        if value is not None:
            fields[name] = value
    return fields


def parse_key(value: str | None) -> str:
    """Check the idempotency key of a call that needs one.

    Raises
    ------
    WigeonspanError
        ``KEY_REQUIRED`` or ``BAD_REQUEST``.
    """
    if value is None:
        raise WigeonspanError(
            ErrorKind.KEY_REQUIRED, "this call needs the header Idempotency-Key"
        )
    if not _KEY.fullmatch(value):
        raise _bad("Idempotency-Key must be 1 to 255 visible ASCII characters")
    return value


def check_path(path: str) -> str:
    """Return the decoded path of a plain call, starting with a slash.

    A path that a service could resolve to another one is refused, because the list of
    non-idempotent calls is matched against it.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` for dot segments, empty segments, backslashes, encoded
        slashes, and characters that cannot be decoded.
    """
    try:
        decoded = unquote(path, errors="strict")
    except UnicodeDecodeError as error:
        raise _bad("the path is not UTF-8") from error
    segments = decoded.split("/")
    hidden = decoded.count("/") != path.count("/") or "%" in decoded
    if hidden or "\\" in decoded or any(ord(c) < 32 for c in decoded):
        raise _bad("the path has characters that are not allowed")
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise _bad("the path has dot segments or empty segments")
    return f"/{decoded}"


def is_non_idempotent(service: PlainService, method: str, path: str) -> bool:
    """Whether a service lists a call as one that must not be repeated."""
    folded = path.casefold()
    for call in service.non_idempotent:
        listed_method, _, prefix = call.partition(" ")
        same_method = listed_method.upper() == method.upper()
        if same_method and folded.startswith(prefix.casefold()):
            return True
    return False


def _name(header: str, value: str) -> str:
    if not _NAME.fullmatch(value):
        raise _bad(f"{header} must be 1 to 128 letters, digits, or any of . _ : -")
    return value


def _deadline(value: str | None) -> int | None:
    if value is None:
        return None
    if not _NUMBER.fullmatch(value) or not 0 < int(value) <= MAX_DEADLINE_MS:
        raise _bad(f"X-Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}")
    return int(value)


def _priority(value: str | None) -> PriorityClass | None:
    if value is None:
        return None
    try:
        return PriorityClass(value)
    except ValueError as error:
        names = ", ".join(item.value for item in PriorityClass)
        raise _bad(f"X-Priority-Class must be one of {names}") from error


def _bad(message: str) -> WigeonspanError:
    return WigeonspanError(ErrorKind.BAD_REQUEST, message)
