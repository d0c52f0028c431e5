"""Checks of guarantees about configurations, orders, planned stops and recovery."""

from collections import defaultdict
from collections.abc import Iterator

from standin import ENDING_MARGIN_S, Arrival, CallEnding, NamedLimit

from soak._check_types import Index, Violation
from soak._evidence import (
    SETTLING_S,
    Evidence,
    Probe,
    Scope,
    newest_required_version,
    was_refused,
)

MAX_DEPARTURE_LAG_S = 3.0
"""Seconds after a target is listed as leaving within which entries must stop sending
it work; this is the limit of the deployments."""

LIMIT_SPAN_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_TOLERATED_REQUESTS = 5
"""Span in seconds, and factor and number of requests by which a target may get more in
it than the limit that it names; these are the limits of the deployments."""

DOWNGRADE_TOLERANCE_S = 0.25
"""Seconds after a process applied a version from which it must apply no older one."""

DISTURBED_DOWNGRADE_TOLERANCE_S = 8 * DOWNGRADE_TOLERANCE_S
"""Value of ``DOWNGRADE_TOLERANCE_S`` for a disturbed host."""

LEASE_S = 3.0
"""Seconds within which two different lease holders must not both give orders."""

RESUME_TOLERANCE_S = 0.3
"""Seconds in which late orders are tolerated, after a frozen host resumes or a link is
repaired."""

UNFORWARDED_TOLERANCE_S = 0.2
"""Seconds after its last byte up to which a request that was cut at a planned stop, and
that no target received, does not count as lost."""

STOP_GRACE_S = 8.0
"""Seconds that a process may take to stop."""

MIN_SERVED_SHARE = 0.25
"""More than this share of the requests must be served after the recovery."""


