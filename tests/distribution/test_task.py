"""Sync task and handler over real connections."""

import asyncio
import random

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from tests.distribution.test_distributor import Source
from wigeonspan.catalog import Member
from wigeonspan.common import SystemClock, Term
from wigeonspan.distribution import Distributor, Follower
from wigeonspan.distribution.tasks import SYNC_PATH, Observations, SyncHandler, SyncTask
from wigeonspan.http import make_client


class FakeLog:
    """Log of a control host whose leadership a test sets."""

    def __init__(self):
        self.is_leader, self.leader, self.term = False, None, Term(3)
        self.lease_valid_until = 0.0


class Control:
    """Control host that answers syncs."""

    def __init__(self, source):
        self.log, self.distributor, self.answers = FakeLog(), None, 0
        self.source = source
        routes = {
            "log": self.log,
            "distributor": lambda: self.distributor,
            "clock": SystemClock(),
        }
        self.server = HTTPServer(
            Application([(SYNC_PATH, SyncHandler, routes)], log_function=self.count)
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def count(self, handler):
        self.answers += 1

    def lead(self, lease_s=60.0):
        now = SystemClock().now()
        self.log.is_leader, self.log.lease_valid_until = True, now + lease_s
        self.distributor = Distributor(self.source, self.log.term, now)


def run_syncs(count, prepare, rounds):
    """Sync one entry with control hosts; return hosts, follower and results."""

    async def run():
        source = Source(2)
        hosts = [Control(source) for _ in range(count)]
        prepare(hosts)
        follower, client = Follower("e1", "a"), make_client(1)
        task = SyncTask(
            follower,
            "127.0.0.1:1",
            "d",
            [host.address for host in hosts],
            Observations,
            client,
            SystemClock(),
            random.Random(1),
        )
        results = [await task.sync_once() for _ in range(rounds)]
        for host in hosts:
            host.server.stop()
            await host.server.close_all_connections()
        return hosts, follower, results

    return asyncio.run(run())


def hint_to_last(hosts):
    hosts[-1].lead()
    leader = Member("c", hosts[-1].address, "d", "x", True)
    for host in hosts[:-1]:
        host.log.leader = leader


def no_hint(hosts):
    hosts[-1].lead()


def nobody(hosts):
    pass


def lease_over(hosts):
    for host in hosts:
        host.lead(lease_s=0.0)


def old_distributor(hosts):
    for host in hosts:
        host.lead()
        host.log.term = Term(4)


def first_is_down(hosts):
    hosts[0].server.stop()
    hosts[-1].lead()


@pytest.mark.parametrize(
    ("prepare", "rounds", "finds"),
    [
        (hint_to_last, 2, True),
        (no_hint, 5, True),
        (first_is_down, 5, True),
        (nobody, 5, False),
        (lease_over, 5, False),
        (old_distributor, 5, False),
    ],
)
def test_entry_finds_the_leader_and_only_the_leader(prepare, rounds, finds):
    """A host without a valid lease must not grant routing leases."""
    hosts, follower, results = run_syncs(5, prepare, rounds)
    assert results[-1] is finds
    assert (follower.version == 2) is (follower.lease_until > 0) is finds
    assert finds or not any(results)
