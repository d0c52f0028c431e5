"""Checks of tenants, keys and duties against what callers, targets and platform saw.

They find nothing in runs without tenants.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterator

from standin import CallEnding, Purpose, UsageRecord

from soak._check_types import LATENESS_TOLERANCE_S, Index, Violation
from soak._evidence import MAX_APPLY_S, SETTLING_S, Evidence, Scope

EDGE_S = 0.5
"""Seconds before and after the edges of a window in which a run may count for either:
the first event comes later than the run begins, and clocks differ a little."""

USE_TOLERANCE = 0.05
"""Share by which a report may differ from what ran, as in the deployments."""

USE_TOLERATED_REQUESTS = 2
"""Requests by which it may differ in any case."""

HOSTS = (Scope.HOST, Scope.CORE)
"""Scopes of disturbances that may cost counts; what targets do is counted as it is."""

LAST_BEAT_S = 1.0
"""Seconds after a window in which each entry has sent its counts."""


def check_keys(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that targets get the name of the tenant, and never the key."""
    for request, arrivals in index.arrivals.items():
        record = index.calls.get(request)
        if record is None:
            continue
        tenant = evidence.tenant_by_key.get(record.call.key, "")
        for arrival in arrivals:
            if arrival.has_key:
                yield Violation("key", request, f"{arrival.target} got the key")
            if arrival.tenant != tenant:
                text = f"{arrival.target} got the tenant {arrival.tenant!r}"
                yield Violation("tenant", request, text)


def check_written_keys(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that no program has written a key."""
    for name in evidence.files_with_keys:
        yield Violation("key", name, "contains a key")


def check_revoked_keys(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that nothing is sent late with a revoked key, and valid keys are served."""
    for record in evidence.calls:
        key, request = record.call.key, record.call.request
        if key and record.status == 401 and key not in evidence.removed_keys:
            if _is_first_key(evidence, key):
                yield Violation("valid key", request, "refused with status 401")
        revoked_at = evidence.revoked_at.get(key)
        if revoked_at is None:
            continue
        host = evidence.host_by_address.get(record.address, "")
        for arrival in index.arrivals.get(request, []):
            at = arrival.arrived_at
            late_s = at - revoked_at - MAX_APPLY_S
            # A host that was disturbed before has had time to catch up.
            begins = max(revoked_at, at - MAX_APPLY_S)
            if late_s > LATENESS_TOLERANCE_S and evidence.is_undisturbed(
                begins, at, host=host
            ):
                text = f"sent {late_s:.1f} s too late with a revoked key"
                yield Violation("revoked key", request, text)


def check_unauthorized(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that a request that was answered 401 has not run."""
    for record in evidence.calls:
        arrivals = index.arrivals.get(record.call.request, [])
        if record.status == 401 and any(a.began_execution for a in arrivals):
            yield Violation("refusal", record.call.request, "ran, answered 401")


def check_usage_contents(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that no window is reported with two contents, on whichever connection."""
    contents: dict[int, dict[str, int]] = {}
    for report in _received(evidence):
        first = contents.setdefault(report.window, report.counts)
        if first != report.counts:
            text = f"{first} and then {report.counts} by {report.holder}"
            yield Violation("usage content", f"window {report.window}", text)


def check_duty_holders(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that each fencing token has one holder, and that tokens only grow."""
    calls = evidence.duty_calls
    if calls is None:
        return
    orders = defaultdict(list)
    for order in calls.orders:
        subject = f"{order.service} {order.zone}"
        orders[subject].append((order.carried_out_at, order.holder, order.fence))
    subjects = {
        "usage": [(r.carried_out_at, r.holder, r.fence) for r in calls.received],
        # A late order is recorded when it is carried out, so only holders count here.
        **orders,
    }
    holders: dict[int, str] = {}
    for subject, acts in subjects.items():
        for _, holder, fence in acts:
            if holders.setdefault(fence, holder) != holder:
                text = f"fencing token {fence} of {holders[fence]} used by {holder}"
                yield Violation("one duty holder", subject, text)
    acts = subjects["usage"]
    for (_, _, before), (at, holder, fence) in zip(acts, acts[1:], strict=False):
        disturbed = any(
            each.begins <= at <= each.until + SETTLING_S
            for each in evidence.disturbances
            if each.scope in (Scope.LIST, Scope.CORE)
        )
        if fence < before and not disturbed:
            text = f"{holder} acted with {fence} after {before}"
            yield Violation("one duty holder", "usage", text)


def check_usage_counts(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that reports of undisturbed windows come in time and tell what ran."""
    if evidence.duty_calls is None:
        return
    first_reports: dict[int, UsageRecord] = {}
    for report in _received(evidence):
        first_reports.setdefault(report.window, report)
    length_s = evidence.usage_window_s
    began = evidence.traffic_began + evidence.epoch_offset_s
    ended = evidence.evaluation_ends + evidence.epoch_offset_s
    for window in range(int(began // length_s) + 1, int(ended // length_s)):
        begins = window * length_s - evidence.epoch_offset_s
        ends, due = begins + length_s, begins + length_s + evidence.usage_due_s
        found = first_reports.get(window)
        is_due = due <= evidence.observed_until
        if found is None or found.carried_out_at > due:
            if is_due and not _was_disturbed(evidence, begins, due):
                yield Violation("usage", f"window {window}", "is not reported in time")
        until = ends + LAST_BEAT_S
        if found is None or _was_disturbed(evidence, begins, until, HOSTS):
            continue
        certain, possible = _runs_by_tenant(evidence, index, begins, ends)
        for tenant in possible | found.counts:
            count = found.counts.get(tenant, 0)
            least = certain[tenant] * (1 - USE_TOLERANCE) - USE_TOLERATED_REQUESTS
            most = possible[tenant] * (1 + USE_TOLERANCE) + USE_TOLERATED_REQUESTS
            if not least <= count <= most:
                text = f"{tenant} has {count}, ran {certain[tenant]} to "
                yield Violation(
                    "usage", f"window {window}", f"{text}{possible[tenant]}"
                )


def _received(evidence: Evidence) -> list[UsageRecord]:
    return [] if evidence.duty_calls is None else evidence.duty_calls.received


def _is_first_key(evidence: Evidence, key: str) -> bool:
    """Return whether a key was in every configuration of the run."""
    tenant = evidence.tenant_by_key[key]
    return key == next(k for k, t in evidence.tenant_by_key.items() if t == tenant)


def _was_disturbed(
    evidence: Evidence, begins: float, until: float, scopes: Collection[Scope] = Scope
) -> bool:
    return any(
        each.begins <= until and each.until + SETTLING_S >= begins
        for each in evidence.disturbances
        if each.scope in scopes
    )


def _runs_by_tenant(
    evidence: Evidence, index: Index, begins: float, ends: float
) -> tuple[Counter[str], Counter[str]]:
    """Return the requests that certainly and possibly began to run in a window."""
    certain: Counter[str] = Counter()
    possible: Counter[str] = Counter()
    for request, arrivals in index.arrivals.items():
        record = index.calls.get(request)
        runs = [
            a.began_at
            for a in arrivals
            if a.began_at is not None and a.purpose is not Purpose.PREFILL
        ]
        if record is None or not runs or not record.call.key:
            continue
        tenant = evidence.tenant_by_key[record.call.key]
        first, last = min(runs), max(runs)
        possible[tenant] += last > begins - EDGE_S and first < ends + EDGE_S
        answered = record.ending is CallEnding.ANSWERED and record.status == 200
        inside = first > begins + EDGE_S and last < ends - EDGE_S
        certain[tenant] += answered and inside
    return certain, possible
