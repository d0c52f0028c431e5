"""Check of the platform's sentence on requests that are lost around a planned stop."""

from collections.abc import Iterator

from msgspec import structs
from standin import GRACE_S, CallEnding, CallRecord, StoppedRequest, is_lost

from soak._check_types import Index, Violation
from soak._evidence import (
    STARTED,
    STOPPED,
    Disturbance,
    Evidence,
    is_sound,
    was_refused,
)

AFTER_GRACE_S = 1.0
"""Seconds after the grace period until which an end counts as an end by the stop."""


def check_stopped_entries(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that an entry that is stopped loses no request.

    The rule LOST of the platform: unlike ``check_planned_stops``, it excuses requests
    whose deadline was reached or which were sent early and were still worked on, and
    disturbances of targets only where the request was sent to them.
    """
    stops = [
        each for each in evidence.disturbances if each.planned and each.what == STOPPED
    ]
    for record in evidence.calls:
        if record.ending is not CallEnding.CUT or was_refused(evidence, record):
            continue
        host = evidence.host_by_address[record.address]
        arrivals = index.arrivals.get(record.call.request, [])
        request = StoppedRequest(
            record.sent_at, record.ended, record.sent_at + record.call.deadline_s
        )
        for stop in stops:
            if (
                stop.name == host
                and stop.begins <= record.ended <= stop.begins + GRACE_S + AFTER_GRACE_S
                and _is_undisturbed(evidence, stop, record)
                and all(is_sound(evidence, each.target, record) for each in arrivals)
                and is_lost(request, arrivals, stop.begins)
            ):
                passed_on = ", ".join(each.target for each in arrivals) or "no target"
                text = (
                    f"sent {record.sent_at - stop.begins:.2f} s and cut "
                    f"{record.ended - stop.begins:.2f} s after the stop signal of "
                    f"{host}, passed on to {passed_on}"
                )
                yield Violation("lost at a stop", record.call.request, text)


def _is_undisturbed(evidence: Evidence, stop: Disturbance, record: CallRecord) -> bool:
    """Whether nothing unplanned disturbed the entry until the request ended.

    The start of the next process belongs to the stop, unless the request was sent to
    that process: the caller notices the end of the old one after it.
    """
    unplanned = [
        each
        for each in evidence.disturbances
        if not each.planned
        and not (
            each.what == STARTED
            and each.name == stop.name
            and each.begins > max(stop.begins, record.began)
        )
    ]
    return structs.replace(evidence, disturbances=unplanned).is_undisturbed(
        record.began, record.ended, host=stop.name
    )
