"""Pace of targets that have just started or recovered: a limit on concurrent work.

It answers restarts and recoveries under load: such a target looks idle to all entries
at once, but it is slow while its caches are empty, or it fails again.
"""

import math
from collections import deque
from enum import Enum

from msgspec import Struct

from wigeonspan.common import ServiceName
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._work_queue import Work, WorkKind
from wigeonspan.targets import Phase, Target, TargetId

INITIAL_SHARE = 0.125
"""Share of a target's slots that may be used at first. Three rounds of answers lift it;
from a single slot, a target with 64 would take six."""

FULL_PREFILLS = 4
"""Number of concurrent prompts at which the limit of a prefill engine is lifted. It
prefills one after the other, so more of them say nothing about its speed."""

BUSY_PREFILLS = 2
"""Number of prompts at which a prefill engine counts as full: one in prefill and one
that waits."""

BUSY_CALLS = 2
"""Multiple of its slots at which a plain target counts as full: a call then waits as
long as it runs. Before, it is answered sooner there than by a target that is slow. A
stream without a slot waits for a whole other stream, so a decode engine counts as full
when its slots are taken."""

FAST_FACTOR = 2.0
"""Multiple of the usual time up to which an answer raises the limit; answers of sound
targets differ by about that much."""

SLOW_FACTOR = 4.0
"""Multiple of the usual time above which an answer lowers the limit."""

SAMPLE_WEIGHT = 0.05
"""Weight of a new answer in the moving average of the usual time."""

MIN_SAMPLES = 8
"""Number of answers from which the usual time counts as known. Before, every answer
raises the limit, since nothing shows that it is slow."""

MAX_PACED_SHARE = 0.5
"""Share of paced targets above which none of the candidates is limited: the few others
cannot do the work of a fleet that has just started."""

MAX_PACE_S = 20.0
"""Seconds after its latest start at which a pace ends. Targets are slow for some
seconds after their start; what lasts longer is covered by the estimates of speed."""

MAX_STARTS = 4096
"""Maximum number of targets whose start is remembered, those that are gone included;
the oldest are removed first."""

MAX_CHANGES = 256
"""Maximum number of changes that are kept for the log until they are taken."""

_STREAM_KINDS = (WorkKind.DECODE, WorkKind.DIRECT)

_Group = tuple[ServiceName, Phase, WorkKind]


class PaceEvent(Enum):
    """What has happened to the limit of a target."""

    STARTED = "started"
    RECOVERING = "recovering"
    SLOWED = "slowed"
    LIFTED = "lifted"
    EXPIRED = "expired"


class PaceChange(Struct, frozen=True):
    """Change of a target's limit, for the log.

    Parameters
    ----------
    limit : int
        Concurrent work that the target may get from now on.
    """

    target: TargetId
    event: PaceEvent
    limit: int


class _Pace(Struct):
    """Limit of one target.

    Parameters
    ----------
    limit : int
        Concurrent work of all entries that the target may have.
    since : float
        Time of the latest start of the pace.
    lowered_at : float
        Time from which on sent work may lower the limit.
    threshold : int
        Limit from which on it grows by 1 for each round of answers, because the target
        failed or was slow at about twice as much.
    answers : int
        Fast answers since the latest change of the limit.
    has_answered : bool
        Whether the target has completed work that was sent since the start.
    """

    limit: int
    since: float
    lowered_at: float
    threshold: int
    answers: int = 0
    has_answered: bool = False


class _UsualTime(Struct):
    """Geometric moving average of the time of answers relative to the nominal time."""

    log_ratio: float = 0.0
    samples: int = 0

    def add(self, ratio: float) -> None:
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        self.log_ratio += weight * (math.log(ratio) - self.log_ratio)


