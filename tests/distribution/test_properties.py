"""Property tests of versions, leases, tenant shares and live entries."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.distribution.test_distributor import Source, report
from wigeonspan.common import Term, Version
from wigeonspan.distribution import (
    MAX_CLOCK_DRIFT,
    Configuration,
    Distributor,
    Follower,
)

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["change", "sync", "lose request", "lose reply", "elect"]),
        st.floats(0.0, 3.0),
        st.floats(0.0, 1.5),
        st.sampled_from([None, 0, 1]),
    ),
    max_size=30,
)


class Deployment:
    """Leader and one entry whose clock runs at a different rate."""

    def __init__(self, rate):
        self.now, self.rate = 10.0, rate
        self.source, self.term = Source(1), 0
        self.follower = Follower("e1", "a")
        self.sent_replies = []
        self.elect()

    @property
    def entry_now(self):
        return self.now * self.rate

    def elect(self):
        """Start a new leader, as if the lease of the previous one had just ended."""
        self.term += 1
        self.distributor = Distributor(self.source, Term(self.term), self.now)

    def sync(self, kind, delay_s, redelivered_index):
        sent_at = self.entry_now
        request = report("e1", self.follower.version)
        self.now += delay_s
        if kind == "lose request":
            return
        reply = self.distributor.sync(request, self.now)
        self.sent_replies.append((reply, sent_at))
        if kind == "sync":
            self.follower.accept(reply, sent_at)
        if redelivered_index is not None and redelivered_index < len(self.sent_replies):
            # Deliver an earlier reply again, or out of order.
            self.follower.accept(*self.sent_replies[redelivered_index])

    def check(self):
        entry_version = self.follower.version
        if entry_version:
            expected = Source(entry_version).objects()
            assert list(self.follower.configuration.objects.values()) == expected
        lease_end_s = self.follower.lease_until / self.rate - 1e-3
        for at in (self.now, lease_end_s):
            if entry_version < self.source.version and self.now <= at <= lease_end_s:
                in_force = self.distributor.in_force(self.source.version, at)
                assert not in_force, "the entry still routes by an older version"


@settings(derandomize=True, deadline=None, max_examples=300)
@given(EVENTS, st.sampled_from([1 - MAX_CLOCK_DRIFT * 0.99, 1.0, 1 + MAX_CLOCK_DRIFT]))
def test_no_entry_routes_by_old_version_once_in_force(events, rate):
    """Guard against an entry that routes by an old version once a newer is in force.

    This would violate the invariants I7 and I9. The entry's clock drifts, and replies
    are lost, delayed and repeated.
    """
    deployment = Deployment(rate)
    version, term = Version(0), Term(0)
    for kind, pause_s, delay_s, redelivered_index in events:
        deployment.now += pause_s
        if kind == "change":
            deployment.source.version = Version(deployment.source.version + 1)
        elif kind == "elect":
            deployment.elect()
        else:
            deployment.sync(kind, delay_s, redelivered_index)
        follower = deployment.follower
        assert follower.version >= version and follower.term >= term
        version, term = follower.version, follower.term
        deployment.check()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 6), max_size=12))
def test_updates_give_same_objects_as_snapshot(steps):
    """Guard against updates that are applied twice or out of order."""
    source, follower = Source(0), Follower("e1", "a")
    distributor = Distributor(source, Term(1), 0.0)
    for now, step in enumerate(steps):
        source.version = Version(source.version + step)
        request = report("e1", follower.version)
        assert follower.accept(distributor.sync(request, float(now)), float(now))
        expected_configuration = Configuration(source.version, source.objects())
        assert follower.configuration.objects == expected_configuration.objects
        assert follower.version == source.version


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=8), st.floats(0.0, 100.0))
def test_shares_do_not_exceed_limit_of_tenant(rates, default):
    """Shares that add up to more than 1 would let a tenant exceed its limit."""
    distributor = Distributor(Source(1), Term(1), 0.0)
    names = [f"e{n}" for n in range(len(rates))]
    for _ in range(2):
        replies = [
            distributor.sync(report(name, 1, tenant_rates={"t": rate}), 10.0)
            for name, rate in zip(names, rates, strict=True)
        ]
    total = sum(reply.tenant_shares["t"] for reply in replies)
    assert total <= 1.0 + 1e-9


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.0, 3.0)), max_size=20))
def test_entries_have_live_entries_although_unchanged_lists_are_omitted(syncs):
    """Guard against omitting a changed list, which leaves an entry with old shares."""
    distributor = Distributor(Source(1), Term(1), 0.0)
    followers = [Follower(f"e{n}", "a") for n in range(4)]
    now = 10.0
    for number, pause_s in syncs:
        now += pause_s
        follower = followers[number]
        request = report(f"e{number}", follower.version, live_stamp=follower.live_stamp)
        follower.accept(distributor.sync(request, now), now)
        # Entries whose lease ended within LIVE_ENTRIES_CACHE_S may still be listed.
        listed = set(follower.live_entries)
        assert set(distributor.live_entries(now)) <= listed
        assert listed <= set(distributor.live_entries(now - 0.25)) | {f"e{number}"}
