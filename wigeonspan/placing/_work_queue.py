"""Units of work, and the queue of those in progress at one target."""

from collections import Counter
from collections.abc import Collection
from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.common import HostId
from wigeonspan.placing._throughput import Throughput
from wigeonspan.targets import TargetId

MAX_REPORT_DELAY_S = 0.1
"""Largest usual delay in seconds between the end of a prefill at an engine and its
report at another entry; engines answer up to 95 ms after a prefill. Entries with few
requests learn it late."""


class WorkKind(Enum):
    """Kind of work that a target does."""

    PREFILL = "prefill"
    DECODE = "decode"
    DIRECT = "direct"
    CALL = "call"

    # Counters are keyed by kind, and Enum computes the hash of a member in Python.
    __hash__ = object.__hash__


class Work(Struct, frozen=True, array_like=True):
    """One unit of work at a target.

    Parameters
    ----------
    work : str
        Identifier that is unique among all entries.
    work_ms : float
        Expected time in milliseconds at a target of nominal speed; of a generation only
        the prefill counts.
    urgency : int
        Scheduling rank at the target; 0 goes first.
    """

    work: str
    host: HostId
    target: TargetId
    kind: WorkKind
    work_ms: Annotated[float, Meta(ge=0.0, le=1e9)]
    urgency: Annotated[int, Meta(ge=-(10**6), le=10**6)]


class WorkQueue:
    """Work in progress at one target, and the prompt that it is assumed to prefill."""

    def __init__(self) -> None:
        self.work: dict[str, tuple[Work, float]] = {}
        # The part of it that includes a prefill, in the same order.
        self.prefills: dict[str, tuple[Work, float]] = {}
        # Number of units of work by kind.
        self.counts: Counter[WorkKind] = Counter()
        # Streams that take or await a slot, and streams that follow the prefills here,
        # both by urgency.
        self.streams: Counter[int] = Counter()
        self.expected: Counter[int] = Counter()
        # Work whose prompt is assumed to be in prefill, and its assumed start.
        self.head: str | None = None
        self.head_since = 0.0
        self.throughput = Throughput()

    def add(self, work: Work, now: float) -> None:
        """Add work, or replace the work with the same name."""
        if work.work in self.work:
            self.pop(work.work)
        self.work[work.work] = begun = (work, now)
        if includes_prefill(work):
            self.prefills[work.work] = begun
        self._count(work, 1)

    def pop(self, name: str) -> tuple[Work, float] | None:
        """Remove work and return it with its begin; None if there is no such work."""
        begun = self.work.pop(name, None)
        if begun is not None:
            self.prefills.pop(name, None)
            self._count(begun[0], -1)
        return begun

    def _count(self, work: Work, change: int) -> None:
        kind, urgency = work.kind, work.urgency
        self.counts[kind] += change
        if kind is WorkKind.PREFILL:
            self.expected[urgency] += change
        elif kind is not WorkKind.CALL:
            self.streams[urgency] += change

    def slowness(self, prior: float, now: float) -> float:
        """Return the ratio of work time to nominal time; see `Throughput.slowness`."""
        return self.throughput.slowness(prior, self.largest_prefill_ms(), now)

    def largest_prefill_ms(self) -> float:
        """Return the largest nominal prefill time among the work in progress."""
        return max([w.work_ms for w, _ in self.prefills.values()], default=0.0)

    def next_prefill(self, at: float, done: Collection[str] = ()) -> str | None:
        """Return the prompt that an engine begins at a time.

        It is the most urgent one, then the oldest, of those that had arrived; work that
        arrived later cannot have been chosen, however urgent it is.

        Parameters
        ----------
        done : collection of str
            Work whose prefill was complete by that time.
        """
        waiting = [
            (sent_at, w.urgency, n)
            for n, (w, sent_at) in self.prefills.items()
            if n not in done
        ]
        arrived = [(u, sent_at, n) for sent_at, u, n in waiting if sent_at <= at]
        if arrived:
            return min(arrived)[2]
        return min(waiting)[2] if waiting else None

    def follow_end(self, ended: Work, sent_at: float, at: float) -> None:
        """Select the next prompt after one has ended, which need not be the head.

        Prompts that the engine would have taken before the ended one are passed over:
        the report of their end was lost.

        Parameters
        ----------
        sent_at : float
            Time at which the ended work was sent.
        at : float
            Time at which the prefill ended.
        """
        lost = [
            n
            for n, (w, earlier) in self.prefills.items()
            if w.urgency <= ended.urgency and earlier < sent_at - MAX_REPORT_DELAY_S
        ]
        self.head = self.next_prefill(at, lost)
        self.head_since = at

    def choose_head(self, now: float) -> None:
        """Select the next prompt for prefill: the most urgent one, then the oldest."""
        waiting = [(w.urgency, at, n) for n, (w, at) in self.prefills.items()]
        self.head = min(waiting)[2] if waiting else None
        self.head_since = now


def includes_prefill(work: Work) -> bool:
    """Return whether work includes the prefill of a prompt."""
    return work.kind is WorkKind.PREFILL or work.kind is WorkKind.DIRECT
