"""Promises to callers and targets about single requests."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterator

from standin import CallSeen, Ending, Purpose

from soak._evidence import Evidence, Scope
from soak._verdict import FEW, LATE_S, Break, Index
from soak._world import APPS, MODELS
from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import CallKind

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


def check_answers(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_runs(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_refusals(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_unasked(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_budget(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_deadlines(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def check_left(evidence: Evidence, index: Index) -> Iterator[Break]:
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


def _repeats(index: Index, service: ServiceName) -> Iterator[float]:
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
