"""Availability of targets: failures, suspensions and requested pauses."""

import random

from wigeonspan.placing._shared_failures import MAX_SMALL_FLEET, suspension_s
from wigeonspan.targets import TargetId

MAX_FAILURES_IN_ROW = 2
"""Consecutive failures after which a target is suspended. A single failure may be
caused by the request itself."""

INITIAL_SUSPENSION_S = 0.7
"""Duration of the first suspension in seconds: longer than it takes to recover from a
lost packet, shorter than a restart."""

MAX_SUSPENSION_S = 5.0
"""Maximum duration of a suspension in seconds; bounds the time until a recovered target
is used again."""

OUTCOME_WEIGHT = 0.15
"""Weight of a new outcome in the moving average of a target's failure rate."""

FAILURE_PENALTY_MS = 800.0
"""Delay in milliseconds that a failure rate of 1 adds when targets are compared; about
the latency objective of a long generation."""


NEVER = float("-inf")
"""Timestamp of an event that has not happened."""


class _State:
    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.consecutive_silences = 0
        self.failure_rate = 0.0
        self.suspensions = 0
        self.suspended_until = 0.0
        self.probing = False
        # Name of the probe's work; None once it has ended.
        self.open_probe: str | None = None
        self.suspended_at = NEVER
        self.paused_until = NEVER
        # Time at which work of another entry ended a suspension.
        self.ended_at = NEVER
        # Whether only a success of this entry ends a suspension.
        self.needs_own_success = False


