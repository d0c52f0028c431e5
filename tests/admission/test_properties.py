"""Property-based tests of admission control under random load."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Refused,
)
from wigeonspan.catalog import URGENT_CLASSES, PriorityClass, Tenant
from wigeonspan.common import RequestId, ServiceName, TenantName

SERVICE = ServiceName("s")
NAMES = ("a", "b", "c")

OFFER = st.tuples(
    st.just("offer"),
    st.sampled_from(NAMES),
    st.sampled_from(list(PriorityClass)),
    st.floats(0.1, 20.0),
)
STEP = st.one_of(
    OFFER,
    st.tuples(st.just("finish"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.floats(0.0, 3.0)),
    st.tuples(st.just("slots"), st.integers(1, 8)),
)


class Driver:
    """Apply steps to admission control and track its verdicts and running requests."""

    def __init__(self, tenants, entries, slots, **options):
        self.admission = Admission(AdmissionSettings(**options))
        self.admission.update_tenants(tenants, {}, entries, 0.0)
        self.admission.update_slots(SERVICE, slots)
        self.slots = slots
        self.now = 0.0
        self.tickets = {}
        self.running = []
        self.waiting = set()
        self.starts = Counter()

    def offer(self, tenant, priority, slack, expected=1.0):
        name = RequestId(f"r{len(self.tickets)}")
        deadline = self.now + expected + slack
        ticket = AdmissionRequest(
            name, TenantName(tenant), SERVICE, priority, deadline, expected
        )
        self.tickets[name] = ticket
        self.waiting.add(name)
        verdict = self.admission.offer(ticket, self.now)
        if isinstance(verdict, Admitted | Refused):
            self.record(verdict)
        self.poll()

    def poll(self):
        for verdict in self.admission.poll(self.now):
            self.record(verdict)

    def record(self, verdict):
        self.waiting.remove(verdict.request)
        if isinstance(verdict, Refused):
            assert verdict.retry_after_s > 0
            return
        self.running.append(verdict.request)
        self.starts[self.tickets[verdict.request].tenant] += 1

    def finish(self, index):
        if self.running:
            name = self.running.pop(index % len(self.running))
            self.admission.record_end(name, self.now)
        self.poll()

    def apply(self, step):
        if step[0] == "offer":
            self.offer(*step[1:])
        elif step[0] == "finish":
            self.finish(step[1])
        elif step[0] == "wait":
            self.now += step[1]
            self.poll()
        else:
            self.slots = max(step[1], len(self.running))
            self.admission.update_slots(SERVICE, step[1])
            self.poll()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, max_size=80), st.integers(1, 4))
def test_limits_are_never_exceeded(steps, limit):
    """Slots and concurrency limits must hold, and each request must get a verdict."""
    tenants = [Tenant(TenantName(n), 1e6, 1e6, concurrency=limit) for n in NAMES]
    driver = Driver(tenants, 1, 4)
    for step in steps:
        driver.apply(step)
        assert len(driver.running) <= driver.slots
        running = Counter(driver.tickets[r].tenant for r in driver.running)
        assert all(count <= limit for count in running.values())
    while driver.running:
        driver.finish(0)
    driver.now += 1e6
    driver.poll()
    assert not driver.waiting


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(st.floats(0.0, 0.5), min_size=20, max_size=200),
    st.floats(0.5, 20.0),
    st.floats(1.0, 20.0),
    st.integers(1, 8),
)
def test_rate_limit_holds_over_all_entries(gaps, rate, burst, entries):
    """All entries together must not exceed a tenant's rate and burst.

    In total, they once admitted more requests.
    """
    tenant = Tenant(TenantName("a"), rate_per_s=rate, burst=burst)
    drivers = [Driver([tenant], entries, 10_000) for _ in range(entries)]
    now = 0.0
    for gap in gaps:
        now += gap
        for driver in drivers:
            driver.now = now
            driver.offer("a", PriorityClass.DESK, 1e6)
    started = sum(driver.starts["a"] for driver in drivers)
    assert started <= rate * now + max(burst, entries) + 1e-6 * len(gaps)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.integers(1, 5), min_size=2, max_size=3),
    st.integers(1, 3),
    st.sampled_from(list(PriorityClass)),
)
def test_backlogged_tenants_share_by_weight(weights, slots, priority):
    """A tenant that sends more must not get more than its weight allows."""
    names = NAMES[: len(weights)]
    pairs = zip(names, weights, strict=True)
    tenants = [Tenant(TenantName(n), 1e6, 1e6, weight=float(w)) for n, w in pairs]
    driver = Driver(tenants, 1, slots, batch_share=1.0)
    for index in range(120 * len(names)):
        driver.offer(names[index % len(names)], priority, 1e6)
    driver.starts.clear()
    rounds = 60
    for _ in range(rounds):
        driver.finish(0)
    for name, weight in zip(names, weights, strict=True):
        assert abs(driver.starts[name] - rounds * weight / sum(weights)) <= 3


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(1, 6), st.integers(1, 4), st.floats(0.2, 1.0))
def test_batch_never_starves(batch, slots, share):
    """The k-th batch request must start within k ``batch_start_interval_s`` intervals.

    This must hold under any urgent load.
    """
    interval_s = 5.0
    driver = Driver([], 1, slots, batch_start_interval_s=interval_s, batch_share=share)
    for _ in range(slots + 3):
        driver.offer("a", PriorityClass.DESK, 1e6)
    for _ in range(batch):
        driver.offer("b", PriorityClass.BATCH, 1e6)
    started, elapsed = 0, 0.0
    while started < batch:
        elapsed += 1.0
        driver.now += 1.0
        assert elapsed <= (batch + 1) * (interval_s + 1) + slots
        for _ in range(slots):
            driver.offer("a", PriorityClass.DESK, 1e6)
            driver.finish(0)
        started = driver.starts["b"]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sampled_from(list(PriorityClass)), min_size=2, max_size=30))
def test_urgent_starts_first_within_the_batch_start_interval(classes):
    """Urgent requests must start before batch requests that arrived with them.

    A desk or quote request once waited behind batch although both had just arrived.
    """
    driver = Driver([], 1, 1, batch_start_interval_s=1e6, batch_share=1.0)
    driver.offer("a", PriorityClass.DESK, 1e6)
    for priority in classes:
        driver.offer("a", priority, 1e6)
    order = []
    while driver.running:
        driver.finish(0)
        order += [driver.tickets[r].priority in URGENT_CLASSES for r in driver.running]
    assert order == sorted(order, reverse=True)
