"""Tests that engines on leaving hosts are taken out of service permanently."""

import asyncio
from types import SimpleNamespace

import pytest

from standins.hostlist import Host, StandinHostList
from standins.hostlist import HostState as StandinState
from wigeonspan.catalog import Catalog, Engine, EnginePhase, SetEngineState
from wigeonspan.common import ManualClock, decode
from wigeonspan.hostlist import HostState, ListedHost, commands_for_leaving_hosts
from wigeonspan.hostlist.tasks import HostListPoller
from wigeonspan.http import make_client

LEAVING, LIVE = HostState.LEAVING, HostState.LIVE


@pytest.mark.parametrize(
    ("address", "state", "phase", "leaves"),
    [
        ("10.0.0.7", LEAVING, EnginePhase.SERVING, True),
        ("10.0.0.7:8000", LEAVING, EnginePhase.ORDERED, True),
        ("10.0.0.7:8001", LEAVING, EnginePhase.SERVING, False),
        ("10.0.0.70", LEAVING, EnginePhase.SERVING, False),
        ("10.0.0.7", LIVE, EnginePhase.SERVING, False),
        ("10.0.0.7", LIVE, EnginePhase.LEAVING, False),
        ("10.0.0.7", LEAVING, EnginePhase.LEAVING, False),
        ("10.0.0.7", LEAVING, EnginePhase.WITHDRAWN, False),
    ],
)
def test_only_engines_on_leaving_hosts_leave(address, state, phase, leaves):
    """Only engines on hosts that the list shows as leaving must leave.

    Matching addresses by prefix would also take engines of other hosts out of service.
    """
    engine = Engine("e", "10.0.0.7:8000", "d", phase=phase, version=5)
    commands = commands_for_leaving_hosts(
        [ListedHost("h", address, state)], [engine], 0
    )
    assert [c.phase for c in commands] == [EnginePhase.LEAVING] * leaves


class LocalLog:
    """Log of a single host that applies each command immediately."""

    is_leader = True

    def __init__(self, catalog):
        self._catalog, self._index = catalog, 100

    async def propose(self, command):
        self._index += 1
        message = decode(command, SetEngineState)
        return self._index, self._catalog.apply(self._index, message)


def test_lagging_list_does_not_bring_a_leaving_host_back():
    """A list that lags must not return the engines of a leaving host to service.

    An unavailable list must cause no commands either.
    """
    catalog = Catalog()
    engine = Engine("e", "127.0.0.1:1", "d", phase=EnginePhase.SERVING, version=5)
    catalog._objects["engine", "e"] = engine
    phases = []

    async def run():
        hosts = StandinHostList()
        hosts.start()
        url = f"http://{hosts.address}/hosts"
        client, log = make_client(1), LocalLog(catalog)
        task = HostListPoller(url, 1.0, log, catalog, client, ManualClock())
        for state in (StandinState.LIVE, StandinState.LEAVING, StandinState.LIVE):
            hosts.replace([Host("h", "127.0.0.1", state)])
            await task.poll_once()
            phases.append(catalog.engine("e").phase)
        await hosts.stop()
        assert await task.poll_once() == 0

    asyncio.run(run())
    assert phases == [EnginePhase.SERVING, EnginePhase.LEAVING, EnginePhase.LEAVING]


class FakeClient:
    def __init__(self, body):
        self._body = body

    async def fetch(self, request):
        return SimpleNamespace(body=self._body)


ODD_ENTRIES = [
    b"[" * 5000 + b"]" * 5000,
    b'{"name":"h","address":"10.0.0.1","state":"unheard"}',
    b'{"name":"h","address":"10.0.0.1","state":"live","note":"\\ud800"}',
    b'{"name":"h","address":7,"state":"live"}',
    b"1e999",
    b"null",
]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
def test_odd_entry_does_not_hide_the_others(odd):
    """The list was lost, at each poll, by one entry that could not be decoded."""
    catalog = Catalog()
    catalog._objects["engine", "e"] = Engine(
        "e", "127.0.0.1:1", "d", phase=EnginePhase.SERVING, version=5
    )
    good = b'{"name":"h","address":"127.0.0.1","state":"leaving"}'
    client = FakeClient(b"[" + odd + b"," + good + b"]")
    log = LocalLog(catalog)
    task = HostListPoller("", 1.0, log, catalog, client, ManualClock())
    assert asyncio.run(task.poll_once()) == 1
    assert catalog.engine("e").phase is EnginePhase.LEAVING


@pytest.mark.parametrize("body", [None, b"", b"{}", b"[", ODD_ENTRIES[0][:-1]])
def test_answer_that_is_no_list_causes_no_commands(body):
    """Any answer may come from a platform in trouble, also one without a body."""
    poller = HostListPoller(
        "", 1.0, LocalLog(None), Catalog(), FakeClient(body), ManualClock()
    )
    assert asyncio.run(poller.poll_once()) == 0
