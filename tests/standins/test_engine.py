"""The stand-in engine follows the engine protocol; other tests rely on this."""

import asyncio
import json

import pytest
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from standins.engine import (
    EngineFaults,
    EngineSettings,
    OrderCrash,
    StandinEngine,
    answer_text,
    prefix_hashes,
)
from wigeonspan.http import make_client

FAST = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=1e6, order_s=0.02)


def with_engine(test, settings=FAST):
    async def run():
        engine = StandinEngine(settings)
        engine.start()
        try:
            return await test(engine)
        finally:
            await engine.stop()

    return asyncio.run(run())


async def call(engine, path, body=None):
    request = {} if body is None else {"method": "POST", "body": json.dumps(body)}
    url = f"http://{engine.address}{path}"
    try:
        return await make_client(1).fetch(url, raise_error=False, **request)
    except HTTPClientError as error:
        return HTTPResponse(HTTPRequest(url), error.code)


def completion(**extension):
    fields = {"attempt": "a1", "priority": "desk", "deadline_ms": 1000, **extension}
    return {
        "model": "demo-model",
        "prompt": "how old is plate 7",
        "max_tokens": 6,
        "stream": True,
        "wigeonspan": fields,
    }


async def stream(engine, body):
    """Return the data lines of a stream, without their prefix.

    The last line is ``CLOSED`` if the engine closed the connection.
    """
    lines = []
    url = f"http://{engine.address}/v1/completions"
    request = {"method": "POST", "body": json.dumps(body), "raise_error": False}
    try:
        await make_client(1).fetch(url, streaming_callback=lines.append, **request)
    except HTTPClientError:
        lines.append(b"data: CLOSED\n\n")
    parts = b"".join(lines).split(b"\n\n")
    return [part.removeprefix(b"data: ") for part in parts if part]


def joined_text(lines):
    chunks = [json.loads(line) for line in lines if line.startswith(b"{")]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


@pytest.mark.parametrize("start", [0, 4, 6])
def test_stream_is_complete_from_any_position(start):
    """Tests of resumed streams need the same text from every start position."""
    prompt = completion()["prompt"]

    async def test(engine):
        text = answer_text(prompt, start)
        body = completion(resume_position=start, resume_text=text)
        return await stream(engine, body)

    lines = with_engine(test)
    assert lines[-1] == b"[DONE]"
    last = json.loads(lines[-2])
    assert last["usage"]["completion_tokens"] == 6
    assert [json.loads(x)["wigeonspan"]["position"] for x in lines[:-2]] == list(
        range(start, 6)
    )
    assert joined_text(lines) == answer_text(prompt, 6, start)


@pytest.mark.parametrize(
    ("faults", "last_line", "positions"),
    [
        ({"die_after_tokens": 3, "dead_s": 9.0}, b"CLOSED", [0, 1, 2]),
        ({"stop_before_end": True}, None, [0, 1, 2, 3, 4, 5]),
        ({"skip_position": 2}, b"[DONE]", [0, 1, 3, 4, 5, 6]),
        ({"repeat_position": 2}, b"[DONE]", [0, 1, 2, 2, 3, 4, 5, 6]),
        ({"wrong_count": 1}, b"[DONE]", [0, 1, 2, 3, 4, 5, 6]),
    ],
)
def test_stream_faults_take_effect(faults, last_line, positions):
    """With a fault setting that has no effect, every test of that fault would pass."""

    async def test(engine):
        engine.set_faults(EngineFaults(**faults))
        return await stream(engine, completion())

    lines = with_engine(test)
    chunks = [json.loads(line) for line in lines if line.startswith(b"{")]
    assert [chunk["wigeonspan"]["position"] for chunk in chunks] == positions
    assert last_line is None or lines[-1] == last_line
    if "wrong_count" in faults:
        assert chunks[-1]["usage"]["completion_tokens"] == 7


@pytest.mark.parametrize("after_tokens", [None, 0, 3])
def test_silent_engine_goes_on_and_loses_nothing(after_tokens):
    """A silence that cut streams or dropped requests would be another fault."""
    silence_s = 0.3

    async def test(engine):
        faults = EngineFaults(
            silent_s=silence_s, silent_after_tokens=after_tokens, streams=1
        )
        began = engine.now
        engine.set_faults(faults)
        first = asyncio.create_task(stream(engine, completion()))
        await asyncio.sleep(silence_s / 2)
        state = await call(engine, "/wigeonspan/state")
        waited_s = engine.now - began
        second = await stream(engine, completion(attempt="a2"))
        return await first, second, state.code, waited_s

    first, second, code, waited_s = with_engine(test)
    assert code == 200
    assert waited_s >= silence_s
    for lines in (first, second):
        assert lines[-1] == b"[DONE]"
        assert joined_text(lines) == answer_text(completion()["prompt"], 6)


