"""Settings and start of the control daemon."""

import socket
import subprocess
import sys

import msgspec
import pytest
import yaml

from wigeonspan.common import SettingsErrors, load_settings
from wigeonspan.controld import ControlSettings

GOOD = {
    "host": "control-1",
    "domain": "szeged",
    "address": "127.0.0.1:7001",
    "operators": "127.0.0.1:7002",
    "data_folder": "/var/lib/wigeonspan",
    "members": [
        {
            "host": "control-1",
            "domain": "szeged",
            "address": "127.0.0.1:7001",
            "operators": "127.0.0.1:7002",
        }
    ],
}


def write(tmp_path, data):
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(data))
    return path


def member(**fields):
    return {**GOOD, "members": [{**GOOD["members"][0], **fields}]}


def test_settings_load(tmp_path):
    """The list of members may be empty, as on a host that joins later."""
    loaded = load_settings(write(tmp_path, {**GOOD, "members": []}), ControlSettings)
    assert msgspec.to_builtins(loaded)["members"] == []


@pytest.mark.parametrize(
    ("data", "message"),
    [
        ({**GOOD, "adress": "x"}, "adress: expected one of address"),
        ({**GOOD, "host": "a b"}, "host must be letters, digits"),
        ({**GOOD, "address": "control-1:7001"}, "address must be IP:PORT"),
        ({**GOOD, "operators": "127.0.0.1:0"}, "operators must be IP:PORT"),
        ({**GOOD, "data_folder": ""}, "data_folder must not be empty"),
        ({**GOOD, "host_list_interval_s": 0}, "host_list_interval_s must be above 0"),
        ({**GOOD, "members": GOOD["members"] * 2}, "members must name each host once"),
        ({**GOOD, "host": "other"}, "members must name this host, other"),
        (member(address="127.0.0.1:9"), "the same domain, address and operators"),
        (member(domain=7), "members[0].domain: expected Expected `str`"),
        ({**GOOD, "members": 7}, "members: expected"),
        ({}, "host: expected a value, found nothing"),
    ],
)
def test_invalid_settings_are_refused(tmp_path, data, message):
    """A daemon that started with wrong settings could form a separate group."""
    with pytest.raises(SettingsErrors) as caught:
        load_settings(write(tmp_path, data), ControlSettings)
    assert message in str(caught.value)


@pytest.mark.parametrize(
    ("data", "code", "out", "err"),
    [
        (GOOD, 0, "settings.yaml: good", ""),
        ({"host": 7, "cow": 1}, 2, "", "cow: expected one of"),
    ],
)
def test_check_prints_every_error(tmp_path, data, code, out, err):
    """All errors are printed at once, so that an operator need not restart the daemon
    to find each next one."""
    command = [sys.executable, "-m", "wigeonspan.controld.main", "check"]
    done = subprocess.run(
        [*command, str(write(tmp_path, data))], capture_output=True, text=True
    )
    assert done.returncode == code
    assert out in done.stdout
    assert err in done.stderr
    if code:
        assert len(done.stderr.splitlines()) == 6


def test_run_exits_with_an_error_if_its_port_is_in_use(tmp_path):
    """The daemon exits if its port is in use.

    It once kept running without being able to take part in the group.
    """
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        data = {**member(address=address), "address": address}
        path = write(tmp_path, {**data, "data_folder": str(tmp_path / "data")})
        command = [sys.executable, "-m", "wigeonspan.controld.main", "run", str(path)]
        done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 1
    assert "the daemon cannot run: " in done.stderr.splitlines()[-1]
    assert "Traceback" not in done.stderr
