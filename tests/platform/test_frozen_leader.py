"""Test of a leader, run as a process, that is frozen before it sends an order."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LEASE_S = 4.5

LEADER_PROGRAM = """
import asyncio, sys
from adapter import OrderSender
from wigeonspan.common import DomainName, HostId, ServiceName, SystemClock
from wigeonspan.pool import ConnectionPool
from wigeonspan.staging import Authority, DemandMeter, PhaseChangeTask
from wigeonspan.targets import Listing, Phase, Target, TargetId
from wigeonspan.trail import ProcessMetrics, open_event_log

clock = SystemClock()
lease_ends = clock.now() + float(sys.argv[2])
phases = (Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.DECODE)
targets = tuple(
    Target(TargetId(f"t{n}"), ServiceName("m"), sys.argv[1], DomainName("a"), 64,
           phase=phase)
    for n, phase in enumerate(phases)
)

async def read_listing():
    return Listing(targets)

def authority():
    return Authority(5, lease_ends) if clock.now() < lease_ends else None

host = HostId("c1")
task = PhaseChangeTask(host, clock, OrderSender(ConnectionPool(clock)),
                   open_event_log(host, clock), authority, read_listing, DemandMeter(),
                   ProcessMetrics())
asyncio.run(task.run())
"""


def read_head(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(4096)
        if not part:
            break
        data += part
    return data


@pytest.mark.parametrize("frozen", [True, False])
def test_frozen_leader_orders_nothing_after_its_lease(frozen):
    """A leader that was frozen past the end of its lease must not send its order.

    Its successor may have sent orders by then, and an engine that checks no fencing
    tokens would obey both. The run without a freeze shows that the leader does order.
    """
    with socket.create_server(("127.0.0.1", 0)) as engine:
        engine.settimeout(10)
        address = f"127.0.0.1:{engine.getsockname()[1]}"
        command = [sys.executable, "-c", LEADER_PROGRAM, address, str(LEASE_S)]
        paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
        leader = subprocess.Popen(
            command,
            env={**os.environ, "PYTHONPATH": paths},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            report, _ = engine.accept()
            assert read_head(report).startswith(b"GET /v1/report")
            if frozen:
                leader.send_signal(signal.SIGSTOP)
            body = b'{"stage":"decode","busy":false,"sequence":0}'
            report.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            if frozen:
                time.sleep(LEASE_S)
                leader.send_signal(signal.SIGCONT)
            engine.settimeout(1.5)
            ordered = False
            try:
                order, _ = engine.accept()
                ordered = read_head(order).startswith(b"POST /v1/order")
            except TimeoutError:
                pass
            assert ordered is not frozen
        finally:
            leader.kill()
            leader.wait()
