"""Child processes of a deployment on loopback."""

import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

END_TIMEOUT_S = 20.0
"""Longest wait for a process to end after SIGTERM; a draining entry takes about 9 s,
because callers keep directory answers for 5 s and its lease runs for 4 s."""


class StepFailed(Exception):
    """A step did not go as it should."""


class Fleet:
    """Child processes, all ended when the context ends.

    Parameters
    ----------
    folder : Path
        Folder of log files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()

    def end_all(self) -> None:
        """End all processes with SIGTERM and check that each one ended well."""
        for process in self._processes.values():
            process.terminate()
        for name in list(self._processes):
            code = self.wait(name, END_TIMEOUT_S)
            if code != 0:
                raise StepFailed(f"{name} ended with exit code {code}")

    def start(self, name: str, module: str, *args: str) -> None:
        """Start ``python -m module`` with its output in a log file."""
        command = [sys.executable, "-m", module, *args]
        with open(self.log(name), "ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_standin(self, name: str, module: str, *args: str, port: int = 0) -> str:
        """Start a stand-in and return the address that it prints."""
        self.log(name).unlink(missing_ok=True)
        self.start(name, module, f"--port={port}", *args)
        deadline = time.monotonic() + 10.0
        while time.monotonic() < deadline:
            first_line = self.log(name).read_text().partition("\n")
            if first_line[1] and first_line[0].isdigit():
                return f"127.0.0.1:{first_line[0]}"
            self.check(name)
            time.sleep(0.02)
        raise StepFailed(f"{name} did not print its port")

    def log(self, name: str) -> Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def check(self, name: str) -> None:
        """Raise when a process has ended."""
        code = self._processes[name].poll()
        if code is not None:
            tail = "\n".join(self.log(name).read_text().splitlines()[-15:])
            raise StepFailed(f"{name} ended with exit code {code}:\n{tail}")

    def check_all(self) -> None:
        """Raise when any process has ended."""
        for name in self._processes:
            self.check(name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self._processes[name].terminate()

    def kill(self, name: str) -> None:
        """End a process with SIGKILL and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP; its connections stay open."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a stopped process run on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        try:
            code = self._processes[name].wait(timeout_s)
            del self._processes[name]
            return code
        except subprocess.TimeoutExpired:
            raise StepFailed(f"{name} did not end in {timeout_s:.0f} s") from None


PORTS = range(12_000, 32_000)
"""Ports of daemons that name each other in their settings, below those that Linux
gives to outgoing connections (32768 and up): one of these could take a port between
its choice and the daemon's start."""


def free_ports(count: int) -> list[int]:
    """Return free ports on 127.0.0.1.

    The control daemons name each other in their settings, so their ports must be
    known before they start.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = secrets.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def run_ctl(control: str, operator: str, reason: str, *args: str) -> str:
    """Run the operators' command line and return what it prints."""
    command = [sys.executable, "-m", "wigeonspan.operators.main", *args]
    command += [f"--control={control}"]
    if reason:
        command += [f"--operator={operator}", f"--reason={reason}"]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=30, env=dict(os.environ)
    )
    if done.returncode != 0:
        raise StepFailed(f"wigeonspan-ctl {' '.join(args)}: {done.stdout}{done.stderr}")
    return done.stdout
