"""Promises about configurations, orders, stops and recovery."""

from collections import defaultdict
from collections.abc import Iterator

from standin import Ending

from soak._evidence import Evidence, Probe, Scope
from soak._verdict import Break, Index

DRAIN_S = 3.0
"""Seconds in which a leaving target must get no more work; bound of the deployments."""

APPLY_S = 2.0
"""Seconds in which an acknowledged configuration must be in force everywhere."""

DOWNGRADE_S = 0.25
"""Seconds after which a process that obeyed a version must not obey an older one."""

DISTURBED_DOWNGRADE_S = 8 * DOWNGRADE_S
"""The same for a host that is slowed."""

LEASE_S = 3.0
"""Seconds in which two holders must not give orders in turn."""

THAW_S = 0.3
"""Seconds after a thaw or a healed link in which late orders do not count."""

LOSS_SLACK_S = 0.2
"""Seconds after which a request that was sent before a planned stop is not lost."""

GRACE_S = 8.0
"""Seconds that a stopping process has."""

SERVED_SHARE = 0.25
"""Share of the requests that must be served once all faults are over."""


def check_departures(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that a leaving target gets no work from undisturbed hosts."""
    shown = {each.target: each.shown_at for each in evidence.departures}
    for arrival in evidence.journal.arrivals:
        shown_at = shown.get(arrival.target)
        seen = index.calls.get(arrival.request)
        if shown_at is None or seen is None or arrival.misdirected:
            continue
        late_s = arrival.at - shown_at
        if late_s <= DRAIN_S:
            continue
        host = evidence.host_by_address[seen.address]
        calm = evidence.is_calm(arrival.at, arrival.at, host=host)
        listed = evidence.is_calm(
            shown_at, shown_at + DRAIN_S, host=host, scopes=(Scope.LIST,)
        )
        if calm and listed:
            text = f"{arrival.target} got it {late_s:.1f} s after it was leaving"
            yield Break("departure", arrival.request, text)


def check_reads(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that no host tells an older configuration than an acknowledged one."""
    invalid = {each.version for each in evidence.stored if not each.valid}
    for read in evidence.reads:
        due = _newest_due(evidence, read.sent_at)
        if read.version < due:
            text = f"told version {read.version} after {due} was acknowledged"
            yield Break("configuration", read.control, text)
        if read.version in invalid:
            text = f"told version {read.version}, which is invalid"
            yield Break("configuration", read.control, text)


def check_effects(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that entries obey what was acknowledged and never go back."""
    seen: dict[tuple[str, int], list[Probe]] = defaultdict(list)
    for probe in evidence.probes:
        if probe.in_force is not None:
            seen[probe.host, probe.start].append(probe)
        due = _newest_due(evidence, probe.sent_at)
        if probe.in_force is False and probe.version <= due:
            if evidence.is_calm(probe.sent_at, probe.ended_at, host=probe.host):
                text = f"does not know version {probe.version}, acknowledged is {due}"
                yield Break("configuration", probe.host, text)
    for (host, _), probes in seen.items():
        for probe in probes:
            calm = evidence.is_calm(probe.sent_at, probe.ended_at, host=host)
            slack_s = DOWNGRADE_S if calm else DISTURBED_DOWNGRADE_S
            obeyed = max(
                (
                    each.version
                    for each in probes
                    if each.in_force and each.ended_at + slack_s < probe.sent_at
                ),
                default=0,
            )
            if probe.in_force is False and probe.version <= obeyed:
                text = f"went back to before {probe.version} after {obeyed}"
                yield Break("configuration", host, text)


def check_stored(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that nothing acknowledged is lost and only valid versions are taken."""
    versions = {each.version for each in evidence.stored}
    acknowledged = [
        each.version for each in evidence.stored if each.acknowledged_at is not None
    ]
    last, newest = evidence.last_version, max(acknowledged, default=0)
    if last is None or last not in versions or last < newest:
        text = f"holds {last} at the end, acknowledged is {newest}"
        yield Break("configuration kept", "control", text)
    for each in evidence.stored:
        if each.valid and each.refused:
            yield Break("configuration", "control", f"version {each.version} refused")
        if not each.valid and each.acknowledged_at is not None:
            yield Break("configuration", "control", f"invalid {each.version} taken")


def check_holders(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that orders come from one holder at a time, with a token of its own."""
    holders: dict[int, str] = {}
    orders = [each for each in evidence.journal.orders if not each.late]
    for order in orders:
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            text = f"token {order.fence} of {holder} used by {order.holder}"
            yield Break("one holder", order.target, text)
    for before, after in zip(orders, orders[1:], strict=False):
        if before.holder == after.holder or after.at - before.at >= LEASE_S:
            continue
        if any(_just_healed(evidence, each.at) for each in (before, after)):
            continue
        text = f"{before.holder} and {after.holder} within {after.at - before.at:.1f} s"
        yield Break("one holder", after.target, text)


def check_planned(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that a planned stop or change of settings costs no request."""
    planned = [
        each
        for each in evidence.disturbances
        if each.planned and each.scope is Scope.HOST
    ]
    unplanned = Evidence(
        evidence.journal,
        disturbances=[each for each in evidence.disturbances if not each.planned],
    )
    for seen in evidence.calls:
        if seen.ending is not Ending.CUT:
            continue
        host = evidence.host_by_address[seen.address]
        if not any(
            each.name == host and each.begins <= seen.ended <= each.begins + GRACE_S + 1
            for each in planned
        ):
            continue
        calm = unplanned.is_calm(
            seen.began, seen.ended, host=host, scopes=(Scope.TARGETS,)
        )
        passed_on = bool(index.arrivals.get(seen.call.request))
        if calm and (passed_on or seen.ended - seen.began > LOSS_SLACK_S):
            yield Break("planned work", seen.call.request, f"lost at {host}")


def check_recovery(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that service is back some time after the last fault."""
    judged = [
        seen
        for seen in evidence.calls
        if evidence.recovered_by <= seen.began <= evidence.judged_until
        and seen.ending is not Ending.LEFT
    ]
    served = [seen for seen in judged if seen.status == 200]
    if len(served) <= SERVED_SHARE * len(judged):
        text = f"{len(served)} of {len(judged)} requests served"
        yield Break("recovery", "system", text)


def check_own_ends(evidence: Evidence, index: Index) -> Iterator[Break]:
    """Check that no process ends by itself."""
    for text in evidence.own_ends:
        yield Break("own end", text.partition(" ")[0], text)


def _newest_due(evidence: Evidence, at: float) -> int:
    """Return the newest version that must be in force at a time."""
    return max(
        (
            each.version
            for each in evidence.stored
            if each.acknowledged_at is not None and each.acknowledged_at + APPLY_S < at
        ),
        default=0,
    )


def _just_healed(evidence: Evidence, at: float) -> bool:
    scopes = (Scope.CORE, Scope.TARGETS)
    return any(
        each.scope in scopes and each.begins <= at <= each.until + THAW_S
        for each in evidence.disturbances
    )
