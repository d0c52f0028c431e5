"""Tests of the HTTP server for complete requests, over loopback."""

import asyncio
import contextlib
import socket

import pytest

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.serving import RequestServer

errors = []
REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 2\r\n\r\nhi"


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def send_and_receive(serve, data=REQUEST, *, draining=False, wait_s=1.0):
    """Send bytes to a server and return all that it sends until it closes."""

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        if draining:
            server.close_after_responses()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        response = b""
        try:
            async with asyncio.timeout(wait_s):
                while part := await reader.read(65536):
                    response += part
        except TimeoutError:
            response += b"<open>"
        writer.close()
        await server.close()
        return response

    return asyncio.run(run())


def test_request_arrives_complete_and_unchanged():
    """Method, path, query, header fields and body reach the handler unchanged."""
    seen = []

    async def serve(method, target, headers, body, caller):
        seen.append((method, target, dict(headers), body))
        await caller.send_response(200, [("X-Two", "2")], b"done")

    response = send_and_receive(serve)
    method, target, headers, body = seen[0]
    assert (method, target, body) == ("POST", "/a?b=1", b"hi")
    assert headers["X-One"] == "1"
    assert response.startswith(b"HTTP/1.1 200")
    assert b"X-Two: 2" in response and response.endswith(b"done<open>")


def test_stream_without_an_end_does_not_look_complete():
    """A stream that is aborted must end without its last chunk."""

    async def serve(method, target, headers, body, caller):
        await caller.send_head(200, [])
        await caller.send(b"part")

    response = send_and_receive(serve)
    assert b"part" in response
    assert not response.endswith(b"0\r\n\r\n") and b"<open>" not in response


def test_finished_stream_is_complete():
    """A finished stream ends with the last chunk, which marks it as complete."""

    async def serve(method, target, headers, body, caller):
        await caller.send_head(200, [])
        await caller.send(b"all")
        await caller.finish()

    assert send_and_receive(serve).endswith(b"0\r\n\r\n<open>")


def test_stopping_server_announces_the_end_of_the_connection():
    """Callers must not send another request to a server that is about to stop."""

    async def serve(method, target, headers, body, caller):
        await caller.send_response(200, [], b"x")

    response = send_and_receive(serve, draining=True)
    assert b"Connection: close" in response and b"<open>" not in response


def test_refusal_has_a_retry_time():
    """The refusal of a request that has not run says when to retry."""

    async def serve(method, target, headers, body, caller):
        error = WigeonspanError(ErrorKind.OVERLOADED, "full", retry_after_s=0.75)
        await caller.send_error(error)

    response = send_and_receive(serve)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.75" in response and b'"ran":"no"' in response


def test_request_of_a_caller_that_left_is_cancelled():
    """Targets must not keep working on requests that nobody waits for."""
    outcome = []

    async def serve(method, target, headers, body, caller):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            outcome.append(caller.disconnected)
            raise

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
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
    """A request smuggled inside another one must not reach a handler."""
    seen = []

    async def serve(method, target, headers, body, caller):
        seen.append(target)
        await caller.send_response(200, [], b"")

    response = send_and_receive(serve, data)
    assert seen == []
    assert b"200" not in response[:15]


def test_unexpected_error_fails_only_its_request():
    """The caller must get a response when handling its request raises an error."""
    errors.clear()

    async def serve(method, target, headers, body, caller):
        raise KeyError("surprise")

    response = send_and_receive(serve)
    assert response.startswith(b"HTTP/1.1 500") and b'"ran":"unknown"' in response
    assert [type(error) for error in errors] == [KeyError]


def test_broken_stream_to_a_caller_without_chunks_is_reset():
    """With HTTP/1.0 a regular close would mark the response as complete."""

    async def serve(method, target, headers, body, caller):
        await caller.send_head(200, [])
        await caller.send(b"part")

    with pytest.raises(ConnectionResetError):
        send_and_receive(serve, REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))


