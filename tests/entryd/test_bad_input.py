"""Tests of bad input: each gets one error kind, and the daemon continues to serve."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from standins._text import answer_text
from tests.entryd.harness import (
    FAST_RELAY,
    SETTINGS,
    EntryTestbed,
    error_of,
    run,
    text_of,
)
from wigeonspan.catalog import PlainService
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.entryd._requests import (
    check_path,
    is_non_idempotent,
    parse_completion,
    parse_headers,
    parse_key,
)

MAX_BODY_BYTES = 100_000
SMALL_BODY_SETTINGS = structs.replace(
    SETTINGS, relay=structs.replace(FAST_RELAY, max_body_bytes=MAX_BODY_BYTES)
)

VALID_BODY = {"model": "note", "prompt": "a b", "max_tokens": 4, "stream": True}

BODIES = [
    (b"", "bad_request"),
    (b"{", "bad_request"),
    (b"[]", "bad_request"),
    (b"\xff\xfe", "bad_request"),
    (b'{"model": "note"}', "bad_request"),
    ({**VALID_BODY, "model": "other"}, "unknown_model"),
    ({**VALID_BODY, "model": 7}, "bad_request"),
    ({**VALID_BODY, "prompt": ["a"]}, "bad_request"),
    ({**VALID_BODY, "prompt": ""}, "bad_request"),
    ({**VALID_BODY, "max_tokens": 0}, "bad_request"),
    ({**VALID_BODY, "max_tokens": 10**12}, "bad_request"),
    ({**VALID_BODY, "max_tokens": "4"}, "bad_request"),
    ({**VALID_BODY, "n": 2}, "bad_request"),
    ({**VALID_BODY, "logprobs": 3}, "bad_request"),
    ({**VALID_BODY, "wigeonspan": {"attempt": "x"}}, "bad_request"),
    ({**VALID_BODY, "prompt": "x" * MAX_BODY_BYTES}, "too_large"),
    (b'{"model":' + b"[" * 5000 + b"]" * 5000 + b"}", "bad_request"),
    (b'{"stop":' + b"[" * 5000 + b"]" * 5000 + b"}", "bad_request"),
    (b'{"other":' + b"[" * 5000 + b"]" * 5000 + b"}", "bad_request"),
    (b"[" * 5000 + b"]" * 5000, "bad_request"),
    (b'{"model":"note","prompt":"a","max_tokens":' + b"9" * 5000 + b"}", "bad_request"),
    (b'{"model":"note","prompt":"a","seed":' + b"9" * 5000 + b"}", "bad_request"),
    (b'{"model":"note","prompt":"a","temperature":1e999}', "bad_request"),
    (b'{"model":"note","prompt":"a","temperature":NaN}', "bad_request"),
    (b'{"model":"note","prompt":"\\ud800"}', "bad_request"),
]

HEADERS = [
    ({"Content-Type": "text/plain"}, "unsupported_media_type"),
    ({"X-Deadline-Ms": "0"}, "bad_request"),
    ({"X-Deadline-Ms": "-5"}, "bad_request"),
    ({"X-Deadline-Ms": "1.5"}, "bad_request"),
    ({"X-Deadline-Ms": "soon"}, "bad_request"),
    ({"X-Deadline-Ms": "9" * 40}, "bad_request"),
    ({"X-Deadline-Ms": "5, 6"}, "bad_request"),
    ({"X-Priority-Class": "urgent"}, "bad_request"),
    ({"X-Tenant": "a b"}, "bad_request"),
    ({"X-Tenant": "../../etc"}, "bad_request"),
    ({"X-Tenant": "t" * 200}, "bad_request"),
    ({"X-Request-Id": 'a"b'}, "bad_request"),
    ({"X-Request-Id": "\u00e9"}, "bad_request"),
    ({"X-Deadline-Ms": "1"}, "deadline_too_short"),
]

CALLS = [
    ("GET", "/v1/services/other/x", {}, "unknown_service"),
    ("GET", "/v1/services/dispatch", {}, "unknown_route"),
    ("GET", "/v1/nothing", {}, "unknown_route"),
    ("PUT", "/v1/completions", {}, "bad_request"),
    ("TRACE", "/v1/services/dispatch/sheets/a", {}, "bad_request"),
    ("POST", "/v1/services/dispatch/bookings", {}, "key_required"),
    ("POST", "/v1/services/dispatch/BOOKINGS", {}, "key_required"),
    ("POST", "/v1/services/dispatch/%62ookings", {}, "key_required"),
    ("POST", "/v1/services/dispatch//bookings", {}, "bad_request"),
    ("POST", "/v1/services/dispatch/sheets%2f..%2fbookings", {}, "bad_request"),
    ("POST", "/v1/services/dispatch/%ff", {}, "bad_request"),
    (
        "POST",
        "/v1/services/dispatch/bookings",
        {"Idempotency-Key": "k" * 256},
        "bad_request",
    ),
    (
        "POST",
        "/v1/services/dispatch/bookings",
        {"Idempotency-Key": "a b"},
        "bad_request",
    ),
]


async def _send_requests(requests):
    """Send the requests, then a valid one; return the errors."""
    async with EntryTestbed(settings=SMALL_BODY_SETTINGS) as testbed:
        errors = []
        for path, body, method, headers in requests:
            response = await testbed.fetch(path, body, method, **headers)
            errors.append(error_of(response))
        assert text_of(await testbed.complete()) == answer_text("plate 7 is", 8)
        assert testbed.daemon.entry.in_flight == 0
        return errors


def _check_errors(requests, kinds):
    errors = run(lambda: _send_requests(requests))
    assert [e["kind"] for e in errors] == kinds
    assert all(e["ran"] == "no" for e in errors)


def test_bad_bodies_get_one_error_each():
    """Guards against an internal error in the handler of a malformed body."""
    json_type = {"Content-Type": "application/json"}
    requests = [("/v1/completions", body, "POST", json_type) for body, _ in BODIES]
    _check_errors(requests, [kind for _, kind in BODIES])


def test_bad_headers_get_one_error_each():
    """Guards against malicious header values that reach logs, metrics or engines."""
    requests = [("/v1/completions", dict(VALID_BODY), "POST", h) for h, _ in HEADERS]
    _check_errors(requests, [kind for _, kind in HEADERS])


def test_bad_calls_get_one_error_each():
    """Guards against an encoded path that hides a non-idempotent call without a key."""
    requests = [
        (path, "x" if method in ("POST", "PUT") else None, method, headers)
        for method, path, headers, _ in CALLS
    ]
    _check_errors(requests, [kind for *_, kind in CALLS])


@pytest.mark.parametrize(
    "path", ["sheets/../bookings", "sheets/%2e%2e/bookings", "./bookings", "%2562ook"]
)
def test_disguised_paths_are_refused(path):
    """Checks the parser itself, since the HTTP client resolves dot segments."""
    with pytest.raises(WigeonspanError):
        check_path(path)


RAW_REQUESTS = [
    (b"GARBAGE\r\n\r\n", None),
    (b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n{", None),
    (b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: x\r\n\r\n", None),
    (b"GET /v1/directory HTTP/1.1\r\nHost: e\r\nX-A: " + b"a" * 70_000, None),
    (
        b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n"
        b"Content-Type: application/json\r\n\r\n"
        + b"".join(b"4000\r\n" + b"x" * 0x4000 + b"\r\n" for _ in range(8)),
        "too_large",
    ),
]


@pytest.mark.parametrize(("data", "kind"), RAW_REQUESTS, ids=range(len(RAW_REQUESTS)))
def test_malformed_http_does_not_stop_the_daemon(data, kind):
    """Guards against handlers that never end after a large or truncated request."""

    async def work():
        async with EntryTestbed(settings=SMALL_BODY_SETTINGS) as testbed:
            host, port = testbed.daemon.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            if kind is None:
                writer.write_eof()
            try:
                response = await reader.read()
            except ConnectionResetError:
                response = b""
            writer.close()
            complete_text = text_of(await testbed.complete())
            while testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            return response, complete_text

    response, complete_text = run(work)
    assert complete_text == answer_text("plate 7 is", 8)
    if kind is not None:
        assert json.loads(response.split(b"\r\n\r\n", 1)[1])["error"]["kind"] == kind


FUZZ_SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)


@FUZZ_SETTINGS
@given(
    st.one_of(
        st.binary(max_size=200),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(
                    st.sampled_from(
                        ["model", "prompt", "max_tokens", "stream", "n", "stop"]
                    ),
                    inner,
                )
            ),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode()),
    )
)
def test_body_parser_raises_only_wigeonspan_errors(body):
    """Guards against other errors for an unexpected type, which have no error body."""
    try:
        request = parse_completion(body)
    except WigeonspanError as error:
        assert error.kind is ErrorKind.BAD_REQUEST
    else:
        assert request.prompt and request.max_tokens >= 1


HEADER_NAMES = ["X-Tenant", "X-Request-Id", "X-Deadline-Ms", "X-Priority-Class"]


@FUZZ_SETTINGS
@given(st.dictionaries(st.sampled_from(HEADER_NAMES), st.text(max_size=30)), st.text())
def test_header_parsers_raise_only_wigeonspan_errors(headers, key):
    """Guards against other errors for a header value, which have no error body."""
    for parse, value in ((parse_headers, headers), (parse_key, key)):
        try:
            parse(value)
        except WigeonspanError as error:
            assert error.kind is ErrorKind.BAD_REQUEST


@FUZZ_SETTINGS
@given(st.text(alphabet="/.%25eEfFcC\\aB?;:\x00bookings", max_size=30))
def test_accepted_path_is_unambiguous(path):
    """Guards against accepting a path that a service could resolve to another one."""
    service = PlainService("dispatch", (), ("POST /bookings",))
    try:
        checked = check_path(path)
    except WigeonspanError as error:
        assert error.kind is ErrorKind.BAD_REQUEST
        return
    assert "%" not in checked and "\\" not in checked and "//" not in checked
    assert not {".", ".."} & set(checked.split("/"))
    if checked.lower().startswith("/bookings"):
        assert is_non_idempotent(service, "POST", checked)
