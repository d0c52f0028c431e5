"""Operators' service on a single-process log, run in a separate thread."""

import asyncio
import threading
from contextlib import contextmanager

from tests.controld.local_log import LocalLog
from wigeonspan.catalog import Member
from wigeonspan.common import NoMetrics, SystemClock, Term
from wigeonspan.controld._backend import OperatorBackend
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor
from wigeonspan.operators.service import OperatorServer

LEADER = Member("control-2", "127.0.0.1:2", "b", "d2", True)


class ControlHost:
    """Control host that runs only the operators' service."""

    def __init__(self, folder):
        self.clock = SystemClock()
        self.state = ControlState(folder)
        self.log = LocalLog(self.state, self.clock)
        started_at = self.clock.now() - 60.0
        self.distributor = Distributor(self.state.catalog, Term(1), started_at)
        self.operators = {}
        self.address = ""

    def backend(self):
        return OperatorBackend(
            "control-1",
            self.log,
            self.state,
            lambda: self.distributor,
            lambda member: self.operators.get(member.name, ""),
            self.clock,
            None,
            NoMetrics(),
        )

    async def serve(self, ready, stop):
        server = OperatorServer(self.backend(), "127.0.0.1:0")
        await server.start()
        self.address = server.address
        ready.set()
        await stop.wait()
        await server.stop()


@contextmanager
def serving(folder):
    """Run the operators' service in a thread until the block ends."""
    service = ControlHost(folder)
    ready = threading.Event()
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()
    thread = threading.Thread(
        target=loop.run_until_complete, args=(service.serve(ready, stop),)
    )
    thread.start()
    assert ready.wait(10)
    try:
        yield service
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        loop.close()
