"""Tests of control hosts, run as processes, whose disks are full for a while."""

import json
import os
import sys
import time

import pytest
from standin import INTERNAL_PORT

from soak._launch import BIND_VARIABLE, IMPAIRMENT_VARIABLE
from tests.platform.process_harness import (
    CONTROL_PORT,
    CONTROLS,
    LIST_ADDRESS,
    Deployment,
    DeploymentLimits,
    Machine,
    Platform,
    Role,
    call,
    document,
    wait_until,
)


class DeploymentWithFullDisks(Deployment):
    """Three control hosts on disks that can be filled, and no entries."""

    def __init__(self, folder):
        self.platform = Platform()
        self.platform.start()
        self.entries = []
        self.controls = [self._make_control(folder, ip) for ip in CONTROLS]
        for machine in self.controls:
            machine.write_settings(CONTROLS, first=True)
            machine.start()

    def _make_control(self, folder, ip):
        return Machine(
            folder,
            Role.CONTROL,
            ip,
            "z1",
            LIST_ADDRESS,
            DeploymentLimits(),
            command=[sys.executable, "-m", "soak._launch", "coordinator"],
            environment={
                BIND_VARIABLE: ip,
                IMPAIRMENT_VARIABLE: str(folder / ip / "impairment"),
                "PYTHONPATH": os.pathsep.join([str(p) for p in sys.path if p]),
            },
        )

    def set_full(self, control, full):
        path = control.folder / "impairment"
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"disk_full": full}))
        new.replace(path)
        # The disk reads the file at most every 0.05 s.
        time.sleep(0.1)

    def metric(self, control, name):
        """Return a gauge of a control host, or None if the host does not answer."""
        status, body = call("GET", f"http://{control.ip}:{INTERNAL_PORT}/metrics")
        lines = body.decode().splitlines() if status == 200 else []
        values = [line.split()[1] for line in lines if line.startswith(f"{name} ")]
        return float(values[0]) if values else None

    def leader(self):
        """Return the control host that leads, or None."""
        leading = [c for c in self.controls if self.metric(c, "leads") == 1.0]
        return leading[0] if len(leading) == 1 else None

    def try_to_store(self, version, timeout_s=1.0):
        """Send a change to each control host once; return whether it was stored."""
        body = document(version).encode()
        for ip in CONTROLS:
            url = f"http://{ip}:{CONTROL_PORT}/v1/config/replace"
            if call("POST", url, body, timeout_s)[0] == 200:
                return True
        return False


@pytest.fixture
def deployment(tmp_path):
    deployment = DeploymentWithFullDisks(tmp_path)
    try:
        deployment.store_config(1)
        yield deployment
    finally:
        deployment.stop()


def test_start_on_a_full_new_disk_waits_for_space(deployment):
    """A control host once ended with status 1 when its disk was full at its start."""
    control = deployment.controls[2]
    control.kill()
    control.delete_data()
    deployment.set_full(control, True)
    control.start()
    time.sleep(3.0)
    assert control.is_running
    deployment.store_config(2)
    deployment.set_full(control, False)
    wait_until(
        "the host to have version 2",
        lambda: deployment.metric(control, "config_version") == 2.0,
    )
    assert control.is_running


def test_signal_ends_a_start_that_waits_for_space(deployment):
    """A host that waits for space must still end in time when it is told to."""
    control = deployment.controls[2]
    control.kill()
    control.delete_data()
    deployment.set_full(control, True)
    control.start()
    time.sleep(2.0)
    control.process.terminate()
    assert control.process.wait(timeout=3.0) == 0
