"""Checks of guarantees about single requests, to callers and to targets."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterator

from standin import CallSeen, Ending, Purpose

from soak._evidence import Evidence, Scope
from soak._verdict import LATENESS_TOLERANCE_S, MAX_TOLERATED_CASES, Index, Violation
from soak._world import APPS, MODELS
from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import CallKind

REFUSAL_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and never will."""


def check_answers(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that each caller gets the complete answer to its own request."""
    for seen in evidence.calls:
        request = seen.call.request
        if seen.ending is Ending.UNREADABLE:
            yield Violation("answer", request, "the bytes are not a valid answer")
        elif seen.status == 200:
            text = _describe_wrong_answer(seen)
            if text is not None:
                yield Violation("answer", request, text)
        elif seen.signature and seen.status != 500:
            yield Violation(
                "answer",
                request,
                f"a target's error was changed to status {seen.status}",
            )


def check_single_runs(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that requests that are not idempotent or resumable run at most once."""
    for request, arrivals in index.arrivals.items():
        seen = index.calls.get(request)
        if seen is None or seen.call.resumable:
            continue
        if seen.call.kind is CallKind.IDEMPOTENT:
            continue
        ran = [arrival.target for arrival in arrivals if arrival.began_execution]
        if len(ran) > 1:
            yield Violation("runs once", request, f"ran at {ran}")


def check_refusals(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that a request did not run if its status guarantees that."""
    for seen in evidence.calls:
        if seen.status not in REFUSAL_STATUSES or seen.signature or seen.call.resumable:
            continue
        if seen.call.kind is CallKind.IDEMPOTENT:
            continue
        ran = [
            a.target
            for a in index.arrivals.get(seen.call.request, [])
            if a.began_execution
        ]
        if ran:
            text = f"refused with {seen.status} after it ran at {ran}"
            yield Violation("refusal", seen.call.request, text)


def check_forwarded_requests(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that targets get exactly what callers sent, at the service of the route."""
    for request, arrivals in index.arrivals.items():
        seen = index.calls.get(request)
        if seen is None:
            yield Violation("unasked", request, "no caller sent this request")
            continue
        call = seen.call
        prompt = f"{call.tokens},{call.events} {call.prompt}" if call.tokens else " "
        service = MODELS if call.kind is CallKind.STREAM else APPS
        for arrival in arrivals:
            if arrival.wrong_prompt:
                yield Violation(
                    "unasked", request, "ran with the prompt of another request"
                )
            if arrival.misdirected:
                continue
            got = (arrival.path, arrival.body, arrival.prompt, arrival.service)
            if got != (call.path, f"body of {request}".encode(), prompt, service):
                yield Violation("unasked", request, f"{arrival.target} got {got}")
            if arrival.deadline_ms > (call.deadline_s + LATENESS_TOLERANCE_S) * 1000:
                text = f"{arrival.target} got a time limit of {arrival.deadline_ms} ms"
                yield Violation("time left", request, text)


def check_retry_budget(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that repeated sends stay within the retry budget that all entries share."""
    window_s = evidence.retry_window_s
    for service in (MODELS, APPS):
        asked = sorted(
            seen.began
            for seen in evidence.calls
            if (seen.call.kind is CallKind.STREAM) == (service == MODELS)
        )
        extra = sorted(_retry_times(index, service))
        for last, at in enumerate(extra):
            first = bisect_left(extra, at - window_s)
            requests = max(
                bisect_right(asked, at - back_s)
                - bisect_left(asked, at - back_s - window_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            allowed = evidence.retry_ratio * requests + evidence.retry_minimum
            if last - first + 1 > allowed:
                text = f"{last - first + 1} retries, {allowed:.0f} allowed"
                yield Violation("retry budget", service, text)
                break


def check_deadlines(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that requests get their final answer at their deadline.

    It is a violation if more than ``MAX_TOLERATED_CASES`` and more than half of the
    requests that took longer than their deadline were late.
    """
    over = late = 0
    subject = ""
    for seen in evidence.calls:
        took_s = seen.ended - seen.began
        if seen.call.leaves_after_s is not None or not seen.sent:
            continue
        if took_s <= seen.call.deadline_s:
            continue
        host = evidence.host_by_address[seen.address]
        if not evidence.is_undisturbed(seen.began, seen.ended, host=host):
            continue
        over += 1
        if took_s > seen.call.deadline_s + LATENESS_TOLERANCE_S:
            late += 1
            subject = seen.call.request
    if late > MAX_TOLERATED_CASES and late * 2 > over:
        yield Violation(
            "deadline",
            subject,
            f"{late} of {over} more than half a second late",
        )


def check_abandoned_requests(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that work for a request ends when its caller disconnects.

    More than ``MAX_TOLERATED_CASES`` later sends are a violation, and so are as many
    runs that continue, if they are more than a quarter of the runs.
    """
    work = Counter[str]()
    subject = ""
    for seen in evidence.calls:
        host = evidence.host_by_address[seen.address]
        repeatable = seen.call.kind is not CallKind.NON_IDEMPOTENT
        if seen.ending is not Ending.LEFT or not repeatable:
            continue
        late = seen.ended + LATENESS_TOLERANCE_S
        if not evidence.is_undisturbed(
            seen.began, late, host=host, scopes=(Scope.TARGETS,)
        ):
            continue
        for arrival in index.arrivals.get(seen.call.request, []):
            work["sends after it"] += arrival.arrived_at > late
            if (
                arrival.arrived_at <= seen.ended
                and arrival.purpose is not Purpose.PREFILL
            ):
                work["left"] += 1
                if arrival.ended is None or arrival.ended > late:
                    work["goes on"] += 1
                    subject = seen.call.request
    if work["sends after it"] > MAX_TOLERATED_CASES:
        yield Violation(
            "caller left",
            subject,
            f"{work['sends after it']} sends after the caller left",
        )
    if work["goes on"] > MAX_TOLERATED_CASES and work["goes on"] * 4 > work["left"]:
        text = f"{work['goes on']} of {work['left']} runs continue"
        yield Violation("caller left", subject, text)


def _describe_wrong_answer(seen: CallSeen) -> str | None:
    """Describe what is wrong with a successful answer, which may have been cut off."""
    complete = seen.ending is Ending.ANSWERED
    if not seen.signature:
        return "a success without the signature of a run"
    if seen.answers != seen.call.request:
        return f"the answer to {seen.answers!r}"
    if seen.call.kind is not CallKind.STREAM:
        expected = f"{seen.call.request} {seen.signature}"
        wrong = complete and seen.body.decode(errors="replace") != expected
        return f"the body {seen.body!r}" if wrong else None
    events = seen.body.decode(errors="replace").split("\n\n")
    run = seen.signature
    for number, event in enumerate(events[:-1], 1):
        fields = event.rpartition("data: ")[2].split(" ")
        if fields[:2] != [seen.call.request, str(number)]:
            return f"event {number} is {event!r}"
        if fields[2] != run and not seen.call.resumable:
            return f"event {number} is from another run"
        if number == 1 and fields[2] != run:
            return "the first event and the signature are from different runs"
        run = fields[2]
    if complete and len(events) - 1 != seen.call.events:
        return f"complete with {len(events) - 1} of {seen.call.events} events"
    return None


def _retry_times(index: Index, service: ServiceName) -> Iterator[float]:
    """Yield the times of all sends of a request to a service but the first.

    Sends with the purpose ``PREFILL`` and other sends each have a first one.
    """
    for arrivals in index.arrivals.values():
        firsts: set[bool] = set()
        for arrival in arrivals:
            if arrival.service != service:
                continue
            is_prefill = arrival.purpose is Purpose.PREFILL
            if is_prefill in firsts:
                yield arrival.arrived_at
            firsts.add(is_prefill)