def check_departures(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that undisturbed entries send no work to a leaving target."""
    shown = {each.target: each.shown_at for each in evidence.departures}
    for arrival in evidence.journal.arrivals:
        shown_at = shown.get(arrival.target)
        record = index.calls.get(arrival.request)
        if shown_at is None or record is None or arrival.misdirected:
            continue
        late_s = arrival.arrived_at - shown_at
        if late_s <= MAX_DEPARTURE_LAG_S:
            continue
        host = evidence.host_by_address[record.address]
        undisturbed = evidence.is_undisturbed(
            arrival.arrived_at, arrival.arrived_at, host=host
        )
        list_reachable = evidence.is_undisturbed(
            shown_at, shown_at + MAX_DEPARTURE_LAG_S, host=host, scopes=(Scope.LIST,)
        )
        if undisturbed and list_reachable:
            text = (
                f"{arrival.target} got it {late_s:.1f} s after it was listed as leaving"
            )
            yield Violation("departure", arrival.request, text)


def check_engine_memory(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that no engine ends because its requests hold more than its memory.

    The settings of all runs whose engines have limited memory name that contract.
    """
    for overflow in evidence.journal.overflows:
        if not overflow.crashed:
            continue
        disturbed = {
            f"{each.name} {each.what}"
            for each in evidence.disturbances
            if each.begins <= overflow.at <= each.until + SETTLING_S
        }
        yield Violation(
            "memory",
            overflow.target,
            f"held {overflow.held} of {overflow.limit} tokens in {overflow.running} "
            f"requests and {overflow.stored} stored prompts, "
            f"{overflow.at - evidence.traffic_began:.1f} s after the start; "
            f"disturbed: {', '.join(sorted(disturbed)) or 'nothing'}",
        )


def check_limits(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that undisturbed entries together keep to the limit that a target names."""
    for limit in evidence.journal.limits:
        begins = limit.began_at + SETTLING_S
        times = [
            arrival.arrived_at
            for arrival in evidence.journal.arrivals
            if arrival.target == limit.target
            and begins <= arrival.arrived_at <= limit.ended_at
            and _comes_from_undisturbed_host(evidence, index, arrival, limit)
        ]
        allowed = LIMIT_TOLERANCE * limit.rate * LIMIT_SPAN_S + LIMIT_TOLERATED_REQUESTS
        for at in times:
            got = sum(at <= other < at + LIMIT_SPAN_S for other in times)
            if got > allowed:
                text = (
                    f"got {got} requests in {LIMIT_SPAN_S:.0f} s, {allowed:.0f} allowed"
                )
                yield Violation("limit", limit.target, text)
                break


def _comes_from_undisturbed_host(
    evidence: Evidence, index: Index, arrival: Arrival, limit: NamedLimit
) -> bool:
    """Whether nothing happened to the sending entry while the limit was named."""
    record = index.calls.get(arrival.request)
    if record is None:
        return False
    host = evidence.host_by_address[record.address]
    return not any(
        each.scope is Scope.HOST
        and each.name == host
        and each.begins <= limit.ended_at
        and each.until + SETTLING_S >= limit.began_at
        for each in evidence.disturbances
    )


def check_read_versions(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that control hosts report no version older than an acknowledged one."""
    invalid = {each.version for each in evidence.sent_configs if not each.valid}
    for read in evidence.reads:
        required = newest_required_version(evidence, read.sent_at)
        if read.version < required:
            text = f"reported version {read.version} after {required} was acknowledged"
            yield Violation("configuration", read.control, text)
        if read.version in invalid:
            text = f"reported version {read.version}, which is invalid"
            yield Violation("configuration", read.control, text)


def check_applied_versions(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that entries apply acknowledged versions and never return to older ones."""
    seen: dict[tuple[str, int], list[Probe]] = defaultdict(list)
    for probe in evidence.probes:
        if probe.in_force is not None:
            seen[probe.host, probe.start].append(probe)
        required = newest_required_version(evidence, probe.sent_at)
        if probe.in_force is False and probe.version <= required:
            if evidence.is_undisturbed(probe.sent_at, probe.ended_at, host=probe.host):
                text = f"has not applied {probe.version}, acknowledged is {required}"
                yield Violation("configuration", probe.host, text)
    for (host, _), probes in seen.items():
        for probe in probes:
            undisturbed = evidence.is_undisturbed(
                probe.sent_at, probe.ended_at, host=host
            )
            tolerance_s = (
                DOWNGRADE_TOLERANCE_S
                if undisturbed
                else DISTURBED_DOWNGRADE_TOLERANCE_S
            )
            applied = max(
                (
                    each.version
                    for each in probes
                    if each.in_force and each.ended_at + tolerance_s < probe.sent_at
                ),
                default=0,
            )
            if probe.in_force is False and probe.version <= applied:
                text = f"no longer applies {probe.version} after it applied {applied}"
                yield Violation("configuration", host, text)


def check_stored_versions(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that acknowledged versions are kept and only valid ones are accepted."""
    versions = {each.version for each in evidence.sent_configs}
    acknowledged = [
        each.version
        for each in evidence.sent_configs
        if each.acknowledged_at is not None
    ]
    last, newest = evidence.last_version, max(acknowledged, default=0)
    if last is None or last not in versions or last < newest:
        text = f"has version {last} at the end, acknowledged is {newest}"
        yield Violation("configuration kept", "control", text)
    for each in evidence.sent_configs:
        if each.valid and each.refused:
            yield Violation(
                "configuration", "control", f"version {each.version} refused"
            )
        if not each.valid and each.acknowledged_at is not None:
            yield Violation(
                "configuration", "control", f"invalid version {each.version} accepted"
            )


def check_order_holders(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that one holder at a time gives orders, each with its own fencing token."""
    holders: dict[int, str] = {}
    orders = [each for each in evidence.journal.orders if not each.late]
    for order in orders:
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            text = f"fencing token {order.fence} of {holder} used by {order.holder}"
            yield Violation("one holder", order.target, text)
    for before, after in zip(orders, orders[1:], strict=False):
        if (
            before.holder == after.holder
            or after.handled_at - before.handled_at >= LEASE_S
        ):
            continue
        if any(_was_disturbed(evidence, each.handled_at) for each in (before, after)):
            continue
        text = (
            f"{before.holder} and {after.holder} "
            f"within {after.handled_at - before.handled_at:.1f} s"
        )
        yield Violation("one holder", after.target, text)


def check_planned_stops(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that a planned stop or change of settings loses no request.

    The rule does not count requests whose deadline was reached.
    """
    planned = [
        each
        for each in evidence.disturbances
        if each.planned and each.scope is Scope.HOST
    ]
    unplanned = Evidence(
        evidence.journal,
        disturbances=[each for each in evidence.disturbances if not each.planned],
    )
    for record in evidence.calls:
        due = record.sent_at + record.call.deadline_s - ENDING_MARGIN_S
        if record.ending is not CallEnding.CUT or record.ended >= due:
            continue
        if was_refused(evidence, record):
            continue
        host = evidence.host_by_address[record.address]
        if not any(
            each.name == host
            and each.begins <= record.ended <= each.begins + STOP_GRACE_S + 1
            for each in planned
        ):
            continue
        undisturbed = unplanned.is_undisturbed(
            record.began, record.ended, host=host, scopes=(Scope.TARGETS,)
        )
        forwarded = bool(index.arrivals.get(record.call.request))
        if undisturbed and (
            forwarded or record.ended - record.sent_at > UNFORWARDED_TOLERANCE_S
        ):
            yield Violation("planned work", record.call.request, f"lost at {host}")


def check_recovery(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that requests are served again after the recovery time."""
    evaluated = [
        record
        for record in evidence.calls
        if evidence.recovered_by <= record.began <= evidence.evaluation_ends
        and record.ending is not CallEnding.ABANDONED
        # Callers go on to use keys that were revoked.
        and record.call.key not in evidence.removed_keys
    ]
    served = [record for record in evaluated if record.status == 200]
    if len(served) <= MIN_SERVED_SHARE * len(evaluated):
        text = f"{len(served)} of {len(evaluated)} requests served"
        yield Violation("recovery", "system", text)


def check_unexpected_exits(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that no process ended by itself."""
    for text in evidence.unexpected_exits:
        yield Violation("own end", text.partition(" ")[0], text)


def _was_disturbed(evidence: Evidence, at: float) -> bool:
    """Whether control hosts or targets were disturbed at or shortly before a time."""
    scopes = (Scope.CORE, Scope.TARGETS)
    return any(
        each.scope in scopes and each.begins <= at <= each.until + RESUME_TOLERANCE_S
        for each in evidence.disturbances
    )
