"""Tests of tenants and reports of use with the programs as processes."""

import signal
import threading
import time
from http.client import HTTPConnection

import pytest
from standin import DeploymentLimits

from tests.platform.process_harness import (
    CONTROLS,
    ENTRIES,
    Deployment,
    Request,
    log_lines,
    wait_until,
)

KEYS = {"a": "secret-key-of-a", "b": "secret-key-of-b"}
APPLY_S = 2.5
"""Seconds after an acknowledged change in which it must be in force."""

LIMITS = DeploymentLimits(duties=("usage_report",), usage_window_s=4.0, usage_due_s=6.0)


def tenants(*names):
    return [{"name": name, "api_keys": [KEYS[name]]} for name in names]


@pytest.fixture
def deployment(tmp_path):
    new_deployment = Deployment(tmp_path, LIMITS)
    try:
        new_deployment.store_config(1, tenants=tenants("a", "b"))
        for entry in new_deployment.entries:
            wait_until(
                "an entry to be ready",
                lambda entry=entry: new_deployment.is_ready(entry),
            )
        yield new_deployment
    finally:
        new_deployment.stop()


def call_plain(deployment, entry, name, key):
    address = deployment.front_address(entry)
    return Request(address, "/plain/x", name, key=key).read()[0]


def wait_until_served(deployment):
    for number, entry in enumerate(deployment.entries):
        wait_until(
            "a call to be served",
            lambda entry=entry, number=number: (
                call_plain(deployment, entry, f"w{number}", KEYS["b"]) == 200
            ),
        )


def assert_no_key_is_shown(deployment):
    for machine in (*deployment.controls, *deployment.entries):
        for name in ("log", "errors"):
            text = (machine.folder / name).read_bytes()
            assert b"secret-key" not in text, f"{machine.ip} {name}"


class KeptConnection(threading.Thread):
    """Caller that sends one call after the other on one connection."""

    def __init__(self, address, name, key):
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self._connection = HTTPConnection(host, int(port), timeout=5)
        self._name, self._key = name, key
        self.stopped = threading.Event()
        # Time at which each call was sent, and its status.
        self.statuses = []
        self.local_ports = set()

    def run(self):
        headers = {
            "Host": "h.example",
            "Deadline-Ms": "900",
            "Authorization": f"Bearer {self._key}",
        }
        number = 0
        while not self.stopped.wait(0.02):
            number += 1
            fields = headers | {"Request-Id": f"{self._name}-{number}"}
            sent_at = time.monotonic()
            self._connection.request("POST", "/plain/x", b"", fields)
            self.local_ports.add(self._connection.sock.getsockname()[1])
            answer = self._connection.getresponse()
            answer.read()
            self.statuses.append((sent_at, answer.status))


@pytest.mark.timeout(120)
def test_revoked_key_ends_on_a_kept_connection(deployment):
    """The key was only looked at when a connection was opened, or not at all."""
    wait_until_served(deployment)
    callers = [
        KeptConnection(deployment.front_address(entry), f"{name}{number}", KEYS[name])
        for number, entry in enumerate(deployment.entries)
        for name in KEYS
    ]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    deployment.store_config(2, tenants=tenants("b"))
    revoked_at = time.monotonic()
    time.sleep(APPLY_S + 1.5)
    for caller in callers:
        caller.stopped.set()
        caller.join()
    for number, caller in enumerate(callers):
        early = [s for at, s in caller.statuses if at < revoked_at - 0.5]
        late = [s for at, s in caller.statuses if at > revoked_at + APPLY_S]
        assert set(early) <= {200, 503} and 200 in early
        assert len(caller.local_ports) == 1, "the connection must have been kept"
        if number % 2:
            assert 401 not in [s for _, s in caller.statuses] and 200 in late
        else:
            assert set(late) == {401} and len(late) > 5
    arrivals = deployment.platform.journal.arrivals
    assert {arrival.tenant for arrival in arrivals} == {"a", "b"}
    assert not any(arrival.has_key for arrival in arrivals)
    runs = [a.began_at for a in arrivals if a.tenant == "a" and a.began_at]
    assert runs and max(runs) <= revoked_at + APPLY_S
    assert_no_key_is_shown(deployment)


