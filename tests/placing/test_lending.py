"""Tests of the lending of retries between entries."""

import heapq
import random
from collections import Counter
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.common import HostId
from wigeonspan.placing import RetryBudget, RetryLending
from wigeonspan.placing._lending import (
    ASK_INTERVAL_S,
    LOAN_USE_S,
    MAX_WANTED,
)
from wigeonspan.placing._retries import BUDGET_SHARE, LOAN_LIFETIME_S

WINDOW_S = 10.0
LENDER = HostId("lender")


def make_entry(minimum=178.0, entries=69, ratio=0.2, seed=1):
    budget = RetryBudget(ratio, minimum, WINDOW_S)
    budget.set_entries(entries)
    return budget, RetryLending(budget, random.Random(seed))


def spend_all(budget, now):
    while budget.try_spend("s", now):
        pass


class Fleet:
    """Entries that lend each other retries, over links that lose, delay and repeat.

    Sound links deliver each message once, as late as the relays usually do.
    """

    def __init__(self, entries, ratio, minimum, seed, *, sound=False):
        self.sound = sound
        self.ratio, self.minimum, self.now = ratio, minimum, 100.0
        self.rng = random.Random(seed)
        self.entries = [
            make_entry(minimum, entries, ratio, self.rng.random())
            for _ in range(entries)
        ]
        self.requests = [[] for _ in range(entries)]
        self.sends = []
        self.refused = 0
        self.numbers = count()
        # Heap of time of arrival, sequence number and function.
        self.messages = []

    def post(self, deliver, fate):
        """Deliver a message never, once or twice, at any time; or once if sound."""
        if self.sound:
            due = self.now + fate.uniform(0.03, 0.15)
            heapq.heappush(self.messages, (due, next(self.numbers), deliver))
            return
        for _ in range(fate.choice((0, 1, 1, 1, 2))):
            usual_s = fate.uniform(0.0, 0.1)
            late_s = fate.uniform(0.0, 12.0)
            delay_s = fate.choice((usual_s, usual_s, late_s))
            due = self.now + delay_s
            heapq.heappush(self.messages, (due, next(self.numbers), deliver))

    def advance(self, seconds):
        end = self.now + seconds
        while self.messages and self.messages[0][0] <= end:
            due, _, deliver = heapq.heappop(self.messages)
            self.now = max(self.now, due)
            deliver()
        self.now = end

    def request(self, entry):
        self.entries[entry][0].record_request("s", self.now)
        self.requests[entry].append(self.now)

    def retry(self, entry, *, returned=False):
        budget, lending = self.entries[entry]
        spent = budget.spend("s", self.now)
        if spent is not None and returned:
            budget.refund("s", spent, self.now)
        elif spent is not None:
            self.sends.append(self.now)
        else:
            self.refused += 1
        want = lending.want_after_attempt("s", self.now)
        if want is None:
            return
        for other in range(len(self.entries)):
            if other != entry:
                self.post(lambda o=other: self.receive(o, entry, want), self.rng)

    def receive(self, lender, borrower, want):
        if self.entries[lender][1].lend("s", want.count, self.now):
            self.post(lambda: self.receive_loan(lender, borrower, want), self.rng)

    def receive_loan(self, lender, borrower, want):
        self.entries[borrower][1].accept(
            "s", HostId(f"e{lender}"), 1, want.asked_ms, self.now
        )

    def sent(self):
        return sum(at > self.now - WINDOW_S for at in self.sends)

    def allowed(self):
        """Return the largest sum of allowances that entries had within a window."""
        start = self.now - WINDOW_S
        peak = 0
        for times in self.requests:
            ends = [at for at in times if at > start] + [start]
            peak += max(sum(end - WINDOW_S < at <= end for at in times) for end in ends)
        return BUDGET_SHARE * (self.ratio * peak + self.minimum)


STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.01, 0.1, 0.3, 0.9, 8.7]),
        st.sampled_from(["request", "retry", "retry", "return", "drain", "drain all"]),
        st.integers(0, 8),
    ),
    min_size=40,
    max_size=80,
)