def test_connections_made_before_the_stop_are_served():
    """Closing the listening socket must not reset connections not yet accepted."""
    served = []

    async def serve(method, target, headers, body, caller):
        served.append(target)
        await caller.send_response(200, [], b"x")

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        server.close_after_responses()
        host, port = address.split(":")
        callers = []
        # The event loop does not run here, so only the kernel accepts these.
        for _ in range(100):
            caller = socket.create_connection((host, int(port)))
            caller.sendall(REQUEST)
            callers.append(caller)
        server.stop_accepting()
        responses = []
        for caller in callers:
            reader, writer = await asyncio.open_connection(sock=caller)
            async with asyncio.timeout(2):
                responses.append(await reader.read())
            writer.close()
        await server.close()
        return responses

    responses = asyncio.run(run())
    assert [response[:12] for response in responses] == [b"HTTP/1.1 200"] * 100
    assert len(served) == 100


def test_requests_of_the_last_connections_are_read_before_the_stop():
    """A connection was closed although its caller's request was under way.

    Only requests that were read completely counted as open.
    """

    async def serve(method, target, headers, body, caller):
        await caller.send_response(200, [], b"x")

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        stop = asyncio.create_task(server.drain(2.0))
        await asyncio.sleep(0.1)
        writer.write(REQUEST)
        await stop
        await server.close()
        async with asyncio.timeout(2):
            response = await reader.read()
        writer.close()
        return response

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


def test_requests_open_at_the_stop_still_get_a_response():
    """Requests that are cancelled when the process stops must get a response."""

    async def serve(method, target, headers, body, caller):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            error = WigeonspanError(ErrorKind.DRAINING, "this host stops")
            await caller.send_error(error)

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        pairs = [await asyncio.open_connection(host, int(port)) for _ in range(20)]
        for _, writer in pairs:
            writer.write(REQUEST)
        await asyncio.sleep(0.1)
        assert server.open_requests == 20
        await server.end_requests()
        await server.close()
        responses = []
        for reader, writer in pairs:
            with contextlib.suppress(ConnectionError):
                responses.append(await reader.read())
            writer.close()
        return responses

    responses = asyncio.run(run())
    assert [response[:12] for response in responses] == [b"HTTP/1.1 503"] * 20


def test_response_ends_only_when_the_kernel_has_its_last_bytes():
    """A process that stopped after its last response dropped the end of it.

    The last chunk of a stream was still in the buffer of the process when its reader
    was slow.
    """
    finished = asyncio.Event()

    async def serve(method, target, headers, body, caller):
        await caller.send_head(200, [])
        sending = asyncio.ensure_future(caller.send(b"x" * 16_000_000))
        await asyncio.sleep(0)
        await caller.finish()
        finished.set()
        await sending

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, REQUEST)
        await asyncio.sleep(0.5)
        was_finished, open_requests = finished.is_set(), server.open_requests
        response = b""
        async with asyncio.timeout(10.0):
            while not response.endswith(b"\r\n0\r\n\r\n"):
                response = response[-16:] + await loop.sock_recv(client, 1 << 20)
            await finished.wait()
        client.close()
        await server.close()
        return was_finished, open_requests

    assert asyncio.run(run()) == (False, 1)


@pytest.mark.parametrize("completes", [True, False])
def test_request_that_is_arriving_at_a_stop_gets_an_answer(completes):
    """A server that stopped closed connections on which a body was still arriving."""

    async def serve(method, target, headers, body, caller):
        await caller.send_response(200, [], body)

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST[:-1])
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(server.drain(1.0))
        await asyncio.sleep(0.5)
        if completes:
            writer.write(REQUEST[-1:])
        await stopping
        await server.close()
        response = await reader.read()
        writer.close()
        return response

    response = asyncio.run(run())
    assert response.startswith(b"HTTP/1.1 200" if completes else b"HTTP/1.1 503")
    assert completes or b'"ran":"no"' in response


