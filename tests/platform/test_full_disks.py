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


def test_changes_are_stored_while_disks_fill_in_turn(deployment):
    """All changes were once refused as long as the leader's disk was full.

    Each disk is full for 4 s, the leader's first, while changes come.
    """
    version = 1
    refused = []
    for _ in range(4):
        control = wait_until("a leader", deployment.leader)
        deployment.set_full(control, True)
        began, stored_at = time.monotonic(), []
        while time.monotonic() < began + 4.0:
            version += 1
            if deployment.try_to_store(version):
                stored_at.append(time.monotonic() - began)
        deployment.set_full(control, False)
        refused.append(stored_at[0] if stored_at else None)
    assert all(first is not None and first < 3.0 for first in refused), refused
    deployment.store_config(version + 1)
    assert deployment.stored_version() == version + 1
    assert all(control.is_running for control in deployment.controls)


def test_host_restarted_on_a_full_disk_writes_with_pauses(deployment):
    """A restarted host once wrote its voter file 2,300 times a second, each time with a
    line in the log, and many changes were not acknowledged."""
    version = 1
    for control in deployment.controls:
        before = len((control.folder / "errors").read_bytes().splitlines())
        before += len((control.folder / "log").read_bytes().splitlines())
        deployment.set_full(control, True)
        control.kill()
        control.start()
        began, stored = time.monotonic(), 0
        while time.monotonic() < began + 5.0:
            version += 1
            stored += deployment.try_to_store(version)
            time.sleep(0.1)
        deployment.set_full(control, False)
        after = len((control.folder / "errors").read_bytes().splitlines())
        after += len((control.folder / "log").read_bytes().splitlines())
        assert stored >= 5
        assert after - before < 500
    deployment.store_config(version + 1)
    assert all(control.is_running for control in deployment.controls)
