"""Tests of the directory that entries serve, with the programs as processes."""

import json
import signal
import threading
import time

import pytest
from standin import DIRECTORY_PORT

from tests.platform.process_harness import Deployment, call, wait_until
from tests.platform.test_planned_stop import call_until_refused


@pytest.fixture
def deployment(tmp_path):
    new_deployment = Deployment(tmp_path)
    try:
        new_deployment.store_config(1)
        for entry in new_deployment.entries:
            wait_until(
                "an entry to be ready",
                lambda entry=entry: new_deployment.is_ready(entry),
            )
        yield new_deployment
    finally:
        new_deployment.stop()


def look_up(host):
    """Return the addresses that a host names; None when it refuses."""
    url = f"http://{host.ip}:{DIRECTORY_PORT}/v1/resolve?name=h.example&zone=z1"
    status, body = call("GET", url)
    assert status in (200, 503)
    return sorted(json.loads(body)["addresses"]) if status == 200 else None


@pytest.mark.timeout(120)
def test_callers_find_entries_while_no_control_host_runs(deployment):
    """After a loss of all control hosts, callers could not connect for seconds."""
    every = sorted(deployment.front_address(entry) for entry in deployment.entries)
    for entry in deployment.entries:
        wait_until("both entries", lambda entry=entry: look_up(entry) == every)
    for control in deployment.controls:
        control.kill()
    for entry in deployment.entries:
        assert look_up(entry) == every


@pytest.mark.timeout(120)
def test_stopping_entry_does_not_name_itself(deployment):
    """Callers that asked a stopping entry would have come back to it."""
    stopping, other = deployment.entries
    wait_until("both entries", lambda: len(look_up(stopping) or ()) == 2)
    stopping.signal(signal.SIGTERM)
    wait_until(
        "only the other entry",
        lambda: look_up(stopping) == [deployment.front_address(other)],
        timeout_s=2.0,
    )


@pytest.mark.timeout(120)
def test_other_entries_do_not_name_a_stopping_one(deployment):
    """Other entries named a stopping entry until a control host told them. Without
    control hosts, only its own announcement can tell them."""
    stopping, other = deployment.entries
    for entry in deployment.entries:
        wait_until("both", lambda entry=entry: len(look_up(entry) or ()) == 2)
    for control in deployment.controls:
        control.kill()
    stopping.signal(signal.SIGTERM)
    wait_until(
        "only the other entry",
        lambda: look_up(other) == [deployment.front_address(other)],
        timeout_s=2.0,
    )


@pytest.mark.timeout(60)
def test_stopping_entry_answers_the_look_ups_it_reads(deployment):
    """Look-ups in hand at the end of an entry's process were cut off."""
    stopping = deployment.entries[0]
    url = f"http://{stopping.ip}:{DIRECTORY_PORT}/v1/resolve?name=h.example&zone=z1"
    results = []
    threads = [
        threading.Thread(
            target=call_until_refused, args=(url, "GET", lambda: None, results)
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    stopping.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert 200 in results
    assert not [x for x in results if isinstance(x, str)]
    assert stopping.process.wait(timeout=5) == 0
