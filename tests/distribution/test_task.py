"""Tests of the sync task and the handler over HTTP connections."""

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
    """Replicated log of a control host, with leadership set by the test."""

    def __init__(self):
        self.is_leader, self.leader, self.term = False, None, Term(3)
        self.lease_valid_until = 0.0


class ControlHost:
    """Control host that replies to syncs."""

    def __init__(self, source):
        self.log, self.distributor, self.reply_count = FakeLog(), None, 0
        self.source = source
        routes = {
            "log": self.log,
            "distributor": lambda: self.distributor,
            "clock": SystemClock(),
        }
        self.server = HTTPServer(
            Application(
                [(SYNC_PATH, SyncHandler, routes)], log_function=self.record_reply
            )
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def record_reply(self, handler):
        self.reply_count += 1

    def become_leader(self, lease_s=60.0):
        now = SystemClock().now()
        self.log.is_leader, self.log.lease_valid_until = True, now + lease_s
        self.distributor = Distributor(self.source, self.log.term, now)


def run_syncs(host_count, prepare, rounds):
    """Sync an entry with control hosts and return hosts, follower and results."""

    async def run():
        source = Source(2)
        hosts = [ControlHost(source) for _ in range(host_count)]
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


def leader_hint(hosts):
    hosts[-1].become_leader()
    leader = Member("c", hosts[-1].address, "d", "x", True)
    for host in hosts[:-1]:
        host.log.leader = leader


def leader_without_hint(hosts):
    hosts[-1].become_leader()


def no_leader(hosts):
    pass


def expired_leader_lease(hosts):
    for host in hosts:
        host.become_leader(lease_s=0.0)


def distributor_of_old_term(hosts):
    for host in hosts:
        host.become_leader()
        host.log.term = Term(4)


def first_host_down(hosts):
    hosts[0].server.stop()
    hosts[-1].become_leader()


@pytest.mark.parametrize(
    ("prepare", "rounds", "is_found"),
    [
        (leader_hint, 2, True),
        (leader_without_hint, 5, True),
        (first_host_down, 5, True),
        (no_leader, 5, False),
        (expired_leader_lease, 5, False),
        (distributor_of_old_term, 5, False),
    ],
)
def test_entry_gets_lease_only_from_valid_leader(prepare, rounds, is_found):
    """A host that does not lead with a valid lease must not grant routing leases."""
    hosts, follower, results = run_syncs(5, prepare, rounds)
    assert results[-1] is is_found
    assert (follower.version == 2) is (follower.lease_until > 0) is is_found
    assert is_found or not any(results)
