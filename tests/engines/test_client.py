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
    CompletionExtension,
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
    """Records the events of one attempt."""

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
    """Run ``work(client, *engines)`` with one engine for each of the settings."""

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
    extension = CompletionExtension(attempt, PriorityClass.DESK, 5000)
    stream = client.stream(engine.address, fields, extension, listener)
    return stream, listener


def test_short_calls_match_the_protocol():
    """Guards against a protocol field that client and engine encode differently."""

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


def test_cancel_removes_the_run_from_the_batch():
    """Guards against a cancelled attempt that keeps its slot in the batch."""

    async def work(client, engine):
        stream, listener = start(client, engine, tokens=1000)
        while not listener.frames:
            await asyncio.sleep(0.01)
        await client.cancel(engine.address, "a1")
        await listener.ended.wait()
        return listener.fault, engine.batch.runs

    assert with_engines(work, SLOW) == (StreamFault.TRUNCATED, [])


def test_closed_stream_ends_on_the_engine_without_further_events():
    """Guards against frames that are delivered after the attempt was closed."""

    async def work(client, engine):
        stream, listener = start(client, engine, tokens=1000)
        while not listener.frames:
            await asyncio.sleep(0.01)
        stream.close()
        frames_before = len(listener.frames)
        while engine.batch.runs:
            await asyncio.sleep(0.01)
        return len(listener.frames) - frames_before, listener.fault

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
    """Guards against decoding the body of an error response as a stream."""

    async def work(client, engine):
        engine.set_faults(EngineFaults(refuse_status=status))
        _, listener = start(client, engine)
        await listener.ended.wait()
        return listener.fault, listener.frames

    assert with_engines(work) == (fault, [])


def test_kv_cache_is_transferred_between_engines():
    """Guards against using the KV cache handle of one engine on another one."""

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
def test_failed_calls_raise_target_failed(fault):
    """Guards against an unknown kind of error, which would end the poller.

    It can come from an engine that does not respond or does not know the attempt.
    """

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
    """Records the results of the poller."""

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


def test_poller_continues_when_engines_do_not_respond():
    """Guards against an unreachable engine that stops the polls of the others."""

    async def work(client, engine):
        sink = Sink()
        poller = EnginePoller(
            client, sink, SystemClock(), random.Random(3), PollSettings(0.05)
        )
        unreachable = Engine("other", "127.0.0.1:1", "szeged")
        misnamed = Engine("renamed", engine.address, "szeged")
        live = Engine("engine", engine.address, "szeged", role=Role.MIXED)
        poller.update_engines([unreachable, misnamed, live])
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
    """Guards against prefix hashes of the entry that never match the cache events."""
    prompt = "  ".join(f"w{i}" for i in range(words))
    assert prefix_hashes(prompt) == standin_hashes(split_tokens(prompt))
