"""Entry daemon with stand-in engines, services and leader, in one event loop."""

import asyncio
import json
import random
from collections import Counter

from msgspec import structs
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from standins.engine import EngineSettings, StandinEngine
from standins.plain import StandinPlain
from wigeonspan.calls import CallTable, ExpireCalls
from wigeonspan.catalog import (
    Engine,
    EnginePhase,
    EntryHost,
    ModelService,
    PlainService,
    PlainTarget,
)
from wigeonspan.common import NoMetrics, SystemClock
from wigeonspan.distribution import SyncReply
from wigeonspan.entryd import EntryDaemon, EntrySettings, RelaySettings
from wigeonspan.http import make_client

FAST_RELAY = RelaySettings(
    progress_timeout_s=0.3, connect_timeout_s=0.5, keep_alive_s=0.1, slow_reader_s=0.5
)

SETTINGS = EntrySettings("entry-1", "szeged", "127.0.0.1:0", [], relay=FAST_RELAY)


class LocalLeader:
    """Leader in this process, which applies commands to a call table."""

    def __init__(self):
        self.call_table = CallTable()
        self.index = 0

    async def post(self, path, message, reply, deadline):
        await asyncio.sleep(0)
        return self.apply(message)

    def apply(self, command):
        self.index += 1
        return self.call_table.apply(self.index, command)

    def expire(self, wall_ms):
        return self.apply(ExpireCalls(wall_ms))


class CountingMetrics(NoMetrics):
    """Metrics sink that counts the records of each name."""

    def __init__(self):
        self.counts = Counter()
        self.timings = Counter()

    def count(self, name, amount=1):
        self.counts[name] += amount

    def timing(self, name, seconds):
        self.timings[name] += 1


class EntryTestbed:
    """Engines, plain services, a call table and one entry daemon.

    Use it with ``async with``, which starts and closes all of them.
    """

    def __init__(self, engines=1, plain=1, settings=SETTINGS, engine=EngineSettings()):
        self.engines = [
            StandinEngine(structs.replace(engine, name=f"e{i}")) for i in range(engines)
        ]
        self.plain = [StandinPlain() for _ in range(plain)]
        self.control = LocalLeader()
        self.metrics = CountingMetrics()
        self.daemon = EntryDaemon(
            settings, SystemClock(), random.Random(7), self.control.post, self.metrics
        )
        self.client = make_client(64)

    async def __aenter__(self):
        for part in (*self.engines, *self.plain):
            part.start()
        self.daemon.start()
        self.sync()
        return self

    async def __aexit__(self, *error):
        await self.daemon.close()
        for part in (*self.engines, *self.plain):
            await part.stop()
        self.client.close()

    def objects(self):
        """Return the configuration objects of the stand-ins."""
        engines = [
            Engine(
                name=engine.settings.name,
                address=engine.address,
                domain="szeged",
                service="note",
                phase=EnginePhase.SERVING,
                role=engine.settings.role,
                model="demo-model",
                model_version="1",
            )
            for engine in self.engines
        ]
        targets = tuple(PlainTarget(p.address, "szeged") for p in self.plain)
        plain = PlainService("dispatch", targets, ("POST /bookings", "POST /loans"))
        entry = EntryHost("entry-1", self.daemon.address, "szeged")
        return [ModelService("note", "demo-model", "1"), plain, entry, *engines]

    def sync(self, objects=None, version=1, lease_s=3600.0, live=("entry-1",)):
        """Apply a configuration snapshot in the entry."""
        objects = self.objects() if objects is None else objects
        reply = SyncReply(1, lease_s, version, objects, [], list(live), {})
        assert self.daemon.follower.accept(reply, self.daemon.entry.clock.now())
        self.daemon.entry.on_sync()

    async def fetch(self, path, body=None, method=None, timeout_s=10.0, **headers):
        """Send a request; return the response, or the error when there is none."""
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if isinstance(body, dict):
            headers.setdefault("Content-Type", "application/json")
            body = json.dumps(body)
        request = HTTPRequest(
            f"http://{self.daemon.address}{path}",
            method=method or ("GET" if body is None else "POST"),
            body=body,
            headers=headers,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except CurlError as error:
            return error

    async def complete(self, prompt="plate 7 is", max_tokens=8, stream=True, **headers):
        """Send a completion and return its response."""
        body = {
            "model": "note",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self.fetch("/v1/completions", body, **headers)


def run(work):
    """Run a coroutine function in a new event loop."""
    return asyncio.run(asyncio.wait_for(work(), 20))


def events_of(response):
    """Return the data of each event of a streamed response."""
    lines = response.body.decode().split("\n")
    return [line[6:] for line in lines if line.startswith("data: ")]


def text_of(response):
    """Return the text of a streamed response; fail when it is not complete."""
    events = events_of(response)
    assert events and events[-1] == "[DONE]", events[-3:]
    return "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])


def error_of(response):
    """Return the error object of a response."""
    return json.loads(response.body)["error"]
