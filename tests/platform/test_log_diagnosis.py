"""Tests of the documented steps from a failed request to its cause in the logs.

Each test injects a fault and reads the logs of all processes with the commands of
docs/OPERATIONS.md; the lines must name the fault.
"""

import signal
import threading

import pytest
from standin import (
    FRONT_PORT,
    READY_PORT,
    DeploymentLimits,
    InjectedFaults,
    Machine,
    Role,
)

from tests.platform.process_harness import (
    LIST_ADDRESS,
    NET,
    Platform,
    Request,
    call,
    document,
    wait_until,
)
from wigeonspan.trail.main import LogCommands, read_lines

CONTROL = f"{NET}.0.9"
ENTRY = f"{NET}.1.9"
CONTROL_PORT = 17161


class Deployment:
    """One control host and one entry, with the simulated platform."""

    def __init__(self, folder):
        self.platform = Platform()
        self.platform.start()
        self.control, self.entry = (
            Machine(folder, role, ip, "z1", LIST_ADDRESS, DeploymentLimits())
            for role, ip in ((Role.CONTROL, CONTROL), (Role.ENTRY, ENTRY))
        )
        for machine in (self.control, self.entry):
            machine.write_settings([CONTROL], first=True)
            machine.start()

    @property
    def logs(self):
        machines = (self.control, self.entry)
        return [str(machine.folder / "log") for machine in machines]

    def store_config(self, version, **changes):
        url = f"http://{CONTROL}:{CONTROL_PORT}/v1/config/replace"
        body = document(version, **changes).encode()
        wait_until("a configuration", lambda: call("POST", url, body)[0] == 200)

    def send(self, path, request_id, **headers):
        return Request(f"{ENTRY}:{FRONT_PORT}", path, request_id, **headers)

    def request_log(self, request_id):
        """Return the log lines of a request once its end has been logged."""

        def ended():
            request_log = LogCommands().way(request_id, *self.logs)
            ends = ("answered", "refused", "broken_off")
            return (
                request_log
                if any(f" serve: {end}" in request_log for end in ends)
                else None
            )

        return wait_until("the end of the request in the log", ended)

    def wall_ms(self, request_id):
        lines = read_lines(tuple(self.logs))
        return next(x["wall_ms"] for x in lines if x.get("request") == request_id)

    def metrics(self):
        return call("GET", f"http://{ENTRY}:7390/metrics")[1].decode()

    def stop(self):
        for machine in (self.control, self.entry):
            machine.signal(signal.SIGCONT)
            machine.kill()
        self.platform.stop()


@pytest.fixture
def deployment(tmp_path):
    new_deployment = Deployment(tmp_path)
    try:
        new_deployment.store_config(1)
        url = f"http://{ENTRY}:{READY_PORT}/v1/ready"
        wait_until("the entry", lambda: call("GET", url)[0] == 200)
        assert new_deployment.send("/stream/x", "first", usage="600,3").read()[0] == 200
        yield new_deployment
    finally:
        new_deployment.stop()


@pytest.mark.timeout(120)
def test_refusal_under_load_names_the_wait(deployment):
    """The lines must say that engines had a backlog and how long the wait would be."""
    statuses = {}

    def send(number):
        request = deployment.send("/stream/x", f"load-{number}", usage="60000,3")
        statuses[number] = request.read()[0]

    threads = [threading.Thread(target=send, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [number for number, status in statuses.items() if status == 503]
    assert refused
    counts = LogCommands().failures(*deployment.logs)
    assert "refused overloaded first event expected in N ms" in counts
    request_log = deployment.request_log(f"load-{refused[0]}")
    assert (
        "generation: refused" in request_log
        and "first event expected in" in request_log
    )
    assert "retry_after_s=" in request_log
    metrics = deployment.metrics()
    assert 'refusals_total{limit="time"}' in metrics
    assert 'refusals_by_priority_total{limit="time",priority=' in metrics
    assert "placements_total{rank=" in metrics


@pytest.mark.timeout(120)
def test_metrics_tell_whether_slots_or_prefill_are_short(deployment):
    """Streams that waited for a slot looked like slow prompts or slow transfers."""
    for number in range(3):
        answer = deployment.send("/stream/x", f"slots-{number}", usage="600,3").read()
        assert answer[0] == 200
    request_log = deployment.request_log("slots-0")
    assert "open_streams=0" in request_log and "slots=8" in request_log
    metrics = deployment.metrics()
    assert "decode_slots{" in metrics and "open_streams{" in metrics


@pytest.mark.timeout(120)
def test_broken_off_stream_names_the_engine(deployment):
    """The lines must say which engine cut the stream and why it was not resumed."""
    for replica in deployment.platform.replicas[1:3]:
        replica.injected_faults = InjectedFaults(cut_rate=1.0)
    deployment.send("/stream/x", "cut", usage="600,20").read_anything()
    request_log = deployment.request_log("cut")
    assert "stream_broke_off" in request_log
    assert "target=i-2" in request_log or "target=i-3" in request_log
    assert "serve: broken_off" in request_log and "ran=unknown" in request_log
    engine = "i-2" if "stream_broke_off target=i-2" in request_log else "i-3"
    assert f'target_failures_total{{target="{engine}"}}' in deployment.metrics()


@pytest.mark.timeout(120)
def test_old_configuration_names_the_lost_control_host(deployment):
    """The lines must say which version the entry used and why it had no newer one."""
    log = deployment.entry.folder / "log"
    lost_before = log.read_text().count("control_lost")
    deployment.control.signal(signal.SIGSTOP)
    wait_until(
        "the entry to miss the control host",
        lambda: log.read_text().count("control_lost") > lost_before,
    )
    assert deployment.send("/more/x", "old").read()[0] == 404
    request_log = deployment.request_log("old")
    assert "kind=unknown_route" in request_log and "config_version=1" in request_log
    around = LogCommands().around(
        deployment.wall_ms("old"), *deployment.logs, within_ms=10_000
    )
    assert "config_in_force version=1" in around
    assert f"control_lost control={CONTROL}" in around
    confirmed = [
        x for x in deployment.metrics().splitlines() if "config_confirmed" in x
    ]
    assert float(confirmed[-1].split()[1]) > 1.0
