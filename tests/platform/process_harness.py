"""Simulated platform in a thread, and helpers for tests of the real programs."""

import asyncio
import json
import os
import random
import time
import urllib.error
import urllib.request
from http.client import HTTPConnection, HTTPException
from threading import Thread

from standin import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    DeploymentLimits,
    InstanceList,
    Journal,
    Machine,
    Replica,
    Role,
)

from wigeonspan.targets import Phase

# Each test process has its own address range.
NET = f"127.{64 + os.getpid() % 128}"
LIST_ADDRESS = f"{NET}.2.1:17165"
REPLICA_PORT = 17166
EVENTS = 5
CONTROLS = [f"{NET}.0.{n}" for n in (1, 2, 3)]
ENTRIES = [f"{NET}.1.{n}" for n in (1, 2)]


class Platform:
    """Simulated list of replicas and replicas, run by an event loop in a thread."""

    def __init__(self):
        self.journal = Journal()
        phases = (Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.NONE)
        self.replicas = [
            self._make_replica(n, phase) for n, phase in enumerate(phases, 1)
        ]
        self._list = InstanceList(
            LIST_ADDRESS, lambda: [replica.entry for replica in self.replicas]
        )
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._loop.call_soon_threadsafe(self._close)
        self._thread.join()

    def _close(self):
        self._list.close()
        for replica in self.replicas:
            replica.crash()
        # Cancelled tasks finish in the next iterations of the loop, so stop it later.
        self._loop.call_later(0.1, self._loop.stop)

    def _make_replica(self, number, phase):
        address = f"{NET}.3.{number}:{REPLICA_PORT}"
        return Replica(
            f"i-{number}",
            "app" if phase is Phase.NONE else "models",
            address,
            address,
            "z1",
            self.journal,
            random.Random(number),
            phase=phase,
        )

    def _run(self):
        asyncio.set_event_loop(self._loop)

        async def listen():
            await self._list.open()
            for replica in self.replicas:
                await replica.start()

        self._loop.run_until_complete(listen())
        self._loop.run_forever()


def log_lines(machine: Machine):
    lines = (machine.folder / "log").read_text().splitlines()
    return [json.loads(line) for line in lines]


def call(method, url, body=None, timeout_s=3.0):
    """Return status and body, following redirects as the operator does.

    The status is 0 when there is no answer.
    """
    for _ in range(3):
        request = urllib.request.Request(url, data=body, method=method)
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            if error.code != 307:
                return error.code, error.read()
            url = error.headers["Location"]
        except OSError as error:
            return 0, str(error).encode()
    return 307, b""


def wait_until(description, condition, timeout_s=20.0):
    """Poll a condition and return its first true value.

    Raises
    ------
    AssertionError
        When the condition stays false for ``timeout_s`` seconds.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"{description} did not happen in {timeout_s} s")


class Request:
    """Send a caller's request; its answer is read later, by ``read``."""

    def __init__(self, address, path, request_id, *, usage=None):
        host, _, port = address.rpartition(":")
        self.usage = usage
        self.connection = HTTPConnection(host, int(port), timeout=10)
        headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "8000"}
        if usage:
            headers["Token-Usage"] = usage
        self.connection.request("POST", path, b"body", headers)

    def read(self):
        answer = self.connection.getresponse()
        body = answer.read()
        self.connection.close()
        return answer.status, dict(answer.getheaders()), body

    def read_anything(self):
        """Read an answer that may be cut off; None if it is."""
        try:
            return self.read()
        except (HTTPException, OSError):
            return None


def document(version, *, timeout_ms=8000, extra=()):
    stream = {
        "name": "stream",
        "host": "h.example",
        "path_prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "target_gap_ms": 250,
        "service": "models",
        "max_attempts": 2,
        "resumable": True,
    }
    plain = {
        "name": "plain",
        "host": "h.example",
        "path_prefix": "/plain/",
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 100,
        "service": "app",
    }
    services = [
        {"name": "models", "engine": {"slots": 8, "kv_capacity": 100000}},
        {"name": "app"},
    ]
    routes = [stream, plain, *extra]
    return json.dumps({"version": version, "routes": routes, "services": services})


class Deployment:
    """Three control hosts and two entries, with the simulated platform."""

    def __init__(self, folder, limits=None):
        self.platform = Platform()
        self.platform.start()
        limits = limits or DeploymentLimits()
        self.controls = [
            Machine(folder, Role.CONTROL, ip, "z1", LIST_ADDRESS, limits)
            for ip in CONTROLS
        ]
        self.entries = [
            Machine(folder, Role.ENTRY, ip, "z1", LIST_ADDRESS, limits)
            for ip in ENTRIES
        ]
        for machine in (*self.controls, *self.entries):
            machine.write_settings(CONTROLS, first=True)
            machine.start()

    def stop(self):
        for machine in (*self.controls, *self.entries):
            machine.kill()
        self.platform.stop()

    def store_config(self, version, **changes):
        body = document(version, **changes).encode()

        def stored():
            for ip in CONTROLS:
                url = f"http://{ip}:{CONTROL_PORT}/v1/config/replace"
                if call("POST", url, body)[0] == 200:
                    return True
            return False

        wait_until(f"version {version} to be stored", stored)

    def stored_version(self):
        for ip in CONTROLS:
            url = f"http://{ip}:{CONTROL_PORT}/v1/config/describe"
            status, body = call("GET", url)
            if status == 200:
                return json.loads(body)["version"]
        return None

    def is_ready(self, entry):
        return call("GET", f"http://{entry.ip}:{READY_PORT}/v1/ready")[0] == 200

    def front_address(self, entry):
        return f"{entry.ip}:{FRONT_PORT}"
