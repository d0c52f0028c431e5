"""Shared parts of the scripts of the second review: programs, settings and record.

Only the standard library is used. The programs are started with the commands of
``deploy/system.toml``, on addresses of the loopback range, with the packages of
``target/deps``.
"""

import asyncio
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLINE_S = 110.0
"""Seconds after which a script gives up; it may run for 120 seconds."""

CONTROL_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT = 18144, 18149, 18141, 18142
LIST_PORT, REPLICA_PORT, METRICS_PORT = 18143, 18080, 7390
INTERNAL_PORTS = (17380, 17395)
HOST = "ficu95.example"
MAX_FDS = 4100
"""``limits.max_fds`` of an entry."""


FIRST_IDS = itertools.count(1)
"""Ids of the requests by which a script sees whether an entry serves."""

GAP_S = 0.2
"""Seconds between two ordinary requests."""


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Lines of ``record.txt`` with the seconds since the start of the script."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self(f"TROUBLE={int(TROUBLE)}")

    @property
    def elapsed_s(self):
        """Seconds since the start of the script."""
        return time.monotonic() - self._began

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            line = f"{self.elapsed_s:8.3f} {text}"
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def free_network():
    """Return a prefix like ``127.64.3`` on which the fixed ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 3, 4, 11, 12):
                for port in (CONTROL_PORT, FRONT_PORT, METRICS_PORT, INTERNAL_PORTS[0]):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free addresses")


def raise_descriptors():
    """Let this script and its programs have as many descriptors as a machine has."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_FDS if hard == resource.RLIM_INFINITY else min(hard, MAX_FDS)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Deployment:
    """Machines of a small deployment: settings files, processes and data folders.

    Parameters
    ----------
    record : Record
        Record of the case.
    **fields
        Fields of the settings file that differ from those of a small deployment; two
        underscores stand for a dot.
    """

    def __init__(self, record, **fields):
        self.record = record
        self.net = free_network()
        raise_descriptors()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self._fields = fields
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self._commands = {role["on"]: role["run"].split() for role in roles.values()}
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")

    def ip(self, number):
        """Return the address of a machine."""
        return f"{self.net}.{number}"

    @property
    def list_address(self):
        """Address of the platform's API."""
        return f"{self.ip(200)}:{LIST_PORT}"

    def settings(self, number, machine_class, seeds, *, bootstrap):
        """Return the settings file of a machine, as DEPLOY.md shows it."""
        ip, core = self.ip(number), machine_class == "core"
        fields = {
            "node_name": f"{machine_class}-zone-1-{number}",
            "role": "coordinator" if core else "gateway",
            "machine_class": machine_class,
            "serves": "control_plane,registry" if core else "edge,registry",
            "ip": ip,
            "zone": "zone-1",
            "region": "region-1",
            "zones.zone-1": "region-1",
            "listen.directory": f"{ip}:{DIRECTORY_PORT}",
            "internal_ports": f"{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            "seeds": ",".join(f"{self.ip(n)}:{CONTROL_PORT}" for n in seeds),
            "bootstrap": str(bootstrap).lower(),
            "in_tolerance": str(core).lower(),
            "limits.cpu_share": 0.86 if core else 0.537,
            "limits.cores": 3 if core else 2,
            "limits.memory_mb": 296 if core else 300,
            "limits.max_fds": 4096 if core else MAX_FDS,
            "limits.bandwidth_mbps": 1000.0,
            "limits.disk_mb": 128 if core else 0,
            "discovery": "cloud",
            "entry": "registry",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,split,stream,engine",
            "fault_tolerance.machines": 1,
            "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0,
            "bounds.seed_lag_s": 3,
            "bounds.reuse_after_s": 2,
            "bounds.contact_ms": 3000,
            "bounds.ack_ms": 4000,
            "bounds.catch_up_s": 4,
            "bounds.drain_ms": 3000,
            "bounds.grace_s": 8,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2000,
            "bounds.downgrade_ms": 250,
            "bounds.max_skew_ms": 5000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_min_retries": 56,
            "bounds.recovery_s": 12,
            "bounds.transit_ms": 120,
            "bounds.again_s": 7,
            "bounds.require_fencing": "true",
            "bounds.lease_ms": 3000,
            "bounds.thaw_ms": 300,
            "bounds.ttl_max_s": 5,
            "config_mode": "highest",
            "cloud.address": self.list_address,
            "cloud.rate_per_s": 44.0,
            "cloud.duties": "",
            "cloud.max_lag_ms": 800,
        }
        if core:
            fields["listen.control"] = f"{ip}:{CONTROL_PORT}"
            fields["data_dir"] = str(self.folder / str(number) / "data")
        else:
            fields["listen.front"] = f"{ip}:{FRONT_PORT}"
            fields["listen.ready"] = f"{ip}:{READY_PORT}"
        fields |= {k.replace("__", "."): v for k, v in self._fields.items()}
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    def start(self, number, machine_class, seeds, *, bootstrap=False):
        """Start the program of a machine with fresh settings."""
        folder = self.folder / str(number)
        folder.mkdir(exist_ok=True)
        node_file = folder / "local.conf"
        text = self.settings(number, machine_class, seeds, bootstrap=bootstrap)
        node_file.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["WIGEONSPAN_NODE_FILE"] = str(node_file)
        with open(folder / "log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                self._commands[machine_class],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"machine {number} ({machine_class}) starts, bootstrap={bootstrap}")

    def is_running(self, number):
        """Return whether the process of a machine has not ended."""
        return self.processes[number].poll() is None

    def kill(self, number):
        """Send SIGKILL and wait for the end of the process."""
        process = self.processes[number]
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
        process.wait()

    def terminate(self, number, grace_s=8.0):
        """Send SIGTERM, and SIGKILL after the grace period; return the time taken."""
        process, began = self.processes[number], time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill(number)
        return time.monotonic() - began

    def lose_disk(self, number):
        """Delete the data folder of a machine."""
        shutil.rmtree(self.folder / str(number) / "data", ignore_errors=True)

    def close(self):
        """End all processes and remove the folder."""
        for number in self.processes:
            self.kill(number)
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_tail(self, number, lines=3):
        """Return the last lines of the log of a machine."""
        text = (self.folder / str(number) / "log").read_text(errors="replace")
        return text.splitlines()[-lines:]


def call(method, url, body=None, timeout_s=1.0):
    """Return status and body of a call, with up to two redirects; status 0 for none."""
    headers = {"Content-Type": "application/json"}
    for _ in range(3):
        request = urllib.request.Request(url, data=body, method=method, headers=headers)
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


class Operator:
    """The operator: stores and reads configurations at any control host."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._record = deployment.record

    def replace(self, hosts, config, limit_s=15.0):
        """Store a configuration; return the host that acknowledged it, or None."""
        body = json.dumps(config).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for number in hosts:
                address = f"{self._deployment.ip(number)}:{CONTROL_PORT}"
                status, answer = call(
                    "POST", f"http://{address}/v1/config/replace", body
                )
                if status == 200:
                    self._record(
                        f"version {config['version']} acknowledged by {number}"
                    )
                    return number
            time.sleep(0.1)
        self._record(
            f"version {config['version']} not acknowledged: {status} {answer[:80]}"
        )
        return None

    def describe(self, number):
        """Return status and version, or what was answered instead."""
        address = f"{self._deployment.ip(number)}:{CONTROL_PORT}"
        status, answer = call("GET", f"http://{address}/v1/config/describe")
        if status == 200:
            return status, json.loads(answer)["version"]
        return status, answer[:120].decode(errors="replace")


def configuration(version, routes=None):
    """Return a small configuration with one plain service."""
    route = {
        "name": "r-1",
        "host": HOST,
        "path_prefix": "/lohu930/",
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": "wuno96b",
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
    }
    service = {
        "name": "wuno96b",
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes or [route],
        "services": [service],
        "limits": limits,
    }


def run(folder, play):
    """Play a case and return the status of the script: 1 broken, 0 held, 2 not run."""
    record = Record(folder)
    try:
        broken = play(record)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        return 2
    record("the rule was broken" if broken else "the rule held")
    return int(broken)


class InstanceList:
    """The platform's list of replicas, on one page.

    Attributes
    ----------
    foreign : list of bytes
        Entries of another writer, as they are; they stand before the others.
    reads : int
        Number of times that the list was read.
    """

    def __init__(self, deployment, entries):
        self._address = deployment.ip(200)
        self._entries = entries
        self.foreign = []
        self.reads = 0
        ready = threading.Event()
        threading.Thread(target=self._run, args=[ready], daemon=True).start()
        ready.wait(5.0)

    def _run(self, ready):
        async def serve():
            server = await asyncio.start_server(self._answer, self._address, LIST_PORT)
            ready.set()
            await server.serve_forever()

        asyncio.run(serve())

    async def _answer(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.reads += 1
            own = [json.dumps(entry).encode() for entry in self._entries]
            entries = b",".join([*self.foreign, *own])
            body = b'{"instances":[' + entries + b'],"next":null}'
            head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Replica:
    """A plain replica that runs each request and answers it as a sound one does."""

    def __init__(self, deployment, number=100):
        self.runs = []
        self._address = deployment.ip(number)
        listener = socket.create_server((self._address, REPLICA_PORT), backlog=128)
        threading.Thread(target=self._accept, args=[listener], daemon=True).start()

    @property
    def entry(self):
        """Entry on the platform's list."""
        return {
            "service": "wuno96b",
            "address": f"{self._address}:{REPLICA_PORT}",
            "zone": "zone-1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "id": "i-7f3a91c2",
            "born": int(time.time() * 1000) - 60_000,
        }

    def _accept(self, listener):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection):
        data = b""
        with connection:
            while part := self._receive(connection):
                data += part
                top, end, body = data.partition(b"\r\n\r\n")
                lines = (line.split(b": ", 1) for line in top.split(b"\r\n")[1:])
                fields = {line[0].lower(): line[1] for line in lines if len(line) == 2}
                if not end or len(body) < int(fields.get(b"content-length", b"0")):
                    continue
                request = fields.get(b"request-id", b"")
                try:
                    self.answer(connection, request, top.split(b" ")[1], fields)
                except OSError:
                    return
                data = b""

    def answer(self, connection, request, path, fields):
        """Run a request and send the answer."""
        self.runs.append(request.decode())
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: " + request
        head += b"\r\nResponse-Signature: a.b.c\r\nContent-Length: 2\r\n\r\n"
        connection.sendall(head + b"ok")

    @staticmethod
    def _receive(connection):
        try:
            return connection.recv(65536)
        except OSError:
            return b""


