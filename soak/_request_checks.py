"""Checks of guarantees about single requests, to callers and to targets."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterator

from msgspec import structs
from standin import CallEnding, CallRecord, Purpose

from soak._check_types import (
    LATENESS_TOLERANCE_S,
    MAX_TOLERATED_CASES,
    Index,
    Violation,
)
from soak._evidence import Evidence, Scope, is_sound
from soak._world import APPS, MODELS
from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import CallKind

DEADLINE_MARGIN_S = 0.25
"""Seconds before a deadline from which an entry may end a request without an answer."""

LAST_WORK_S = 0.5
"""Seconds before the end of a request in which a target's work on it may have been
ended by the entry; with an answer to come, it had to let the target go on."""

REFUSAL_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and never will."""


def check_answers(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that each caller gets the complete answer to its own request."""
    for record in evidence.calls:
        request = record.call.request
        if record.ending is CallEnding.UNREADABLE:
            yield Violation("answer", request, "the bytes are not a valid answer")
        elif record.status == 200:
            text = _describe_wrong_answer(record)
            if text is not None:
                yield Violation("answer", request, text)
        elif record.signature and record.status != 500:
            yield Violation(
                "answer",
                request,
                f"a target's error was changed to status {record.status}",
            )


def check_single_runs(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that requests that are not idempotent or resumable run at most once."""
    for request, arrivals in index.arrivals.items():
        record = index.calls.get(request)
        if record is None or record.call.resumable:
            continue
        if record.call.kind is CallKind.IDEMPOTENT:
            continue
        ran = [arrival.target for arrival in arrivals if arrival.began_execution]
        if len(ran) > 1:
            yield Violation("runs once", request, f"ran at {ran}")


def check_refusals(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that a request did not run if its status guarantees that."""
    for record in evidence.calls:
        if record.status not in REFUSAL_STATUSES or record.signature:
            continue
        ran = [
            a.target
            for a in index.arrivals.get(record.call.request, [])
            if a.began_execution
        ]
        if ran:
            text = f"refused with {record.status} after it ran at {ran}"
            yield Violation("refusal", record.call.request, text)


def check_forwarded_requests(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that targets get exactly what callers sent, at the service of the route."""
    for request, arrivals in index.arrivals.items():
        record = index.calls.get(request)
        if record is None:
            yield Violation("unasked", request, "no caller sent this request")
            continue
        call = record.call
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
            record.began
            for record in evidence.calls
            if (record.call.kind is CallKind.STREAM) == (service == MODELS)
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
    """Check that requests get their final answer by their deadline.

    It is a violation if, of the requests that exceeded their deadline, more than half
    and more than ``MAX_TOLERATED_CASES`` did so by more than ``LATENESS_TOLERANCE_S``.
    """
    over = late = 0
    subject = ""
    for record in evidence.calls:
        took_s = record.ended - record.began
        if record.call.abandon_after_s is not None or not record.sent:
            continue
        if took_s <= record.call.deadline_s:
            continue
        host = evidence.host_by_address[record.address]
        if not evidence.is_undisturbed(record.began, record.ended, host=host):
            continue
        over += 1
        if took_s > record.call.deadline_s + LATENESS_TOLERANCE_S:
            late += 1
            subject = record.call.request
    if late > MAX_TOLERATED_CASES and late * 2 > over:
        yield Violation(
            "deadline",
            subject,
            f"{late} of {over} more than half a second late",
        )


def check_abandoned_requests(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that work for a request ends when its caller disconnects.

    It is a violation if more than ``MAX_TOLERATED_CASES`` sends happen later, or if
    more than ``MAX_TOLERATED_CASES`` runs and more than a quarter of them continue.
    """
    work = Counter[str]()
    subject = ""
    for record in evidence.calls:
        host = evidence.host_by_address[record.address]
        repeatable = record.call.kind is not CallKind.NON_IDEMPOTENT
        if record.ending is not CallEnding.ABANDONED or not repeatable:
            continue
        late = record.ended + LATENESS_TOLERANCE_S
        if not evidence.is_undisturbed(
            record.began, late, host=host, scopes=(Scope.TARGETS,)
        ):
            continue
        for arrival in index.arrivals.get(record.call.request, []):
            work["sends after it"] += arrival.arrived_at > late
            if (
                arrival.arrived_at <= record.ended
                and arrival.purpose is not Purpose.PREFILL
            ):
                work["left"] += 1
                if arrival.ended is None or arrival.ended > late:
                    work["goes on"] += 1
                    subject = record.call.request
    if work["sends after it"] > MAX_TOLERATED_CASES:
        yield Violation(
            "caller left",
            subject,
            f"{work['sends after it']} sends after the caller left",
        )
    if work["goes on"] > MAX_TOLERATED_CASES and work["goes on"] * 4 > work["left"]:
        text = f"{work['goes on']} of {work['left']} runs continue"
        yield Violation("caller left", subject, text)


def check_lost_requests(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that silences and planned work alone end no request without an answer.

    While its deadline lasts, a request on which a sound target still works gets a
    complete answer or a truthful refusal, even if that target is silent for a while.
    """
    unplanned = structs.replace(
        evidence, disturbances=[x for x in evidence.disturbances if not x.planned]
    )
    for record in evidence.calls:
        took_s = record.ended - record.began
        is_error = record.status >= 500 and record.status not in REFUSAL_STATUSES
        is_lost = record.ending is CallEnding.CUT or (is_error and not record.signature)
        if not is_lost or took_s >= record.call.deadline_s - DEADLINE_MARGIN_S:
            continue
        arrivals = index.arrivals.get(record.call.request, [])
        last_run_at = max(
            (a.arrived_at for a in arrivals if a.purpose is not Purpose.PREFILL),
            default=0.0,
        )
        working = [
            arrival
            for arrival in arrivals
            if not arrival.completed
            # A prefill from before the last run is no longer needed for an answer.
            and arrival.arrived_at >= last_run_at
            and (arrival.ended is None or arrival.ended > record.ended - LAST_WORK_S)
            and is_sound(evidence, arrival.target, record)
        ]
        host = evidence.host_by_address[record.address]
        if working and unplanned.is_undisturbed(record.began, record.ended, host=host):
            how = f"status {record.status}" if is_error else "cut off"
            text = f"{how} after {took_s:.2f} s, {working[-1].target} was still at work"
            yield Violation("lost", record.call.request, text)


def _describe_wrong_answer(record: CallRecord) -> str | None:
    """Describe what is wrong with a successful answer, which may have been cut off."""
    complete = record.ending is CallEnding.ANSWERED
    if not record.signature:
        return "a success without the signature of a run"
    if record.answered_request_id != record.call.request:
        return f"the answer to {record.answered_request_id!r}"
    if record.call.kind is not CallKind.STREAM:
        expected = f"{record.call.request} {record.signature}"
        wrong = complete and record.body.decode(errors="replace") != expected
        return f"the body {record.body!r}" if wrong else None
    events = record.body.decode(errors="replace").split("\n\n")
    run = record.signature
    for number, event in enumerate(events[:-1], 1):
        fields = event.rpartition("data: ")[2].split(" ")
        if fields[:2] != [record.call.request, str(number)]:
            return f"event {number} is {event!r}"
        if fields[2] != run and not record.call.resumable:
            return f"event {number} is from another run"
        if number == 1 and fields[2] != run:
            return "the first event and the signature are from different runs"
        run = fields[2]
    if complete and len(events) - 1 != record.call.events:
        return f"complete with {len(events) - 1} of {record.call.events} events"
    return None


def _retry_times(index: Index, service: ServiceName) -> Iterator[float]:
    """Yield the times of all sends of a request to a service but the first.

    Prefills and other sends are counted separately, so each has a first send.
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