class TargetAvailability:
    """Failure rates, suspensions and pauses by target.

    A suspended target gets no requests; after the suspension, a single request probes
    it. Each further suspension without a success in between lasts twice as long, up to
    ``MAX_SUSPENSION_S``.

    Parameters
    ----------
    rng : random.Random or None
        Source of the durations of suspensions in large fleets; None for one of its own.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._entries = 1
        self._states: dict[TargetId, _State] = {}
        # State of the target of each open probe, by the name of the probe's work.
        self._open_probes: dict[str, _State] = {}

    @property
    def is_shared(self) -> bool:
        """Whether the fleet is so large that its entries share suspensions."""
        return self._entries > MAX_SMALL_FLEET

    def set_entries(self, count: int) -> None:
        """Set the number of entries of the fleet, this one included."""
        self._entries = count

    def record_success(self, target: TargetId) -> None:
        """Record a successful answer."""
        state = self._states.setdefault(target, _State())
        state.consecutive_failures = state.consecutive_silences = 0
        state.suspensions = 0
        state.suspended_until = 0.0
        state.probing = False
        state.ended_at = NEVER
        state.needs_own_success = False
        state.failure_rate -= OUTCOME_WEIGHT * state.failure_rate

    def record_failure(
        self, target: TargetId, now: float, *, unreachable: bool = False
    ) -> bool:
        """Record a failure and return whether it suspends the target.

        Parameters
        ----------
        unreachable : bool
            Whether the target did not accept a connection; then one failure is enough
            to suspend it.
        """
        state = self._states.setdefault(target, _State())
        state.consecutive_failures += 1
        state.failure_rate += OUTCOME_WEIGHT * (1.0 - state.failure_rate)
        if not unreachable and state.consecutive_failures < MAX_FAILURES_IN_ROW:
            return False
        self._suspend(state, now)
        return True

    def record_silence(self, target: TargetId, now: float) -> bool:
        """Record that a target is silent and return whether this suspends it.

        A sound target may be silent for a while and then go on. So a silence keeps new
        work away until the target answers again, but does not count as a failure.
        """
        state = self._states.setdefault(target, _State())
        state.consecutive_silences += 1
        if state.consecutive_silences < MAX_FAILURES_IN_ROW and not state.probing:
            return False
        self._suspend(state, now)
        return True

    def record_error(self, target: TargetId) -> None:
        """Record an error response, which a healthy target may return as well."""
        state = self._states.setdefault(target, _State())
        state.failure_rate += OUTCOME_WEIGHT * (1.0 - state.failure_rate)

    def suspend(self, target: TargetId, now: float) -> bool:
        """Suspend a target that other entries report as failed.

        In a large fleet, an entry that waits to probe the target waits anew, so that
        the probes of the entries follow each other.

        Returns
        -------
        bool
            Whether the target was not suspended before.
        """
        state = self._states.setdefault(target, _State())
        is_new = now >= state.suspended_until
        if not is_new and (not self.is_shared or state.probing):
            return False
        duration_s = suspension_s(
            INITIAL_SUSPENSION_S, MAX_SUSPENSION_S, self._entries, self._rng
        )
        state.suspended_until = max(state.suspended_until, now + duration_s)
        if is_new:
            state.suspended_at = now
            # In a large fleet, a probe without a result must not exclude the target
            # for as long as this entry runs.
            state.probing = state.probing and not self.is_shared
        return is_new

    def record_completed(self, target: TargetId, now: float) -> None:
        """End the suspension of a target that has completed work of any entry.

        When this entry does not reach the target although others do, the reports of
        their work would end each of its suspensions at once. So a failure soon after
        such an end makes it wait for a success of its own.
        """
        state = self._states.get(target)
        if state is None or not state.suspended_until or state.needs_own_success:
            return
        state.suspended_until = 0.0
        state.probing = False
        state.ended_at = now

    def forget(self, target: TargetId) -> None:
        """End the suspension of a target that is gone or has restarted.

        In a large fleet, suspensions are long and some end only by a success of this
        entry, so that a planned restart would exclude a sound target for seconds. Small
        fleets keep the state. A pause holds on.
        """
        state = self._states.get(target)
        if state is None or not self.is_shared:
            return
        fresh = _State()
        fresh.failure_rate = state.failure_rate
        fresh.paused_until = state.paused_until
        self._states[target] = fresh

    def pause(self, target: TargetId, until: float) -> None:
        """Record that a target has asked this entry to send no requests until a time.

        A suspension is only inferred from failures, so the target may be probed; a
        pause is always respected.
        """
        state = self._states.setdefault(target, _State())
        state.paused_until = max(state.paused_until, until)

    def remaining_pause_s(self, target: TargetId, now: float) -> float:
        """Return the remaining seconds of a target's pause; 0 when it is not paused."""
        state = self._states.get(target)
        return 0.0 if state is None else max(0.0, state.paused_until - now)

    def suspended_since(self, target: TargetId, since: float) -> bool:
        """Return whether a target was suspended after a time, with no success since."""
        state = self._states.get(target)
        return (
            state is not None
            and state.suspended_until > 0.0
            and state.suspended_at > since
        )

    def available(self, target: TargetId, now: float) -> bool:
        """Return whether a target may get a request.

        After a suspension, one request is allowed as a probe. ``MAX_SUSPENSION_S``
        after a probe that has had no result, another one is allowed; in a small fleet
        only once the probe has ended, such as when its caller left.
        """
        state = self._states.get(target)
        if state is None or state.suspended_until == 0.0:
            return True
        has_open_probe = state.probing and state.open_probe is not None
        if has_open_probe and not self.is_shared:
            return False
        return now >= state.suspended_until

    def record_sent(self, target: TargetId, now: float, work: str = "") -> None:
        """Record that a request is sent to a target.

        Parameters
        ----------
        work : str
            Name of its work, whose end :meth:`record_ended` reports.
        """
        state = self._states.get(target)
        if state is not None and state.suspended_until and now >= state.suspended_until:
            state.probing = True
            state.open_probe = work
            self._open_probes[work] = state
            # A probe that never ends must not exclude the target permanently.
            state.suspended_until = now + MAX_SUSPENSION_S

    def record_ended(self, work: str) -> None:
        """Record that work has ended, with or without a result.

        A probe has none when its caller leaves. The success that would end the
        suspension can then no longer occur.
        """
        state = self._open_probes.pop(work, None)
        if state is not None and state.open_probe == work:
            state.open_probe = None

    def failure_penalties_ms(self, targets: list[TargetId]) -> dict[TargetId, float]:
        """Return the penalty in milliseconds for the failure rate of each target.

        Only the excess over the median rate counts: failures at the rate of most
        targets are caused by the requests.
        """
        rates = {target: self._failure_rate(target) for target in targets}
        median = sorted(rates.values())[len(rates) // 2] if rates else 0.0
        return {
            target: max(0.0, failure_rate - median) * FAILURE_PENALTY_MS
            for target, failure_rate in rates.items()
        }

    def _failure_rate(self, target: TargetId) -> float:
        state = self._states.get(target)
        return 0.0 if state is None else state.failure_rate

    def _suspend(self, state: _State, now: float) -> None:
        duration_s = suspension_s(
            INITIAL_SUSPENSION_S * 2.0**state.suspensions,
            MAX_SUSPENSION_S,
            self._entries,
            self._rng,
        )
        state.suspended_until = now + duration_s
        state.suspensions += 1
        if now - state.ended_at < MAX_SUSPENSION_S:
            state.needs_own_success = True
        state.suspended_at = now
        state.probing = False
