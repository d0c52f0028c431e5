"""Contract tests of the engine client against the stand-in engine."""

import asyncio
import random

import pytest

from standins._text import prefix_hashes as standin_hashes
from standins._text import split_tokens
from standins.engine import EngineFaults, EngineSettings, StandinEngine
from wigeonspan.catalog import Engine, PriorityClass, Role
from wigeonspan.common import ErrorKind, SystemClock, WigeonspanError
from wigeonspan.engines import (
    Extension,
    KvImportRequest,
    PriorityRequest,
    prefix_hashes,
)
from wigeonspan.engines.tasks import (
    EngineClient,
    EnginePoller,
    PollSettings,
    TargetConnections,
)
from wigeonspan.streams import StreamFault

SLOW = EngineSettings(token_interval_s=0.05)


class Listener:
    """Keeps the events of one attempt."""

    def __init__(self):
        self.frames = []
        self.comments = 0
        self.fault = None
        self.ended = asyncio.Event()

    def on_frame(self, frame):
        self.frames.append(frame)

    def on_comment(self):
        self.comments += 1

    def on_end_marker(self):
        self.ended.set()

    def on_ended(self, fault, status, message):
        self.fault = fault
        self.ended.set()


def with_engines(work, *settings):
    """Run ``work(client, *engines)``."""

    async def run():
        engines = [StandinEngine(each) for each in settings or [EngineSettings()]]
        for engine in engines:
            engine.start()
        connections = TargetConnections(32, 1 << 20, 0.5, SystemClock())
        try:
            return await work(EngineClient(connections), *engines)
        finally:
            connections.close()
            for engine in engines:
                await engine.stop()

    return asyncio.run(asyncio.wait_for(run(), 20))


def start(client, engine, attempt="a1", tokens=6):
    """Start an attempt and return its stream and listener."""
    listener = Listener()
    fields = {"model": "demo-model", "prompt": "one two", "max_tokens": tokens}
    extension = Extension(attempt, PriorityClass.DESK, 5000)
    stream = client.stream(engine.address, fields, extension, listener)
    return stream, listener


def test_short_calls_are_understood():
    """A field of the protocol changed its form on one side."""

    async def work(client, engine):
        stream, listener = start(client, engine)
        await listener.ended.wait()
        report = await client.load(engine.address)
        state = await client.state(engine.address)
        events = await client.cache_events(engine.address, 0)
        priority = PriorityRequest("a1", PriorityClass.BATCH)
        await client.set_priority(engine.address, priority)
        return listener, report, state, events

    listener, report, state, events = with_engines(work)
    assert [f.position for f in listener.frames] == list(range(7))
    assert listener.frames[-1].completion_tokens == 6
    assert report.engine == state.engine == "engine"
    assert events.incarnation == state.incarnation


def test_cancel_frees_the_engine():
    """A cancelled attempt kept its place in the batch."""

    async def work(client, engine):
        stream, listener = start(client, engine, tokens=1000)
        while not listener.frames:
            await asyncio.sleep(0.01)
        await client.cancel(engine.address, "a1")
        await listener.ended.wait()
        return listener.fault, engine.batch.runs

    assert with_engines(work, SLOW) == (StreamFault.TRUNCATED, [])


def test_closed_stream_ends_on_the_engine_and_calls_nobody():
    """A closed attempt still delivered frames."""

    async def work(client, engine):
        stream, listener = start(client, engine, tokens=1000)
        while not listener.frames:
            await asyncio.sleep(0.01)
        stream.close()
        seen = len(listener.frames)
        while engine.batch.runs:
            await asyncio.sleep(0.01)
        return len(listener.frames) - seen, listener.fault

    assert with_engines(work, SLOW) == (0, None)


@pytest.mark.parametrize(
    ("status", "fault"),
    [
        (503, StreamFault.REFUSED),
        (409, StreamFault.REFUSED),
        (500, StreamFault.SERVER_ERROR),
    ],
)
def test_statuses_become_faults(status, fault):
    """The body of a refusal was decoded as a stream."""

    async def work(client, engine):
        engine.set_faults(EngineFaults(refuse_status=status))
        _, listener = start(client, engine)
        await listener.ended.wait()
        return listener.fault, listener.frames

    assert with_engines(work) == (fault, [])


def test_kv_cache_moves_between_engines():
    """The handle of one engine was used on another one."""

    async def work(client, source, sink):
        _, listener = start(client, source)
        await listener.ended.wait()
        exported = await client.export_kv(source.address, "a1")
        message = KvImportRequest(source.address, exported.handle)
        imported = await client.import_kv(sink.address, message)
        return exported.tokens, sink.handles.get(imported.handle)

    first, second = with_engines(work, EngineSettings(), EngineSettings())
    assert first == second > 0


@pytest.mark.parametrize("fault", ["frozen", "stopped", "unknown"])
def test_failed_calls_are_errors_of_the_list(fault):
    """An engine that does not answer ended the poller."""

    async def work(client, engine):
        if fault == "stopped":
            await engine.stop()
        engine.set_faults(EngineFaults(frozen=fault == "frozen"))
        with pytest.raises(WigeonspanError) as caught:
            if fault == "unknown":
                await client.export_kv(engine.address, "nothing")
            else:
                await client.load(engine.address)
        engine.set_faults(EngineFaults())
        return caught.value.kind

    assert with_engines(work) is ErrorKind.TARGET_FAILED


class Sink:
    """Takes what the poller learns."""

    def __init__(self):
        self.loads = []
        self.events = []
        self.probes = []
        self.due = ["engine", "other"]

    def record_load(self, report, now):
        self.loads.append(report.engine)

    def record_cache_events(self, engine, events, now):
        self.events.append(engine)

    def last_cache_event_seq(self, engine):
        return 0

    def probe_targets(self, now):
        due, self.due = self.due, []
        return due

    def record_probe(self, engine, ok, now):
        self.probes.append((engine, ok))


def test_poller_survives_engines_that_do_not_answer():
    """One dead engine stopped the polls of the others."""

    async def work(client, engine):
        sink = Sink()
        poller = EnginePoller(
            client, sink, SystemClock(), random.Random(3), PollSettings(0.05)
        )
        gone = Engine("other", "127.0.0.1:1", "szeged")
        wrong = Engine("renamed", engine.address, "szeged")
        live = Engine("engine", engine.address, "szeged", role=Role.MIXED)
        poller.update_engines([gone, wrong, live])
        task = asyncio.create_task(poller.run())
        while len(sink.events) < 2 or len(sink.probes) < 2:
            await asyncio.sleep(0.01)
        task.cancel()
        return sink

    sink = with_engines(work)
    assert set(sink.loads) == {"engine"}
    assert sorted(sink.probes) == [("engine", True), ("other", False)]


@pytest.mark.parametrize("words", [0, 5, 15, 16, 17, 40, 160])
def test_prefix_hashes_agree_with_the_engine(words):
    """Prefixes that the entry computes never matched the cache events."""
    prompt = "  ".join(f"w{i}" for i in range(words))
    assert prefix_hashes(prompt) == standin_hashes(split_tokens(prompt))