def start_entry(deployment, replica, entries=(11,)):
    """Start three control hosts and entries; wait until these serve.

    Returns the address of the first entry and the platform's list.
    """
    instances = InstanceList(deployment, [replica.entry])
    for number in (1, 2, 3):
        deployment.start(number, "core", (1, 2, 3), bootstrap=True)
    for number in entries:
        deployment.start(number, "edge", (1, 2, 3), bootstrap=True)
    if Operator(deployment).replace((1, 2, 3), configuration(7)) is None:
        raise CannotRun("the group did not start")
    for number in entries:
        wait_until_serving(deployment.ip(number))
    return deployment.ip(entries[0]), instances


def wait_until_serving(address):
    """Wait until an entry is ready and serves an ordinary request."""
    end = time.monotonic() + 15.0
    while not is_ready(address) or ordinary(address, next(FIRST_IDS)) != 200:
        if time.monotonic() > end:
            raise CannotRun("the entry did not get ready")
        time.sleep(0.1)


def is_ready(address, timeout_s=1.0):
    """Return whether the readiness check of an entry is answered with 200."""
    return (
        call("GET", f"http://{address}:{READY_PORT}/v1/ready", timeout_s=timeout_s)[0]
        == 200
    )


def ordinary(address, number, timeout_s=3.0):
    """Send an ordinary request; return its status, or None without an answer."""
    connection = HTTPConnection(address, FRONT_PORT, timeout=timeout_s)
    fields = {"Host": HOST, "Request-Id": f"{number:016x}", "Deadline-Ms": "1000"}
    try:
        connection.request("POST", "/lohu930/2f", b"body", fields)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()


