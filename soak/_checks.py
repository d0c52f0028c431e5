"""Promises, judged from what callers, targets and operators saw.

Time limits bind only hosts that were not disturbed; all else holds at any time.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from msgspec import Struct
from standin import Arrival, CallSeen, Ending, Purpose

from soak._evidence import Evidence, Probe, Scope
from soak._world import APPS, MODELS
from wigeonspan.common import RequestId, ServiceName
from wigeonspan.fleetconfig import CallKind

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

LATE_S = 0.5
"""Seconds after a deadline, or after a caller left, in which work must end."""

SERVED_SHARE = 0.25
"""Share of the requests that must be served once all faults are over."""

FEW = 3
"""Cases that rules with a count allow."""

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


class Break(Struct, frozen=True):
    """A promise that was broken.

    Parameters
    ----------
    subject : str
        Request, host or target.
    """

    rule: str
    subject: str
    text: str


class _Index(Struct):
    """Calls and arrivals by request."""

    calls: dict[RequestId, CallSeen]
    arrivals: dict[RequestId, list[Arrival]]


Check = Callable[[Evidence, _Index], Iterator[Break]]


def judge(evidence: Evidence) -> list[Break]:
    """Return all broken promises of a day."""
    arrivals: dict[RequestId, list[Arrival]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        arrivals[arrival.request].append(arrival)
    index = _Index({seen.call.request: seen for seen in evidence.calls}, arrivals)
    return [found for check in CHECKS for found in check(evidence, index)]


def check_answers(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that each caller gets the whole answer to its own request."""
    for seen in evidence.calls:
        request = seen.call.request
        if seen.ending is Ending.UNREADABLE:
            yield Break("answer", request, "bytes that are no answer")
        elif seen.status == 200:
            text = _wrong_answer(seen)
            if text is not None:
                yield Break("answer", request, text)
        elif seen.signature and seen.status != 500:
            yield Break("answer", request, f"a target's failure became {seen.status}")


def _wrong_answer(seen: CallSeen) -> str | None:
    """Return what is wrong with a success, also one that broke off."""
    whole = seen.ending is Ending.ANSWERED
    if not seen.signature:
        return "a success without a signature"
    if seen.answers != seen.call.request:
        return f"the answer to {seen.answers!r}"
    if seen.call.kind is not CallKind.STREAM:
        expected = f"{seen.call.request} {seen.signature}"
        wrong = whole and seen.body.decode(errors="replace") != expected
        return f"the body {seen.body!r}" if wrong else None
    events = seen.body.decode(errors="replace").split("\n\n")
    run = seen.signature
    for number, event in enumerate(events[:-1], 1):
        fields = event.rpartition("data: ")[2].split(" ")
        if fields[:2] != [seen.call.request, str(number)]:
            return f"event {number} is {event!r}"
        if fields[2] != run and not seen.call.resumable:
            return f"event {number} is of another run"
        if number == 1 and fields[2] != run:
            return "the first event is of another run than the signature"
        run = fields[2]
    if whole and len(events) - 1 != seen.call.events:
        return f"complete with {len(events) - 1} of {seen.call.events} events"
    return None


