"""Stand-in of the users' platform: list, replicas and machines with our programs."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
import urllib.error
import urllib.request
from http.client import HTTPConnection
from pathlib import Path
from threading import Thread

from wigeonspan.serving import RequestServer

ROOT = Path(__file__).resolve().parents[2]
INTERNAL_PORT = 17140
CONTROL_PORT = 17161
DIRECTORY_PORT = 17162
FRONT_PORT = 17163
READY_PORT = 17164
# An address range of its own for each test process.
NET = f"127.{64 + os.getpid() % 128}"
LIST_ADDRESS = f"{NET}.2.1:17165"
REPLICA_PORT = 17166
EVENTS = 5
EVENT_PAUSE_S = 0.05


class Replica:
    """One replica: reads prompts, streams events, or answers plain calls."""

    def __init__(self, ip, service, stage=None):
        self.address = f"{ip}:{REPLICA_PORT}"
        self.id = f"i-{ip}"
        self.service = service
        self.stage = stage
        self.state = "ready"
        self.runs = []
        self.event_pause_s = EVENT_PAUSE_S

    @property
    def entry(self):
        entry = {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "slots": 8,
            "state": self.state,
        }
        return entry | ({"stage": self.stage} if self.stage else {})

    async def serve(self, method, target, headers, body, caller):
        fields = {name.lower(): value for name, value in headers}
        request = fields.get("request-id", "")
        if target == "/v1/report":
            answer = {"stage": self.stage, "busy": False, "sequence": 0}
            await caller.answer(200, [], json.dumps(answer).encode())
        elif fields.get("stage") == "prefill":
            answer = json.dumps({"transfer_handle": request}).encode()
            await caller.answer(200, [("Request-Id", request)], answer)
        elif target == "/v1/order":
            self.stage = json.loads(body)["stage"]
            await caller.answer(202, [], b"{}")
        else:
            await self._run(request, fields, caller)

    async def _run(self, request, fields, caller):
        self.runs.append(request)
        signed = [("Request-Id", request), ("Response-Signature", f"sig-{self.id}")]
        if self.stage is None:
            await caller.answer(200, signed, b"register")
            return
        await caller.begin(200, [*signed, ("Content-Type", "text/event-stream")])
        for n in range(int(fields.get("last-event-id", 0)) + 1, EVENTS + 1):
            await asyncio.sleep(self.event_pause_s)
            await caller.send(f"id: {n}\ndata: {request}\n\n".encode())
        await caller.finish()


class Platform:
    """List and replicas, in a thread of their own."""

    def __init__(self):
        self.replicas = [
            Replica(f"{NET}.3.1", "models", "prefill"),
            Replica(f"{NET}.3.2", "models", "decode"),
            Replica(f"{NET}.3.3", "models", "decode"),
            Replica(f"{NET}.3.4", "app"),
        ]
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self):
        asyncio.set_event_loop(self._loop)

        async def listen():
            RequestServer(self._serve_list).listen(LIST_ADDRESS)
            for replica in self.replicas:
                RequestServer(replica.serve).listen(replica.address)

        self._loop.run_until_complete(listen())
        self._loop.run_forever()

    async def _serve_list(self, method, target, headers, body, caller):
        page = {"instances": [r.entry for r in self.replicas], "next": None}
        await caller.answer(200, [], json.dumps(page).encode())


class Machine:
    """One machine that runs one of our programs."""

    def __init__(self, folder, program, ip, controls):
        self.ip = ip
        self.program = program
        self.folder = Path(folder) / ip
        self.folder.mkdir(parents=True)
        self.data = self.folder / "data"
        self.settings = self.folder / "node.conf"
        self.controls = controls
        self.process = None

    def start(self, *, first=False):
        edge = self.program == "gateway"
        lines = {
            "node_name": f"{self.program}-{self.ip}",
            "zone": "z1",
            "ip": self.ip,
            "internal_ports": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "seeds": ",".join(f"{ip}:{CONTROL_PORT}" for ip in self.controls),
            "bootstrap": str(first).lower(),
            "fault_tolerance.machines": "1",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_min_retries": "56",
            "cloud.address": LIST_ADDRESS,
        }
        if edge:
            lines["listen.front"] = f"{self.ip}:{FRONT_PORT}"
            lines["listen.ready"] = f"{self.ip}:{READY_PORT}"
        else:
            lines["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
            lines["listen.directory"] = f"{self.ip}:{DIRECTORY_PORT}"
            lines["data_dir"] = str(self.data)
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text)
        with (
            open(self.folder / "log", "ab") as log,
            open(self.folder / "errors", "ab") as errors,
        ):
            self.process = _spawn(
                [sys.executable, str(ROOT / "platform" / f"{self.program}.py")],
                {**os.environ, "WIGEONSPAN_NODE_FILE": str(self.settings)},
                log,
                errors,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data)

    def log_lines(self):
        lines = (self.folder / "log").read_text().splitlines()
        return [json.loads(line) for line in lines]


def _spawn(arguments, environment, log, errors):
    import subprocess

    return subprocess.Popen(arguments, env=environment, stdout=log, stderr=errors)


def call(method, url, body=None, timeout_s=3.0):
    """Return status and body; redirects are followed as the operator does."""
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


def wait(what, condition, timeout_s=20.0):
    """Return the first true value of a condition."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"{what} did not happen in {timeout_s} s")


class Request:
    """Request of a caller; the answer is read when asked for."""

    def __init__(self, address, path, number, *, usage=None):
        host, _, port = address.rpartition(":")
        self.connection = HTTPConnection(host, int(port), timeout=10)
        headers = {"Host": "h.example", "Request-Id": number, "Deadline-Ms": "8000"}
        if usage:
            headers["Token-Usage"] = usage
        self.connection.request("POST", path, b"body", headers)

    def read(self):
        answer = self.connection.getresponse()
        body = answer.read()
        self.connection.close()
        return answer.status, dict(answer.getheaders()), body
