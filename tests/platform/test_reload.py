"""Tests of requests that run during a reload or a change, with the real programs."""

import json
import signal
import time

import pytest
from standin import CONTROL_PORT, EVENT_INTERVAL_S, FRONT_PORT, InjectedFaults

from tests.platform.process_harness import (
    CONTROLS,
    Request,
    call,
    document,
    log_lines,
    wait_until,
)

EVENTS, EVENT_S = 30, 0.1
"""Events of a stream, and seconds between two of them."""


def open_stream(entry, request_id, events):
    address = f"{entry.ip}:{FRONT_PORT}"
    return Request(address, "/stream/x", request_id, usage=f"600,{events}")


def open_streams(deployment, number):
    """Begin streams of three seconds at each entry."""
    for replica in deployment.platform.replicas:
        if replica.service == "models":
            faults = InjectedFaults(slowdown_factor=EVENT_S / EVENT_INTERVAL_S)
            replica.injected_faults = faults
    return [
        Request(
            f"{entry.ip}:{FRONT_PORT}",
            "/stream/x",
            f"r{n}-{entry.ip}",
            usage=f"600,{EVENTS}",
        )
        for entry in deployment.entries
        for n in range(number)
    ]


def store(config):
    body = json.dumps(config).encode()
    url = f"http://{CONTROLS[0]}:{CONTROL_PORT}/v1/config/replace"
    wait_until("the change to be stored", lambda: call("POST", url, body)[0] == 200)


def assert_complete(requests):
    for request in requests:
        answer = request.read_anything()
        assert answer is not None
        status, _, body = answer
        assert status == 200
        assert body.count(b"id: ") == EVENTS


def in_force(entry, version):
    return any(
        line["event"] == "config_in_force" and line["version"] == version
        for line in log_lines(entry)
    )


@pytest.mark.timeout(60)
@pytest.mark.parametrize("changes_file", [False, True])
def test_reload_cuts_no_request(fresh_deployment, changes_file):
    """Guards against a reload that ends the requests in progress."""
    requests = open_streams(fresh_deployment, 4)
    time.sleep(1.0)
    for machine in (*fresh_deployment.entries, *fresh_deployment.controls):
        if changes_file:
            machine.write_settings(CONTROLS[:2])
            with machine.settings.open("a") as file:
                file.write("bounds.grace_s=5\n")
        for _ in range(3):
            machine.signal(signal.SIGHUP)
    assert_complete(requests)
    machines = (*fresh_deployment.entries, *fresh_deployment.controls)
    assert all(machine.is_running for machine in machines)


@pytest.mark.timeout(60)
@pytest.mark.parametrize("dropped", ["route", "service"])
def test_dropped_route_or_service_finishes_its_requests(fresh_deployment, dropped):
    """Guards against a configuration that ends the requests of what it drops."""
    requests = open_streams(fresh_deployment, 4)
    time.sleep(1.0)
    config = json.loads(document(2))
    config["routes"] = config["routes"][1:]
    if dropped == "service":
        config["services"] = config["services"][1:]
    store(config)
    for entry in fresh_deployment.entries:
        wait_until("the change", lambda entry=entry: in_force(entry, 2), 5.0)
    # The streams last three seconds, and the change has come in their middle.
    late = Request(
        f"{fresh_deployment.entries[0].ip}:{FRONT_PORT}",
        "/stream/x",
        "late",
        usage="9,1",
    )
    assert late.read()[0] == 404
    assert_complete(requests)


@pytest.mark.timeout(60)
def test_removed_entry_and_control_host_finish_their_requests(fresh_deployment):
    """Guards against hosts that are removed for good and end what they serve."""
    requests = open_streams(fresh_deployment, 4)
    time.sleep(1.0)
    gone_entry, gone_control = (
        fresh_deployment.entries[0],
        fresh_deployment.controls[2],
    )
    left = [m for m in fresh_deployment.controls if m is not gone_control]
    for machine in (*fresh_deployment.entries, *left):
        machine.write_settings(CONTROLS[:2])
        machine.signal(signal.SIGHUP)
    gone_entry.signal(signal.SIGTERM)
    gone_control.signal(signal.SIGTERM)
    assert_complete(requests)
    assert gone_entry.process.wait(timeout=8) == 0
    assert gone_control.process.wait(timeout=8) == 0
    gone_control.delete_data()
