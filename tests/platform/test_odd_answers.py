"""Answers of replicas whose bodies cannot be decoded or used."""

import asyncio

import pytest
from adapter import OrderSender, PlatformProtocol

from tests.platform.test_odd_entries import DEEP, UNDECODABLE
from wigeonspan.common import DomainName, ServiceName
from wigeonspan.gateway import SendOptions
from wigeonspan.pool import Head
from wigeonspan.staging import EngineReport
from wigeonspan.targets import Phase, Target, TargetId

TARGET = Target(TargetId("i-1"), ServiceName("s"), "10.9.0.1:80", DomainName("d"), 64)
REPORT = b'{"stage":"decode","busy":false,"sequence":3'


class FakePool:
    def __init__(self, body):
        self.body = body

    async def fetch(self, address, request, timeout_s, *, new_connection=False):
        return Head(200, []), self.body


def read_report(body):
    return asyncio.run(OrderSender(FakePool(body)).read_report(TARGET))


@pytest.mark.parametrize("odd", UNDECODABLE.values(), ids=UNDECODABLE.keys())
def test_odd_member_of_a_report_does_not_hide_the_others(odd):
    """Deep nesting raised an error that ended the round of all orders."""
    report = read_report(REPORT + b',"note":' + odd + b"}")
    assert report == EngineReport(Phase.DECODE, False, 3)


@pytest.mark.parametrize("value", [*UNDECODABLE.values(), b"-1", b"1.5", b"null"])
@pytest.mark.parametrize("member", [b"stage", b"busy", b"sequence"])
def test_report_with_an_odd_value_is_no_report(member, value):
    """The engine is asked again in the next round."""
    members = {b"stage": b'"decode"', b"busy": b"false", b"sequence": b"3"}
    members[member] = value
    texts = (b'"' + n + b'":' + v for n, v in members.items())
    assert read_report(b"{" + b",".join(texts) + b"}") is None


@pytest.mark.parametrize("body", [DEEP, b"", b"[]", b"{", b"null"])
def test_answer_that_is_no_report_is_none(body):
    """Any answer may come from an engine in trouble."""
    assert read_report(body) is None


def read_handle(body):
    return PlatformProtocol().read_handle(TARGET, body)


@pytest.mark.parametrize("odd", UNDECODABLE.values(), ids=UNDECODABLE.keys())
def test_odd_member_beside_a_handle_does_not_hide_it(odd):
    """The prompt was prefilled again, or deep nesting raised ``RecursionError``."""
    handle = read_handle(b'{"tokens":' + odd + b',"transfer_handle":"ab"}')
    assert handle is not None and handle.handle == "ab"


@pytest.mark.parametrize(
    "value",
    [
        *UNDECODABLE.values(),
        b'""',
        b'"a\\r\\nX-Injected: y"',
        b'"a b"',
        b'"\\u0142"',
        b'"' + b"a" * 10_000 + b'"',
    ],
)
def test_handle_that_no_header_can_carry_is_none(value):
    """It was copied into the header fields of the next request."""
    assert read_handle(b'{"transfer_handle":' + value + b"}") is None


def test_sound_handle_is_sent():
    """The check of characters must not refuse the usual forms of a handle."""
    handle = read_handle(b'{"transfer_handle":"3f/a+0-_.~=%:x"}')
    request = PlatformProtocol().read_request("POST", "/", [], b"")
    sent = PlatformProtocol().encode(request, SendOptions(TARGET, 0.5, fetch=handle))
    assert b"Kv-Source: 10.9.0.1:80/3f/a+0-_.~=%:x\r\n" in sent


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        ("2", 2.0),
        ("0.5", 0.5),
        ("3600", 3600.0),
        ("1e300", 3600.0),
        ("9" * 300, 3600.0),
        ("9" * 400, 0.0),
        ("1e999", 0.0),
        ("-2", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("\xb2", 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
    ],
)
def test_pause_of_a_target_is_finite(value, pause_s):
    """A target with a long pause by mistake got no request for the rest of its life."""
    head = Head(503, [("Retry-After", value)])
    assert PlatformProtocol().read_notice(head).pause_s == pause_s
