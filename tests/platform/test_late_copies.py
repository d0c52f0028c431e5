"""Tests of targets that write an earlier answer once more on a kept connection."""

import asyncio
import contextlib
from http.client import responses

import msgspec
import pytest
from tornado.iostream import StreamClosedError

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    SIGNED,
    STREAM,
    answers,
    echo,
    model_engines,
    plain_engines,
    prefills,
    route,
    send,
    shared_state,
    start_gateway,
    status,
    streams,
)
from wigeonspan.targets import Listing, Phase

WORK_S = 0.15
# After the first answer: in the same packet, right after it, and when the connection
# may carry another request.
DELAYS_S = (0.0, 0.002, 0.03)


def encode_copy(code, headers, body=b""):
    fields = [*headers, ("Content-Length", str(len(body)))]
    lines = [f"HTTP/1.1 {code} {responses[code]}", *(f"{n}: {v}" for n, v in fields)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def write_later(caller, data, delay_s):
    """Write bytes to a caller's connection after the answer to its request."""
    stream = caller._connection.stream

    def write():
        with contextlib.suppress(StreamClosedError):
            stream.write(data)

    if delay_s:
        asyncio.get_running_loop().call_later(delay_s, write)
    else:
        write()


def answers_twice(code, headers, body=b"", *, delay_s, names_id):
    """Answer, and write the answer once more after a delay in seconds."""
    step = answers(code, body, headers)

    async def answer(fields, caller):
        await step(fields, caller)
        copied = [*headers, echo(fields)] if names_id else headers
        write_later(caller, encode_copy(code, copied, body), delay_s)

    return answer


def works(step):
    """Take some time for the work before the answer."""

    async def answer(fields, caller):
        await asyncio.sleep(WORK_S)
        await step(fields, caller)

    return answer


def serve_in_turn(kind, engines, numbers, *, usage):
    """Send requests one after the other; return their answers."""

    async def run():
        context, servers = start_gateway(route(kind, resumable=True), engines)
        results = [await send(number, usage, None) for number in numbers]
        for server in servers:
            await server.close()
        context.pool.close()
        return results

    return asyncio.run(run())


REFUSALS = {
    "not run": (503, [("Not-Executed", "1")]),
    "too many requests": (429, [("Not-Executed", "1")]),
    "another target": (421, []),
}


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("names_id", [True, False])
@pytest.mark.parametrize("numbers", [(0, 0), (0, 1)], ids=["same id", "other id"])
@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
def test_copy_of_a_refusal_does_not_answer_a_running_call(
    refusal, numbers, names_id, delay_s
):
    """A call that its target was running was refused as not run.

    The refusal of the request before it had come once more on the kept connection.
    """
    refuses = answers_twice(*refusal, delay_s=delay_s, names_id=names_id)
    engines = plain_engines([refuses, works(answers(200))])
    results = serve_in_turn(IDEMPOTENT, engines, numbers, usage=None)
    assert [status(answer) for answer in results] == [503, 200]


@pytest.mark.parametrize("names_id", [True, False])
def test_copy_of_a_refusal_does_not_send_a_running_call_elsewhere(names_id):
    """A call ran at two targets because of a copy of the refusal before it."""
    refuses = answers_twice(
        503, [("Not-Executed", "1")], delay_s=0.03, names_id=names_id
    )
    engines = plain_engines(*[[refuses, works(answers(200))] for _ in range(2)])
    # Both targets refuse the first request; the second one runs at one of them.
    results = serve_in_turn(IDEMPOTENT, engines, (0, 0), usage=None)
    assert [status(answer) for answer in results] == [503, 200]
    assert sum(len(engine.seen) for engine in engines) == 3


@pytest.mark.parametrize("names_id", [True, False])
@pytest.mark.parametrize("numbers", [(0, 0), (0, 1)], ids=["same id", "other id"])
def test_copy_of_a_refusal_does_not_end_a_running_prefill(numbers, names_id):
    """A prompt was prefilled twice because of a copy of the refusal before it."""
    refuses = answers_twice(
        503, [("Not-Executed", "1")], delay_s=0.03, names_id=names_id
    )
    engines = model_engines([refuses, works(prefills)], [streams(3)])
    results = serve_in_turn(STREAM, engines, numbers, usage="600,20")
    assert [answer.count(b"data: ") for answer in results] == [3, 3]
    # The decode engine prefills only the prompt that the prefill engine refused.
    assert ["kv-source" in fields for *_, fields in engines[1].seen] == [False, True]


@pytest.mark.parametrize("names_id", [True, False])
@pytest.mark.parametrize("numbers", [(0, 0), (0, 1)], ids=["same id", "other id"])
def test_copy_of_a_refusal_does_not_end_a_running_stream(numbers, names_id):
    """The refusal of a stream that its engine was running reached the caller."""
    refuses = answers_twice(
        503, [("Not-Executed", "1")], delay_s=0.03, names_id=names_id
    )
    engines = model_engines([prefills], [refuses, works(streams(3))])
    results = serve_in_turn(STREAM, engines, numbers, usage="600,20")
    assert [status(answer) for answer in results] == [503, 200]
    assert results[1].count(b"data: ") == 3


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("code", [200, 404])
def test_copy_of_an_answer_does_not_answer_a_repeat_with_its_id(code, delay_s):
    """A caller's repeat got a copy of the answer to its first send.

    The id does not tell the copy from the answer that the target is working on.
    """
    first = answers_twice(code, SIGNED, b"old", delay_s=delay_s, names_id=True)
    engines = plain_engines([first, works(answers(200, b"new"))])
    results = serve_in_turn(IDEMPOTENT, engines, (0, 0), usage=None)
    assert results[0].endswith(b"old") and results[1].endswith(b"new")


def test_copy_of_a_prefill_does_not_answer_the_stream_of_its_request():
    """A stream failed because its engine had prefilled the prompt before.

    Both sends have the same id, so a copy of the handle was taken for the stream.
    """
    handle = b'{"transfer_handle":"ab"}'
    prefills_twice = answers_twice(200, [], handle, delay_s=0.03, names_id=True)
    engines = model_engines([], [streams(3)])

    async def prefills_and_changes_phase(fields, caller):
        table = shared_state["target_table"]
        phases = {"p": Phase.DECODE, "d": Phase.PREFILL}
        changed = (
            msgspec.structs.replace(t, phase=phases[t.target]) for t in table.all()
        )
        table.update(Listing(tuple(changed)), 2.0)
        await prefills_twice(fields, caller)

    engines[0].script = [prefills_and_changes_phase, works(streams(3))]
    answer = serve_in_turn(STREAM, engines, (0,), usage="600,20")[0]
    assert answer.count(b"data: ") == 3
    assert [fields.get("kv-source") for *_, fields in engines[0].seen] == [
        None,
        f"{NET}.0.1:18080/ab",
    ]