@settings(max_examples=60, deadline=None)
@given(
    STEPS,
    st.integers(2, 9),
    st.sampled_from([0.0, 0.0, 0.2]),
    st.sampled_from([4.0, 4.0, 8.0 / 3.0, 4.9, 0.5]),
    st.integers(0, 2**16),
)
def test_lending_never_raises_the_sum_of_all_entries(
    steps, entries, ratio, equal_part, seed
):
    """A loan that is late, lost or repeated would let the fleet break the rule.

    With a ratio of zero the bound is the minimum of the rule itself, at every moment.
    Equal parts of 4 and 8 / 3 are 3 and 2 whole retries, so no fraction hides a fault.
    """
    fleet = Fleet(entries, ratio, equal_part * entries, seed)
    for gap_s, step, number in steps:
        fleet.advance(gap_s)
        entry = number % entries
        if step == "request":
            fleet.request(entry)
        elif step in ("drain", "drain all"):
            for drained in range(entries) if step == "drain all" else [entry]:
                for _ in range(6):
                    fleet.retry(drained)
        else:
            fleet.retry(entry, returned=step == "return")
        assert fleet.sent() <= fleet.allowed() + 1e-9


@pytest.mark.parametrize("seed", range(1, 4))
def test_fleet_keeps_to_the_rule_while_engines_crash(seed):
    """Breaks of streams at 69 entries must stay within the rule of the platform."""
    fleet = Fleet(69, 0.2, 178.0, seed)
    rng = random.Random(seed)
    for step in range(400):
        fleet.advance(0.05)
        for _ in range(7):
            fleet.request(rng.randrange(69))
        if 220 <= step < 280:
            for _ in range(20):
                fleet.retry(rng.randrange(69))
        requests = sum(
            at > fleet.now - WINDOW_S for times in fleet.requests for at in times
        )
        assert fleet.sent() <= 0.2 * requests + 178.0


@pytest.mark.parametrize("seed", range(1, 4))
def test_lending_serves_uneven_breaks(seed):
    """Entries with many broken streams ended requests while others had retries left."""
    refused = {}
    for lends in (False, True):
        fleet = Fleet(69, 0.2, 178.0, seed, sound=True)
        rng = random.Random(seed)
        if not lends:
            fleet.receive = lambda *args: None
        for step in range(1300):
            fleet.advance(0.01)
            for _ in range(1 + (step % 2)):
                fleet.request(rng.randrange(69))
            if step >= 1000 and rng.random() < 136 / 300:
                fleet.retry(min(rng.randrange(69) for _ in range(4)))
        refused[lends] = fleet.refused
    assert refused[True] < 0.6 * refused[False], refused


def test_entry_asks_when_few_retries_are_left():
    """An entry that asked only when it has none would refuse until loans arrive."""
    budget, lending = make_entry(minimum=4.0 * 69)
    assert budget.remaining("s", 0.0) == 3.0
    assert budget.try_spend("s", 0.0)
    assert lending.want_after_attempt("s", 0.0) is None
    assert budget.try_spend("s", 0.0)
    want = lending.want_after_attempt("s", 0.0)
    assert want is not None and want.count == 2


def test_asks_are_bounded_in_rate_and_size():
    """Each broken stream of a burst would send a datagram to the whole fleet."""
    budget, lending = make_entry()
    spend_all(budget, 1.0)
    wants = [lending.want_after_attempt("s", 1.0 + n * 0.01) for n in range(100)]
    made = [want for want in wants if want is not None]
    assert 2 <= len(made) <= 1 + 1.0 / ASK_INTERVAL_S
    assert made[-1].count == MAX_WANTED


def test_as_many_are_lent_as_are_asked_for():
    """All entries would answer one ask, and have nothing left for the next one."""
    lent = Counter()
    for seed in range(400):
        _, lending = make_entry(4.0 * 69, seed=seed)
        lent[lending.lend("s", 4, 0.0)] += 1
    assert 10 <= lent[True] <= 40, "400 entries of which 4 in 68 lend"


def test_poor_entry_lends_nothing():
    """A lender would refuse its own repeats instead of those of the asking entry."""
    budget, lending = make_entry(4.0 * 69)
    assert lending.lend("s", 68, 0.0)
    assert budget.own_remaining("s", 0.0) == 2.0
    assert lending.lend("s", 68, 0.0)
    assert lending.lend("s", 68, 0.0) is False
    assert budget.own_remaining("s", 0.0) == 1.0


