"""Crashes of engines, and the parts that were in requests without an event then."""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Iterator, Sequence

from msgspec import Struct, field

from wigeonspan.targets import TargetId

SAME_CRASH_S = 0.5
"""Seconds within which all breaks at a target are one crash. The entries see it at
about the same time and are told of it up to 0.1 s later."""

ALIVE_UNTIL_S = 0.8
"""Seconds after a supposed crash within which an event of a stream sent after it
shows that the target has not crashed, since targets take longer to start. Targets also
lose single answers and connections while they go on with others."""

SURELY_LISTED_S = 3.0
"""Seconds after a crash from which the list shows the next start of the target, so that
an event of the same start refutes the crash."""

BLAME_S = 0.25
"""Seconds after a crash within which its broken streams are reported. Later breaks at
the same start are of connections to a target that is down."""

REPORT_DELAY_S = 0.03
"""Usual delay in seconds of a report of another entry. A request that was sent later
than this after a crash is no suspect."""

FLAP_WINDOW_S = 10.0
"""Seconds before and after a crash within which other crashes count as signs that
targets crash by themselves."""

FLAP_CRASHES = 3
"""Number of other crashes within ``FLAP_WINDOW_S``, not explained by quarantined parts,
that show that a target crashes by itself. Two culprits at few engines cause two such
crashes each before one of them is quarantined."""

OTHER_CRASHES_SHARE = 2.0
"""Number of crashes of any target without a part, per crash with it, above which the
part is taken to be in the crashes by chance. Three culprits that run side by side may
cause a third of the crashes each."""

PLAIN_CRASHES_SHARE = 2.0
"""Number of crashes that no part has caused, per crash with a part, above which the
part is taken to be in the crashes by chance. A release restarts one engine after the
other while a culprit crashes others."""

PLAIN_AFTER_S = 0.3
"""Seconds after which a crash without a remaining suspect is taken to be no part's
fault; by then the reports of the other entries have arrived."""

SIMULTANEOUS_S = 0.1
"""Seconds within which crashes of several targets count as one, such as the loss of a
rack; at most about the delay of the reports, so that flapping targets count singly."""

MAX_SUSPECTS = 2000
"""Maximum number of suspected parts; the least blamed ones are removed first."""

MAX_BLAMES = 8
"""Maximum number of crashes that are kept for a part; a verdict needs fewer."""

MAX_CRASH_SUSPECTS = 512
"""Maximum number of parts that are kept for a crash."""

MAX_TARGETS = 1000
"""Maximum number of targets whose recent crashes are kept."""

MAX_TARGET_CRASHES = 24
"""Maximum number of recent crashes that are kept for a target; enough to see that it
crashes by itself."""

MAX_RECENT_CRASHES = 256
"""Maximum number of recent crashes of all targets that are kept."""


class Crash(Struct, eq=False):
    """Crash of a target.

    Parameters
    ----------
    at : float
        Time of the first break that was seen or reported.
    born_ms : int
        Start of the target, which crashes at most once; 0 if unknown.
    suspects : set of str
        Parts of the requests without an event.
    remaining : set of str
        Those of them on which no answer was written later; one may be the cause.
    refuted : bool
        Whether the target went on with other streams, so that it has not crashed.
    """

    target: TargetId
    at: float
    born_ms: int = 0
    suspects: set[str] = field(default_factory=set)
    remaining: set[str] = field(default_factory=set)
    refuted: bool = False


class Blame(Struct, eq=False):
    """Crash for which a part is blamed.

    Parameters
    ----------
    counts : bool
        Whether the crash counts; those of flapping targets do not.
    """

    crash: Crash
    counts: bool = True


class Suspect(Struct, eq=False):
    """Part that was in a request without an event when its engine crashed.

    Parameters
    ----------
    companions : frozenset of str
        Parts that were in all broken requests with this one, itself included.
    position : int
        Position in the prompt.
    has_written : bool
        Whether answers on the part were written before the first of the crashes.
    has_quarantined_inside : bool
        Whether a part was quarantined of which all crashes were crashes of this one.
    """

    companions: frozenset[str]
    position: int
    blames: list[Blame] = field(default_factory=list)
    has_written: bool = False
    has_quarantined_inside: bool = False

    def is_blamed_for(self, crash: Crash) -> bool:
        """Return whether the part may be the cause of a crash."""
        return any(blame.crash is crash for blame in self.blames)


