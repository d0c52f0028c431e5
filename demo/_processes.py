"""Processes that the launcher starts and ends."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

END_TIMEOUT_S = 20.0
"""Longest wait for a process to end after SIGTERM; a draining entry takes about 6 s,
because callers keep directory answers for 5 s."""


class DemoError(Exception):
    """A step of the demo did not go as it should."""


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
                raise DemoError(f"{name} ended with exit code {code}")

    def start(self, name: str, module: str, *args: str) -> None:
        """Start ``python -m module`` with its output in a log file."""
        command = [sys.executable, "-m", module, *args]
        with open(self.log(name), "wb") as log:
            self._processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_standin(self, name: str, module: str, *args: str) -> str:
        """Start a stand-in and return the address that it prints."""
        self.start(name, module, "--port=0", *args)
        deadline = time.monotonic() + 10.0
        while time.monotonic() < deadline:
            first_line = self.log(name).read_text().partition("\n")
            if first_line[1] and first_line[0].isdigit():
                return f"127.0.0.1:{first_line[0]}"
            self.check(name)
            time.sleep(0.02)
        raise DemoError(f"{name} did not print its port")

    def log(self, name: str) -> Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def check(self, name: str) -> None:
        """Raise when a process has ended."""
        code = self._processes[name].poll()
        if code is not None:
            tail = "\n".join(self.log(name).read_text().splitlines()[-15:])
            raise DemoError(f"{name} ended with exit code {code}:\n{tail}")

    def check_all(self) -> None:
        """Raise when any process has ended."""
        for name in self._processes:
            self.check(name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self._processes[name].terminate()

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        try:
            code = self._processes[name].wait(timeout_s)
            del self._processes[name]
            return code
        except subprocess.TimeoutExpired:
            raise DemoError(f"{name} did not end in {timeout_s:.0f} s") from None


def free_ports(count: int) -> list[int]:
    """Return free ports on 127.0.0.1.

    The control daemons name each other in their settings, so their ports must be
    known before they start.
    """
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
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
        raise DemoError(f"wigeonspan-ctl {' '.join(args)}: {done.stdout}{done.stderr}")
    return done.stdout
