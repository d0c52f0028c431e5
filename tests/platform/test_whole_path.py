"""The programs as processes against the stand-in platform."""

import json
import signal

import pytest
from standin import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    READY_PORT,
    Bounds,
    Defects,
    Machine,
    Role,
)

from tests.platform.world import (
    EVENTS,
    LIST_ADDRESS,
    NET,
    Platform,
    Request,
    call,
    log_lines,
    wait,
)

CONTROLS = [f"{NET}.0.{n}" for n in (1, 2, 3)]
EDGES = [f"{NET}.1.{n}" for n in (1, 2)]


def document(version, *, timeout_ms=8000, extra=()):
    stream = {
        "name": "stream",
        "host": "h.example",
        "path_prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "target_gap_ms": 250,
        "service": "models",
        "max_attempts": 2,
        "resumable": True,
    }
    plain = {
        "name": "plain",
        "host": "h.example",
        "path_prefix": "/plain/",
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 100,
        "service": "app",
    }
    services = [
        {"name": "models", "engine": {"slots": 8, "kv_capacity": 100000}},
        {"name": "app"},
    ]
    routes = [stream, plain, *extra]
    return json.dumps({"version": version, "routes": routes, "services": services})


class World:
    def __init__(self, folder):
        self.platform = Platform()
        self.platform.start()
        bounds = Bounds()
        self.controls = [
            Machine(folder, Role.CONTROL, ip, "z1", LIST_ADDRESS, bounds)
            for ip in CONTROLS
        ]
        self.edges = [
            Machine(folder, Role.ENTRY, ip, "z1", LIST_ADDRESS, bounds) for ip in EDGES
        ]
        for machine in (*self.controls, *self.edges):
            machine.write_settings(CONTROLS, first=True)
            machine.start()

    def stop(self):
        for machine in (*self.controls, *self.edges):
            machine.kill()
        self.platform.stop()

    def put(self, version, **changes):
        body = document(version, **changes).encode()

        def stored():
            for ip in CONTROLS:
                url = f"http://{ip}:{CONTROL_PORT}/v1/config/replace"
                if call("POST", url, body)[0] == 200:
                    return True
            return False

        wait(f"version {version} to be stored", stored)

    def described(self):
        for ip in CONTROLS:
            url = f"http://{ip}:{CONTROL_PORT}/v1/config/describe"
            status, body = call("GET", url)
            if status == 200:
                return json.loads(body)["version"]
        return None

    def ready(self, edge):
        return call("GET", f"http://{edge.ip}:{READY_PORT}/v1/ready")[0] == 200

    def front(self, edge):
        return f"{edge.ip}:{FRONT_PORT}"


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    made = World(tmp_path_factory.mktemp("world"))
    try:
        made.put(1)
        for edge in made.edges:
            wait("an entry to be ready", lambda edge=edge: made.ready(edge))
        yield made
    finally:
        made.stop()


def stream(world, edge, number):
    return Request(world.front(edge), "/stream/x", number, usage=f"600,{EVENTS}")


@pytest.mark.timeout(120)
def test_callers_find_an_entry_and_are_served_whole(world):
    """The whole path, through the directory, both phases and the plain service."""
    url = f"http://{CONTROLS[0]}:{DIRECTORY_PORT}/v1/resolve?name=h.example&zone=z1"
    answer = wait("an address", lambda: call("GET", url)[0] == 200 and call("GET", url))
    assert set(json.loads(answer[1])["addresses"]) <= {
        world.front(edge) for edge in world.edges
    }
    status, headers, body = stream(world, world.edges[0], "a1").read()
    assert status == 200 and headers["Response-Signature"].startswith("i-")
    assert body.count(b"data: a1") == EVENTS
    status, _, body = Request(world.front(world.edges[1]), "/plain/x", "a2").read()
    assert status == 200 and body.startswith(b"a2 ")


@pytest.mark.timeout(120)
def test_invalid_or_old_configurations_change_nothing(world):
    """An invalid one is refused; an older one is acknowledged without effect."""
    url = f"http://{CONTROLS[1]}:{CONTROL_PORT}/v1/config/replace"
    wait("a refusal", lambda: call("POST", url, b'{"version":50}')[0] == 400)
    world.put(2)
    world.put(1, timeout_ms=5)
    assert wait("a version", world.described) == 2


