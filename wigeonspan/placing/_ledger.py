"""Work under way at each target, here and at the other entries."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing._throughput import Throughput
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


class Work(Struct, frozen=True, array_like=True):
    """One piece of work.

    Parameters
    ----------
    work : str
        Name that is unique among all entries.
    work_ms : float
        Time that an engine of nominal speed needs to read its prompt.
    urgency : int
        Rank at the target; 0 is first.
    """

    work: str
    host: HostId
    target: TargetId
    kind: WorkKind
    work_ms: float
    urgency: int


class _Queue:
    def __init__(self) -> None:
        self.work: dict[str, tuple[Work, float]] = {}
        # Prompt that is being read, and since when.
        self.head: str | None = None
        self.head_since = 0.0
        self.throughput = Throughput()

    def largest_ms(self) -> float:
        """Return the largest work of reading at hand."""
        reads = (w.work_ms for w, _ in self.work.values() if _reads(w))
        return max(reads, default=0.0)

    def choose_head(self, now: float) -> None:
        """Note which prompt is read next: the most urgent one, then the oldest."""
        waiting = [(w.urgency, at, n) for n, (w, at) in self.work.items() if _reads(w)]
        self.head = min(waiting)[2] if waiting else None
        self.head_since = now


class WorkLedger:
    """Work by target, and how fast each target does it.

    Every entry hears of all work, so each sees when an engine is busy and what it
    finishes meanwhile; its speed follows from both, in whatever order it works.
    """

    def __init__(self) -> None:
        self._queues: dict[TargetId, _Queue] = {}
        self._targets: dict[str, TargetId] = {}
        self._latency_s = 0.0
        # One decision asks for the usual slowness once for each engine.
        self._usual = 1.0
        self._usual_at: float | None = None

    def set_latency(self, latency_ms: float) -> None:
        """Note how much later than done a read prompt is known to be done."""
        self._latency_s = latency_ms / 1000.0

    def begin(self, work: Work, now: float) -> None:
        """Note that work was sent to its target."""
        self._usual_at = None
        queue = self._queues.setdefault(work.target, _Queue())
        queue.work[work.work] = (work, now)
        self._targets[work.work] = work.target
        if _reads(work):
            queue.throughput.resume(now + self._latency_s)
            if queue.head is None:
                queue.choose_head(now)

    def end(self, name: str, now: float, *, completed: bool = False) -> None:
        """Note that work has ended.

        Parameters
        ----------
        completed : bool
            Whether its prompt was read to the end.
        """
        self._usual_at = None
        target = self._targets.pop(name, None)
        queue = self._queues.get(target) if target is not None else None
        if queue is None:
            return
        work, _ = queue.work.pop(name, (None, 0.0))
        if work is None or not _reads(work):
            return
        queue.throughput.finish(work.work_ms if completed else 0.0, now)
        if queue.head == name:
            queue.choose_head(now - self._latency_s)
        if queue.head is None:
            queue.throughput.rest()

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

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has restarted."""
        self._usual_at = None
        queue = self._queues.pop(target, None)
        for name in queue.work if queue is not None else ():
            self._targets.pop(name, None)

    def finished_since(self, target: TargetId, since: float) -> bool:
        """Whether a target has read a prompt to the end since a time."""
        queue = self._queues.get(target)
        return queue is not None and queue.throughput.finished_at > since

    def slowness(self, target: TargetId, now: float) -> float:
        """Return the time that a target needs for a unit of nominal work."""
        queue = self._queues.get(target)
        usual = self.usual_slowness(now)
        if queue is None:
            return usual
        return queue.throughput.slowness(usual, queue.largest_ms(), now)

    def usual_slowness(self, now: float) -> float:
        """Return the slowness of the usual engine; 1 before any is known."""
        if self._usual_at != now:
            known = sorted(
                queue.throughput.slowness(1.0, queue.largest_ms(), now)
                for queue in self._queues.values()
                if queue.throughput.known
            )
            self._usual = known[len(known) // 2] if known else 1.0
            self._usual_at = now
        return self._usual

    def backlog_ms(self, target: TargetId, urgency: int, now: float) -> float:
        """Return the engine time that is ahead of new work with an urgency.

        An engine finishes the prompt that it is reading, however urgent others are;
        after it, less urgent work does not delay the new one.
        """
        queue = self._queues.get(target)
        if queue is None or queue.head is None:
            return 0.0
        slowness = self.slowness(target, now)
        head, _ = queue.work[queue.head]
        done_ms = (now - queue.head_since) * 1000.0 / slowness
        # It may be done, and the next one begun, before that is known here.
        done_ms = min(done_ms, head.work_ms + self._latency_s * 1000.0 / slowness)
        ahead = sum(
            w.work_ms
            for w, _ in queue.work.values()
            if _reads(w) and w.urgency <= urgency and w is not head
        )
        return max(0.0, head.work_ms + ahead - done_ms) * slowness

    def delayed(self, target: TargetId, urgency: int) -> int:
        """Return how many waiting prompts new work with an urgency would go before."""
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return sum(
            1
            for name, (work, _) in queue.work.items()
            if _reads(work) and work.urgency > urgency and name != queue.head
        )

    def count(self, target: TargetId, *kinds: WorkKind) -> int:
        """Return how many pieces of some kinds a target has."""
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return sum(1 for w, _ in queue.work.values() if w.kind in kinds)


def _reads(work: Work) -> bool:
    return work.kind in (WorkKind.PREFILL, WorkKind.DIRECT)
