"""Tests of the command line in a separate process."""

import signal
import subprocess
import sys

import pytest

SETTINGS = """\
host: entry-1
domain: szeged
address: 127.0.0.1:0
control: []
"""


def _start(tmp_path, text, command):
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "wigeonspan.entryd.main", command, str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_second_stop_signal_ends_an_idle_daemon(tmp_path):
    """Guards against a second signal that ends the process without a graceful stop."""
    process = _start(tmp_path, SETTINGS, "run")
    try:
        assert "serves at" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert "Draining" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        rest = process.stderr.read()
        assert process.wait(30) == 0
    finally:
        process.kill()
    assert "has stopped" in rest


@pytest.mark.parametrize(
    ("text", "code", "named"),
    [
        (SETTINGS, 0, ["valid"]),
        (SETTINGS.replace("127.0.0.1:0", "here"), 2, ["IP:PORT"]),
        (SETTINGS + "colour: red\nlog_level: 7\n", 2, ["colour", "log_level"]),
        (SETTINGS + "relay: {progress_timeout_s: 0}\n", 2, ["relay"]),
        ("[", 2, ["YAML"]),
    ],
)
def test_check_reports_all_faults(tmp_path, text, code, named):
    """Guards against a check that reports only the first of several faults."""
    process = _start(tmp_path, text, "check")
    output, errors = process.communicate(timeout=30)
    assert process.returncode == code
    assert all(name in output + errors for name in named)