class TargetPace:
    """Limits of targets that have started or recovered while this entry ran.

    Parameters
    ----------
    ledger : WorkLedger
        Work of all entries at each target.
    """

    def __init__(self, ledger: WorkLedger) -> None:
        self._ledger = ledger
        self._paces: dict[TargetId, _Pace] = {}
        self._targets: dict[TargetId, Target] = {}
        self._starts_ms: dict[TargetId, int] = {}
        self._usual: dict[_Group, _UsualTime] = {}
        self._changes: deque[PaceChange] = deque(maxlen=MAX_CHANGES)

    @property
    def limits(self) -> dict[TargetId, int]:
        """Limits on the concurrent work, by paced target."""
        return {target: pace.limit for target, pace in self._paces.items()}

    def update(self, targets: list[Target], now: float) -> None:
        """Apply a list of targets, and pace those that are new or have restarted.

        The targets of the first list are not paced: they may have run for long.
        """
        is_first = not self._starts_ms
        self._targets = {t.target: t for t in targets}
        for name in self._paces.keys() - self._targets.keys():
            del self._paces[name]
        for target in targets:
            known_ms = self._starts_ms.pop(target.target, None)
            self._starts_ms[target.target] = target.born_ms
            if not is_first and known_ms != target.born_ms:
                self._begin(target, PaceEvent.STARTED, now)
        while len(self._starts_ms) > max(MAX_STARTS, len(targets)):
            del self._starts_ms[next(iter(self._starts_ms))]

    def record_suspension(self, target: TargetId, now: float) -> None:
        """Record that a target was suspended, by this entry or by another one."""
        listed = self._targets.get(target)
        if listed is not None:
            self._begin(listed, PaceEvent.RECOVERING, now)

    def record_failure(self, target: TargetId, now: float) -> None:
        """Record a failure of a target that did not suspend it."""
        pace = self._paces.get(target)
        if pace is not None:
            self._lower(target, pace, now)

    def record_answer(self, work: Work, sent_at: float, now: float) -> None:
        """Record that a target has completed work of any entry.

        Parameters
        ----------
        sent_at : float
            Time at which the work was sent.
        """
        target = self._targets.get(work.target)
        if target is None:
            return
        nominal_ms = 1.0 if work.kind in _STREAM_KINDS else max(1.0, work.work_ms)
        ratio = max(1.0, (now - sent_at) * 1000.0) / nominal_ms
        group = (target.service, target.phase, work.kind)
        usual = self._usual.get(group)
        if usual is None:
            usual = self._usual[group] = _UsualTime()
        pace = self._paces.get(work.target)
        if pace is None:
            usual.add(ratio)
            return
        pace.has_answered |= sent_at >= pace.since
        is_known = usual.samples >= MIN_SAMPLES
        slowness = ratio / math.exp(usual.log_ratio) if is_known else 1.0
        if slowness <= FAST_FACTOR:
            self._raise(target, pace)
        elif slowness > SLOW_FACTOR and sent_at >= pace.lowered_at:
            self._lower(work.target, pace, now)

    def expire(self, now: float) -> None:
        """End the paces that have lasted for ``MAX_PACE_S``."""
        for name, pace in list(self._paces.items()):
            if now - pace.since >= MAX_PACE_S:
                self._end(name, pace, PaceEvent.EXPIRED)

    def select(self, targets: list[Target]) -> list[Target]:
        """Return the targets without those that have reached their limit.

        All are returned when the limits would not help: when most targets are paced, as
        after the start of a fleet, or when all others are full.
        """
        paced = sum(1 for t in targets if t.target in self._paces)
        if not paced or paced > MAX_PACED_SHARE * len(targets):
            return targets
        below = [t for t in targets if not self._has_reached_limit(t)]
        if all(self._work(t) >= _busy_at(t) for t in below):
            return targets
        return below

    def take_changes(self) -> list[PaceChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def _has_reached_limit(self, target: Target) -> bool:
        pace = self._paces.get(target.target)
        return pace is not None and self._work(target) >= pace.limit

    def _work(self, target: Target) -> int:
        """Return the number of units of work of all entries at a target."""
        return self._ledger.count(target.target, *WorkKind)

    def _begin(self, target: Target, event: PaceEvent, now: float) -> None:
        limit = max(1, int(INITIAL_SHARE * _full_at(target)))
        before = self._paces.get(target.target)
        threshold = _full_at(target)
        if before is not None and event is PaceEvent.RECOVERING:
            threshold = before.threshold
            # Without an answer in between, another entry reports the same failure.
            if before.has_answered:
                threshold = min(threshold, max(1, before.limit // 2))
        self._paces[target.target] = _Pace(limit, now, now, threshold)
        # Each entry reports the suspension of a target that is down.
        if before is None or before.limit != limit or event is PaceEvent.STARTED:
            self._changes.append(PaceChange(target.target, event, limit))

    def _raise(self, target: Target, pace: _Pace) -> None:
        pace.answers += 1
        if pace.limit >= pace.threshold and pace.answers < pace.limit:
            return
        pace.limit, pace.answers = pace.limit + 1, 0
        if pace.limit >= _full_at(target):
            self._end(target.target, pace, PaceEvent.LIFTED)

    def _lower(self, target: TargetId, pace: _Pace, now: float) -> None:
        """Halve a limit, once for all work that is in progress."""
        pace.lowered_at, pace.answers = now, 0
        pace.threshold = max(1, pace.limit // 2)
        if pace.limit > 1:
            pace.limit //= 2
            self._changes.append(PaceChange(target, PaceEvent.SLOWED, pace.limit))

    def _end(self, target: TargetId, pace: _Pace, event: PaceEvent) -> None:
        del self._paces[target]
        self._changes.append(PaceChange(target, event, pace.limit))


def _full_at(target: Target) -> int:
    """Return the limit at which the pace of a target ends."""
    return FULL_PREFILLS if target.phase is Phase.PREFILL else max(1, target.slots)


def _busy_at(target: Target) -> int:
    """Return the number of units of work at which a target counts as full."""
    if target.phase is Phase.PREFILL:
        return BUSY_PREFILLS
    factor = BUSY_CALLS if target.phase is Phase.NONE else 1
    return factor * max(1, target.slots)
