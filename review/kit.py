"""Stand-ins and process control for the scripts of the review.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
ZONE, REGION = "zone-a", "region-a"
METRICS_PORT = 7390
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "max_skew_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_min_retries": 56,
    "recovery_s": 12,
    "transit_ms": 120,
    "again_s": 8.8,
    "require_fencing": "true",
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ttl_max_s": 5,
}


def trouble() -> bool:
    """Return whether the disruption is wanted; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} s  {text}")

    def save(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Network:
    """A range of loopback addresses, and ports that are free on all of them."""

    def __init__(self, addresses: int) -> None:
        for _ in range(50):
            self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            ips = [self.ip(n) for n in range(1, addresses + 1)]
            start = random.randint(20000, 30000)
            if all(_is_free(ip, METRICS_PORT) for ip in ips) and all(
                _is_free(ip, port) for ip in ips for port in range(start, start + 24)
            ):
                self.start = start
                return
        raise CannotRun("no free range of ports")

    def ip(self, number: int) -> str:
        """Return one of the addresses."""
        return f"{self._net}.{number}"


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(self, world: "World", role: str, ip: str) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"][role]["run"].split()
        self._command = [
            sys.executable if words[0] == "python3" else words[0],
            *words[1:],
        ]
        self.ip, self.role, self._world = ip, role, world
        self.folder = world.folder / ip
        self.folder.mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None
        p = world.net.start
        self.front, self.ready = f"{ip}:{p}", f"{ip}:{p + 1}"
        self.control, self.directory = f"{ip}:{p + 2}", f"{ip}:{p + 3}"

    def write_settings(self, *, first: bool) -> None:
        """Write the settings file as the platform does."""
        w, is_core = self._world, self.role == "coordinator"
        p = w.net.start
        kind = "core" if is_core else "edge"
        fields = {
            "node_name": f"{kind}-{ZONE}-{self.ip}",
            "role": self.role,
            "machine_class": kind,
            "serves": "control_plane,registry" if is_core else "edge",
            "ip": self.ip,
            "zone": ZONE,
            "region": REGION,
            f"zones.{ZONE}": REGION,
            "internal_ports": f"{p + 4},{p + 19}",
            "seeds": ",".join(c.control for c in w.cores[:3]),
            "bootstrap": str(first).lower(),
            "in_tolerance": str(is_core).lower(),
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.bandwidth_mbps": 1000.0,
            "limits.disk_mb": 128 if is_core else 0,
            "discovery": "cloud",
            "entry": "registry",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,split,stream,engine",
            "fault_tolerance.machines": 1,
            "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0,
            "config_mode": "highest",
            "cloud.address": w.list_address,
            "cloud.rate_per_s": 44.0,
            "cloud.duties": "",
            "cloud.max_lag_ms": 800,
        }
        fields |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        if is_core:
            fields |= {
                "listen.control": self.control,
                "listen.directory": self.directory,
            }
            fields["data_dir"] = str(self.folder / "data")
            (self.folder / "data").mkdir(exist_ok=True)
        else:
            fields |= {"listen.front": self.front, "listen.ready": self.ready}
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        (self.folder / "local.conf").write_text(text)

    def start(self, *, first: bool = False) -> None:
        """Start the process with new settings."""
        self.write_settings(first=first)
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["WIGEONSPAN_NODE_FILE"] = str(self.folder / "local.conf")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self._command, env=env, cwd=ROOT, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Replica:
    """A sound replica: a model engine when it has a stage, else a plain server.

    Parameters
    ----------
    event_s : float
        Seconds between two events of a stream.
    work_s : float
        Seconds that a plain request runs.
    """

    def __init__(
        self,
        world: "World",
        ip: str,
        service: str,
        *,
        stage: str = "",
        event_s: float = 0.05,
        work_s: float = 0.02,
    ) -> None:
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service, self.stage = service, stage
        self.state = "ready"
        self.address = f"{ip}:{world.net.start + 21}"
        self._world, self._event_s, self._work_s = world, event_s, work_s
        self._born = int(time.time() * 1000)
        self._handles: set[str] = set()
        self._orders = 0
        self._server: asyncio.Server | None = None

    @property
    def entry(self) -> dict[str, object]:
        """Entry of the replica on the list."""
        entry: dict[str, object] = {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 64 if self.stage else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self._born,
        }
        if self.stage:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": self.stage, "models": models}
        return entry

    async def open(self) -> None:
        """Begin to listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: dict, writer) -> None:
        method, path, _ = request["line"].split(" ", 2)
        fields = request["fields"]
        if fields.get("expected-instance", self.id) != self.id:
            return send(writer, "421 Misdirected Request", {"Not-Executed": "1"})
        if path == "/v1/report":
            report = {
                "stage": self.stage,
                "models": [],
                "busy": False,
                "sequence": self._orders,
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 480000,
                "handles": 0,
                "born": self._born,
            }
            return send(writer, "200 OK", {}, json.dumps(report).encode())
        if path == "/v1/order":
            order = json.loads(request["body"])
            self._world.record.write(f"{self.id} gets the order {order}")
            return send(
                writer,
                "200 OK" if order.get("stage") == self.stage else "409 Conflict",
                {},
            )
        if path.startswith("/v1/"):
            return send(writer, "200 OK", {})
        if path == "/health":
            return send(writer, "200 OK", {"Instance-Id": self.id})
        await self._work(method, path, request, writer)

    async def _work(self, method: str, path: str, request: dict, writer) -> None:
        record, fields = self._world.record, request["fields"]
        name = fields.get("request-id", "")
        answer = {"Request-Id": name}
        if fields.get("stage") == "prefill":
            await asyncio.sleep(0.02)
            handle = uuid.uuid4().hex[:12]
            self._handles.add(handle)
            tokens = int(fields["token-usage"].split(",")[0])
            body = {"transfer_handle": handle, "tokens": tokens, "version": 1}
            return send(writer, "200 OK", answer, json.dumps(body).encode())
        record.write(f"{self.id} ({self.state}) runs {name}: {method} {path}")
        self._world.runs.append((record.now(), self, name))
        answer["Response-Signature"] = f"{self.id}.{name}"
        if not self.stage:
            await asyncio.sleep(self._work_s)
            send(writer, "200 OK", answer, f"{name} done".encode())
            record.write(f"{self.id} has answered {name}")
            return
        answer |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Weight-Versions": "1",
        }
        send(writer, "200 OK", answer, None)
        first = int(fields.get("last-event-id") or 0) + 1
        last = int(fields["token-usage"].split(",")[1])
        number = first
        try:
            for number in range(first, last + 1):
                await asyncio.sleep(self._event_s)
                event = f"id: {number}\ndata: {name} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
        except OSError:
            record.write(
                f"the stream of {name} at {self.id} was cut at event {number} of {last}"
            )
            raise
        writer.write(b"0\r\n\r\n")
        record.write(f"{self.id} has sent all {last} events of {name}")


class World:
    """Programs, replicas and the platform's list in a temporary folder."""

    def __init__(self, folder: Path, *, cores: int = 3, edges: int = 2) -> None:
        self.began = time.monotonic()
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = Network(cores + edges + 12)
        self.list_address = f"{self.net.ip(cores + edges + 1)}:{self.net.start + 20}"
        self._next_ip = cores + edges + 2
        self.runs: list[tuple[float, Replica, str]] = []
        self.replicas: list[Replica] = []
        # Bytes of an entry that another writer has put into the list.
        self.other_entry = b""
        self.cores: list[Program] = []
        for n in range(1, cores + 1):
            self.cores.append(Program(self, "coordinator", self.net.ip(n)))
        self.edges = [
            Program(self, "gateway", self.net.ip(cores + n))
            for n in range(1, edges + 1)
        ]

    def add_replica(self, service: str, **options) -> Replica:
        """Add a replica before the start."""
        replica = Replica(self, self.net.ip(self._next_ip), service, **options)
        self._next_ip += 1
        self.replicas.append(replica)
        return replica

    async def start(self, config: dict) -> None:
        """Start everything and store a configuration; wait until all entries serve."""
        ip, _, port = self.list_address.rpartition(":")
        await asyncio.start_server(self._serve_list, ip, int(port))
        for replica in self.replicas:
            await replica.open()
        for program in (*self.cores, *self.edges):
            program.start(first=True)
        await self.until(
            lambda: self.store(config), "the first configuration is stored"
        )
        for edge in self.edges:
            await self.until(lambda e=edge: self._is_ready(e), f"{edge.ip} is ready")
        self.record.write("all entries are ready")

    async def until(
        self, condition: Callable, what: str, timeout_s: float = 25.0
    ) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{what}: not within {timeout_s} s")

    async def store(self, config: dict) -> bool:
        """Store a configuration as an operator; return whether it is acknowledged."""
        body = json.dumps(config).encode()
        for core in self.cores:
            address = core.control
            for _ in range(3):
                answer = await call(address, "POST", "/v1/config/replace", {}, body)
                if answer["status"] != 307:
                    break
                address = answer["fields"]["location"].split("/")[2]
            if answer["status"] == 200 and answer["complete"]:
                self.record.write(f"configuration {config['version']} is acknowledged")
                return True
        return False

    async def resolve(self) -> tuple[list[str], float] | None:
        """Ask the directory where to connect, as a client does."""
        for core in self.cores:
            path = f"/v1/resolve?name={HOST}&region={REGION}&zone={ZONE}"
            answer = await call(core.directory, "GET", path, {}, wait_s=1.0)
            if answer["status"] == 200 and answer["complete"]:
                page = json.loads(answer["body"])
                if page["addresses"]:
                    return page["addresses"], min(page["ttl_s"], BOUNDS["ttl_max_s"])
        return None

    async def _is_ready(self, edge: Program) -> bool:
        return (await call(edge.ready, "GET", "/v1/ready", {}))["status"] == 200

    async def _serve_list(self, reader, writer) -> None:
        while (await read_message(reader)) is not None:
            entries = [json.dumps(r.entry).encode() for r in self.replicas]
            if self.other_entry:
                entries.append(self.other_entry)
            body = b'{"instances":[' + b",".join(entries) + b'],"next":null}'
            send(writer, "200 OK", {}, body)
            await writer.drain()
        writer.close()

    def close(self) -> None:
        """End all processes and save the record."""
        for program in (*self.cores, *self.edges):
            program.end()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.save()


def send(writer, status: str, fields: dict[str, str], body: bytes | None = b"") -> None:
    """Write an answer; without a body only its head."""
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in fields.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
        if body[:1] in (b"{", b"["):
            lines.append("Content-Type: application/json")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))


