"""Tests of the bounds on what callers hold, over loopback."""

import asyncio
import contextlib
import socket

import pytest

from tests.serving.test_server import free_address
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.serving import CallerGuard, CallerRules, CloseReason, RequestServer
from wigeonspan.serving._bounds import ProcessLimits

HEAD = "POST /a HTTP/1.1\r\nHost: h\r\n{}\r\n\r\n"
CHUNKED = HEAD.format("Transfer-Encoding: chunked").encode()
WAIT_S = 5.0


def head(length):
    return HEAD.format(f"Content-Length: {length}").encode()


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


class Site:
    """Server with a guard, and what it served and recorded."""

    def __init__(self, limits, rules=None, response=b"done", **options):
        self.rules = rules or CallerRules(body_bytes=400_000)
        self.records, self.served, self.errors = [], [], []
        self.guard = CallerGuard(
            limits, lambda: self.rules, lambda *record: self.records.append(record)
        )
        self._response = response
        self.server = RequestServer(
            self._serve, self.errors.append, guard=self.guard, **options
        )
        self.address = free_address()

    async def _serve(self, method, target, headers, body, caller):
        self.served.append(len(body))
        await caller.send_response(200, [], self._response)

    def reasons(self):
        return [reason for reason, _ in self.records]

    async def connect(self, data=b""):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        return reader, writer

    async def ask(self, data):
        """Return the first line of the response; empty without one."""
        reader, writer = await self.connect(data)
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(WAIT_S):
                line = await reader.readline()
                rest = await reader.read(65536) if b"200" not in line else b""
                writer.close()
                return line + rest
        return b""


def run(site, scenario):
    async def main():
        site.server.listen(site.address)
        try:
            async with asyncio.timeout(20.0):
                return await scenario(site)
        finally:
            await site.server.close()

    result = asyncio.run(main())
    assert site.errors == []
    return result


ROOMY = ProcessLimits(held_bytes=10_000_000, connections=100)


def test_announced_body_over_the_limit_is_refused_before_it_arrives():
    """A body over the limit was read to its end, and its caller waited that long."""
    answer = run(Site(ROOMY), lambda site: site.ask(head(400_001)))
    assert answer.startswith(b"HTTP/1.1 413") and b'"ran":"no"' in answer


@pytest.mark.parametrize("length", [10**15, "9" * 5000])
def test_announced_body_beyond_all_bounds_gets_the_same_answer(length):
    """Beyond a bound of the library the answer was a bare 400."""
    answer = run(Site(ROOMY), lambda site: site.ask(head(length)))
    assert answer.startswith(b"HTTP/1.1 413") and answer.count(b"HTTP/1.1") == 1


def test_chunked_body_is_refused_when_it_exceeds_the_limit():
    """A chunked body was only refused when it was complete, which it never was."""
    site = Site(ROOMY)
    answer = run(site, lambda s: s.ask(CHUNKED + chunk(200_000) * 2 + chunk(1)))
    assert answer.startswith(b"HTTP/1.1 413")
    assert site.reasons() == [CloseReason.BODY_SIZE] and not site.served


def test_body_of_the_limit_is_served():
    """A caller inside the limits must not meet them."""
    site = Site(ROOMY)
    data = CHUNKED + chunk(200_000) * 2 + b"0\r\n\r\n"
    assert run(site, lambda s: s.ask(data)).startswith(b"HTTP/1.1 200")
    assert site.served == [400_000] and not site.records


def test_limit_of_a_new_configuration_is_in_force_at_once():
    """The limits at the start of the process stayed in force."""
    site = Site(ROOMY)

    async def scenario(site):
        site.rules = CallerRules(body_bytes=10)
        return await site.ask(head(11))

    assert run(site, scenario).startswith(b"HTTP/1.1 413")


def test_other_fault_of_a_head_goes_before_its_size():
    """Size is checked last; a request without a route or a key got 413."""
    error = WigeonspanError(ErrorKind.UNKNOWN_ROUTE, "no route")
    site = Site(ROOMY, check_oversized=lambda *head: error)
    assert run(site, lambda s: s.ask(head(10**7))).startswith(b"HTTP/1.1 404")


def test_bodies_share_a_bound_and_the_refusal_says_when_to_retry():
    """Many bodies inside the limit filled the memory together."""
    site = Site(ProcessLimits(held_bytes=800_000, connections=100))

    async def scenario(site):
        first = await site.connect(head(400_000) + b"x" * 390_000)
        second = await site.connect(head(400_000) + b"x" * 380_000)
        await asyncio.sleep(0.1)
        answer = await site.ask(head(400_000) + b"x" * 100_000)
        held = site.guard.held_bytes
        first[1].write(b"x" * 10_000)
        line = await first[0].readline()
        second[1].close()
        first[1].close()
        return answer, held, line

    answer, held, line = run(site, scenario)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1.00" in answer and b'"ran":"no"' in answer
    assert held <= 800_000 and CloseReason.MEMORY in site.reasons()
    assert line.startswith(b"HTTP/1.1 200")


