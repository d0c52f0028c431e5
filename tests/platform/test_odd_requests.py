"""Requests of callers with header fields out of range."""

import asyncio

import pytest
from adapter import PlatformProtocol

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    NON_IDEMPOTENT,
    STREAM,
    answers,
    count_requests,
    hangs,
    model_engines,
    plain_engines,
    prefills,
    route,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.sharing import TargetSuspended, WorkBegun
from wigeonspan.sharing._messages import Packet
from wigeonspan.sharing._wire import encode_packet

MANY_DIGITS = "9" * 400

ODD_USAGES = [
    f"{MANY_DIGITS},1",
    f"1,{MANY_DIGITS}",
    "9" * 5000 + ",1",
    "99999999999999999999,1",
    "-5,3",
    "5,-3",
    "+5,3",
    "1_0,3",
    "\u0663,3",
    "\xb2,3",
    "nan,1",
    "inf,1",
    "1e3,1",
    "1.5,1",
    "1,2,3",
    "",
    ",",
]

ODD_PARTS = [
    f"a:{MANY_DIGITS}",
    "a:" + "9" * 5000,
    "a:-5",
    "a:+5",
    "a:1_0",
    "a:\u0663",
    "a:nan",
    "a",
    "a:",
    ":5",
    "a:1:2",
    "b:1,a:-1",
]

ODD_DEADLINES = [
    "nan",
    "-nan",
    "inf",
    "-inf",
    "-5",
    "-0.1",
    "1e999",
    MANY_DIGITS,
    "1_0",
    "\u0663",
    "\xb2",
    "0x10",
    "",
    "soon",
]


def read(*headers):
    return PlatformProtocol().read_request("POST", "/", [("Host", "h"), *headers], b"")


@pytest.mark.parametrize(
    "headers",
    [
        *([("Token-Usage", value)] for value in ODD_USAGES),
        *([("Token-Usage", "9,1"), ("Prompt-Prefix", value)] for value in ODD_PARTS),
        *([("Deadline-Ms", value)] for value in ODD_DEADLINES),
    ],
)
def test_number_out_of_range_is_a_bad_request(headers):
    """Such numbers were used for the choice of a target and sent to other entries."""
    with pytest.raises(WigeonspanError) as caught:
        read(*headers)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert len(str(caught.value)) < 500


def test_largest_sizes_fit_into_datagrams():
    """An event that cannot be encoded lost all events of its datagram."""
    request = read(
        ("Token-Usage", "1000000000,1000000000"), ("Prompt-Prefix", "a:1000000000")
    )
    parts = request.prompt.parts
    assert parts == (PromptPart("a", 1_000_000_000),)
    tokens = request.prompt.total_tokens
    work = Work("w", "h", "t", WorkKind.PREFILL, 1.0, 0)
    assert encode_packet(Packet("h", [WorkBegun(work, parts, tokens)]))


@pytest.mark.parametrize(("value", "seconds"), [("900", 0.9), ("1.5", 0.0015)])
def test_deadline_is_read(value, seconds):
    """Checks of the deadline must not refuse sound ones."""
    assert read(("Deadline-Ms", value)).deadline_s == seconds


@pytest.mark.parametrize(
    "usage", [f"{MANY_DIGITS},8", "-900,8", "9,8\r\nDeadline-Ms: nan"]
)
def test_odd_request_gets_a_clear_refusal(usage):
    """Such requests got status 500, or reached engines."""
    engines = model_engines([prefills], [streams(3)])
    results = serve(route(STREAM), engines, usage=usage, times=2)
    assert [status(answer) for answer in results] == [400, 400]
    assert not any(engine.seen for engine in engines)


def call_targets(kind, engines, method, *, deadline_ms):
    """Send four requests; return the heads of their answers and the suspensions."""

    async def run():
        context, servers = start_gateway(route(kind), engines)
        published, results = [], []
        context.link.publish = published.append
        for number in range(4):
            reader, writer = await asyncio.open_connection(f"{NET}.1.1", 18081)
            head = f"{method} /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
            writer.write(f"{head}Deadline-Ms: {deadline_ms}\r\n\r\n".encode())
            results.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()
        for server in servers:
            await server.close()
        context.pool.close()
        return results, [e for e in published if isinstance(e, TargetSuspended)]

    return asyncio.run(run())


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_head_requests_are_answered_and_suspend_no_target(kind):
    """The body of the answer was waited for, so that a few such requests had every
    sound target suspended at all entries."""
    engines = plain_engines([answers(200)], [answers(200)])
    results, suspended = call_targets(kind, engines, "HEAD", deadline_ms=1000)
    assert [status(answer) for answer in results] == [200] * 4
    assert suspended == []
    assert count_requests(engines) == 4


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_callers_that_wait_briefly_suspend_no_target(kind):
    """Targets that answer within the objective counted as silent when a caller waited
    for less, and were suspended at all entries."""
    engines = plain_engines([hangs], [hangs])
    results, suspended = call_targets(kind, engines, "GET", deadline_ms=60)
    # On a busy machine the time may be over before the request is sent.
    assert all(status(answer) in (503, 504) for answer in results)
    assert suspended == []