@pytest.mark.timeout(120)
def test_paused_entry_accepts_no_key_that_was_revoked_meanwhile(deployment):
    """Requests that waited in its sockets were read before any news of new keys."""
    wait_until_served(deployment)
    entry = deployment.entries[0]
    entry.signal(signal.SIGSTOP)
    try:
        address = deployment.front_address(entry)
        waiting = [
            Request(address, "/plain/x", f"p{number}", key=KEYS["a"])
            for number in range(5)
        ]
        deployment.store_config(2, tenants=tenants("b"))
        time.sleep(APPLY_S)
    finally:
        entry.signal(signal.SIGCONT)
    statuses = {answer[0] for answer in (r.read_anything() for r in waiting) if answer}
    assert statuses <= {401, 503}
    assert not any(a.tenant == "a" for a in deployment.platform.journal.arrivals)
    wait_until(
        "the entry to serve again",
        lambda: call_plain(deployment, entry, "after", KEYS["b"]) == 200,
    )
    wait_until(
        "the line about the pause",
        lambda: any(x["event"] == "resumed_after_pause" for x in log_lines(entry)),
    )


def count_runs(deployment, name):
    journal = deployment.platform.journal
    return sum(1 for a in journal.arrivals if a.tenant == name and a.began_execution)


def reported(deployment, name):
    """Return the sum of a tenant's counts; every window must have one content."""
    contents = {}
    for report in deployment.platform.duty_calls.received:
        first = contents.setdefault(report.window, report.counts)
        assert first == report.counts, f"window {report.window} has two contents"
    return sum(counts.get(name, 0) for counts in contents.values())


def wait_for_window_start():
    """Return at the start of the next window, which begins at a multiple of its length.

    What is counted in the following seconds is not reported before the window ends.
    """
    time.sleep(LIMITS.usage_window_s - time.time() % LIMITS.usage_window_s)


@pytest.mark.timeout(120)
def test_entry_killed_between_count_and_report_loses_no_sent_count(deployment):
    """Counts that only a killed entry had were missing in the report."""
    wait_until_served(deployment)
    # The window in which the configuration came is not reported.
    wait_until("a first report", lambda: deployment.platform.duty_calls.reports)
    entry = deployment.entries[0]
    wait_for_window_start()
    for number in range(12):
        assert call_plain(deployment, entry, f"k{number}", KEYS["a"]) == 200
    # A regular heartbeat to the leader takes the counts along.
    time.sleep(0.8)
    entry.kill()
    assert reported(deployment, "a") < 12, "the window must not be reported yet"
    assert count_runs(deployment, "a") == 12
    wait_until("the counts to be reported", lambda: reported(deployment, "a") >= 12)
    time.sleep(LIMITS.usage_window_s)
    assert reported(deployment, "a") == 12


@pytest.mark.timeout(120)
def test_leader_killed_between_decision_and_report_changes_no_content(deployment):
    """Its successor, which had other counts by then, reported another content."""
    wait_until_served(deployment)
    calls = deployment.platform.duty_calls
    wait_until("a first report", lambda: calls.reports)
    calls.faults.silent = True
    for number in range(8):
        entry = deployment.entries[number % len(ENTRIES)]
        assert call_plain(deployment, entry, f"l{number}", KEYS["a"]) == 200
    first = wait_until(
        "a report with the counts",
        lambda: next((r for r in calls.received if r.counts.get("a")), None),
        timeout_s=30.0,
    )
    leader = next(m for m in deployment.controls if first.holder.endswith(m.ip))
    leader.kill()
    calls.faults.silent = False
    again = wait_until(
        "the report of the next leader",
        lambda: next((r for r in calls.reports if r.window == first.window), None),
        timeout_s=30.0,
    )
    assert again.holder != first.holder and again.fence > first.fence
    assert again.counts == first.counts
    wait_until("all counts", lambda: reported(deployment, "a") >= 8)
    assert reported(deployment, "a") == 8
    holders = [r.holder for r in calls.received]
    last_old = max(n for n, holder in enumerate(holders) if holder == first.holder)
    assert all(holder != first.holder for holder in holders[last_old + 1 :])
    assert {first.holder, again.holder} <= {f"coordinator-{ip}" for ip in CONTROLS}
