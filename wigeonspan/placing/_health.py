"""Which targets answer and want requests, and a price for unreliable ones."""

from wigeonspan.targets import TargetId

FAILURES = 2
"""Failures in a row after which a target is suspended; one may be the request's own."""

FIRST_SUSPENSION_S = 0.7
"""Seconds of the first suspension; a restart takes longer, a lost packet less."""

LONGEST_SUSPENSION_S = 5.0
"""Longest suspension in seconds, so that a target that is back is found again soon."""

WEIGHT = 0.15
"""Weight of a new outcome in a target's failure share."""

FAILURE_PRICE_MS = 800.0
"""Delay that a certain failure counts as when targets are compared; about the
objective of a long generation."""


NEVER = float("-inf")
"""Time of a suspension that has not happened."""


class _State:
    def __init__(self) -> None:
        self.in_row = 0
        self.share = 0.0
        self.suspensions = 0
        self.until = 0.0
        self.trial = False
        self.suspended_at = NEVER
        self.paused_until = NEVER


class HealthBook:
    """Outcomes by target."""

    def __init__(self) -> None:
        self._states: dict[TargetId, _State] = {}

    def succeeded(self, target: TargetId) -> None:
        """Note an answer."""
        state = self._states.setdefault(target, _State())
        state.in_row = state.suspensions = 0
        state.until = 0.0
        state.trial = False
        state.share -= WEIGHT * state.share

    def failed(self, target: TargetId, now: float, *, silent: bool = False) -> bool:
        """Note a failure; return whether it suspends the target.

        Parameters
        ----------
        silent : bool
            Whether the target did not even take a connection, which one failure
            proves.
        """
        state = self._states.setdefault(target, _State())
        state.in_row += 1
        state.share += WEIGHT * (1.0 - state.share)
        if not silent and state.in_row < FAILURES:
            return False
        self._suspend(state, now)
        return True

    def erred(self, target: TargetId) -> None:
        """Note an error answer, which a sound target may give as well."""
        state = self._states.setdefault(target, _State())
        state.share += WEIGHT * (1.0 - state.share)

    def suspend(self, target: TargetId, now: float) -> None:
        """Suspend a target that another entry found silent."""
        state = self._states.setdefault(target, _State())
        if now >= state.until:
            state.until = now + FIRST_SUSPENSION_S
            state.suspended_at = now

    def pause(self, target: TargetId, until: float) -> None:
        """Note that a target wants no request from here before a time.

        A suspension is a guess, against which a trial may be made; this is not.
        """
        state = self._states.setdefault(target, _State())
        state.paused_until = max(state.paused_until, until)

    def pause_left_s(self, target: TargetId, now: float) -> float:
        """Return the seconds for which a target wants no request; 0 when it does."""
        state = self._states.get(target)
        return 0.0 if state is None else max(0.0, state.paused_until - now)

    def suspended_since(self, target: TargetId, since: float) -> bool:
        """Whether a target was suspended after a time and has not answered since."""
        state = self._states.get(target)
        return state is not None and state.until > 0.0 and state.suspended_at > since

    def available(self, target: TargetId, now: float) -> bool:
        """Whether a target may get a request; after a suspension, one as a trial."""
        state = self._states.get(target)
        if state is None or state.until == 0.0:
            return True
        return now >= state.until and not state.trial

    def note_sent(self, target: TargetId, now: float) -> None:
        """Note that a request goes to a target."""
        state = self._states.get(target)
        if state is not None and state.until and now >= state.until:
            state.trial = True
            # A trial that never ends must not keep the target out for good.
            state.until = now + LONGEST_SUSPENSION_S

    def prices_ms(self, targets: list[TargetId]) -> dict[TargetId, float]:
        """Return the delay that the failures of each target count as.

        Failures that all targets of a service share are the requests' own.
        """
        shares = {target: self._share(target) for target in targets}
        usual = sorted(shares.values())[len(shares) // 2] if shares else 0.0
        return {
            target: max(0.0, share - usual) * FAILURE_PRICE_MS
            for target, share in shares.items()
        }

    def _share(self, target: TargetId) -> float:
        state = self._states.get(target)
        return 0.0 if state is None else state.share

    def _suspend(self, state: _State, now: float) -> None:
        length = FIRST_SUSPENSION_S * 2.0**state.suspensions
        state.until = now + min(length, LONGEST_SUSPENSION_S)
        state.suspensions += 1
        state.suspended_at = now
        state.trial = False