class Evidence:
    """Recent crashes and suspected parts.

    Parameters
    ----------
    quarantined : collection of str
        Parts that explain each crash that they were in.
    """

    def __init__(self, quarantined: Collection[str]) -> None:
        self._quarantined = quarantined
        self._crashes: OrderedDict[TargetId, deque[Crash]] = OrderedDict()
        self._recent: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)
        # Parts with one blame are kept apart because they are removed first.
        self._blamed_once: OrderedDict[str, Suspect] = OrderedDict()
        self._blamed_more: OrderedDict[str, Suspect] = OrderedDict()

    def __contains__(self, part: str) -> bool:
        return part in self._blamed_once or part in self._blamed_more

    def __len__(self) -> int:
        return len(self._blamed_once) + len(self._blamed_more)

    def get(self, part: str) -> Suspect | None:
        """Return the evidence against a part."""
        return self._blamed_once.get(part) or self._blamed_more.get(part)

    def find_crash(self, target: TargetId, at: float, born_ms: int = 0) -> Crash | None:
        """Return the known crash of a target at a time, or of the same start of it.

        A target that is down may still take connections and reset them.
        """
        for crash in reversed(self._crashes.get(target, ())):
            same_start = born_ms and crash.born_ms == born_ms and not crash.refuted
            if same_start or abs(crash.at - at) <= SAME_CRASH_S:
                return crash
        return None

    def record_crash(self, target: TargetId, at: float, born_ms: int = 0) -> Crash:
        """Record a crash that is not known yet."""
        crashes = self._crashes.get(target)
        if crashes is None:
            crashes = self._crashes[target] = deque(maxlen=MAX_TARGET_CRASHES)
        self._crashes.move_to_end(target)
        while len(self._crashes) > MAX_TARGETS:
            self._crashes.popitem(last=False)
        crash = Crash(target, at, born_ms)
        crashes.append(crash)
        self._recent.append(crash)
        return crash

    def find_refuted(
        self, target: TargetId, sent_at: float, alive_at: float, born_ms: int = 0
    ) -> Crash | None:
        """Return a supposed crash that an event of a stream refutes, if any.

        Parameters
        ----------
        sent_at, alive_at : float
            Times at which the request of the stream was sent, and of the event.
        """
        crashes = self._crashes.get(target)
        if not crashes:
            return None
        crash = crashes[-1]
        if crash.refuted or sent_at <= crash.at:
            return None
        after_s = alive_at - crash.at
        is_same_start = born_ms and born_ms == crash.born_ms
        is_listed = is_same_start and sent_at - crash.at > SURELY_LISTED_S
        return crash if after_s <= ALIVE_UNTIL_S or is_listed else None

    def refute(self, crash: Crash) -> None:
        """Remove the blames for a crash that did not happen."""
        crash.refuted = True
        for part in crash.suspects:
            suspect = self._pop(part)
            if suspect is None:
                continue
            suspect.blames = [b for b in suspect.blames if b.crash is not crash]
            if suspect.blames:
                self._keep(part, suspect)

    def blame(
        self,
        crash: Crash,
        parts: Sequence[str],
        written: Iterable[str],
        cleared: Collection[str],
    ) -> bool:
        """Blame parts for a crash; return whether one had not been blamed for it.

        Parameters
        ----------
        parts : sequence of str
            Parts of one request.
        written : iterable of str
            Those of them on which answers were written recently.
        cleared : collection of str
            Those of them on which an answer was written after the crash.
        """
        if crash.refuted:
            return False
        is_news = False
        companions = frozenset(parts)
        for position, part in enumerate(parts):
            if part in self._quarantined:
                crash.suspects.add(part)
                crash.remaining.add(part)
            elif part in crash.suspects:
                suspect = self.get(part)
                if suspect is not None:
                    suspect.companions &= companions
            elif len(crash.suspects) < MAX_CRASH_SUSPECTS:
                is_news = True
                crash.suspects.add(part)
                if part not in cleared:
                    crash.remaining.add(part)
                    self._add_blame(part, crash, companions, position)
        for part in written:
            suspect = self.get(part)
            if suspect is not None:
                suspect.has_written = True
        return is_news

    def _add_blame(
        self, part: str, crash: Crash, companions: frozenset[str], position: int
    ) -> None:
        suspect = self._pop(part) or Suspect(companions, position)
        suspect.companions &= companions
        suspect.blames = [*suspect.blames[1 - MAX_BLAMES :], Blame(crash)]
        self._keep(part, suspect)
        while len(self) > MAX_SUSPECTS:
            self._evict()

    def _pop(self, part: str) -> Suspect | None:
        return self._blamed_once.pop(part, None) or self._blamed_more.pop(part, None)

    def _keep(self, part: str, suspect: Suspect) -> None:
        kept = self._blamed_once if len(suspect.blames) == 1 else self._blamed_more
        kept[part] = suspect

    def _evict(self) -> None:
        """Remove the part with the fewest blames whose latest one is the oldest."""
        if self._blamed_once:
            self._blamed_once.popitem(last=False)
            return
        suspects = self._blamed_more
        del suspects[min(suspects, key=lambda part: len(suspects[part].blames))]

    def clear(self, part: str, written_at: float) -> None:
        """Remove the blames for crashes up to a time."""
        suspect = self._pop(part)
        if suspect is None:
            return
        for blame in suspect.blames:
            if blame.crash.at <= written_at:
                blame.crash.remaining.discard(part)
        suspect.blames = [b for b in suspect.blames if b.crash.at > written_at]
        suspect.has_written = True
        suspect.has_quarantined_inside = False
        if suspect.blames:
            self._keep(part, suspect)

    def discard_quarantined(self, part: str) -> None:
        """Remove a part that is quarantined, and mark the parts that enclose it."""
        suspect = self._pop(part)
        if suspect is None:
            return
        for key in suspect.companions:
            other = self.get(key)
            if other is not None and all(
                other.is_blamed_for(blame.crash) for blame in suspect.blames
            ):
                other.has_quarantined_inside = True

    def is_explained(self, crash: Crash) -> bool:
        """Return whether a quarantined part was in a request without an event."""
        return any(part in self._quarantined for part in crash.suspects)

    def counted_crashes(self, part: str, until: float, now: float) -> list[Crash]:
        """Return the crashes up to a time that count against a part.

        None counts when there were far more crashes without the part.
        """
        suspect = self.get(part)
        if suspect is None:
            return []
        crashes = []
        recent = [c for c in self.unexplained(now) if now - c.at > PLAIN_AFTER_S]
        for blame in suspect.blames:
            if now - blame.crash.at <= FLAP_WINDOW_S:
                blame.counts = not self._was_flapping(blame.crash, part)
            if blame.counts and blame.crash.at <= until:
                crashes.append(blame.crash)
        if crashes:
            others = self._count_times(c for c in recent if part not in c.suspects)
            plain = self._count_times(c for c in recent if not c.remaining)
            if others > OTHER_CRASHES_SHARE * len(
                crashes
            ) or plain > PLAIN_CRASHES_SHARE * len(crashes):
                return []
        return crashes

    def has_plain_crashes(self, now: float) -> bool:
        """Return whether a recent crash has no remaining suspect."""
        return any(
            not crash.remaining and now - crash.at > PLAIN_AFTER_S
            for crash in self.unexplained(now)
        )

    def _was_flapping(self, crash: Crash, part: str) -> bool:
        """Return whether a target crashed repeatedly without a part around a crash."""
        others = 0
        for other in self._crashes.get(crash.target, ()):
            if (
                other is not crash
                and not other.refuted
                and abs(other.at - crash.at) <= FLAP_WINDOW_S
                and part not in other.suspects
                and not self.is_explained(other)
            ):
                others += 1
        return others >= FLAP_CRASHES

    def unexplained(self, now: float) -> Iterator[Crash]:
        """Yield the recent crashes that no quarantined part explains, latest first."""
        for crash in reversed(self._recent):
            is_recent = now - crash.at <= FLAP_WINDOW_S and not crash.refuted
            if is_recent and not self.is_explained(crash):
                yield crash

    def _count_times(self, crashes: Iterable[Crash]) -> int:
        """Return how many times targets crashed, from the crashes, latest first."""
        times, latest = 0, float("inf")
        for crash in crashes:
            if latest - crash.at > SIMULTANEOUS_S:
                times, latest = times + 1, crash.at
        return times

    def has_flapping_targets(self, now: float) -> bool:
        """Return whether targets crash repeatedly by themselves."""
        counts: dict[TargetId, int] = {}
        for crash in self.unexplained(now):
            counts[crash.target] = counts.get(crash.target, 0) + 1
        return any(number > FLAP_CRASHES for number in counts.values())
