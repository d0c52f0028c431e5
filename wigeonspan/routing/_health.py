"""Health of targets, derived from the results of their requests."""

from collections.abc import Hashable
from statistics import median
from typing import Generic, TypeVar

from wigeonspan.routing._messages import RoutingSettings

Target = TypeVar("Target", bound=Hashable)

LATENCY_WEIGHT = 0.2
"""Weight of the newest response in the moving average of a target's latency, which
covers about ten responses."""

MAX_BACKOFF_DOUBLINGS = 5
"""Limits the ejection time to 32 times the first one, so that a repaired target is used
again within minutes."""


class _TargetState:
    """Failures, latency and ejections of one target."""

    __slots__ = (
        "answers",
        "ejected_until",
        "ejections",
        "failures",
        "is_silent",
        "mean_latency",
        "silences",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.answers = 0
        self.mean_latency = 0.0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.silences = 0
        # Whether the target is ejected only because it was silent.
        self.is_silent = False


class TargetHealth(Generic[Target]):
    """Eject targets that fail or are much slower than their peers.

    An ejected target receives no requests until a probe of it succeeds.

    Parameters
    ----------
    settings : RoutingSettings
        Thresholds and ejection times.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._states: dict[Target, _TargetState] = {}
        self._group_of: dict[Target, str] = {}
        self._members: dict[str, set[Target]] = {}
        self._ejected: dict[str, set[Target]] = {}

    def update_targets(self, groups: dict[Target, str]) -> None:
        """Replace the targets.

        Parameters
        ----------
        groups : dict
            Group of each target, for example its service. Latencies are compared and
            ejections are limited within a group.
        """
        for target in [t for t in self._states if t not in groups]:
            del self._states[target]
        self._group_of = dict(groups)
        self._members = {}
        for target, group in groups.items():
            self._members.setdefault(group, set()).add(target)
            self._states.setdefault(target, _TargetState())
        self._ejected = {
            group: {t for t in members if self._states[t].ejected_until is not None}
            for group, members in self._members.items()
        }

    def is_ejected(self, target: Target) -> bool:
        """Return whether a target is ejected."""
        state = self._states.get(target)
        return state is not None and state.ejected_until is not None

    def record_success(self, target: Target, latency: float | None, now: float) -> None:
        """Record a complete response.

        Parameters
        ----------
        target : Target
            Target that sent the response.
        latency : float or None
            Seconds of a measure that is comparable between peers and independent of
            their queues, for example the time between tokens; None if unknown.
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(target)
        if state is None:
            return
        state.failures = 0
        self._end_silence(target, state)
        if latency is None:
            return
        state.answers += 1
        weight = max(LATENCY_WEIGHT, 1 / state.answers)
        state.mean_latency += weight * (latency - state.mean_latency)
        if state.answers >= self._settings.outlier_answers:
            self._eject_if_slow(target, state, now)

    def record_failure(self, target: Target, now: float) -> None:
        """Record a failure of a target."""
        state = self._states.get(target)
        if state is None:
            return
        state.failures += 1
        if state.failures >= self._settings.failures_to_eject:
            self._eject(target, state, now)

    def record_silence(self, target: Target, now: float) -> None:
        """Record a target that does not respond in time but may still do so.

        It is no failure. After ``failures_to_eject`` silences in a row, the target
        receives no new requests until it responds or a probe of it succeeds.
        """
        state = self._states.get(target)
        if state is None:
            return
        state.silences += 1
        ejected = state.ejected_until is not None
        if ejected or state.silences < self._settings.failures_to_eject:
            return
        if self._may_eject(target):
            state.ejected_until = now + self._settings.eject_s
            state.is_silent = True
            self._ejected[self._group_of[target]].add(target)

    def record_activity(self, target: Target) -> None:
        """Record a part of a response, which ends a silence."""
        state = self._states.get(target)
        if state is not None and state.silences:
            self._end_silence(target, state)

    def probe_targets(self, now: float) -> list[Target]:
        """Return ejected targets that are due for a probe.

        If no result of a probe is recorded, the target is due again after ``eject_s``.
        """
        due = []
        for members in self._ejected.values():
            for target in members:
                state = self._states[target]
                if state.ejected_until is not None and state.ejected_until <= now:
                    state.ejected_until = now + self._settings.eject_s
                    due.append(target)
        return due

    def record_probe(self, target: Target, ok: bool, now: float) -> None:
        """Record the result of a probe.

        A successful probe ends the ejection, but a single failure before the next
        complete response ejects the target again. A failed probe extends the ejection.
        """
        state = self._states.get(target)
        if state is None or state.ejected_until is None:
            return
        if not ok:
            state.ejected_until = now + self._backoff(state)
            state.ejections += 1
            state.is_silent = False
            return
        if state.is_silent:
            self._end_silence(target, state)
            state.silences = self._settings.failures_to_eject - 1
            return
        state.ejected_until = None
        state.failures = self._settings.failures_to_eject - 1
        state.answers = 0
        self._ejected[self._group_of[target]].discard(target)

    def _end_silence(self, target: Target, state: _TargetState) -> None:
        """Forget the silences of a target and end an ejection because of them."""
        state.silences = 0
        if state.is_silent:
            state.is_silent = False
            state.ejected_until = None
            self._ejected[self._group_of[target]].discard(target)

    def _eject_if_slow(self, target: Target, state: _TargetState, now: float) -> None:
        """Eject a target whose latency is far above the median of its peers."""
        peers = self._members[self._group_of[target]]
        peer_latencies = [
            peer.mean_latency
            for peer in (self._states[p] for p in peers if p != target)
            if peer.answers >= self._settings.outlier_answers
            and peer.ejected_until is None
        ]
        if len(peer_latencies) < 2:
            return
        if state.mean_latency > self._settings.outlier_factor * median(peer_latencies):
            self._eject(target, state, now)

    def _eject(self, target: Target, state: _TargetState, now: float) -> None:
        """Eject a target unless too many of its group are ejected already."""
        if state.ejected_until is not None or not self._may_eject(target):
            return
        state.ejected_until = now + self._backoff(state)
        state.ejections += 1
        self._ejected[self._group_of[target]].add(target)

    def _may_eject(self, target: Target) -> bool:
        """Return whether one more target of the group of ``target`` may be ejected."""
        group = self._group_of[target]
        limit = int(self._settings.max_ejected_share * len(self._members[group]))
        return len(self._ejected[group]) < limit

    def _backoff(self, state: _TargetState) -> float:
        """Return the seconds of the next ejection, doubled for each earlier one."""
        doublings = min(state.ejections, MAX_BACKOFF_DOUBLINGS)
        return self._settings.eject_s * 2**doublings
