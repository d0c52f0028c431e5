"""Test of the command ``wigeonspan-explain`` against a running entry."""

import subprocess
import sys

import pytest

from tests.platform.process_harness import call
from tests.platform.test_log_diagnosis import ENTRY, deployment

__all__ = ["deployment"]

METRICS = f"{ENTRY}:7390"


def explain(*arguments):
    command = [sys.executable, "-m", "wigeonspan.explain.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@pytest.mark.timeout(120)
def test_command_asks_a_running_entry(deployment):
    """Guards against a command that does not fit the entry, or sends the request."""
    admitted = deployment.metrics().count("requests_total")
    sends = [x for x in deployment.metrics().splitlines() if "sends_total" in x]
    done = explain(
        METRICS,
        "--host=h.example",
        "--path=/stream/x",
        "--input_tokens=6000",
        "--output_tokens=3",
        "--parts=sys:5000,own:1000",
    )
    assert done.returncode == 0, done.stderr
    assert "route stream /stream/" in done.stdout
    assert "first event in" in done.stdout and "i-2" in done.stdout
    plain = explain(METRICS, "--host=h.example", "--path=/plain/x", "--json")
    assert '"how":"call"' in plain.stdout
    none = explain(METRICS, "--host=h.example", "--path=/more/x")
    assert "refused (unknown_route)" in none.stdout
    assert deployment.metrics().count("requests_total") == admitted
    now = [x for x in deployment.metrics().splitlines() if "sends_total" in x]
    assert now == sends
    status, body = call("GET", f"http://{METRICS}/explain?host=h&key=SECRET")
    assert status == 400 and b"SECRET" not in body
    gone = explain("127.0.0.9:1", "--host=h", "--path=/")
    assert gone.returncode == 1 and "Traceback" not in gone.stderr
