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

UNEXPLAINED_WHEN_WRITTEN = 2
"""Minimum number of crashes that no quarantined part explains, for such a part."""

CRASHES_WITHOUT_DOUBT = 5
"""Number of crashes after which a part is quarantined although other parts may be the
cause. By then the sends must end."""


class _Candidate(Struct, eq=False):
    key: str
    suspect: Suspect
    crashes: list[Crash]

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
    evidence: Evidence, crash: Crash, has_written: Callable[[str], bool], now: float
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
        candidate = _Candidate(
            key, suspect, evidence.counted_crashes(key, crash.at, now)
        )
        if _has_enough(evidence, candidate, has_written(key)):
            candidates.append(candidate)
    inner = [
        candidate
        for candidate in candidates
        if not any(other.is_inside(candidate) for other in candidates)
    ]
    most = max((len(candidate.crashes) for candidate in inner), default=0)
    chosen = [c.key for c in inner if len(c.crashes) == most]
    return chosen if len(chosen) == 1 or most >= CRASHES_WITHOUT_DOUBT else []


def _has_enough(evidence: Evidence, candidate: _Candidate, has_written: bool) -> bool:
    """Return whether a part was in enough crashes to be the cause."""
    crashes = candidate.crashes
    if has_written:
        unexplained = sum(not evidence.is_explained(crash) for crash in crashes)
        if (
            len(crashes) < CRASHES_WHEN_WRITTEN
            or unexplained < UNEXPLAINED_WHEN_WRITTEN
        ):
            return False
    if len(crashes) < CRASHES_TO_QUARANTINE:
        return False
    if len(crashes) >= CRASHES_WITHOUT_DOUBT:
        return True
    # Two culprits may share their first part, which is then in all crashes.
    alone = sum(not _has_inner_cause(evidence, candidate, c) for c in crashes)
    return alone in (len(crashes), 0) or alone >= CRASHES_TO_QUARANTINE


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
