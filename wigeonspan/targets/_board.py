"""Targets known here: the newest listing, with departures that it cannot undo."""

from collections.abc import Iterable

from wigeonspan.common import ServiceName
from wigeonspan.targets._messages import Listing, Target, TargetId

MOST_LEAVING = 4096
"""Leaving targets that are remembered; the oldest are forgotten first. A large fleet
replaces all of its targets before the first one would be needed again."""

NEVER = float("-inf")
"""Time of a listing that was never read."""


class TargetBoard:
    """Targets by name, and how old the knowledge of them is."""

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        self._leaving: dict[TargetId, int] = {}
        self._switching: frozenset[TargetId] = frozenset()
        self._read_at = NEVER
        self._digest = ""

    @property
    def read_at(self) -> float:
        """Monotonic time of the newest read; minus infinity before the first."""
        return self._read_at

    def age_ms(self, now: float) -> int | None:
        """Return how old the newest read is; None before the first."""
        return None if self._read_at == NEVER else round((now - self._read_at) * 1000)

    @property
    def digest(self) -> str:
        """Digest of the newest listing."""
        return self._digest

    @property
    def services(self) -> set[ServiceName]:
        """Services that have a listed target."""
        return {target.service for target in self._targets.values()}

    def update(self, listing: Listing, read_at: float) -> bool:
        """Take a listing that was read at a time; return whether anything changed.

        A listing that was read before the known one is dropped. A target that was
        leaving stays so under the same start, because an older copy of the list may
        still call it ready.
        """
        if read_at <= self._read_at:
            return False
        self._read_at = read_at
        for target in listing.targets:
            if target.leaving:
                self.note_leaving(target.target, target.born_ms)
        changed = listing.digest != self._digest
        self._digest = listing.digest
        if changed:
            self._targets = {t.target: t for t in listing.targets}
        return changed

    def note_leaving(self, target: TargetId, born_ms: int) -> bool:
        """Note that one start of a target is leaving; return whether that is news.

        The target may say so itself before the list does. A listing that lacks it for
        a while does not undo it.
        """
        if self._leaving.get(target) == born_ms:
            return False
        self._leaving.pop(target, None)
        self._leaving[target] = born_ms
        if len(self._leaving) > MOST_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def confirm(self, digest: str, read_at: float) -> bool:
        """Note that a later read returned the listing with a digest.

        Returns
        -------
        bool
            Whether that is the listing known here.
        """
        if digest != self._digest:
            return False
        self._read_at = max(self._read_at, read_at)
        return True

    def set_switching(self, targets: Iterable[TargetId]) -> None:
        """Note the targets whose phase is being changed; they get no new work."""
        self._switching = frozenset(targets)

    def get(self, target: TargetId) -> Target | None:
        """Return a target that is listed."""
        return self._targets.get(target)

    def all(self) -> list[Target]:
        """Return all listed targets, also those that leave."""
        return list(self._targets.values())

    def usable(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self._targets.values()
            if target.service == service
            and target.target not in self._switching
            and not self._is_leaving(target)
        ]

    def _is_leaving(self, target: Target) -> bool:
        if target.leaving:
            return True
        return self._leaving.get(target.target, -1) == target.born_ms
