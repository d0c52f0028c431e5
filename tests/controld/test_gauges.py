"""Gauges of a control host."""

import pytest

from tests.controld.local_log import LocalLog
from wigeonspan.catalog import (
    ApplyChange,
    Engine,
    PutObject,
)
from wigeonspan.common import (
    DomainName,
    EngineId,
    LogIndex,
    ManualClock,
    OperationId,
    Term,
    Version,
    encode,
)
from wigeonspan.controld._gauges import read_gauges
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor


def make_log(state, clock):
    log = LocalLog(state, clock)
    log.applied = LogIndex(1)
    log.unregistered_disks = {}
    return log


def put_engine(state):
    engine = Engine(EngineId("e1"), "127.0.0.1:9", DomainName("a"))
    change = PutObject(engine)
    command = ApplyChange(OperationId("o1"), "op", "test", Version(0), change, 1)
    state.apply(LogIndex(1), encode(command))


@pytest.mark.parametrize("leads", [True, False])
def test_only_the_leader_reports_leader_gauges(tmp_path, leads):
    """A dashboard that sums over the hosts must count the fleet only once."""
    clock = ManualClock(10.0)
    state = ControlState(tmp_path)
    put_engine(state)
    log = make_log(state, clock)
    log.is_leader = leads
    distributor = Distributor(state.catalog, Term(1), 0.0) if leads else None
    gauges = read_gauges(log, state, distributor, clock.now())
    assert gauges["control.leads"] == float(leads)
    assert gauges["control.version"] == 1
    assert ("engines.new" in gauges) == leads
    if leads:
        assert gauges["engines.new"] == 1
        assert gauges["engines.serving"] == 0
        assert gauges["orders.open"] == 0
