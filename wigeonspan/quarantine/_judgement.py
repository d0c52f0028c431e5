"""Choice of the parts that are the cause of a crash."""

from collections.abc import Callable

from msgspec import Struct

from wigeonspan.quarantine._evidence import Crash, Evidence, Suspect

CRASHES_TO_QUARANTINE = 3
"""Number of crashes, without an answer in between, after which a part is quarantined on
which no answer was written before."""

CRASHES_WHEN_WRITTEN = 4
"""Number of crashes after which a part is quarantined on which answers were written
before. Common parts are blamed with each culprit, and while few engines are up, there
may be no answer that clears them."""

SUSPECT_CRASHES = 2
"""Number of crashes from which a request is not repeated at another engine."""

APART_S = 0.2
"""Seconds by which the first and the last crash of a part must be apart. A rack that is
lost breaks off streams of the same part at several engines at once, and the reports of
that arrive up to 0.1 s apart."""

SETTLE_S = 0.3
"""Seconds from the news of a crash to the verdict. The reports of other entries arrive
within about 0.1 s, the culprit may be named in the last one, and answers on common
parts clear them meanwhile."""

MIN_UNEXPLAINED = 2
"""Minimum number of crashes that no quarantined part explains."""

MIN_UNEXPLAINED_AROUND = 1
"""The same at the first crash after a part inside was quarantined, without an answer.
When a caller repeats one request, all its parts are in the same crashes and the
innermost is quarantined; a crash in another request shows that the one around it is the
cause. With more crashes than that, false verdicts on sound parts were more frequent."""

CRASHES_WITHOUT_DOUBT = 5
"""Number of crashes after which a part is quarantined although other parts may be the
cause. By then the sends must end."""


class _Candidate(Struct, eq=False):
    key: str
    suspect: Suspect
    crashes: list[Crash]
    has_written: bool

    def is_inside(self, other: "_Candidate") -> bool:
        return _is_inside(self.key, self.suspect, other.key, other.suspect)


def _is_inside(key: str, suspect: Suspect, other: str, other_suspect: Suspect) -> bool:
    """Return whether a part was broken only in requests with another one.

    Of two that were always together, the later one in the prompt is the inner one.
    """
    if key == other or other not in suspect.companions:
        return False
    return (
        key not in other_suspect.companions or suspect.position > other_suspect.position
    )


def find_culprits(
    evidence: Evidence,
    crash: Crash,
    has_written: Callable[[str], bool],
    now: float,
) -> list[str]:
    """Return the parts that are to be quarantined for a crash; usually none.

    A part that was broken only in requests with another one is preferred to that: when
    it was not the cause, the next crash shows it, and the requests with the other one
    that are sound can clear that meanwhile. Among parts of which neither is inside the
    other, the next crash is awaited.

    Parameters
    ----------
    has_written : callable
        Returns whether an answer on a part was written before its crashes.
    """
    if evidence.is_explained(crash):
        return []
    candidates = []
    for key in crash.suspects:
        suspect = evidence.get(key)
        if (
            suspect is None
            or len(suspect.blames) < CRASHES_TO_QUARANTINE
            or not suspect.is_blamed_for(crash)
        ):
            continue
        crashes = evidence.counted_crashes(key, crash.at, now)
        candidate = _Candidate(key, suspect, crashes, has_written(key))
        if _has_enough(evidence, candidate, now):
            candidates.append(candidate)
    inner = [
        candidate
        for candidate in candidates
        if not any(other.is_inside(candidate) for other in candidates)
    ]
    most = max((len(candidate.crashes) for candidate in inner), default=0)
    likely = [c for c in inner if len(c.crashes) == most]
    likely = [c for c in likely if not c.has_written] or likely
    if len(likely) > 1 and most < CRASHES_WITHOUT_DOUBT:
        return []
    return [candidate.key for candidate in likely]


def _has_enough(evidence: Evidence, candidate: _Candidate, now: float) -> bool:
    """Return whether a part was in enough crashes to be the cause."""
    crashes = candidate.crashes
    unexplained = sum(not evidence.is_explained(crash) for crash in crashes)
    is_around = (
        candidate.suspect.has_quarantined_inside
        and len(crashes) == CRASHES_TO_QUARANTINE + 1
        and not candidate.has_written
        and not evidence.has_plain_crashes(now)
    )
    if (
        unexplained < (MIN_UNEXPLAINED_AROUND if is_around else MIN_UNEXPLAINED)
        or len(crashes) < CRASHES_TO_QUARANTINE
        or not _are_apart(crashes)
    ):
        return False
    if not candidate.has_written or len(crashes) >= CRASHES_WITHOUT_DOUBT:
        return True
    # Two culprits may share their first part, which is then in all crashes.
    return (
        len(crashes) >= CRASHES_WHEN_WRITTEN
        and _count_alone(evidence, candidate) >= CRASHES_TO_QUARANTINE
    )


def is_suspect(
    evidence: Evidence, key: str, has_written: bool, *, first_break: bool, now: float
) -> bool:
    """Return whether a broken request with a part is not to be repeated.

    Parameters
    ----------
    first_break : bool
        Whether the request was broken for the first time. Then crashes at the same time
        as those of a lost rack do not count as several.
    """
    suspect = evidence.get(key)
    if suspect is None or len(suspect.blames) < SUSPECT_CRASHES:
        return False
    # Answers that clear common parts are reported as late as the latest crashes.
    until = now - SETTLE_S if has_written else now
    crashes = evidence.counted_crashes(key, until, now)
    return (
        len(crashes) >= SUSPECT_CRASHES
        and (_are_apart(crashes) or not first_break)
        and _count_alone(evidence, _Candidate(key, suspect, crashes, has_written)) > 0
    )


def _are_apart(crashes: list[Crash]) -> bool:
    """Return whether crashes were not all at the same time."""
    times = [crash.at for crash in crashes]
    return max(times) - min(times) > APART_S


def _count_alone(evidence: Evidence, candidate: _Candidate) -> int:
    """Return how many crashes of a part have no likely cause inside it."""
    return sum(not _has_inner_cause(evidence, candidate, c) for c in candidate.crashes)


def _has_inner_cause(evidence: Evidence, candidate: _Candidate, crash: Crash) -> bool:
    """Return whether a part inside another one may have caused several crashes."""
    for key in crash.suspects:
        suspect = evidence.get(key)
        if (
            suspect is not None
            and len(suspect.blames) > 1
            and _is_inside(key, suspect, candidate.key, candidate.suspect)
        ):
            return True
    return False
