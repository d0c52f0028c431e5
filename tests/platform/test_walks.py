"""Documented steps from a failed request to its cause, on the logs of a run.

A fault is injected, the logs of all processes are read with the commands of
docs/OPERATIONS.md, and the lines must name the fault.
"""

import signal
import threading

import pytest
from standin import FRONT_PORT, READY_PORT, Bounds, Defects, Machine, Role

from tests.platform.test_whole_path import document
from tests.platform.world import LIST_ADDRESS, NET, Platform, Request, call, wait
from wigeonspan.trail.main import LogCommands, read_lines

CONTROL = f"{NET}.0.9"
ENTRY = f"{NET}.1.9"
CONTROL_PORT = 17161


class Site:
    """One control host and one entry."""

    def __init__(self, folder):
        self.platform = Platform()
        self.platform.start()
        self.control, self.entry = (
            Machine(folder, role, ip, "z1", LIST_ADDRESS, Bounds())
            for role, ip in ((Role.CONTROL, CONTROL), (Role.ENTRY, ENTRY))
        )
        for machine in (self.control, self.entry):
            machine.write_settings([CONTROL], first=True)
            machine.start()

    @property
    def logs(self):
        machines = (self.control, self.entry)
        return [str(machine.folder / "log") for machine in machines]

    def put(self, version, **changes):
        url = f"http://{CONTROL}:{CONTROL_PORT}/v1/config/replace"
        body = document(version, **changes).encode()
        wait("a configuration", lambda: call("POST", url, body)[0] == 200)

    def send(self, path, number, **headers):
        return Request(f"{ENTRY}:{FRONT_PORT}", path, number, **headers)

    def way(self, number):
        """Return the request's lines once its end is written."""

        def ended():
            way = LogCommands().way(number, *self.logs)
            ends = ("answered", "refused", "broken_off")
            return way if any(f" serve: {end}" in way for end in ends) else None

        return wait("the end of the request in the log", ended)

    def wall_ms(self, number):
        lines = read_lines(tuple(self.logs))
        return next(x["wall_ms"] for x in lines if x.get("request") == number)

    def metrics(self):
        return call("GET", f"http://{ENTRY}:7390/metrics")[1].decode()

    def stop(self):
        for machine in (self.control, self.entry):
            machine.signal(signal.SIGCONT)
            machine.kill()
        self.platform.stop()


@pytest.fixture
def site(tmp_path):
    made = Site(tmp_path)
    try:
        made.put(1)
        url = f"http://{ENTRY}:{READY_PORT}/v1/ready"
        wait("the entry", lambda: call("GET", url)[0] == 200)
        assert made.send("/stream/x", "first", usage="600,3").read()[0] == 200
        yield made
    finally:
        made.stop()


@pytest.mark.timeout(120)
def test_refusal_under_load_names_the_wait(site):
    """The lines must say that engines were behind, and by how much."""
    statuses = {}

    def send(number):
        request = site.send("/stream/x", f"load-{number}", usage="60000,3")
        statuses[number] = request.read()[0]

    threads = [threading.Thread(target=send, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [number for number, status in statuses.items() if status == 503]
    assert refused
    counts = LogCommands().failures(*site.logs)
    assert "refused overloaded first event expected in N ms" in counts
    way = site.way(f"load-{refused[0]}")
    assert "generation: refused" in way and "first event expected in" in way
    assert 'refusals_total{limit="time"}' in site.metrics()


@pytest.mark.timeout(120)
def test_broken_off_stream_names_the_engine(site):
    """The lines must say which engine cut the stream, and why nothing followed."""
    for replica in site.platform.replicas[1:3]:
        replica.defects = Defects(cuts=1.0)
    site.send("/stream/x", "cut", usage="600,20").read_anything()
    way = site.way("cut")
    assert "stream_broke_off" in way
    assert "target=i-2" in way or "target=i-3" in way
    assert "serve: broken_off" in way and "ran=unknown" in way
    engine = "i-2" if "stream_broke_off target=i-2" in way else "i-3"
    assert f'target_failures_total{{target="{engine}"}}' in site.metrics()


@pytest.mark.timeout(120)
def test_old_configuration_names_the_lost_control_host(site):
    """The lines must say which version the entry held, and why no newer one."""
    log = site.entry.folder / "log"
    lost_before = log.read_text().count("control_lost")
    site.control.signal(signal.SIGSTOP)
    wait(
        "the entry to miss the control host",
        lambda: log.read_text().count("control_lost") > lost_before,
    )
    assert site.send("/more/x", "old").read()[0] == 404
    way = site.way("old")
    assert "kind=unknown_route" in way and "config_version=1" in way
    around = LogCommands().around(site.wall_ms("old"), *site.logs, within_ms=10_000)
    assert "config_in_force version=1" in around
    assert f"control_lost control={CONTROL}" in around
    confirmed = [x for x in site.metrics().splitlines() if "config_confirmed" in x]
    assert float(confirmed[-1].split()[1]) > 1.0