def test_ordinary_request_is_served_beside_bodies_that_stopped():
    """Bodies that stopped short of their end held the memory for ever."""
    site = Site(ProcessLimits(held_bytes=800_000, connections=100))

    async def scenario(site):
        crowd = [
            await site.connect(CHUNKED + chunk(300_000) + b"5\r\nx") for _ in range(6)
        ]
        await asyncio.sleep(0.7)
        large = await site.ask(head(390_000) + b"x" * 390_000)
        small = await site.ask(head(1000) + b"x" * 1000)
        for _, writer in crowd:
            writer.close()
        return large, small, site.guard.held_bytes

    large, small, held = run(site, scenario)
    assert large.startswith(b"HTTP/1.1 200") and small.startswith(b"HTTP/1.1 200")
    assert held <= 800_000


def test_memory_of_ended_requests_is_free_again():
    """A count that is not taken back refuses all callers after some time."""
    site = Site(ProcessLimits(held_bytes=800_000, connections=100))

    async def scenario(site):
        for number in range(12):
            data = head(390_000) + b"x" * 390_000
            if number % 3 == 0:
                _, writer = await site.connect(data[:-1])
                writer.close()
            elif number % 3 == 1:
                await site.ask(head(10**7))
            else:
                assert (await site.ask(data)).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.6)
        return site.guard.held_bytes, site.guard.connections

    assert run(site, scenario) == (0, 0)


def test_idle_connections_make_room_for_new_ones():
    """Silent connections used up the descriptors, and nobody else could connect."""
    site = Site(ProcessLimits(held_bytes=800_000, connections=4))

    async def scenario(site):
        silent = [await site.connect() for _ in range(8)]
        answer = await site.ask(head(1) + b"x")
        for _, writer in silent:
            writer.close()
        return answer, site.guard.connections

    answer, connections = run(site, scenario)
    assert answer.startswith(b"HTTP/1.1 200") and connections <= 4
    assert set(site.reasons()) == {CloseReason.CONNECTIONS}


def test_body_that_stalls_is_closed():
    """A body that stalled kept its connection and its memory for ever."""
    site = Site(ROOMY, CallerRules(body_bytes=400_000, idle_timeout_s=0.4))

    async def scenario(site):
        reader, writer = await site.connect(head(1000) + b"x")
        end = await reader.read()
        writer.close()
        return end

    assert run(site, scenario) == b""
    assert site.reasons() == [CloseReason.STALLED_BODY] and not site.served


def test_refused_caller_that_goes_on_sending_is_closed():
    """A body without an end was read for ever after its refusal."""
    site = Site(ROOMY, CallerRules(body_bytes=200_000))

    async def scenario(site):
        reader, writer = await site.connect(CHUNKED)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(chunk(50_000))
                await writer.drain()
                await asyncio.sleep(0.01)
        writer.close()

    run(site, scenario)
    assert site.reasons() == [CloseReason.BODY_SIZE, CloseReason.AFTER_REFUSAL]


def test_response_that_is_not_read_is_closed_for_others():
    """Responses to callers that read nothing filled the memory."""
    site = Site(
        ProcessLimits(held_bytes=9_000_000, connections=100), response=b"y" * 8_000_000
    )

    async def scenario(site):
        host, port = site.address.split(":")
        loop = asyncio.get_running_loop()
        clients = []
        for _ in range(3):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await loop.sock_connect(client, (host, int(port)))
            await loop.sock_sendall(client, head(1) + b"x")
            clients.append(client)
            await asyncio.sleep(0.2)
        held = site.guard.held_bytes
        for client in clients:
            client.close()
        return held

    assert run(site, scenario) <= 9_000_000
    assert CloseReason.MEMORY in site.reasons()


def test_reader_that_is_slow_gets_the_whole_response():
    """A response in pieces must not end early or lose bytes."""
    site = Site(ROOMY, response=bytes(range(256)) * 4000)

    async def scenario(site):
        reader, writer = await site.connect(head(1) + b"x")
        await reader.readuntil(b"\r\n\r\n")
        data = b""
        while len(data) < 1_024_000:
            data += await reader.read(50_000)
            await asyncio.sleep(0.01)
        writer.close()
        return data

    assert run(site, scenario) == bytes(range(256)) * 4000
    assert not site.records


def test_connection_with_the_next_request_is_not_idle():
    """The end of a response marked a connection as idle on which a request ran."""
    site = Site(ProcessLimits(held_bytes=800_000, connections=4))

    async def scenario(site):
        reader, writer = await site.connect((head(1) + b"x") * 50)
        data = b""
        while data.count(b"HTTP/1.1 200") < 50:
            part = await reader.read(65536)
            assert part
            data += part
        writer.close()

    run(site, scenario)
    assert len(site.served) == 50