async def read_message(reader) -> dict | None:
    """Return the first line, the header fields and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    line, *rest = head.decode("latin-1").split("\r\n")
    fields = {n.lower(): v.strip() for n, _, v in (r.partition(":") for r in rest if r)}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return {"line": line, "fields": fields, "body": body}


async def call(
    address: str,
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b"",
    wait_s: float = 3.0,
) -> dict:
    """Send a request on a new connection and return what comes back until its end."""
    answer = {"status": 0, "fields": {}, "body": b"", "complete": False, "error": ""}
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            fields = {"Host": HOST, **fields, "Content-Length": str(len(body))}
            head = "".join(f"{n}: {v}\r\n" for n, v in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            line, *rest = (
                (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            )
            answer["status"] = int(line.split()[1])
            answer["fields"] = got = {
                n.lower(): v.strip()
                for n, _, v in (r.partition(":") for r in rest if r)
            }
            if got.get("transfer-encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    answer["body"] += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            else:
                length = int(got.get("content-length", 0))
                answer["body"] = await reader.readexactly(length)
            answer["complete"] = True
    except TimeoutError:
        answer["error"] = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer["error"] = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a complete configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of a configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 800,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
    }
    return fields | more


def engine_service(name: str) -> dict:
    """Return a service of model engines."""
    engine = {
        "slots": 64,
        "kv_capacity": 482955,
        "kv_token_bytes": 18432,
        "bandwidth_mbps": 130000.0,
        "moves": True,
        "backups": True,
        "stride": 10,
        "most": 12,
        "handle_ttl_s": 5.0,
        "switch_s": 3.0,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "models": [{"name": "m"}],
    }
    return plain_service(name) | {"max_connections": 370, "engine": engine}


def plain_service(name: str) -> dict:
    """Return a service of plain servers."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def main(folder: Path, case: Callable, **options) -> None:
    """Run a case and exit with its result."""

    async def run() -> int:
        world = World(folder, **options)
        try:
            async with asyncio.timeout(110):
                result = await case(world)
        except (CannotRun, TimeoutError) as error:
            world.record.write(f"the case cannot run: {error!r}")
            result = NOT_RUN
        finally:
            world.close()
        return result

    # An end from outside also ends the processes of the case.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    raise SystemExit(result)
