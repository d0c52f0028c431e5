"""Tests of the measurement of an entry's own use."""

import asyncio
import os

import pytest
from msgspec.structs import replace

from wigeonspan.common import ManualClock, SystemClock, TrafficCounter, encode
from wigeonspan.gateway import GatewaySettings
from wigeonspan.gateway._use import (
    ProcessTotals,
    UseMeter,
    make_use_meter,
    read_totals,
)
from wigeonspan.pool import ConnectionPool, encode_message
from wigeonspan.presence import Beat, EntryInfo, EntryState, Resources
from wigeonspan.serving import CallerGuard, RequestServer

SETTINGS = GatewaySettings("e", "a", "", "", "", "", [], 0.2, 10.0, 10.0)
START = ProcessTotals(10.0, 0, 0, 148.0, 20)


class Process:
    def __init__(self):
        self.totals = START
        self.reads = 0

    def read(self):
        self.reads += 1
        return self.totals


@pytest.fixture
def clock():
    return ManualClock(100.0)


def test_use_is_that_of_the_last_seconds(clock):
    """An average since the start would not show a wave of demand."""
    process = Process()
    meter = UseMeter(Resources(cores=1.0), process.read, clock)
    for second in range(1, 21):
        clock.advance(1.0)
        if second > 17:
            process.totals = replace(
                process.totals,
                processor_s=process.totals.processor_s + 0.5,
                sent_bytes=process.totals.sent_bytes + 125_000,
                received_bytes=process.totals.received_bytes + 250_000,
            )
        load = meter.load()
    assert load.used == Resources(0.5, 100.0, 2.0, 20)


def test_totals_are_read_once_for_heartbeats_to_all_control_hosts(clock):
    """Counting thousands of descriptors for each heartbeat takes processor time."""
    process = Process()
    meter = UseMeter(Resources(cores=1.0), process.read, clock)
    for _ in range(50):
        clock.advance(0.1)
        meter.load()
    assert process.reads <= 1 + 5.0 / 0.4


def test_entry_without_capacity_measures_nothing(clock):
    """Heartbeats must stay byte for byte the same where no capacity is named."""
    assert make_use_meter(SETTINGS, [], clock) is None
    entry = EntryInfo("e", "a", "e:80", "e:81", EntryState.READY)
    assert b"load" not in encode(Beat(entry, 1, ""))


def test_capacity_names_what_callers_can_use(clock):
    """Memory that every process needs would count as used by callers."""
    settings = replace(SETTINGS, cores=0.4, memory_mb=160.0, max_fds=1638)
    load = make_use_meter(settings, [], clock).load()
    assert load.capacity == Resources(0.4, 112.0, None, 1638)


def test_totals_of_this_process_are_read():
    """Guards against reading another field of the kernel's files."""
    counter = TrafficCounter()
    counter.sent, counter.received = 3, 4
    before = read_totals([counter])
    reading, writing = os.pipe()
    after = read_totals([counter, counter])
    os.close(reading)
    os.close(writing)
    assert after.descriptors == before.descriptors + 2
    assert (after.sent_bytes, after.received_bytes) == (6, 8)
    assert after.processor_s >= before.processor_s > 0.0
    assert 5.0 < after.memory_mb < 5000.0


def test_bytes_of_callers_and_targets_are_counted():
    """A link that nobody counts never becomes the scarcest resource."""
    clock, guard = SystemClock(), CallerGuard()
    pool = ConnectionPool(clock)

    async def serve(method, target, headers, body, caller):
        await caller.send_response(200, [], b"x" * 50_000)

    async def exchange():
        server = RequestServer(serve, lambda error: None, clock, guard)
        address = f"127.{64 + os.getpid() % 128}.0.9:18080"
        server.listen(address)
        request = encode_message(address, "/", "y" * 20_000)
        await pool.fetch(address, request, 5.0)
        await server.close()

    asyncio.run(exchange())
    assert guard.traffic.received == pool.traffic.sent > 20_000
    assert guard.traffic.sent == pool.traffic.received > 50_000