class Requests:
    """Ordinary requests, one each ``GAP_S``, and the readiness check once a second."""

    def __init__(self, address, record):
        self._address = address
        self._record = record
        self.outcomes = []
        self.checks = []
        self._threads = []

    def run(self, seconds):
        """Send requests for some seconds and wait for all answers."""
        began = time.monotonic()
        number = 0x1000
        while time.monotonic() - began < seconds:
            self._begin(self._send, number)
            if not number % 5:
                self._begin(self._check, number)
            number += 1
            time.sleep(GAP_S)
        for thread in self._threads:
            thread.join()

    def _begin(self, work, number):
        thread = threading.Thread(target=work, args=[number])
        thread.start()
        self._threads.append(thread)

    def _send(self, number):
        began = time.monotonic()
        status = ordinary(self._address, number, timeout_s=30.0)
        took_s = time.monotonic() - began
        self.outcomes.append((status, took_s))
        self._record(f"request {number:x}: {status} after {took_s:.2f} s")

    def _check(self, number):
        began = time.monotonic()
        ready = is_ready(self._address, timeout_s=30.0)
        took_s = time.monotonic() - began
        self.checks.append(took_s)
        if not ready or took_s > 1.0:
            self._record(f"readiness check: ready={ready} after {took_s:.2f} s")