def test_complete_response_reaches_a_slow_reader_after_the_stop():
    """A response that was complete was cut, as its reader was slower than the stop.

    The buffer of the kernel was full, and the process ended with the rest.
    """
    events, event_bytes = 20, 10_000

    async def serve(method, target, headers, body, caller):
        await caller.send_head(200, [])
        for _ in range(events):
            await caller.send(b"x" * event_bytes)
        await caller.finish()

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # Small segments make the kernel begin with a small send buffer.
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, REQUEST)
        await asyncio.sleep(0.2)
        was_open = server.open_requests
        await server.drain(0.5)
        await server.close()
        response = b""
        while part := await loop.sock_recv(client, 1 << 20):
            response += part
        client.close()
        return was_open, response

    was_open, response = asyncio.run(run())
    assert was_open == 1
    assert response.endswith(b"\r\n0\r\n\r\n")
    assert response.count(b"x") == events * event_bytes


def test_head_request_at_a_stop_leaves_the_other_requests_their_responses():
    """A HEAD request whose body was missing ended the drain with an error.

    The refusal had a body, which a response to HEAD must not have. The other open
    requests ended without a response.
    """

    async def serve(method, target, headers, body, caller):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            await caller.send_error(WigeonspanError(ErrorKind.DRAINING, "stops"))

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        head = REQUEST.replace(b"POST", b"HEAD")
        connections = []
        for data in (head[:-1], head, REQUEST):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            connections.append((reader, writer))
        await asyncio.sleep(0.1)
        await server.drain(0.5)
        await server.close()
        responses = [await reader.read() for reader, _ in connections]
        for _, writer in connections:
            writer.close()
        return responses

    incomplete, complete, other = asyncio.run(run())
    assert [r[:12] for r in (incomplete, complete, other)] == [b"HTTP/1.1 503"] * 3
    assert incomplete.endswith(b"\r\n\r\n") and complete.endswith(b"\r\n\r\n")
    assert other.endswith(b"}")


def test_no_request_is_begun_on_a_connection_that_is_about_to_be_closed():
    """Requests that came while a stopped server closed its connections were cut.

    Closing hundreds of connections takes many iterations of the event loop, in which
    requests of the connections that are still open were read and begun.
    """
    connection_count, begun = 200, []

    async def serve(method, target, headers, body, caller):
        begun.append(target)
        await asyncio.sleep(0.05)
        await caller.send_response(200, [], b"")

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        clients = [
            await asyncio.open_connection(host, int(port))
            for _ in range(connection_count)
        ]
        await asyncio.sleep(0.1)
        await server.drain(1.0)
        closing = asyncio.create_task(server.close())
        for _, writer in clients:
            writer.write(REQUEST)
            await asyncio.sleep(0)
        await closing
        refused = 0
        for reader, writer in clients:
            with contextlib.suppress(ConnectionError):
                refused += (await reader.read()).startswith(b"HTTP/1.1 503")
            writer.close()
        return refused

    refused = asyncio.run(run())
    assert not begun and refused


def test_pipelined_request_is_not_begun_after_the_close_of_its_connection():
    """A request behind one whose response closed the connection was still passed on.

    It ran at a target, and its caller could get no response.
    """
    begun = []

    async def serve(method, target, headers, body, caller):
        begun.append(target)
        await asyncio.sleep(0.05)
        await caller.send_response(200, [], b"")

    data = REQUEST + REQUEST.replace(b"/a", b"/b")
    response = send_and_receive(serve, data, draining=True)
    assert response.count(b"HTTP/1.1 200") == 1 and b"Connection: close" in response
    assert begun == ["/a?b=1"]


def test_response_after_a_stop_announces_the_close_of_a_kept_connection():
    """Callers sent their next request while the server closed the connection.

    The response to a request that was read before the stop did not announce the close.
    """

    async def serve(method, target, headers, body, caller):
        await asyncio.sleep(0.4)
        await caller.send_head(200, [])
        await caller.finish()

    async def run():
        server, address = RequestServer(serve, errors.append), free_address()
        server.listen(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(server.drain(2.0))
        response = await reader.readuntil(b"0\r\n\r\n")
        end = await reader.read()
        await stopping
        await server.close()
        writer.close()
        return response, end

    response, end = asyncio.run(run())
    assert b"Connection: close" in response and not end
