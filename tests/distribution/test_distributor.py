"""Tests of versions and leases as tracked by the leader."""

import pytest

from wigeonspan.catalog import ObjectUpdate, Tenant
from wigeonspan.common import Term, Version
from wigeonspan.distribution import Distributor, Follower, SyncRequest


class Source:
    """Configuration that has one more tenant with each version."""

    def __init__(self, version=0):
        self.version = Version(version)

    def objects(self):
        return [Tenant(f"t{v}", version=v) for v in range(1, self.version + 1)]

    def updates_after(self, version):
        return [
            ObjectUpdate(o.version, "tenant", o.name, o)
            for o in self.objects()
            if o.version > version
        ]


def report(entry, version=0, incarnation="a", **fields):
    defaults = dict(
        entry=entry,
        incarnation=incarnation,
        address="",
        domain="d",
        version=version,
        draining=False,
        interval_s=0.5,
        in_flight={},
        demand=[],
        engines=[],
        tenant_rates={},
    )
    return SyncRequest(**{**defaults, **fields})


def test_new_leader_waits_for_leases_of_old_leader_to_end():
    """An entry that has not reported to the new leader may route by an old version."""
    distributor = Distributor(Source(1), Term(2), now=100.0)
    assert not distributor.in_force(1, 104.0)
    assert distributor.in_force(1, 104.05)


@pytest.mark.parametrize(
    ("confirmed", "now", "in_force"),
    [(1, 103.0, False), (2, 103.0, True), (1, 114.03, False), (1, 114.05, True)],
)
def test_change_is_in_force_when_confirmed_or_lease_ended(confirmed, now, in_force):
    """An entry that stops syncing must delay a change by one lease and no longer."""
    source = Source(1)
    distributor = Distributor(source, Term(1), now=0.0)
    start = 110.0 if now > 110 else 102.0
    distributor.sync(report("e1", 1), start)
    source.version = Version(2)
    if confirmed == 2:
        distributor.sync(report("e1", 2), start + 0.5)
    assert distributor.in_force(2, now) is in_force
    assert distributor.entries_pending(2, now) == ([] if in_force else ["e1"])


def test_lost_replies_do_not_extend_the_wait():
    """Requests whose replies are lost must not delay a change (invariant I9)."""
    source = Source(1)
    distributor = Distributor(source, Term(1), now=0.0)
    distributor.sync(report("e1", 1), 100.0)
    source.version = Version(2)
    for step in range(1, 10):
        distributor.sync(report("e1", 1), 100.0 + step * 0.5)
    assert distributor.in_force(2, 104.05)


def test_old_incarnation_counts_until_its_lease_ends():
    """A suspended process may resume after another one was started in its place."""
    source = Source(1)
    distributor = Distributor(source, Term(1), now=0.0)
    distributor.sync(report("e1", 1, "old"), 100.0)
    source.version = Version(2)
    distributor.sync(report("e1", 2, "new"), 101.0)
    assert distributor.entries_pending(2, 101.0) == ["e1"]
    assert distributor.in_force(2, 104.05)


def test_follower_reaches_version_of_leader():
    """A snapshot and then updates must give the same objects as the source."""
    source = Source(2)
    distributor = Distributor(source, Term(1), now=0.0)
    follower = Follower("e1", "a")
    for now in (1.0, 2.0):
        assert follower.accept(
            distributor.sync(report("e1", follower.version), now), now
        )
        source.version = Version(source.version + 3)
    assert follower.version == 5
    assert list(follower.configuration.objects.values()) == source.objects()[:5]
    assert follower.lease_valid(5.9)
    assert not follower.lease_valid(6.0)
