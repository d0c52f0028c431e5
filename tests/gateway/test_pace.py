"""Tests of how a gateway records the pace of its targets."""

import random

import pytest

from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._listing import ListingTask
from wigeonspan.placing import Placer, RetryBudget
from wigeonspan.pool import ConnectionPool
from wigeonspan.sharing import ListRead, TargetSuspended
from wigeonspan.targets import Listing, Target, TargetId, TargetTable
from wigeonspan.trail import ProcessMetrics


class Recorder:
    """Replacement for the link and the log that keeps what it is given."""

    def __init__(self):
        self.published = []
        self.lines = []

    def publish(self, event):
        self.published.append(event)

    def write(self, part, event, **fields):
        self.lines.append((event, fields))


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def context(recorder):
    clock = ManualClock(100.0)
    context = GatewayContext(
        host=HostId("e"),
        clock=clock,
        protocol=None,
        config=ConfigHolder(None, recorder),
        target_table=TargetTable(),
        placer=Placer(DomainName("a"), random.Random(1)),
        budget=RetryBudget(0.0, 1.0, 1.0),
        pool=ConnectionPool(clock),
        link=recorder,
        event_log=recorder,
        metrics=ProcessMetrics(),
    )
    listing = ListingTask(
        HostId("e"),
        clock,
        context.target_table,
        context.placer,
        recorder,
        recorder,
        random.Random(1),
        None,
    )
    receive_list(listing, context, "t0", "t1")
    return context, listing


def receive_list(listing, context, *names, born_ms=1):
    domain, service = DomainName("a"), ServiceName("s")
    targets = tuple(
        Target(TargetId(n), service, "a", domain, 8, born_ms=born_ms) for n in names
    )
    context.clock.advance(0.1)
    digest = Listing(targets).digest
    listing.receive(ListRead(digest, 0.0, Listing(targets)))


def paced(recorder):
    return [
        (fields["target"], fields["change"], fields["limit"])
        for event, fields in recorder.lines
        if event == "target_paced"
    ]


def test_restarted_target_is_paced_and_logged(context, recorder):
    """Guards against a list whose restarts do not reach the limits."""
    context, listing = context
    context.update_pace()
    assert paced(recorder) == []
    receive_list(listing, context, "t0", "t1", born_ms=2)
    context.update_pace()
    assert paced(recorder) == [("t0", "started", 1), ("t1", "started", 1)]
    context.clock.advance(20.0)
    context.update_pace()
    assert paced(recorder)[2:] == [("t0", "expired", 1), ("t1", "expired", 1)]
    text = context.metrics.text().decode()
    assert 'target_paces_total{change="started"} 2.0' in text


@pytest.mark.parametrize("source", ["failure", "silence", "peer"])
def test_suspended_target_is_paced(context, recorder, source):
    """Guards against entries that limit only the targets that they suspended."""
    context, _ = context
    target = TargetId("t1")
    if source == "peer":
        context.apply_event(TargetSuspended(target))
    elif source == "silence":
        context.record_silence(target)
        context.record_silence(target)
    else:
        context.record_failure(target, unreachable=True, reason="refused")
    context.update_pace()
    assert paced(recorder) == [("t1", "recovering", 1)]
