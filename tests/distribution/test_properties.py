"""Versions on an entry never go back, and its lease ends when the leader thinks so."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.distribution.test_distributor import Source, report
from wigeonspan.common import Term, Version
from wigeonspan.distribution import DRIFT, Configuration, Distributor, Follower

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
    """Leader and one entry whose clock runs at another rate."""

    def __init__(self, rate):
        self.now, self.rate = 10.0, rate
        self.source, self.term = Source(1), 0
        self.follower = Follower("e1", "a")
        self.late = []
        self.elect()

    @property
    def entry_now(self):
        return self.now * self.rate

    def elect(self):
        """A leader begins once the lease of the one before has ended."""
        self.term += 1
        self.distributor = Distributor(self.source, Term(self.term), self.now)

    def sync(self, kind, delay_s, keep):
        sent_at = self.entry_now
        request = report("e1", self.follower.version)
        self.now += delay_s
        if kind == "lose request":
            return
        reply = self.distributor.sync(request, self.now)
        self.late.append((reply, sent_at))
        if kind == "sync":
            self.follower.accept(reply, sent_at)
        if keep is not None and keep < len(self.late):
            # An old reply arrives again, or out of order.
            self.follower.accept(*self.late[keep])

    def check(self):
        held = self.follower.version
        if held:
            expected = Source(held).objects()
            assert list(self.follower.configuration.objects.values()) == expected
        last_s = self.follower.lease_until / self.rate - 1e-3
        for at in (self.now, last_s):
            if held < self.source.version and self.now <= at <= last_s:
                in_force = self.distributor.in_force(self.source.version, at)
                assert not in_force, "the leader thinks that nobody uses it any more"


@settings(derandomize=True, deadline=None, max_examples=300)
@given(EVENTS, st.sampled_from([1 - DRIFT * 0.99, 1.0, 1 + DRIFT]))
def test_leader_never_overestimates_an_entry(events, rate):
    """An entry that routes by an old version after 'in force' would break I7 and I9."""
    deployment = Deployment(rate)
    version, term = Version(0), Term(0)
    for kind, pause_s, delay_s, keep in events:
        deployment.now += pause_s
        if kind == "change":
            deployment.source.version = Version(deployment.source.version + 1)
        elif kind == "elect":
            deployment.elect()
        else:
            deployment.sync(kind, delay_s, keep)
        follower = deployment.follower
        assert follower.version >= version and follower.term >= term
        version, term = follower.version, follower.term
        deployment.check()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 6), max_size=12))
def test_updates_lead_to_the_same_objects_as_a_snapshot(steps):
    """An update applied twice or out of order would differ from the source."""
    source, follower = Source(0), Follower("e1", "a")
    distributor = Distributor(source, Term(1), 0.0)
    for now, step in enumerate(steps):
        source.version = Version(source.version + step)
        request = report("e1", follower.version)
        assert follower.accept(distributor.sync(request, float(now)), float(now))
        whole = Configuration(source.version, source.objects())
        assert follower.configuration.objects == whole.objects
        assert follower.version == source.version


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=8), st.floats(0.0, 100.0))
def test_shares_of_a_tenant_add_up_to_its_limit(rates, default):
    """Shares that add up to more than the limit would let a tenant exceed it."""
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
def test_entries_know_the_live_entries_although_lists_are_left_out(syncs):
    """A list that is left out by mistake would leave an entry with old shares."""
    distributor = Distributor(Source(1), Term(1), 0.0)
    followers = [Follower(f"e{n}", "a") for n in range(4)]
    now = 10.0
    for number, pause_s in syncs:
        now += pause_s
        follower = followers[number]
        request = report(f"e{number}", follower.version, live_stamp=follower.live_stamp)
        follower.accept(distributor.sync(request, now), now)
        # Entries that ended within REFRESH_S may still be listed.
        listed = set(follower.live_entries)
        assert set(distributor.live_entries(now)) <= listed
        assert listed <= set(distributor.live_entries(now - 0.25)) | {f"e{number}"}
