"""Tests of what a gateway does with the number of entries."""

import asyncio
import random

import pytest

from wigeonspan.common import DomainName, HostId, ManualClock
from wigeonspan.gateway._daemon import Gateway
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.placing import TargetAvailability, Work, WorkKind
from wigeonspan.placing._health import MAX_SUSPENSION_S
from wigeonspan.presence import EntryInfo, EntryState
from wigeonspan.targets import TargetId

DOMAIN = DomainName("a")


@pytest.mark.parametrize("others, is_shared", [(15, False), (16, True), (68, True)])
def test_entries_share_suspensions_in_large_fleets_only(others, is_shared):
    """Guards against a gateway that never tells its placer how many entries there are:
    it would judge targets as in a small fleet. It counts itself although a control host
    may not list it yet."""

    async def run():
        address = "127.0.0.1:1"
        settings = GatewaySettings(
            HostId("own"), DOMAIN, address, address, address, address, [], 0.2, 9.0, 9.0
        )
        gateway = Gateway(
            settings, None, None, None, ManualClock(10.0), random.Random(1)
        )
        gateway._update_entries(
            [
                EntryInfo(HostId(f"e{n}"), DOMAIN, address, address, EntryState.READY)
                for n in range(others)
            ]
        )
        return gateway._context.placer.health.is_shared

    assert asyncio.run(run()) is is_shared


@pytest.mark.parametrize("entries", [1, 16])
def test_probe_without_a_result_is_followed_by_another_one(entries):
    """Guards against an engine that a small fleet leaves out for good because the
    caller of its probe has left. A probe that is still open keeps other work away."""
    target, clock = TargetId("t"), ManualClock(10.0)
    address = "127.0.0.1:1"
    settings = GatewaySettings(
        HostId("own"), DOMAIN, address, address, address, address, [], 0.2, 9.0, 9.0
    )
    gateway = Gateway(settings, None, None, None, clock, random.Random(1))
    context = gateway._context
    health = context.placer.health
    health.set_entries(entries)

    def begin(name):
        work = Work(name, HostId("own"), target, WorkKind.DECODE, 0.0, 0)
        context.begin_work(work)
        return work

    earlier = begin("earlier")
    health.record_failure(target, clock.now(), unreachable=True)
    clock.advance(1.0)
    assert health.available(target, clock.now())
    probe = begin("probe")
    context.end_work(earlier, completed=False)
    clock.advance(MAX_SUSPENSION_S)
    assert not health.available(target, clock.now())
    context.end_work(probe, completed=False)
    assert health.available(target, clock.now())
    begin("second")
    assert not health.available(target, clock.now() + 1.0)
    health.record_success(target)
    assert health.available(target, clock.now())


def test_probe_that_ends_early_is_not_followed_at_once():
    """Guards against callers that leave quickly and each cause another probe."""
    health = TargetAvailability(random.Random(1))
    target = TargetId("t")
    health.record_failure(target, 10.0, unreachable=True)
    health.record_sent(target, 11.0, "probe")
    health.record_ended("probe")
    assert not health.available(target, 11.1)
    assert health.available(target, 11.0 + MAX_SUSPENSION_S)
