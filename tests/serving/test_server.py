"""HTTP server for whole requests, over loopback."""

import asyncio
import socket

import pytest

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.serving import RequestServer

REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 2\r\n\r\nhi"


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def talk(serve, data=REQUEST, *, draining=False, wait_s=1.0):
    """Send bytes to a server and return all that it sends until it closes."""

    async def run():
        server, address = RequestServer(serve), free_address()
        server.listen(address)
        if draining:
            server.close_after_answers()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answer = b""
        try:
            async with asyncio.timeout(wait_s):
                while part := await reader.read(65536):
                    answer += part
        except TimeoutError:
            answer += b"<open>"
        writer.close()
        await server.close()
        return answer

    return asyncio.run(run())


def test_request_arrives_whole_and_unchanged():
    """Method, path, query, header fields and body are forwarded as they came."""
    seen = []

    async def serve(method, target, headers, body, caller):
        seen.append((method, target, dict(headers), body))
        await caller.answer(200, [("X-Two", "2")], b"done")

    answer = talk(serve)
    method, target, headers, body = seen[0]
    assert (method, target, body) == ("POST", "/a?b=1", b"hi")
    assert headers["X-One"] == "1"
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"X-Two: 2" in answer and answer.endswith(b"done<open>")


def test_stream_without_an_end_does_not_look_complete():
    """A stream that breaks off must end without its last chunk."""

    async def serve(method, target, headers, body, caller):
        await caller.begin(200, [])
        await caller.send(b"part")

    answer = talk(serve)
    assert b"part" in answer
    assert not answer.endswith(b"0\r\n\r\n") and b"<open>" not in answer


def test_finished_stream_is_complete():
    """The last chunk tells the caller that nothing is missing."""

    async def serve(method, target, headers, body, caller):
        await caller.begin(200, [])
        await caller.send(b"all")
        await caller.finish()

    assert talk(serve).endswith(b"0\r\n\r\n<open>")


def test_stopping_server_says_that_the_connection_ends():
    """Callers must not send another request to a server that is about to end."""

    async def serve(method, target, headers, body, caller):
        await caller.answer(200, [], b"x")

    answer = talk(serve, draining=True)
    assert b"Connection: close" in answer and b"<open>" not in answer


def test_refusal_tells_when_to_come_back():
    """A refusal that says not run has a time for the next attempt."""

    async def serve(method, target, headers, body, caller):
        error = WigeonspanError(ErrorKind.OVERLOADED, "full", retry_after_s=0.75)
        await caller.refuse(error)

    answer = talk(serve)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.75" in answer and b'"ran":"no"' in answer


def test_request_of_a_caller_that_left_is_cancelled():
    """Targets went on with requests that nobody waited for."""
    outcome = []

    async def serve(method, target, headers, body, caller):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            outcome.append(caller.gone)
            raise

    async def run():
        server, address = RequestServer(serve), free_address()
        server.listen(address)
        host, port = address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(2):
            while not outcome:
                await asyncio.sleep(0.01)
        await server.close()

    asyncio.run(run())
    assert outcome == [True]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
)
def test_malformed_request_is_not_served(data):
    """A request smuggled inside another one must reach nobody."""
    seen = []

    async def serve(method, target, headers, body, caller):
        seen.append(target)
        await caller.answer(200, [], b"")

    answer = talk(serve, data)
    assert seen == []
    assert b"200" not in answer[:15]
