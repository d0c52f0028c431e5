"""Work under way at each target, here and at the other entries."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.targets import TargetId

EXPIRY_S = 6.0
"""Seconds after which work is dropped whose end was not heard; over the time that
callers wait for a first event."""


class WorkKind(Enum):
    """What a target does."""

    PREFILL = "prefill"
    DECODE = "decode"
    DIRECT = "direct"
    CALL = "call"


class Work(Struct, frozen=True):
    """One piece of work.

    Parameters
    ----------
    work : str
        Name that is unique among all entries.
    cost_ms : float
        Time that the target needs for it alone.
    urgency : int
        Rank at the target; 0 is first.
    """

    work: str
    host: HostId
    target: TargetId
    kind: WorkKind
    cost_ms: float
    urgency: int


class _Queue:
    def __init__(self) -> None:
        self.work: dict[str, tuple[Work, float]] = {}
        self.progress_since = 0.0


class WorkLedger:
    """Work by target."""

    def __init__(self) -> None:
        self._queues: dict[TargetId, _Queue] = {}
        self._targets: dict[str, TargetId] = {}

    def begin(self, work: Work, now: float) -> None:
        """Note that work was sent to its target."""
        queue = self._queues.setdefault(work.target, _Queue())
        if not queue.work:
            queue.progress_since = now
        queue.work[work.work] = (work, now)
        self._targets[work.work] = work.target

    def end(self, name: str, now: float) -> None:
        """Note that work has ended."""
        target = self._targets.pop(name, None)
        queue = self._queues.get(target) if target is not None else None
        if queue is None:
            return
        queue.work.pop(name, None)
        queue.progress_since = now

    def drop_host(self, host: HostId, now: float) -> None:
        """Forget the work of an entry that is gone."""
        for queue in self._queues.values():
            for name in [n for n, (w, _) in queue.work.items() if w.host == host]:
                self.end(name, now)

    def expire(self, now: float) -> None:
        """Forget work whose end should have been heard long ago."""
        for queue in list(self._queues.values()):
            old = [n for n, (_, at) in queue.work.items() if now - at > EXPIRY_S]
            for name in old:
                self.end(name, now)
        self._queues = {t: q for t, q in self._queues.items() if q.work}

    def backlog_ms(self, target: TargetId, urgency: int, now: float) -> float:
        """Return the engine time that is ahead of new work with an urgency.

        Less urgent work does not delay it, but for the piece that is being done.
        """
        queue = self._queues.get(target)
        if queue is None:
            return 0.0
        ahead = sum(
            w.cost_ms
            for w, _ in queue.work.values()
            if w.urgency <= urgency and w.kind in _READS
        )
        done = (now - queue.progress_since) * 1000.0
        largest = max((w.cost_ms for w, _ in queue.work.values()), default=0.0)
        return max(0.0, ahead - min(done, largest))

    def count(self, target: TargetId, *kinds: WorkKind) -> int:
        """Return how many pieces of some kinds a target has."""
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return sum(1 for w, _ in queue.work.values() if w.kind in kinds)


_READS = (WorkKind.PREFILL, WorkKind.DIRECT)
