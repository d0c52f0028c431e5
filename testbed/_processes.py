"""Child processes of a deployment on loopback."""

import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

EXIT_TIMEOUT_S = 20.0
"""Maximum time for a process to exit after SIGTERM, in seconds. A draining entry takes
about 9 s: callers cache directory responses for 5 s and its lease lasts 4 s."""


class DeploymentError(Exception):
    """A step of a testbed run failed or timed out."""


class ProcessGroup:
    """Child processes, all killed on exit of the context.

    Parameters
    ----------
    folder : Path
        Folder for the log files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()

    def terminate_all(self) -> None:
        """Stop all processes with SIGTERM and check that each one exits with code 0."""
        for process in self._processes.values():
            process.terminate()
        for name in list(self._processes):
            code = self.wait(name, EXIT_TIMEOUT_S)
            if code != 0:
                raise DeploymentError(f"{name} exited with code {code}")

    def start(self, name: str, module: str, *args: str) -> None:
        """Start ``python -m module`` with its output appended to a log file."""
        command = [sys.executable, "-m", module, *args]
        with open(self._log_path(name), "ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_standin(self, name: str, module: str, *args: str, port: int = 0) -> str:
        """Start a stand-in and return its address, from the port that it prints."""
        self._log_path(name).unlink(missing_ok=True)
        self.start(name, module, f"--port={port}", *args)
        deadline = time.monotonic() + 10.0
        while time.monotonic() < deadline:
            first_line = self._log_path(name).read_text().partition("\n")
            if first_line[1] and first_line[0].isdigit():
                return f"127.0.0.1:{first_line[0]}"
            self.check_running(name)
            time.sleep(0.02)
        raise DeploymentError(f"{name} did not print its port within 10 s")

    def _log_path(self, name: str) -> Path:
        """Return the path of the log file of a process."""
        return self._folder / f"{name}.log"

    def check_running(self, name: str) -> None:
        """Raise ``DeploymentError`` with the last log lines if a process has exited."""
        code = self._processes[name].poll()
        if code is not None:
            tail = "\n".join(self._log_path(name).read_text().splitlines()[-15:])
            raise DeploymentError(f"{name} exited with code {code}:\n{tail}")

    def check_all_running(self) -> None:
        """Raise ``DeploymentError`` if any process has exited."""
        for name in self._processes:
            self.check_running(name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self._processes[name].terminate()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP; its connections stay open."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not exited."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to exit and return its exit code.

        Raises
        ------
        DeploymentError
            When it does not exit within ``timeout_s`` seconds.
        """
        try:
            code = self._processes[name].wait(timeout_s)
            del self._processes[name]
            return code
        except subprocess.TimeoutExpired:
            raise DeploymentError(
                f"{name} did not exit within {timeout_s:.0f} s"
            ) from None


PORT_RANGE = range(12_000, 32_000)
"""Ports for daemons, below the ephemeral ports of Linux (32768 and up): an outgoing
connection could take an ephemeral port after it is chosen and before the daemon binds
it."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free on 127.0.0.1.

    The settings of each control daemon contain the addresses of all control daemons,
    so their ports must be known before they start.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = secrets.choice(PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def run_ctl(control: str, operator: str, reason: str, *args: str) -> str:
    """Run ``wigeonspan-ctl`` and return its output.

    ``control`` holds the operator addresses of the control daemons, separated by
    commas. ``operator`` and ``reason`` are passed only if ``reason`` is not empty,
    for changes. A non-zero exit code raises ``DeploymentError``.
    """
    command = [sys.executable, "-m", "wigeonspan.operators.main", *args]
    command += [f"--control={control}"]
    if reason:
        command += [f"--operator={operator}", f"--reason={reason}"]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=30, env=dict(os.environ)
    )
    if result.returncode != 0:
        raise DeploymentError(
            f"wigeonspan-ctl {' '.join(args)} failed: {result.stdout}{result.stderr}"
        )
    return result.stdout
