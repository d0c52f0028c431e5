"""Answers of targets that end early, for callers with and without chunked encoding."""

import asyncio
import contextlib
import socket
import struct

import pytest

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    NON_IDEMPOTENT,
    STREAM,
    Engine,
    prefills,
    route,
    start_gateway,
)
from tests.status_lines import BODIES as STATUS_BODIES
from tests.status_lines import NO_STATUS_LINES
from tests.uploads import EarlyTarget, Ending
from wigeonspan.targets import Phase

SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nResponse-Signature: sig\r\n"
EVENT = b"id: 1\ndata: 1\n\n"

HEADS = {
    "no length": SIGNED_HEAD + b"\r\n",
    "length": SIGNED_HEAD + b"Content-Length: 400\r\n\r\n",
    "chunks": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.0": SIGNED_HEAD.replace(b"/1.1", b"/1.0") + b"\r\n",
}
BODIES = {"empty": b"", "one event": EVENT, "half an event": EVENT + EVENT[:9]}


# Just under the limit of request bodies.
UPLOAD = b"x" * 4_000_000


class UploadTarget(EarlyTarget):
    """Target of a service that answers while the upload is still being written."""

    def __init__(self, phase, data, ending):
        super().__init__(data, ending)
        self.name, self.phase = "t", phase


class RawTarget:
    """Target that answers each request with the same bytes, and then closes or resets.

    Parameters
    ----------
    split : bool
        Whether the bytes are sent one by one.
    """

    def __init__(self, name, phase, data, *, resets, split=False):
        self.name, self.phase = name, phase
        self._data, self._resets, self._split = data, resets, split

    def listen(self, address):
        host, port = address.split(":")
        listening = socket.create_server((host, int(port)))
        self._opened = asyncio.ensure_future(
            asyncio.start_server(self._serve, sock=listening)
        )

    async def close(self):
        server = await self._opened
        server.close()
        await server.wait_closed()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self._answer(writer)
        except (asyncio.IncompleteReadError, OSError):
            # The gateway has closed the connection.
            pass
        finally:
            writer.close()

    async def _answer(self, writer):
        pieces = [self._data]
        if self._split:
            pieces = [self._data[n : n + 1] for n in range(len(self._data))]
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


async def call(version, body=b""):
    """Send a request; return its answer and whether it ended with a reset."""
    reader, writer = await asyncio.open_connection(f"{NET}.1.1", 18081)
    head = f"POST /r/x HTTP/{version}\r\nHost: h\r\nRequest-Id: q0\r\n"
    head += "Token-Usage: 60,20\r\nDeadline-Ms: 1900\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    answer, was_reset = b"", False
    try:
        async with asyncio.timeout(3.0):
            while part := await reader.read(65536):
                answer += part
                if b"0\r\n\r\n" in answer or _has_whole_length(answer):
                    break
    except ConnectionResetError:
        was_reset = True
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
    return answer, was_reset


def _has_whole_length(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return False


def looks_complete(answer, was_reset):
    """Whether a caller takes the answer for the whole answer of its target."""
    if was_reset or not answer.split(b" ")[1:2] == [b"200"]:
        return False
    head = answer.partition(b"\r\n\r\n")[0].lower()
    if b"transfer-encoding: chunked" in head:
        return answer.endswith(b"0\r\n\r\n")
    # Without a length, the end of the connection is the end of the answer.
    return b"content-length" not in head or _has_whole_length(answer)


def serve(kind, target, version, body=b""):
    async def run():
        others = [Engine("p", Phase.PREFILL, prefills)] if kind is STREAM else []
        kept = route(kind, attempts=1)
        context, servers = start_gateway(kept, [*others, target])
        answer = await call(version, body)
        context.pool.close()
        for server in (*servers, target):
            await server.close()
        return answer

    return asyncio.run(run())


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
def test_answer_that_is_reset_does_not_look_complete(kind, head, body, version):
    """Clients got a short body, framed as whole, from a replica that was reset."""
    phase = Phase.DECODE if kind is STREAM else Phase.NONE
    target = RawTarget("t", phase, head + body, resets=True)
    answer, was_reset = serve(kind, target, version)
    assert not looks_complete(answer, was_reset), answer


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("share", [0.1, 0.5, 0.9])
@pytest.mark.parametrize("kind", [NON_IDEMPOTENT, STREAM])
def test_answer_that_ends_in_its_head_is_not_passed_on(kind, share, version, split):
    """A replica stopped in the middle of its head, and clients got a 200."""
    phase = Phase.DECODE if kind is STREAM else Phase.NONE
    data = SIGNED_HEAD[: int(len(SIGNED_HEAD) * share)]
    target = RawTarget("t", phase, data, resets=False, split=split)
    answer, was_reset = serve(kind, target, version)
    assert not looks_complete(answer, was_reset)
    assert b" 502 " in answer.split(b"\r\n")[0]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE])
@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
@pytest.mark.parametrize(
    "data",
    [
        b"",
        SIGNED_HEAD,
        *HEADS.values(),
        *(h + EVENT for h in HEADS.values()),
        SIGNED_HEAD + b"\r\n" + EVENT * 10_000,
    ],
)
def test_answer_that_is_reset_during_the_upload_is_not_complete(
    data, kind, ending, version
):
    """Callers got a part of an answer without length as the whole answer."""
    target = UploadTarget(Phase.DECODE if kind is STREAM else Phase.NONE, data, ending)
    answer, was_reset = serve(kind, target, version, UPLOAD)
    assert target.uploads == 1
    assert not looks_complete(answer, was_reset), answer[:400]
    assert answer.startswith(b"HTTP/1.1 ") or was_reset or not answer


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
@pytest.mark.parametrize("name", HEADS)
def test_answer_that_is_closed_during_the_upload(name, kind, version):
    """An end of the connection ends an answer without length, and no other one."""
    phase = Phase.DECODE if kind is STREAM else Phase.NONE
    target = UploadTarget(phase, HEADS[name] + EVENT, Ending.HALF_CLOSE)
    answer, was_reset = serve(kind, target, version, UPLOAD)
    assert target.uploads == 1
    is_whole = name in ("no length", "HTTP/1.0")
    assert looks_complete(answer, was_reset) == is_whole, answer[:400]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
@pytest.mark.parametrize("line", NO_STATUS_LINES)
def test_answer_without_a_status_is_not_passed_on(line, kind, version):
    """Callers got a status of three digits that HTTP does not have."""
    phase = Phase.DECODE if kind is STREAM else Phase.NONE
    data = line + SIGNED_HEAD[len(b"HTTP/1.1 200 OK") :]
    target = RawTarget("t", phase, data + STATUS_BODIES["length"], resets=False)
    answer, _ = serve(kind, target, version)
    assert answer.split(b" ")[1] == b"502", answer
