"""Checks of prompts with a part that crashes each target that answers it."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import groupby

from msgspec import structs
from standin import CallEnding, CallRecord, Journal

from soak._check_types import MAX_TOLERATED_CASES, Index, Violation
from soak._evidence import BY_PROMPT, SETTLING_S, Disturbance, Evidence, Scope
from wigeonspan.fleetconfig import CallKind

DECISIVE_CRASHES = 5
"""Crashes under one part after which requests with the part must be held back."""

RECOVERY_S = 6.0
"""Seconds after these crashes from which sound requests must be served again."""

MIN_COMPARED = 20
"""Number of requests, in and outside disruptions, below which nothing is compared."""

MIN_IN_A_ROW = 10
MAX_CHANCE = 1e-6
"""Number of requests with a part in a row that must be unserved to count, and largest
probability that this is chance, from the share of others served in the same time."""

MIN_SERVED_RATIO = 0.5
"""Smallest share of served requests beside such prompts, relative to other times."""


def check_crashing_parts(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that undisturbed entries soon send no more requests with such a part.

    Entries have ``SETTLING_S`` to learn of the crashes from each other. Prefills and
    repeated sends count like first ones.
    """
    entries = _without(evidence, lambda each: each.scope is Scope.CORE)
    for part, decisive_at in _decisive_crashes(evidence.journal).items():
        later = []
        for arrival in evidence.journal.arrivals:
            at, record = arrival.arrived_at, index.calls.get(arrival.request)
            if part not in arrival.parts or at <= decisive_at + SETTLING_S:
                continue
            if record is None:
                continue
            host = evidence.host_by_address[record.address]
            if entries.is_undisturbed(at, at, host=host):
                later.append(arrival)
        if len(later) > MAX_TOLERATED_CASES:
            text = (
                f"{len(later)} requests with {part} reached targets later than "
                f"{SETTLING_S:.0f} s after the fifth crash"
            )
            subject = later[MAX_TOLERATED_CASES].request
            yield Violation("crashing part", subject, text)


def check_sound_prompts(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that sound requests with the same first part are served again.

    They are compared with all sound streams outside disruptions. Requests at disturbed
    entries, and those beside other faults of targets, are left out.
    """
    journal = evidence.journal
    other = _without(evidence, lambda x: x.scope is Scope.CORE or x.what == BY_PROMPT)
    crashing, sound = _split_streams(evidence)
    calm = _calm_streams(evidence)
    for part, decisive_at in _decisive_crashes(journal).items():
        asked = [record for record in crashing if part in record.call.parts]
        last_at = max((record.began for record in asked), default=0.0)
        first_parts = {record.call.parts[0] for record in asked}
        beside = [
            record
            for record in sound
            if record.call.parts[0] in first_parts
            and decisive_at + RECOVERY_S <= record.began <= last_at
            and _is_undisturbed(other, record, Scope.TARGETS)
        ]
        if min(len(beside), len(calm)) < MIN_COMPARED:
            continue
        share, usual = _served_share(beside), _served_share(calm)
        if share < MIN_SERVED_RATIO * usual:
            text = f"{share:.2f} of {len(beside)} served beside it, {usual:.2f} usually"
            yield Violation("sound prompts", part, text)


def check_harmless_parts(evidence: Evidence, index: Index) -> Iterator[Violation]:
    """Check that no part is held back that crashed nothing.

    Targets that crash by themselves, such as all of a zone, must not be put down to the
    prompts that they had. Only requests outside disruptions count.
    """
    calm = _calm_streams(evidence)
    by_part: dict[str, list[CallRecord]] = defaultdict(list)
    for record in calm:
        for part in record.call.parts[:-1]:
            by_part[part].append(record)
    for part, records in by_part.items():
        records.sort(key=lambda record: record.began)
        for is_served, group in groupby(records, _is_served):
            row = list(group)
            if is_served or len(row) < MIN_IN_A_ROW:
                continue
            others = [
                record
                for record in calm
                if row[0].began <= record.began <= row[-1].began
                and part not in record.call.parts
            ]
            if others and (1.0 - _served_share(others)) ** len(row) < MAX_CHANCE:
                share = _served_share(others)
                text = f"{len(row)} in a row unserved, {share:.2f} of others served"
                yield Violation("harmless part", part, text)


def _split_streams(evidence: Evidence) -> tuple[list[CallRecord], list[CallRecord]]:
    """Return the streams with a crashing part, and the sound ones."""
    crashing: list[CallRecord] = []
    sound: list[CallRecord] = []
    for record in evidence.calls:
        if record.call.kind is not CallKind.STREAM:
            continue
        if record.ending is CallEnding.ABANDONED:
            continue
        parts = evidence.journal.crashing_parts.intersection(record.call.parts)
        (crashing if parts else sound).append(record)
    return crashing, sound


def _calm_streams(evidence: Evidence) -> list[CallRecord]:
    """Return the sound streams outside disruptions, crashing requests among them.

    Streams from before the first served one are left out: no engine decodes at first.
    """
    crashing, sound = _split_streams(evidence)
    first_served = min((x.ended for x in sound if _is_served(x)), default=0.0)
    times = [record.began for record in crashing]
    begins, until = min(times, default=0.0), max(times, default=0.0) + SETTLING_S
    return [
        record
        for record in sound
        if record.began >= first_served
        and not begins <= record.began <= until
        and _is_undisturbed(evidence, record, Scope.TARGETS, Scope.LIST)
    ]


def _decisive_crashes(journal: Journal) -> dict[str, float]:
    """Return the time of the fifth crash under each part that caused as many."""
    times: dict[str, list[float]] = defaultdict(list)
    for crash in journal.prompt_crashes:
        for part in crash.parts:
            times[part].append(crash.at)
    return {
        part: sorted(at)[DECISIVE_CRASHES - 1]
        for part, at in times.items()
        if len(at) >= DECISIVE_CRASHES
    }


def _without(evidence: Evidence, left_out: Callable[[Disturbance], bool]) -> Evidence:
    """Return the evidence without some disturbances.

    Entries hold requests back without the control hosts.
    """
    kept = [each for each in evidence.disturbances if not left_out(each)]
    return structs.replace(evidence, disturbances=kept)


def _is_undisturbed(evidence: Evidence, record: CallRecord, *scopes: Scope) -> bool:
    host = evidence.host_by_address[record.address]
    return evidence.is_undisturbed(record.began, record.ended, host=host, scopes=scopes)


def _is_served(record: CallRecord) -> bool:
    return record.status == 200 and record.ending is CallEnding.ANSWERED


def _served_share(records: list[CallRecord]) -> float:
    return sum(map(_is_served, records)) / len(records)
