"""Tests of the programs as processes on the simulated platform."""

import json
import signal

import pytest
from standin import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    DeploymentLimits,
    InjectedFaults,
    Machine,
    Role,
)

from tests.platform.process_harness import (
    CONTROLS,
    EVENTS,
    LIST_ADDRESS,
    NET,
    Deployment,
    Request,
    call,
    log_lines,
    wait_until,
)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    new_deployment = Deployment(tmp_path_factory.mktemp("world"))
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


def stream(deployment, entry, request_id):
    return Request(
        deployment.front_address(entry), "/stream/x", request_id, usage=f"600,{EVENTS}"
    )


@pytest.mark.timeout(120)
def test_callers_find_an_entry_and_get_complete_answers(deployment):
    """Covers the directory, a stream with prefill and decode, and a plain call."""
    url = f"http://{CONTROLS[0]}:{DIRECTORY_PORT}/v1/resolve?name=h.example&zone=z1"
    answer = wait_until(
        "an address", lambda: call("GET", url)[0] == 200 and call("GET", url)
    )
    assert set(json.loads(answer[1])["addresses"]) <= {
        deployment.front_address(entry) for entry in deployment.entries
    }
    status, headers, body = stream(deployment, deployment.entries[0], "a1").read()
    assert status == 200 and headers["Response-Signature"].startswith("i-")
    assert body.count(b"data: a1") == EVENTS
    status, _, body = Request(
        deployment.front_address(deployment.entries[1]), "/plain/x", "a2"
    ).read()
    assert status == 200 and body.startswith(b"a2 ")


@pytest.mark.timeout(120)
def test_invalid_or_old_configurations_change_nothing(deployment):
    """An invalid configuration is refused, an older one acknowledged without effect."""
    url = f"http://{CONTROLS[1]}:{CONTROL_PORT}/v1/config/replace"
    wait_until("a refusal", lambda: call("POST", url, b'{"version":50}')[0] == 400)
    deployment.store_config(2)
    deployment.store_config(1, timeout_ms=5)
    assert wait_until("a version", deployment.stored_version) == 2


@pytest.mark.timeout(120)
def test_added_route_is_in_force_on_every_entry(deployment):
    """An acknowledged configuration must be in force within two seconds."""
    extra = {
        "name": "more",
        "host": "h.example",
        "path_prefix": "/more/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "service": "app",
    }
    deployment.store_config(3, extra=[extra])
    for entry in deployment.entries:

        def served(entry=entry):
            return (
                Request(deployment.front_address(entry), "/more/x", "b1").read()[0]
                == 200
            )

        wait_until("the new route", served, timeout_s=2.0)


@pytest.mark.timeout(120)
def test_requests_of_callers_run_once(deployment):
    """A non-idempotent call, such as the release of a loan, must not run twice."""
    for n in range(20):
        Request(
            deployment.front_address(deployment.entries[n % 2]), "/plain/x", f"once-{n}"
        ).read()
    arrivals = [
        a.request for a in deployment.platform.journal.arrivals if a.began_execution
    ]
    runs = [request for request in arrivals if request.startswith("once-")]
    assert len(runs) == len(set(runs)) == 20


@pytest.mark.timeout(120)
def test_loss_of_the_leader_loses_nothing_acknowledged(deployment):
    """When one control host is lost, the operator can use the others."""
    deployment.store_config(10)
    for machine in deployment.controls:
        machine.kill()
        deployment.store_config(int(10 + 1 + deployment.controls.index(machine)))
        machine.start()
        wait_until("the host to answer", lambda m=machine: m.process.poll() is None)
    assert wait_until("the version", deployment.stored_version) == 13


@pytest.mark.timeout(120)
def test_wiped_control_host_votes_again_before_another_is_lost(deployment):
    """After a lost disk has been replaced, the loss of a second host is survived."""
    deployment.store_config(20)
    first, second = deployment.controls[0], deployment.controls[1]
    first.kill()
    first.delete_data()
    first.start()

    def is_voter():
        lines = [x for x in log_lines(second) + log_lines(deployment.controls[2])]
        steps = [x for x in lines if x["event"] == "membership_step"]
        return any(
            x["member"].startswith(first.ip)
            and x["voter"]
            and x["outcome"] == "changed"
            for x in steps
        )

    wait_until("the wiped host to vote", is_voter)
    second.kill()
    deployment.store_config(21)
    assert wait_until("the version", deployment.stored_version) == 21
    second.start()


@pytest.mark.timeout(120)
def test_stopping_entry_finishes_its_streams(deployment):
    """A planned stop cuts no stream, and the entry is unready in the meantime."""
    entry = deployment.entries[0]
    for replica in deployment.platform.replicas:
        replica.injected_faults = InjectedFaults(slowdown_factor=10.0)
    open_stream = stream(deployment, entry, "s1")

    def has_begun():
        arrivals = deployment.platform.journal.arrivals
        return any(x.request == "s1" and x.began_execution for x in arrivals)

    wait_until("an engine to begin", has_begun)
    late_stream = stream(deployment, entry, "s2")
    entry.signal(signal.SIGTERM)
    wait_until(
        "the entry to be unready", lambda: not deployment.is_ready(entry), timeout_s=2.0
    )
    status, _, body = open_stream.read()
    assert status == 200 and body.count(b"data: s1") == EVENTS
    # The signal may overtake this one; its caller then turns to the other entry.
    status, _, body = late_stream.read()
    if status == 503:
        other = deployment.entries[1]
        status, _, body = stream(deployment, other, "s3").read()
    assert status == 200 and body.count(b"data: s") == EVENTS
    assert entry.process.wait(timeout=10) == 0
    assert log_lines(entry)[-1]["event"] == "stopped"


@pytest.mark.timeout(120)
def test_log_shows_all_steps_of_a_request(deployment):
    """On-call engineers must be able to follow a request with the logs alone."""
    lines = [x for entry in deployment.entries for x in log_lines(entry)]
    request_log = [x["event"] for x in lines if x.get("request") == "a1"]
    assert request_log == ["admitted", "placed", "read", "first_event", "answered"]


@pytest.mark.timeout(60)
@pytest.mark.parametrize("role", [Role.CONTROL, Role.ENTRY])
def test_settings_change_during_the_start_does_not_end_the_process(tmp_path, role):
    """A SIGHUP during the imports ended the process (found with soak seed 1187)."""
    ip = f"{NET}.4.{1 + (role is Role.ENTRY)}"
    machine = Machine(tmp_path, role, ip, "z1", LIST_ADDRESS, DeploymentLimits())
    machine.write_settings([ip], first=True)
    machine.start()
    try:
        mapped = f"/proc/{machine.process.pid}/maps"
        # At this point the program runs, and most of its imports are still to come.
        wait_until("the first import", lambda: "_socket" in open(mapped).read())
        machine.signal(signal.SIGHUP)
        wait_until(
            "the program",
            lambda: (machine.folder / "log").read_text().count('"started"'),
        )
        assert machine.is_running
    finally:
        machine.kill()
