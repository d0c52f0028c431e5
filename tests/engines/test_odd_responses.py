"""Responses of engines with single values that cannot be decoded or used."""

import msgspec
import pytest

from wigeonspan.common import ErrorKind, WigeonspanError, decode
from wigeonspan.engines import CacheEvents, EngineState, KvHandle, LoadReport
from wigeonspan.engines._frames import FrameError, parse_cache_events, parse_frame
from wigeonspan.engines._messages import CacheEvent

DEEP = b"[" * 5000 + b"]" * 5000
UNDECODABLE = [
    DEEP,
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    b"1e999",
    b'"\\ud800"',
    b"NaN",
]
OUT_OF_RANGE = [b"-1", b"9" * 400, b"9" * 5000, b"1e999", b"-1e300"]

CHUNK = b'{"choices":[{"text":"a"}],"wigeonspan":{"attempt":"a","position":1}'
REPORT = {
    "engine": "e",
    "incarnation": "i",
    "age_s": 0.5,
    "role": "mixed",
    "queued_prefill_tokens": 1,
    "running": 1,
    "batch_limit": 8,
    "pieces_total": 9,
    "pieces_free": 3,
    "prefill_tokens_per_s": 100.0,
    "decode_tokens_per_s": 10.0,
}


@pytest.mark.parametrize("odd", [DEEP, b'"\\ud800"'])
def test_chunk_with_an_odd_member_is_no_chunk(odd):
    """Deep nesting raised ``RecursionError`` inside of the client's callback."""
    with pytest.raises(FrameError):
        parse_frame(CHUNK + b',"note":' + odd + b"}")


@pytest.mark.parametrize("value", OUT_OF_RANGE)
def test_chunk_with_a_number_out_of_range_is_no_chunk(value):
    """The number of output tokens goes into measurements of all requests."""
    with pytest.raises(FrameError):
        parse_frame(CHUNK + b',"usage":{"completion_tokens":' + value + b"}}")


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize(
    "name", [n for n, v in REPORT.items() if not isinstance(v, str)]
)
def test_report_with_a_number_out_of_range_is_refused(name, value):
    """A negative age kept all later reports of the engine from being used."""
    members = {n: msgspec.json.encode(v) for n, v in REPORT.items()} | {name: value}
    body = b",".join(b'"%s":%s' % (n.encode(), v) for n, v in members.items())
    with pytest.raises(WigeonspanError) as caught:
        decode(b"{" + body + b"}", LoadReport)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_sound_responses_are_read():
    """The limits must not refuse what engines send."""
    assert decode(msgspec.json.encode(REPORT), LoadReport).age_s == 0.5
    assert decode(b'{"handle":"h","tokens":0}', KvHandle).tokens == 0
    state = {"engine": "e", "incarnation": "i", "role": "mixed", "model": None}
    state |= {"model_version": None, "adapters": [], "busy_order": ""}
    state |= {"last_order": "", "urgent": 0, "batch": 2}
    assert decode(msgspec.json.encode(state), EngineState).batch == 2


@pytest.mark.parametrize(
    "odd",
    [
        *UNDECODABLE,
        b"{}",
        b'{"seq":-1,"prefix":"a","tokens":5,"stored":true}',
        b'{"seq":' + b"9" * 400 + b',"prefix":"a","tokens":5,"stored":true}',
    ],
)
def test_odd_cache_event_does_not_hide_the_others(odd):
    """The events after it were asked for again and again, and never read."""
    good = b'{"seq":%d,"prefix":"a","tokens":5,"stored":true}'
    events = b",".join((good % 1, odd, good % 3))
    body = b'{"incarnation":"i","events":[' + events + b"]}"
    expected = [CacheEvent(seq, "a", 5, True) for seq in (1, 3)]
    assert parse_cache_events(body) == CacheEvents("i", expected)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"incarnation":"i"}', b'{"events":[]}', DEEP]
)
def test_response_without_events_is_refused(body):
    """A poll that failed is repeated with the same position."""
    with pytest.raises(WigeonspanError):
        parse_cache_events(body)