def test_loan_leaves_the_window_of_its_lender_after_any_use():
    """The lender would spend what the asking entry has used within the same window."""
    budget, lending = make_entry(4.0 * 69)
    assert lending.lend("s", 68, 0.0)
    last_use = LOAN_LIFETIME_S
    assert budget.own_remaining("s", last_use + WINDOW_S - 0.01) == 2.0
    assert budget.own_remaining("s", last_use + WINDOW_S) == 3.0


def test_requests_about_to_leave_the_window_back_no_loan():
    """A loan may be used when they have left, beyond the lender's allowance."""
    budget, lending = make_entry(minimum=69.0)
    for _ in range(20):
        budget.record_request("s", 0.0)
    assert budget.own_remaining("s", WINDOW_S - LOAN_LIFETIME_S) >= 3.0
    assert lending.lend("s", 68, WINDOW_S - LOAN_LIFETIME_S) is False


def test_loan_is_used_before_it_lapses_and_lapses_are_counted():
    """A loan that is kept would be used after its lender has got it back."""
    budget, lending = make_entry()
    spend_all(budget, 5.0)
    want = lending.want_after_attempt("s", 5.0)
    assert lending.accept("s", LENDER, 1, want.asked_ms, 5.1)
    assert lending.accept("s", HostId("other"), 1, want.asked_ms, 5.1)
    assert budget.try_spend("s", 5.0 + LOAN_USE_S)
    assert not budget.try_spend("s", 5.1 + LOAN_USE_S)
    assert budget.take_lapsed(5.2 + LOAN_USE_S) == {"s": 1}
    assert budget.take_lapsed(5.2 + LOAN_USE_S) == {}


@pytest.mark.parametrize(
    ("asked_ms", "received_at"),
    [(5000, 5.0 + LOAN_LIFETIME_S), (5200, 5.1), (5000, 4.0)],
)
def test_loan_that_is_too_old_or_from_the_future_is_refused(asked_ms, received_at):
    """Its lender may have got it back, or it is of another clock."""
    budget, lending = make_entry()
    spend_all(budget, 4.0)
    lending.want_after_attempt("s", 4.0)
    assert not lending.accept("s", LENDER, 1, asked_ms, received_at)
    assert budget.remaining("s", received_at) < 1.0


def test_loan_that_arrives_twice_counts_once():
    """A repeated datagram would make two retries of one."""
    budget, lending = make_entry()
    spend_all(budget, 5.0)
    lending.want_after_attempt("s", 5.0)
    assert lending.accept("s", LENDER, 1, 5000, 5.1)
    assert not lending.accept("s", LENDER, 1, 5000, 5.2)


@pytest.mark.parametrize(("minimum", "entries"), [(50.0, 10), (4.0, 1)])
def test_small_fleets_are_served_as_before(minimum, entries):
    """Lending would change deployments whose own parts suffice."""
    budget, lending = make_entry(minimum, entries)
    spend_all(budget, 1.0)
    assert lending.want_after_attempt("s", 1.0) is None
    assert not lending.lend("s", 16, 20.0)
    assert not lending.spares_retries("s", 1.0)
    assert not lending.accept("s", LENDER, 1, 1000, 1.1)


def test_retry_that_was_not_sent_is_given_back():
    """An engine that takes no connection would use up the budget."""
    budget, lending = make_entry()
    spent = budget.spend("s", 1.0)
    left = budget.remaining("s", 1.0)
    budget.refund("s", spent, 1.1)
    assert budget.remaining("s", 1.1) == left + 1.0
    spend_all(budget, 1.1)
    lending.want_after_attempt("s", 1.1)
    assert lending.accept("s", LENDER, 1, 1100, 1.2)
    before = budget.remaining("s", 1.2)
    spent = budget.spend("s", 1.3)
    assert budget.remaining("s", 1.3) < 1.0
    budget.refund("s", spent, 1.4)
    assert budget.remaining("s", 1.4) == before
    spent = budget.spend("s", 1.4)
    budget.refund("s", spent, 1.1 + LOAN_LIFETIME_S)
    assert budget.remaining("s", 1.1 + LOAN_LIFETIME_S) < 1.0


def test_retries_are_spared_when_less_than_half_of_the_allowance_is_left():
    """A repeat with two arrivals would take what two repeats with one need."""
    budget, lending = make_entry(minimum=4.0 * 69)
    assert budget.try_spend("s", 0.0)
    assert not lending.spares_retries("s", 0.0)
    assert budget.try_spend("s", 0.0)
    assert lending.spares_retries("s", 0.0)
