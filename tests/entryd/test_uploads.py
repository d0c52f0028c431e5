"""Targets that answer before they have read the request, and then end early."""

import asyncio
import json

import pytest

from tests.entryd.harness import EntryTestbed, run
from tests.status_lines import BODIES, NO_STATUS_LINES
from tests.uploads import EarlyTarget, Ending
from wigeonspan.catalog import (
    Engine,
    EnginePhase,
    EntryHost,
    ModelService,
    PlainService,
    PlainTarget,
)

UPLOAD = b"x" * 8_000_000
OK = b"HTTP/1.1 200 OK\r\n"
EVENT = (
    b'data: {"choices":[{"text":"a"}],"wigeonspan":{"attempt":"a","position":1}}\n\n'
)
HEADS = {
    "no length": OK + b"\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "length": OK + b"Content-Length: 4000\r\n\r\n",
    "chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n",
}
CUT = {"nothing": b"", "half a head": OK}
PATHS = ["/v1/services/dispatch/sheets/a", "/v1/services/dispatch/bookings"]


async def call(address, path, version, body):
    """Return all bytes of the answer to a request, read until the end."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/{version}\r\nHost: h\r\nConnection: close\r\n"
    head += "Idempotency-Key: k\r\nX-Deadline-Ms: 1500\r\n"
    head += "Content-Type: application/json\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        return await reader.read()
    finally:
        writer.close()


def answer_of(data, ending, path, version, body):
    """Return what a caller of an entry gets when its only target ends early."""

    async def work():
        target = EarlyTarget(data, ending)
        target.listen()
        async with EntryTestbed(engines=0, plain=0) as testbed:
            name, address = "entry-1", testbed.daemon.address
            targets = (PlainTarget(target.address, "szeged"),)
            engine = Engine(
                name="e0",
                address=target.address,
                domain="szeged",
                service="note",
                phase=EnginePhase.SERVING,
                model="demo-model",
                model_version="1",
            )
            objects = [
                PlainService("dispatch", targets, ("POST /bookings",)),
                EntryHost(name, address, "szeged"),
                ModelService("note", "demo-model", "1"),
                engine,
            ]
            testbed.sync(objects, version=2)
            answer = await call(address, path, version, body)
        await target.close()
        return answer, target.uploads

    return run(work)


def status_of(answer):
    return int(answer.split(b" ")[1])


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE])
@pytest.mark.parametrize(
    "data", [*CUT.values(), *HEADS.values(), *(h + b"part" for h in HEADS.values())]
)
def test_answer_that_is_reset_during_the_upload_is_not_passed_on(
    data, ending, path, version
):
    """A caller would take the part for the answer, and a booking for made."""
    answer, uploads = answer_of(data, ending, path, version, UPLOAD)
    assert status_of(answer) == 502 and uploads == 1
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["ran"] == "unknown"


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("name", [*CUT, *HEADS])
def test_answer_that_is_closed_during_the_upload(name, path, version):
    """Only an end of the connection after the head ends an answer without length."""
    data = CUT.get(name, HEADS.get(name, b"") + b"part")
    answer, uploads = answer_of(data, Ending.HALF_CLOSE, path, version, UPLOAD)
    is_whole = name in ("no length", "HTTP/1.0")
    assert status_of(answer) == (200 if is_whole else 502) and uploads == 1
    assert answer.endswith(b"part") == is_whole


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("line", [*NO_STATUS_LINES, b"HTTP/1.1 101 X"])
def test_answer_without_a_status_is_not_passed_on(line, path, version):
    """Callers got statuses of 600 and more, and 101 with what followed it."""
    data = line + b"\r\n" + BODIES["length"]
    answer, uploads = answer_of(data, Ending.HALF_CLOSE, path, version, b"x")
    assert status_of(answer) == 502 and uploads == 1


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("data", [*CUT.values(), *(h + EVENT for h in HEADS.values())])
def test_stream_that_ends_during_the_upload_is_not_complete(
    data, ending, stream, version
):
    """Only the end marker of an engine completes its stream."""
    prompt = {"model": "note", "prompt": "p" * 3_000_000, "max_tokens": 8}
    body = json.dumps(prompt | {"stream": stream}).encode()
    answer, uploads = answer_of(data, ending, "/v1/completions", version, body)
    assert uploads and b"[DONE]" not in answer
    assert status_of(answer) in (502, 503, 504) or b"event: error" in answer, answer
