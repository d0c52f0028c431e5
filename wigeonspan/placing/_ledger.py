"""Work in progress at each target, sent by this entry and by the other entries."""

from collections import Counter
from collections.abc import Collection

from wigeonspan.common import HostId
from wigeonspan.placing._work_queue import (
    MAX_REPORT_DELAY_S,
    Work,
    WorkKind,
    WorkQueue,
    includes_prefill,
)
from wigeonspan.targets import TargetId

EXPIRY_S = 6.0
"""Seconds after which work is dropped if no end was reported. Longer than callers wait
for a first event."""

SEND_S = 0.02
"""Seconds until new work can be chosen at its engine, the delay of reports between
entries included; meanwhile the engine may begin a less urgent prompt. In replays with
reports 1 to 10 ms late, 20 ms gave fewer late urgent requests than 0 or 5 ms."""


class WorkLedger:
    """Track work in progress and speed by target.

    Every entry is informed of all work, so each one knows when an engine is busy and
    what it finishes in that time. The speed of the engine is computed from both and
    does not depend on the order in which it works.
    """

    def __init__(self) -> None:
        self._queues: dict[TargetId, WorkQueue] = {}
        self._targets: dict[str, TargetId] = {}
        # First start of work in progress that has been reported again.
        self._first_starts: dict[str, float] = {}
        self._latency_s = 0.0
        self._follows_starts = False
        # Cached for one point in time, until work begins or ends: a decision needs the
        # median once and the slowness several times for each engine.
        self._median_slowness = 1.0
        self._slowness_by_target: dict[TargetId, float] = {}
        self._slowness_at: float | None = None

    def set_prefill_latency(self, latency_ms: float) -> None:
        """Set the delay between the end of a prefill and its report to this entry."""
        self._latency_s = latency_ms / 1000.0

    def follow_starts(self) -> None:
        """Take into account which work had arrived when an engine began the next.

        An engine reports the end of a prefill some time after it has begun the next
        one. Work that arrives in that time and is more urgent was taken for the one in
        progress, so an engine seemed free that had just begun a large prompt. It is
        used where a service has different priorities.
        """
        self._follows_starts = True

    def begin(self, work: Work, now: float) -> None:
        """Record that work was sent to its target, or is still in progress there."""
        self._slowness_at = None
        queue = self._queues.get(work.target)
        if queue is None:
            queue = self._queues[work.target] = WorkQueue()
        elif work.work in queue.work:
            self._first_starts.setdefault(work.work, queue.work[work.work][1])
        queue.add(work, now)
        self._targets[work.work] = work.target
        if includes_prefill(work):
            queue.throughput.mark_busy(now + self._latency_s)
            if queue.head is None:
                queue.choose_head(now)

    def end(
        self, name: str, now: float, *, completed: bool = False
    ) -> tuple[Work, float] | None:
        """Record that work has ended.

        Parameters
        ----------
        completed : bool
            Whether the prefill of its prompt was completed.

        Returns
        -------
        tuple or None
            The work and the time at which it began; None if it is not known.
        """
        self._slowness_at = None
        first_start = self._first_starts.pop(name, None)
        target = self._targets.pop(name, None)
        queue = self._queues.get(target) if target is not None else None
        begun = queue.pop(name) if queue is not None else None
        if queue is None or begun is None:
            return None
        work, sent_at = begun
        if not includes_prefill(work):
            return work, sent_at if first_start is None else first_start
        queue.throughput.record_finished(work.work_ms if completed else 0.0, now)
        if self._follows_starts:
            queue.follow_end(work, sent_at, now - self._latency_s)
        elif queue.head == name:
            queue.choose_head(now - self._latency_s)
        if queue.head is None:
            queue.throughput.mark_idle()
        return begun

    def drop_host(self, host: HostId, now: float) -> None:
        """Remove the work of an entry that is gone."""
        for queue in self._queues.values():
            for name in [n for n, (w, _) in queue.work.items() if w.host == host]:
                self.end(name, now)

    def expire(self, now: float) -> None:
        """Remove work that is older than ``EXPIRY_S``."""
        for queue in list(self._queues.values()):
            old = [n for n, (_, at) in queue.work.items() if now - at > EXPIRY_S]
            for name in old:
                self.end(name, now)

    def forget(self, target: TargetId) -> None:
        """Remove a target that is gone or has restarted."""
        self._slowness_at = None
        queue = self._queues.pop(target, None)
        for name in queue.work if queue is not None else ():
            self._targets.pop(name, None)
            self._first_starts.pop(name, None)

    def finished_since(self, target: TargetId, since: float) -> bool:
        """Return whether a target has completed a prefill since a time."""
        queue = self._queues.get(target)
        return queue is not None and queue.throughput.finished_at > since

    def slowness(self, target: TargetId, now: float) -> float:
        """Return the ratio of a target's work time to the nominal time."""
        median = self.median_slowness(now)
        slowness = self._slowness_by_target.get(target)
        if slowness is None:
            queue = self._queues.get(target)
            slowness = median if queue is None else queue.slowness(median, now)
            self._slowness_by_target[target] = slowness
        return slowness

    def median_slowness(self, now: float) -> float:
        """Return the median slowness of all engines; 1 before any is known."""
        if self._slowness_at != now:
            known = sorted(
                queue.slowness(1.0, now)
                for queue in self._queues.values()
                if queue.throughput.known
            )
            self._median_slowness = known[len(known) // 2] if known else 1.0
            self._slowness_by_target = {}
            self._slowness_at = now
        return self._median_slowness

    def backlog_ms(self, target: TargetId, urgency: int, now: float) -> float:
        """Return the engine time in milliseconds ahead of new work with an urgency.

        An engine finishes the current prefill whatever the urgency of other work. After
        it, less urgent work does not delay the new work.
        """
        queue = self._queues.get(target)
        if queue is None or queue.head is None:
            return 0.0
        slowness = self.slowness(target, now)
        if self._follows_starts:
            return slowness * self._work_ahead_ms(queue, urgency, slowness, now)
        head, _ = queue.work[queue.head]
        done_ms = (now - queue.head_since) * 1000.0 / slowness
        # The engine may have started the next prefill before this entry knows that the
        # current one is done. Progress beyond it is limited to the reporting delay.
        done_ms = min(done_ms, head.work_ms + self._latency_s * 1000.0 / slowness)
        ahead = sum(
            w.work_ms
            for w, _ in queue.prefills.values()
            if w.urgency <= urgency and w is not head
        )
        return max(0.0, head.work_ms + ahead - done_ms) * slowness

    def mean_backlog_ms(
        self, targets: Collection[TargetId], urgency: int, now: float
    ) -> float:
        """Return the mean engine time ahead of new work; 0 without engines."""
        total = sum(self.backlog_ms(target, urgency, now) for target in targets)
        return total / max(1, len(targets))

    def _work_ahead_ms(
        self, queue: WorkQueue, urgency: int, slowness: float, now: float
    ) -> float:
        """Return the nominal time ahead of new work, from what the engine has begun.

        The engine may be ahead of the reports by up to ``MAX_REPORT_DELAY_S``: prompts
        that are complete by now are not waited for, but one that it began after them
        is, also when it is less urgent. The larger of the times with the learned delay
        and with the maximum counts, because an urgent request cannot leave the engine
        when the estimate was too short.
        """
        early_s = max(0.0, MAX_REPORT_DELAY_S - self._latency_s)
        arrival = now + SEND_S
        return max(
            _simulate_ahead_ms(
                queue, urgency, slowness, arrival, queue.head_since - lead_s
            )
            for lead_s in (0.0, early_s)
        )

    def count_overtaken(self, target: TargetId, urgency: int) -> int:
        """Return how many waiting prompts new work with an urgency would overtake."""
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return sum(
            1
            for name, (work, _) in queue.prefills.items()
            if work.urgency > urgency and name != queue.head
        )

    def open_streams(self, *targets: TargetId) -> Counter[int]:
        """Return the streams that take or await a slot of engines, by urgency.

        For one engine, it is the ledger's own counter, which must not be changed and
        follows the work.
        """
        return _sum_counts(
            [self._queues[t].streams for t in targets if t in self._queues]
        )

    def expected_streams(self, *targets: TargetId) -> Counter[int]:
        """Return the streams that follow the prefills at engines, by urgency.

        For one engine, it is the ledger's own counter; see :meth:`open_streams`.
        """
        return _sum_counts(
            [self._queues[t].expected for t in targets if t in self._queues]
        )

    def count(self, target: TargetId, *kinds: WorkKind) -> int:
        """Return the number of units of work of the given kinds at a target."""
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return sum(n for kind, n in queue.counts.items() if kind in kinds)


def _sum_counts(counts: list[Counter[int]]) -> Counter[int]:
    """Return the sum of counters; of a single one, the counter itself."""
    if len(counts) == 1:
        return counts[0]
    total: dict[int, int] = {}
    for by_urgency in counts:
        for urgency, number in by_urgency.items():
            total[urgency] = total.get(urgency, 0) + number
    return Counter(total)


def _simulate_ahead_ms(
    queue: WorkQueue, urgency: int, slowness: float, now: float, head_since: float
) -> float:
    """Return the nominal time ahead of new work at an engine that began its head."""
    assert queue.head is not None
    running: str | None = queue.head
    # An end before that would have been reported.
    head_s = queue.work[queue.head][0].work_ms * slowness / 1000.0
    began_at = max(head_since, now - MAX_REPORT_DELAY_S - head_s)
    done: set[str] = set()
    while running is not None:
        ends_at = began_at + queue.work[running][0].work_ms * slowness / 1000.0
        if ends_at > now:
            break
        done.add(running)
        running = queue.next_prefill(ends_at, done)
        if running is not None:
            began_at = max(ends_at, queue.work[running][1])
    if running is None:
        return 0.0
    remaining_ms = queue.work[running][0].work_ms - (now - began_at) * 1000.0 / slowness
    done.add(running)
    return remaining_ms + sum(
        w.work_ms
        for n, (w, _) in queue.prefills.items()
        if w.urgency <= urgency and n not in done
    )
