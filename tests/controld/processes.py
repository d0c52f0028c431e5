"""Control daemons that run in separate processes."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import yaml

from testbed import free_ports
from wigeonspan.operators._client import ControlUnreachable, OperatorClient
from wigeonspan.operators._session import Session

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 20.0
MAX_HOSTS = 10
"""Maximum number of hosts that a group has in one test, with those added later."""


class Group:
    """Control daemons of one group; leaving the ``with`` block kills them all."""

    def __init__(self, folder, count):
        self.folder = folder
        self.processes = {}
        self.hosts = {}
        # Chosen in one call, so that no two daemons of the group get the same port.
        self.ports = free_ports(2 * MAX_HOSTS)
        names = [f"control-{n}" for n in range(1, count + 1)]
        self.members = [self.add_host(name) for name in names]

    def __enter__(self):
        for name in list(self.hosts):
            self.start(name)
        return self

    def __exit__(self, *caught):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def add_host(self, name):
        self.hosts[name] = {
            "host": name,
            "domain": f"domain-{name}",
            "address": f"127.0.0.1:{self.ports.pop()}",
            "operators": f"127.0.0.1:{self.ports.pop()}",
        }
        return self.hosts[name]

    def data_folder(self, name):
        return self.folder / name

    def start(self, name):
        initial_members = self.members if self.hosts[name] in self.members else []
        settings = {
            **self.hosts[name],
            "data_folder": str(self.data_folder(name)),
            "members": initial_members,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = [sys.executable, "-m", "wigeonspan.controld.main", "run", str(path)]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, stderr=log)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name):
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(TIMEOUT_S)

    def session(self, *names, timeout_s=TIMEOUT_S):
        addresses = [self.hosts[name]["operators"] for name in names or self.hosts]
        return Session(OperatorClient(addresses, timeout_s), "ana")

    def status(self, name):
        """Return the status of a host, or None if it does not respond."""
        try:
            return self.session(name, timeout_s=1.0).status()
        except ControlUnreachable:
            return None

    def wait(self, description, probe):
        """Poll until the probe returns a value other than None, and return it."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            result = probe()
            if result is not None:
                return result
            time.sleep(0.1)
        raise AssertionError(
            f"timed out waiting for {description}; logs are in {self.folder}"
        )

    def leader(self):
        """Wait for a leader with a valid lease and return its name."""

        def probe():
            statuses = [self.status(name) for name in self.hosts]
            leaders = [s.host for s in statuses if s is not None and s.lease_valid]
            return leaders[0] if leaders else None

        return self.wait("an election", probe)

    def wait_equal_records(self, names):
        """Wait until all hosts have the same record head and return it."""

        def probe():
            statuses = [self.status(name) for name in names]
            heads = {s and (s.record_seq, s.record_hash) for s in statuses}
            return heads.pop() if len(heads) == 1 and None not in heads else None

        return self.wait("an equal record", probe)
