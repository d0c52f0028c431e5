"""Tests of what a gateway does with the number of entries."""

import asyncio
import random

import pytest

from wigeonspan.common import DomainName, HostId, ManualClock
from wigeonspan.gateway._daemon import Gateway
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.presence import EntryInfo, EntryState

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
