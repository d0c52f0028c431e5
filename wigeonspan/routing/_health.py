"""Health of targets, judged from their answers."""

from collections.abc import Hashable
from statistics import median
from typing import Generic, TypeVar

from wigeonspan.routing._messages import RoutingSettings

Target = TypeVar("Target", bound=Hashable)

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in a target's mean latency; about ten answers count."""

MAX_BACKOFF_DOUBLINGS = 5
"""Ejections are at most 32 times the first, so a repaired target returns in minutes."""


class _Condition:
    """What is known of one target."""

    __slots__ = ("answers", "ejections", "failures", "latency", "out_until")

    def __init__(self) -> None:
        self.failures = 0
        self.answers = 0
        self.latency = 0.0
        self.ejections = 0
        self.out_until: float | None = None


class TargetHealth(Generic[Target]):
    """Ejects targets that fail or are far slower than their peers.

    Parameters
    ----------
    settings : RoutingSettings
        Limits.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._conditions: dict[Target, _Condition] = {}
        self._group: dict[Target, str] = {}
        self._members: dict[str, set[Target]] = {}
        self._out: dict[str, set[Target]] = {}

    def update_targets(self, groups: dict[Target, str]) -> None:
        """Replace the targets.

        Parameters
        ----------
        groups : dict
            The group, for example the service, of each target. The limit on ejected
            targets counts within a group.
        """
        for target in [t for t in self._conditions if t not in groups]:
            del self._conditions[target]
        self._group = dict(groups)
        self._members = {}
        for target, group in groups.items():
            self._members.setdefault(group, set()).add(target)
            self._conditions.setdefault(target, _Condition())
        self._out = {
            group: {t for t in members if self._conditions[t].out_until is not None}
            for group, members in self._members.items()
        }

    def is_out(self, target: Target) -> bool:
        """Whether a target is ejected."""
        condition = self._conditions.get(target)
        return condition is not None and condition.out_until is not None

    def succeeded(self, target: Target, latency: float | None, now: float) -> None:
        """Note a whole answer.

        Parameters
        ----------
        target : Target
            Target that answered.
        latency : float or None
            Seconds, in a unit that is comparable between peers and independent of
            their queues, for example between tokens; None when it is not known.
        now : float
            Monotonic time in seconds.
        """
        condition = self._conditions.get(target)
        if condition is None:
            return
        condition.failures = 0
        if latency is None:
            return
        condition.answers += 1
        weight = max(LATENCY_WEIGHT, 1 / condition.answers)
        condition.latency += weight * (latency - condition.latency)
        if condition.answers >= self._settings.outlier_answers:
            self._judge_latency(target, condition, now)

    def failed(self, target: Target, now: float) -> None:
        """Note a failure of a target."""
        condition = self._conditions.get(target)
        if condition is None:
            return
        condition.failures += 1
        if condition.failures >= self._settings.failures_to_eject:
            self._eject(target, condition, now)

    def probe_targets(self, now: float) -> list[Target]:
        """Return ejected targets that are due for a probe.

        Each is due again after the ejection time if no result arrives.
        """
        due = []
        for members in self._out.values():
            for target in members:
                condition = self._conditions[target]
                if condition.out_until is not None and condition.out_until <= now:
                    condition.out_until = now + self._settings.eject_s
                    due.append(target)
        return due

    def probed(self, target: Target, ok: bool, now: float) -> None:
        """Note the result of a probe; only a good one brings a target back."""
        condition = self._conditions.get(target)
        if condition is None or condition.out_until is None:
            return
        if not ok:
            condition.out_until = now + self._backoff(condition)
            condition.ejections += 1
            return
        condition.out_until = None
        condition.failures = self._settings.failures_to_eject - 1
        condition.answers = 0
        self._out[self._group[target]].discard(target)

    def _judge_latency(self, target: Target, condition: _Condition, now: float) -> None:
        peers = self._members[self._group[target]]
        judged = [
            c.latency
            for c in (self._conditions[p] for p in peers if p != target)
            if c.answers >= self._settings.outlier_answers and c.out_until is None
        ]
        if len(judged) < 2:
            return
        if condition.latency > self._settings.outlier_factor * median(judged):
            self._eject(target, condition, now)

    def _eject(self, target: Target, condition: _Condition, now: float) -> None:
        if condition.out_until is not None:
            return
        group = self._group[target]
        limit = int(self._settings.max_out_share * len(self._members[group]))
        if len(self._out[group]) >= limit:
            return
        condition.out_until = now + self._backoff(condition)
        condition.ejections += 1
        self._out[group].add(target)

    def _backoff(self, condition: _Condition) -> float:
        doublings = min(condition.ejections, MAX_BACKOFF_DOUBLINGS)
        return self._settings.eject_s * 2**doublings