@pytest.mark.timeout(120)
def test_added_route_is_in_force_on_every_entry(world):
    """An acknowledged configuration must be in force within two seconds."""
    extra = {
        "name": "more",
        "host": "h.example",
        "path_prefix": "/more/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "service": "app",
    }
    world.put(3, extra=[extra])
    for edge in world.edges:

        def served(edge=edge):
            return Request(world.front(edge), "/more/x", "b1").read()[0] == 200

        wait("the new route", served, timeout_s=2.0)


@pytest.mark.timeout(120)
def test_requests_of_callers_run_once(world):
    """A loan release must not run twice, whatever happens around it."""
    for n in range(20):
        Request(world.front(world.edges[n % 2]), "/plain/x", f"once-{n}").read()
    arrivals = [a.request for a in world.platform.journal.arrivals if a.ran]
    runs = [request for request in arrivals if request.startswith("once-")]
    assert len(runs) == len(set(runs)) == 20


@pytest.mark.timeout(120)
def test_loss_of_the_leader_loses_nothing_acknowledged(world):
    """The operator goes on at the other control hosts."""
    world.put(10)
    for machine in world.controls:
        machine.kill()
        world.put(int(10 + 1 + world.controls.index(machine)))
        machine.start()
        wait("the host to answer", lambda m=machine: m.process.poll() is None)
    assert wait("the version", world.described) == 13


@pytest.mark.timeout(120)
def test_wiped_control_host_votes_again_before_another_is_lost(world):
    """After a lost disk and a repair a second host may be lost at once."""
    world.put(20)
    first, second = world.controls[0], world.controls[1]
    first.kill()
    first.wipe()
    first.start()

    def is_voter():
        lines = [x for x in log_lines(second) + log_lines(world.controls[2])]
        steps = [x for x in lines if x["event"] == "membership_step"]
        return any(
            x["member"].startswith(first.ip)
            and x["voter"]
            and x["outcome"] == "changed"
            for x in steps
        )

    wait("the wiped host to vote", is_voter)
    second.kill()
    world.put(21)
    assert wait("the version", world.described) == 21
    second.start()


@pytest.mark.timeout(120)
def test_stopping_entry_finishes_its_streams(world):
    """A planned stop cuts no stream, and its machine is not ready meanwhile."""
    edge = world.edges[0]
    for replica in world.platform.replicas:
        replica.defects = Defects(slowness=10.0)
    open_stream = stream(world, edge, "s1")
    edge.signal(signal.SIGTERM)
    wait("the entry to be unready", lambda: not world.ready(edge), timeout_s=2.0)
    status, _, body = open_stream.read()
    assert status == 200 and body.count(b"data: s1") == EVENTS
    assert edge.process.wait(timeout=10) == 0
    assert log_lines(edge)[-1]["event"] == "stopped"


@pytest.mark.timeout(120)
def test_log_leads_from_a_request_to_its_way(world):
    """On-call has nothing but the lines of the processes."""
    lines = [x for edge in world.edges for x in log_lines(edge)]
    way = [x["event"] for x in lines if x.get("request") == "a1"]
    assert way == ["admitted", "placed", "read", "first_event", "answered"]


@pytest.mark.timeout(60)
@pytest.mark.parametrize("role", [Role.CONTROL, Role.ENTRY])
def test_change_of_settings_during_the_start_ends_nothing(tmp_path, role):
    """A process that got the signal while it was loading ended (soak seed 1187)."""
    ip = f"{NET}.4.{1 + (role is Role.ENTRY)}"
    machine = Machine(tmp_path, role, ip, "z1", LIST_ADDRESS, Bounds())
    machine.write_settings([ip], first=True)
    machine.start()
    try:
        mapped = f"/proc/{machine.process.pid}/maps"
        # By then the interpreter runs the program, and most imports are to come.
        wait("the first import", lambda: "_socket" in open(mapped).read())
        machine.signal(signal.SIGHUP)
        wait(
            "the program",
            lambda: (machine.folder / "log").read_text().count('"started"'),
        )
        assert machine.is_running
    finally:
        machine.kill()
