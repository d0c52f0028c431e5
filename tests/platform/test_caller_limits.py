"""Crowds of callers that hold memory or connections of an entry, over loopback.

The crowds and the bounds are fixed. Nothing here depends on the machine's speed: no
test checks a time or a share of served requests.
"""

import itertools
import threading
from contextlib import contextmanager, suppress
from http.client import HTTPException

import pytest
from standin import CONTROL_PORT, DeploymentLimits, InjectedFaults

from tests.crowds import Crowd, Watch, chunk
from tests.platform.process_harness import Deployment, Request, call, wait_until

MEMORY_MB = 112
"""Memory of each machine. A process without requests uses less than half of it."""

MAX_FDS = 300
"""Descriptors of each machine."""

MIB = 1024 * 1024
MAX_BODY_BYTES = 4 * MIB
"""Largest body that the configuration allows; the default."""

HEAD = (
    "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
    "Deadline-Ms: 8000\r\n{}\r\n\r\n"
)
CHUNKED = "Transfer-Encoding: chunked"


def announced_over_the_limit(number):
    """Announce 15 MiB and send them."""
    yield HEAD.format(f"c{number}", f"Content-Length: {15 * MIB}").encode()
    for _ in range(15 * 16):
        yield b"x" * (MIB // 16)


def sent_over_the_limit(number):
    """Send 15 MiB in chunks without an end."""
    yield HEAD.format(f"c{number}", CHUNKED).encode()
    for _ in range(15 * 16):
        yield chunk(MIB // 16)


def large_chunks(number):
    """Send 4 MiB in large chunks, all but the last bytes."""
    yield HEAD.format(f"c{number}", CHUNKED).encode()
    for _ in range(15):
        yield chunk(MIB // 4)
    yield chunk(MIB // 4)[:-10]


def small_chunks(number):
    """Send 1.25 MiB in chunks of 128 bytes, without the end."""
    yield HEAD.format(f"c{number}", CHUNKED).encode()
    piece = chunk(128) * 64
    for _ in range(160):
        yield piece


def incomplete_head(number):
    """Send a head without its end; every second one sends nothing."""
    if number % 2:
        yield b"POST /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + b"x" * 12000


@pytest.fixture
def deployment(tmp_path):
    """Deployment whose machines have little memory and few descriptors."""
    limits = DeploymentLimits(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    deployment = Deployment(tmp_path, limits)
    try:
        deployment.store_config(1)
        for entry in deployment.entries:
            wait_until(
                "an entry to be ready", lambda entry=entry: deployment.is_ready(entry)
            )
        yield deployment
    finally:
        deployment.stop()


@contextmanager
def bounded(machine, serve_one):
    """Check a machine's bounds over a crowd, and that it serves while that stays."""
    with Watch(machine.process.pid) as watch:
        yield
        assert machine.is_running
        wait_until("an ordinary request to be served", serve_one)
        assert machine.is_running
        print(f"peak {watch.peak_mb:.0f} MB, {watch.most_fds} descriptors")
        assert watch.peak_mb < MEMORY_MB
        assert watch.most_fds < MAX_FDS


def entry_call(deployment):
    """Return a function that sends an ordinary call and says whether it is served."""
    front = deployment.front_address(deployment.entries[0])
    numbers = itertools.count()

    def served():
        with suppress(OSError, HTTPException):
            request = Request(front, "/plain/x", f"ordinary-{next(numbers)}")
            return request.read()[0] == 200
        return False

    return served


@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("size", "parts_of"),
    [
        (40, announced_over_the_limit),
        (40, sent_over_the_limit),
        (80, large_chunks),
        (80, small_chunks),
        (400, incomplete_head),
    ],
)
def test_crowd_does_not_end_the_entry(deployment, size, parts_of):
    """An entry ran out of memory or descriptors, and all its requests were lost."""
    entry = deployment.entries[0]
    crowd = Crowd(deployment.front_address(entry), size, parts_of)
    with bounded(entry, entry_call(deployment)):
        crowd.send()
    crowd.leave()


@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("size", "parts_of"), [(40, sent_over_the_limit), (400, incomplete_head)]
)
def test_crowd_does_not_end_a_control_host(deployment, size, parts_of):
    """A control host ran out of memory or descriptors, and operators got no answer."""
    control = deployment.controls[0]
    address = f"{control.ip}:{CONTROL_PORT}"
    crowd = Crowd(address, size, parts_of)
    url = f"http://{address}/v1/config/describe"
    with bounded(control, lambda: call("GET", url)[0] == 200):
        crowd.send()
    crowd.leave()


@pytest.mark.timeout(120)
def test_callers_that_read_nothing_do_not_end_the_entry(deployment):
    """Responses to callers that read nothing filled the memory of an entry."""
    front = deployment.front_address(deployment.entries[0])
    plain = deployment.platform.replicas[-1]
    with bounded(deployment.entries[0], entry_call(deployment)):
        plain.injected_faults = InjectedFaults(answer_bytes=MAX_BODY_BYTES - 65536)
        requests = []
        for number in range(40):
            with suppress(OSError):
                requests.append(Request(front, "/plain/x", f"r{number}"))
            # The entry reads one answer of the replica after the other.
            threading.Event().wait(0.1)
        plain.injected_faults = InjectedFaults()
    for request in requests:
        request.connection.close()
