"""Configuration documents that cannot be stored, at the interface for operators."""

import asyncio
import time
from types import SimpleNamespace

import msgspec
import pytest
from adapter import operator_routes, read_config
from adapter._config import check_document
from adapter._directory import directory_routes

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.serving import RequestServer

DEEP = b"[" * 5000 + b"]" * 5000

SETTINGS = SimpleNamespace(control="127.0.0.1:8144")


class FakeCoordinator:
    """Control host that counts what it would store and what it refuses."""

    def __init__(self):
        self.stored = []
        self.refused = []

    async def store(self, config):
        self.stored.append(config)
        return config

    def record_refusal(self, interface, call, error):
        self.refused.append(error.kind)
        assert len(error.message) <= 2000

    def addresses(self, domain):
        return ["10.0.0.1:80"]


def document(**changes):
    config = {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "h",
                "path_prefix": "/a/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "service": "s",
                "max_attempts": 2,
            }
        ],
        "services": [{"name": "s", "engine": {"slots": 64}}],
    }
    return msgspec.json.encode(config | changes)


def split(weight):
    share = {"service": "s", "weight": weight}
    return {
        "name": "r1",
        "host": "h",
        "path_prefix": "/a/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "traffic_split": [share, share],
    }


def call(routes, requests):
    """Send requests to a server; return the status of each answer and its errors."""

    async def send(port, line, body):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % (line, len(body))
        writer.write(head + b"Connection: close\r\n\r\n" + body)
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await writer.wait_closed()
        return int(answer.split(b" ")[1])

    async def run():
        errors = []
        server = RequestServer(routes, errors.append)
        server.listen("127.0.0.1:0")
        port = server._sockets[0].getsockname()[1]
        statuses = [await send(port, *request) for request in requests]
        await server.close()
        return statuses, errors

    return asyncio.run(run())


def replace(body):
    coordinator = FakeCoordinator()
    request = (b"POST /v1/config/replace", body)
    statuses, errors = call(operator_routes(coordinator, SETTINGS), [request])
    return statuses[0], errors, coordinator


def with_member(text):
    return document()[:-1] + b"," + text + b"}"


ODD = {
    "deep": DEEP,
    "deep_version": b'{"version":' + DEEP + b"}",
    "deep_member": with_member(b'"note":' + DEEP),
    "repeated_version": with_member(b'"version":9'),
    "repeated_routes": with_member(b'"routes":[]'),
    "repeated_in_a_member": with_member(b'"note":{"a":1,"a":2}'),
    "repeated_by_an_escape": with_member(b'"v\\u0065rsion":9'),
    "large_float_member": with_member(b'"note":1e999'),
    "many_digits_member": with_member(b'"note":' + b"9" * 5000),
    "not_utf_8_member": with_member(b'"note":"\xff"'),
    "surrogate_member": with_member(b'"note":"\\ud800"'),
    "large_version": document(version=10**30),
    "version_of_many_digits": document().replace(b":7,", b":" + b"9" * 5000 + b","),
    "large_weights": document(routes=[split(1e308)]),
    "large_attempts": document().replace(b'attempts":2', b'attempts":' + b"9" * 400),
    "large_timeout": document().replace(b":8000", b":1e300"),
    "large_slots": document().replace(b":64", b":" + b"9" * 400),
}


@pytest.mark.parametrize("body", ODD.values(), ids=ODD.keys())
def test_odd_configuration_is_refused_and_not_stored(body):
    """Some of them got status 500 and others were stored."""
    status, errors, coordinator = replace(body)
    assert (status, errors, coordinator.stored) == (400, [], [])
    assert coordinator.refused == [ErrorKind.BAD_REQUEST]


def test_refusal_of_a_large_document_is_short():
    """The answer and the line of the log quoted megabytes of what was wrong."""
    route = split(1.0) | {"name": "r" * 1_000_000}
    for routes in ([route | {"kind": "k"}], [route, route], [split(-1.0)] * 20_000):
        status, errors, coordinator = replace(document(routes=routes))
        assert (status, errors, coordinator.stored) == (400, [], [])


def test_refusal_names_the_repeated_member():
    """An operator must see what to correct."""
    with pytest.raises(WigeonspanError, match="'version' is repeated"):
        check_document(ODD["repeated_version"])


def test_configuration_with_unknown_members_is_stored():
    """Members of later versions of the platform are ignored."""
    status, errors, coordinator = replace(with_member(b'"note":{"a":[1,1.5,null]}'))
    assert (status, errors, len(coordinator.stored)) == (200, [], 1)


def test_bandwidth_near_zero_gives_a_finite_copy_time():
    """The time to copy a token overflowed to infinity."""
    engine = {"kv_token_bytes": 1e12, "bandwidth_mbps": 1e-300}
    config = read_config(document(services=[{"name": "s", "engine": engine}]))
    assert config.services[0].engine.copy_us == 0.0


def test_time_to_check_grows_with_the_size_of_a_configuration():
    """The check took time with the square of the services and routes.

    A control host that is busy for longer than its lease loses the lead.
    """
    services = [{"name": f"s{i}"} for i in range(20_000)]
    routes = [
        {
            "name": "r",
            "host": f"h{i}",
            "path_prefix": "/",
            "kind": "streaming",
            "timeout_ms": 1,
            "service": "s1",
        }
        for i in range(2_000)
    ]
    started_at = time.perf_counter()
    read_config(document(services=services, routes=routes))
    assert time.perf_counter() - started_at < 1.0


@pytest.mark.parametrize("target", [b"//[", b"//[x]:99999999/", b"/v1/\xff", b"*"])
def test_target_that_is_no_url_is_an_unknown_call(target):
    """``urlsplit`` raises for some targets, which got status 500."""
    coordinator = FakeCoordinator()
    requests = [(b"GET " + target, b""), (b"POST " + target, b"{}")]
    for routes in (
        operator_routes(coordinator, SETTINGS),
        directory_routes(coordinator.addresses, coordinator.record_refusal),
    ):
        statuses, errors = call(routes, requests)
        assert (statuses, errors) == ([404, 404], [])


@pytest.mark.parametrize("most", [1001, 10**6, 10**12])
def test_absurd_number_of_replicas_is_refused(most):
    """The plan of such a fleet would stop the leader, and order what nobody pays."""
    service = {"name": "s", "engine": {"slots": 64}, "scaling": {"max": most}}
    with pytest.raises(WigeonspanError, match="replicas"):
        read_config(document(services=[service]))
