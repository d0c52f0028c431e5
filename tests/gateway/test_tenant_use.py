"""Tests that entries tell each other the tenants of their work."""

import random

from wigeonspan.common import DomainName, HostId, ManualClock, TenantName
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.placing import Placer, Work, WorkKind
from wigeonspan.placing._priority import SOLE_BAND
from wigeonspan.targets import TargetId

LARGE = TenantName("large")


class Link:
    def __init__(self):
        self.events = []

    def publish(self, event):
        self.events.append(event)


def make_context(host):
    unused = dict.fromkeys(
        ["protocol", "config", "target_table", "budget", "pool", "event_log", "metrics"]
    )
    return GatewayContext(
        host=HostId(host),
        clock=ManualClock(1.0),
        placer=Placer(DomainName("d"), random.Random(1)),
        link=Link(),
        **unused,
    )


def work(number):
    name = f"a/{number}"
    return Work(name, HostId("a"), TargetId("p"), WorkKind.PREFILL, 30.0, 0)


def test_use_of_a_tenant_is_known_at_all_entries():
    """An entry sees few requests and cannot tell a large tenant by itself."""
    sender, receiver = make_context("a"), make_context("b")
    for number in range(40):
        tenant = TenantName(f"t{number}") if number % 4 == 0 else LARGE
        sender.begin_work(work(number), tenant=tenant)
    for event in sender.link.events:
        receiver.apply_event(event)
    for context in (sender, receiver):
        assert context.placer.tenant_use.exceeds(LARGE, SOLE_BAND, 1.0)


def test_work_without_a_tenant_is_not_counted():
    """Deployments without tenants would keep state that they do not use."""
    sender, receiver = make_context("a"), make_context("b")
    sender.begin_work(work(0))
    assert [event.tenant for event in sender.link.events] == [None]
    receiver.apply_event(sender.link.events[0])
    assert len(sender.placer.tenant_use) == len(receiver.placer.tenant_use) == 0
