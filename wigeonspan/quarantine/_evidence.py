"""Crashes of engines, and the parts that were in requests without an event then."""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Sequence

from msgspec import Struct, field

from wigeonspan.targets import TargetId

SAME_CRASH_S = 0.5
"""Seconds within which all breaks at a target are one crash. The entries see it at
about the same time and are told of it up to 0.1 s later."""

FLAP_WINDOW_S = 10.0
"""Seconds before and after a crash within which other crashes of the same target
count."""

FLAP_CRASHES = 3
"""Number of other crashes within ``FLAP_WINDOW_S``, not explained by quarantined parts,
that show that a target crashes by itself. Two culprits at few engines cause two such
crashes each before one of them is quarantined."""

MAX_SUSPECTS = 2000
"""Maximum number of suspected parts; the least blamed ones are removed first."""

MAX_BLAMES = 8
"""Maximum number of crashes that are kept for a part; a verdict needs fewer."""

MAX_CRASH_SUSPECTS = 1024
"""Maximum number of parts that are kept for a crash."""

MAX_TARGETS = 1000
"""Maximum number of targets whose recent crashes are kept."""

MAX_TARGET_CRASHES = 24
"""Maximum number of recent crashes that are kept for a target; more than fit into
``FLAP_WINDOW_S`` twice at ``SAME_CRASH_S`` are not needed to see that it flaps."""


class Crash(Struct, eq=False):
    """Crash of a target.

    Parameters
    ----------
    at : float
        Time of the first break that was seen or reported.
    suspects : dict
        Positions in their prompts of the parts that may be the cause, by key.
    """

    target: TargetId
    at: float
    suspects: dict[str, int] = field(default_factory=dict)


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
    has_written : bool
        Whether answers on the part were written before the first of the crashes.
    """

    blames: list[Blame] = field(default_factory=list)
    has_written: bool = False


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

    def find_crash(self, target: TargetId, at: float) -> Crash | None:
        """Return the known crash of a target at a time."""
        for crash in reversed(self._crashes.get(target, ())):
            if abs(crash.at - at) <= SAME_CRASH_S:
                return crash
        return None

    def record_crash(self, target: TargetId, at: float) -> Crash:
        """Record a crash that is not known yet."""
        crashes = self._crashes.get(target)
        if crashes is None:
            crashes = self._crashes[target] = deque(maxlen=MAX_TARGET_CRASHES)
        self._crashes.move_to_end(target)
        while len(self._crashes) > MAX_TARGETS:
            self._crashes.popitem(last=False)
        crash = Crash(target, at)
        crashes.append(crash)
        return crash

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
        written : iterable of str
            Those of them on which answers were written recently.
        cleared : collection of str
            Those of them on which an answer was written after the crash.
        """
        is_news = False
        for position, part in enumerate(parts):
            if part in crash.suspects or len(crash.suspects) >= MAX_CRASH_SUSPECTS:
                continue
            is_news = True
            crash.suspects[part] = position
            if part not in self._quarantined and part not in cleared:
                self._add_blame(part, crash)
        for part in written:
            suspect = self.get(part)
            if suspect is not None:
                suspect.has_written = True
        return is_news

    def _add_blame(self, part: str, crash: Crash) -> None:
        suspect = self._blamed_once.pop(part, None) or self._blamed_more.pop(part, None)
        if suspect is None:
            suspect = Suspect()
        suspect.blames = [*suspect.blames[1 - MAX_BLAMES :], Blame(crash)]
        kept = self._blamed_once if len(suspect.blames) == 1 else self._blamed_more
        kept[part] = suspect
        while len(self) > MAX_SUSPECTS:
            self._evict()

    def _evict(self) -> None:
        """Remove the part with the fewest blames whose latest one is the oldest."""
        if self._blamed_once:
            self._blamed_once.popitem(last=False)
            return
        suspects = self._blamed_more
        del suspects[min(suspects, key=lambda part: len(suspects[part].blames))]

    def clear(self, part: str, written_at: float) -> bool:
        """Remove the blames for crashes up to a time; return whether there were any."""
        suspect = self._blamed_once.pop(part, None) or self._blamed_more.pop(part, None)
        if suspect is None:
            return False
        later = [blame for blame in suspect.blames if blame.crash.at > written_at]
        if later:
            kept = self._blamed_once if len(later) == 1 else self._blamed_more
            kept[part] = Suspect(later, has_written=True)
        return len(later) < len(suspect.blames)

    def discard(self, part: str) -> list[Blame]:
        """Remove a part, and return its blames."""
        suspect = self._blamed_once.pop(part, None) or self._blamed_more.pop(part, None)
        return [] if suspect is None else suspect.blames

    def is_explained(self, crash: Crash) -> bool:
        """Return whether a quarantined part was in a request without an event."""
        return any(part in self._quarantined for part in crash.suspects)

    def count(self, part: str, now: float) -> tuple[int, int]:
        """Return how many crashes count against a part.

        Returns
        -------
        total : int
            Number of crashes.
        unexplained : int
            Number of those that no quarantined part explains.
        """
        suspect = self.get(part)
        if suspect is None:
            return 0, 0
        total = unexplained = 0
        for blame in suspect.blames:
            if now - blame.crash.at <= FLAP_WINDOW_S:
                blame.counts = not self._was_flapping(blame.crash, part)
            if blame.counts:
                total += 1
                unexplained += not self.is_explained(blame.crash)
        return total, unexplained

    def _was_flapping(self, crash: Crash, part: str) -> bool:
        """Return whether a target crashed repeatedly without a part around a crash."""
        others = 0
        for other in self._crashes.get(crash.target, ()):
            if (
                other is not crash
                and abs(other.at - crash.at) <= FLAP_WINDOW_S
                and part not in other.suspects
                and not self.is_explained(other)
            ):
                others += 1
        return others >= FLAP_CRASHES

    def flapping_targets(self, now: float) -> int:
        """Return the number of targets that crash repeatedly by themselves."""
        return sum(
            sum(
                now - crash.at <= FLAP_WINDOW_S and not self.is_explained(crash)
                for crash in crashes
            )
            > FLAP_CRASHES
            for crashes in self._crashes.values()
        )