@pytest.mark.parametrize(
    ("checks", "fences", "statuses"),
    [(True, [5, 4, 6], [200, 409, 200]), (False, [5, 4, 6], [200, 200, 200])],
)
def test_fence_is_checked_only_when_set(checks, fences, statuses):
    """Tests of delayed orders use engines with and without the check."""

    async def test(engine):
        answers = []
        for fence in fences:
            order = {"order_id": f"o{fence}", "fence": fence, "action": "change_role"}
            answers.append(
                await call(engine, "/wigeonspan/order", order | {"role": "decode"})
            )
        return [answer.code for answer in answers]

    settings = EngineSettings(order_s=0.0, checks_fence=checks)
    assert with_engine(test, settings) == statuses


@pytest.mark.parametrize("crash", list(OrderCrash))
def test_crash_during_an_order_unloads_the_model(crash):
    """Tests that read back the state need an engine that restarts without a model."""

    async def test(engine):
        engine.set_faults(EngineFaults(crash_in_order=crash))
        before = json.loads((await call(engine, "/wigeonspan/state")).body)
        order = {"order_id": "o1", "action": "load_model", "model": "m"}
        answer = await call(engine, "/wigeonspan/order", order)
        after = json.loads((await call(engine, "/wigeonspan/state")).body)
        return answer.code, before, after

    code, before, after = with_engine(test)
    assert code == 599
    assert before["model"] == "demo-model" and after["model"] is None
    assert before["incarnation"] != after["incarnation"]
    assert after["busy_order"] == after["last_order"] == ""


def test_order_aborts_running_requests():
    """Tests that orders wait for requests need an early order to abort them."""

    async def test(engine):
        running = asyncio.create_task(
            stream(engine, completion() | {"max_tokens": 999})
        )
        while not engine.batch.running:
            await asyncio.sleep(0.001)
        order = {"order_id": "o1", "action": "change_role", "role": "decode"}
        await call(engine, "/wigeonspan/order", order)
        return engine.cut_urgent, await running

    cut, lines = with_engine(test, EngineSettings(order_s=0.0))
    assert cut == 1 and lines[-1] == b"CLOSED"


def test_cache_events_are_delayed_and_lost():
    """Tests of prefix estimates rely on lost and delayed events."""
    prompt = " ".join(str(n) for n in range(64))

    async def test(engine):
        await stream(engine, completion() | {"prompt": prompt})
        return json.loads((await call(engine, "/wigeonspan/cache-events")).body)

    seen = with_engine(test, EngineSettings(event_gap_every=3))["events"]
    hashes = prefix_hashes(prompt.split())
    assert [(e["seq"], e["prefix"]) for e in seen] == [
        (1, hashes[0][0]),
        (2, hashes[1][0]),
        (4, hashes[3][0]),
    ]
    assert with_engine(test, EngineSettings(event_lag_s=60.0))["events"] == []


def test_kv_cache_is_transferred_between_engines():
    """Prefill and decode on separate engines need a handle that is valid on both."""

    async def test(engine):
        other = StandinEngine(FAST)
        other.start()
        await stream(engine, completion(phase="prefill"))
        export = await call(engine, "/wigeonspan/kv/export", {"attempt": "a1"})
        handle = json.loads(export.body)["handle"]
        body = {"source": engine.address, "handle": handle}
        imported = json.loads((await call(other, "/wigeonspan/kv/import", body)).body)
        lines = await stream(other, completion(phase="decode", kv_handle=handle))
        await other.stop()
        return imported, lines

    imported, lines = with_engine(test)
    assert imported["tokens"] == 5
    assert joined_text(lines) == answer_text(completion()["prompt"], 6)


def test_cancel_aborts_a_run():
    """A cancelled attempt must release its slot in the batch."""

    async def test(engine):
        running = asyncio.create_task(
            stream(engine, completion() | {"max_tokens": 999})
        )
        while not engine.batch.running:
            await asyncio.sleep(0.001)
        await call(engine, "/wigeonspan/cancel", {"attempt": "a1"})
        return await running, engine.batch.running

    lines, running = with_engine(test, EngineSettings())
    assert lines[-1] == b"CLOSED" and running == 0
