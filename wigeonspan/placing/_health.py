"""Availability of targets: failures, suspensions and requested pauses."""

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
        self.suspended_at = NEVER
        self.paused_until = NEVER


class TargetAvailability:
    """Failure rates, suspensions and pauses by target.

    A suspended target gets no requests; after the suspension, a single request probes
    it. Each further suspension without a success in between lasts twice as long, up to
    ``MAX_SUSPENSION_S``.
    """

    def __init__(self) -> None:
        self._states: dict[TargetId, _State] = {}

    def record_success(self, target: TargetId) -> None:
        """Record a successful answer."""
        state = self._states.setdefault(target, _State())
        state.consecutive_failures = state.consecutive_silences = 0
        state.suspensions = 0
        state.suspended_until = 0.0
        state.probing = False
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

    def suspend(self, target: TargetId, now: float) -> None:
        """Suspend a target that another entry reports as unreachable."""
        state = self._states.setdefault(target, _State())
        if now >= state.suspended_until:
            state.suspended_until = now + INITIAL_SUSPENSION_S
            state.suspended_at = now

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

        After a suspension, one request is allowed as a probe.
        """
        state = self._states.get(target)
        if state is None or state.suspended_until == 0.0:
            return True
        return now >= state.suspended_until and not state.probing

    def record_sent(self, target: TargetId, now: float) -> None:
        """Record that a request is sent to a target."""
        state = self._states.get(target)
        if state is not None and state.suspended_until and now >= state.suspended_until:
            state.probing = True
            # A probe that never ends must not exclude the target permanently.
            state.suspended_until = now + MAX_SUSPENSION_S

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
        duration_s = INITIAL_SUSPENSION_S * 2.0**state.suspensions
        state.suspended_until = now + min(duration_s, MAX_SUSPENSION_S)
        state.suspensions += 1
        state.suspended_at = now
        state.probing = False