def check_runs(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that what may not be repeated runs once."""
    for request, arrivals in index.arrivals.items():
        seen = index.calls.get(request)
        if seen is None or seen.call.resumable:
            continue
        if seen.call.kind is CallKind.IDEMPOTENT:
            continue
        ran = [arrival.target for arrival in arrivals if arrival.ran]
        if len(ran) > 1:
            yield Break("runs once", request, f"ran at {ran}")


def check_refusals(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that a refusal that promises that a request has not run is true."""
    for seen in evidence.calls:
        if seen.status not in REFUSALS or seen.signature or seen.call.resumable:
            continue
        if seen.call.kind is CallKind.IDEMPOTENT:
            continue
        ran = [a.target for a in index.arrivals.get(seen.call.request, []) if a.ran]
        if ran:
            text = f"refused with {seen.status} after it ran at {ran}"
            yield Break("refusal", seen.call.request, text)


def check_unasked(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that targets get what callers sent, at a service that the route names."""
    for request, arrivals in index.arrivals.items():
        seen = index.calls.get(request)
        if seen is None:
            yield Break("unasked", request, "no caller sent it")
            continue
        call = seen.call
        prompt = f"{call.tokens},{call.events} {call.prompt}" if call.tokens else " "
        service = MODELS if call.kind is CallKind.STREAM else APPS
        for arrival in arrivals:
            if arrival.foreign:
                yield Break("unasked", request, "ran with another request's prompt")
            if arrival.misdirected:
                continue
            got = (arrival.path, arrival.body, arrival.prompt, arrival.service)
            if got != (call.path, f"body of {request}".encode(), prompt, service):
                yield Break("unasked", request, f"{arrival.target} got {got}")
            if arrival.left_ms > (call.deadline_s + LATE_S) * 1000:
                text = f"{arrival.target} got {arrival.left_ms} ms"
                yield Break("time left", request, text)


def check_departures(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that a leaving target gets no work from hosts in touch."""
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


def check_reads(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def check_effects(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def check_stored(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def check_budget(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that repeated sends stay within the budget that all entries share."""
    window_s = evidence.retry_window_s
    for service in (MODELS, APPS):
        asked = sorted(
            seen.began
            for seen in evidence.calls
            if (seen.call.kind is CallKind.STREAM) == (service == MODELS)
        )
        extra = sorted(_repeats(index, service))
        for last, at in enumerate(extra):
            first = bisect_left(extra, at - window_s)
            requests = max(
                bisect_right(asked, at - back_s)
                - bisect_left(asked, at - back_s - window_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            allowed = evidence.retry_ratio * requests + evidence.retry_minimum
            if last - first + 1 > allowed:
                text = f"{last - first + 1} repeats, {allowed:.0f} allowed"
                yield Break("retry budget", service, text)
                break


def _repeats(index: _Index, service: ServiceName) -> Iterator[float]:
    """Yield the times of sends beyond the first of a request."""
    for arrivals in index.arrivals.values():
        firsts: set[bool] = set()
        for arrival in arrivals:
            if arrival.service != service:
                continue
            is_read = arrival.purpose is Purpose.READ
            if is_read in firsts:
                yield arrival.at
            firsts.add(is_read)


def check_holders(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def _just_healed(evidence: Evidence, at: float) -> bool:
    scopes = (Scope.CORE, Scope.TARGETS)
    return any(
        each.scope in scopes and each.begins <= at <= each.until + THAW_S
        for each in evidence.disturbances
    )


def check_planned(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def check_deadlines(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that requests get their final answer when their time is over."""
    over = late = 0
    subject = ""
    for seen in evidence.calls:
        took_s = seen.ended - seen.began
        if seen.call.leaves_after_s is not None or not seen.sent:
            continue
        if took_s <= seen.call.deadline_s:
            continue
        host = evidence.host_by_address[seen.address]
        if not evidence.is_calm(seen.began, seen.ended, host=host):
            continue
        over += 1
        if took_s > seen.call.deadline_s + LATE_S:
            late += 1
            subject = seen.call.request
    if late > FEW and late * 2 > over:
        yield Break("deadline", subject, f"{late} of {over} late by half a second")


def check_left(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that work ends when its caller leaves."""
    work = Counter[str]()
    subject = ""
    for seen in evidence.calls:
        host = evidence.host_by_address[seen.address]
        repeatable = seen.call.kind is not CallKind.NON_IDEMPOTENT
        if seen.ending is not Ending.LEFT or not repeatable:
            continue
        late = seen.ended + LATE_S
        if not evidence.is_calm(seen.began, late, host=host, scopes=(Scope.TARGETS,)):
            continue
        for arrival in index.arrivals.get(seen.call.request, []):
            work["sends after it"] += arrival.at > late
            if arrival.at <= seen.ended and arrival.purpose is not Purpose.READ:
                work["left"] += 1
                if arrival.ended is None or arrival.ended > late:
                    work["goes on"] += 1
                    subject = seen.call.request
    if work["sends after it"] > FEW:
        yield Break("caller left", subject, f"{work['sends after it']} sends later")
    if work["goes on"] > FEW and work["goes on"] * 4 > work["left"]:
        text = f"{work['goes on']} of {work['left']} runs go on"
        yield Break("caller left", subject, text)


def check_recovery(evidence: Evidence, index: _Index) -> Iterator[Break]:
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


def check_own_ends(evidence: Evidence, index: _Index) -> Iterator[Break]:
    """Check that no process ends by itself."""
    for text in evidence.own_ends:
        yield Break("own end", text.partition(" ")[0], text)


CHECKS: tuple[Check, ...] = (
    check_answers,
    check_runs,
    check_refusals,
    check_unasked,
    check_departures,
    check_reads,
    check_effects,
    check_stored,
    check_budget,
    check_holders,
    check_planned,
    check_deadlines,
    check_left,
    check_recovery,
    check_own_ends,
)
