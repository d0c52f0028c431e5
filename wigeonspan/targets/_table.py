"""Targets of the latest listing, and targets known to be leaving."""

from collections.abc import Iterable

from wigeonspan.common import ServiceName
from wigeonspan.targets._messages import Listing, Target, TargetId

MAX_LEAVING = 4096
"""Maximum number of leaving targets that are stored; the oldest are removed first. Even
a large fleet has replaced all of its targets by then, so no list shows these any
more."""

NEVER = float("-inf")
"""Time of the latest read before any listing has been read."""


class TargetTable:
    """Keep the listed targets by name, and the age of the listing."""

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        self._leaving: dict[TargetId, int] = {}
        self._switching: frozenset[TargetId] = frozenset()
        self._read_at = NEVER
        self._digest = ""

    @property
    def read_at(self) -> float:
        """Monotonic time of the latest read; minus infinity before the first."""
        return self._read_at

    def age_ms(self, now: float) -> int | None:
        """Return the age of the latest read in milliseconds; None before the first."""
        return None if self._read_at == NEVER else round((now - self._read_at) * 1000)

    @property
    def digest(self) -> str:
        """Digest of the latest listing."""
        return self._digest

    @property
    def services(self) -> set[ServiceName]:
        """Services that have at least one listed target."""
        return {target.service for target in self._targets.values()}

    def update(self, listing: Listing, read_at: float) -> bool:
        """Apply a listing that was read at a time; return whether anything changed.

        A listing that was read before the current one is ignored. A leaving target
        keeps this state until it restarts, because a stale copy of the list may still
        show it as ready.
        """
        if read_at <= self._read_at:
            return False
        self._read_at = read_at
        for target in listing.targets:
            if target.leaving:
                self.record_leaving(target.target, target.born_ms)
        changed = listing.digest != self._digest
        self._digest = listing.digest
        if changed:
            self._targets = {t.target: t for t in listing.targets}
        return changed

    def record_leaving(self, target: TargetId, born_ms: int) -> bool:
        """Record that a target is leaving; return whether this was unknown.

        The record applies to the target with this start time only. It may come from
        the target itself before the list shows it, and it is kept when the target is
        temporarily missing from the list.
        """
        if self._leaving.get(target) == born_ms:
            return False
        self._leaving.pop(target, None)
        self._leaving[target] = born_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def confirm(self, digest: str, read_at: float) -> bool:
        """Record that a read at a time returned the listing with a digest.

        Returns
        -------
        bool
            Whether it is the current listing.
        """
        if digest != self._digest:
            return False
        self._read_at = max(self._read_at, read_at)
        return True

    def set_switching(self, targets: Iterable[TargetId]) -> None:
        """Set the targets whose phase is being changed; they get no new work."""
        self._switching = frozenset(targets)

    def get(self, target: TargetId) -> Target | None:
        """Return a listed target, or None."""
        return self._targets.get(target)

    def all(self) -> list[Target]:
        """Return all listed targets, including leaving ones."""
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
