"""Task of the leader that decides and reports windows of use."""

import asyncio
from collections.abc import Awaitable, Callable

from wigeonspan.common import Clock, HostId, WigeonspanError
from wigeonspan.duties import DutyOutcome, DutyPort, UsageReport
from wigeonspan.staging import Authority
from wigeonspan.trail import EventLog, ProcessMetrics
from wigeonspan.usage._clock import TrueTime
from wigeonspan.usage._collector import UsageCollector
from wigeonspan.usage._ledger import DecidedWindow, UsageLedger
from wigeonspan.usage._messages import DecideWindow, UsageShare, WindowReported
from wigeonspan.usage._rules import UsageTimes, next_decision, oldest_window

ROUND_INTERVAL_S = 0.2
"""Seconds between two rounds of the task."""

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 2.0
"""Seconds until a report without an acknowledgement is sent again; doubled each time up
to the maximum, which leaves several tries before a report is due."""

REFUSED_RETRY_S = 20.0
"""Seconds until a report that the platform refuses is sent again. The platform has
judged its content, so that the other windows go first."""


class UsageTask:
    """Decide windows of use once, and report them until they are acknowledged.

    Parameters
    ----------
    host : HostId
        This host, as the holder of the duty.
    ledger : UsageLedger
        Replicated state.
    authority : callable
        Returns the authority to call the platform, or None if there is none.
    has_tenants : callable
        Whether the configuration in force has tenants.
    propose : callable
        Commits a command to the replicated log.
    times : UsageTimes
        Times of the duty.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        port: DutyPort,
        ledger: UsageLedger,
        authority: Callable[[], Authority | None],
        has_tenants: Callable[[], bool],
        propose: Callable[[DecideWindow | WindowReported], Awaitable[None]],
        times: UsageTimes,
        event_log: EventLog,
        metrics: ProcessMetrics,
    ) -> None:
        self._host = host
        self._clock = clock
        self._port = port
        self._ledger = ledger
        self._authority = authority
        self._has_tenants = has_tenants
        self._propose = propose
        self._times = times
        self._event_log = event_log
        self._metrics = metrics
        self._true_time = TrueTime(clock.wall_ms)
        self._collector = UsageCollector(times.window_ms, self._true_time)
        self._first_window: int | None = None
        self._fenced_token: int | None = None
        self._retry_s = FIRST_RETRY_S
        self._retry_at = 0.0
        # Times at which refused reports are sent again, by window.
        self._refused: dict[int, float] = {}

    def record(self, host: HostId, share: UsageShare) -> None:
        """Record the counts in a heartbeat of an entry."""
        self._collector.record(host, share, self._clock.now())

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self.run_round()

    async def run_round(self) -> None:
        """Decide a window that is due, and send the oldest report."""
        now = self._clock.now()
        wall_ms = self._true_time.wall_ms(now)
        newest = self._ledger.newest
        oldest = oldest_window(self._times, wall_ms)
        undecided = oldest if newest is None else max(newest + 1, oldest)
        self._collector.forget_before(undecided, now)
        has_tenants = self._has_tenants()
        if self._first_window is None and has_tenants:
            self._first_window = wall_ms // self._times.window_ms + 1
        self._show_unreported(wall_ms)
        authority = self._authority()
        if authority is None:
            return
        decision = None
        if self._first_window is not None:
            decision = next_decision(
                self._ledger,
                self._collector,
                self._times,
                self._first_window,
                wall_ms,
                now,
            )
        # Without tenants, only what ran before they were removed is left to decide.
        if decision is not None and (has_tenants or decision.counts):
            await self._decide(decision, newest, wall_ms)
        waiting = self._ledger.unreported
        may_call = authority.fence != self._fenced_token and now >= self._retry_at
        known = {w.window for w in waiting}
        self._refused = {w: at for w, at in self._refused.items() if w in known}
        due = [w for w in waiting if now >= self._refused.get(w.window, 0.0)]
        if due and may_call:
            await self._report(due[0], authority)

    async def _decide(
        self, decision: DecideWindow, newest: int | None, wall_ms: int
    ) -> None:
        waiting = {w.window for w in self._ledger.unreported}
        if not await self._commit(decision):
            return
        dropped = len(waiting - {w.window for w in self._ledger.unreported})
        given_up = 0 if newest is None else decision.window - newest - 1
        given_up += dropped
        if given_up:
            self._metrics.count("usage_windows", given_up, outcome="given_up")
        self._metrics.count("usage_windows", outcome="decided")
        self._event_log.write(
            "usage",
            "window_decided",
            window=decision.window,
            requests=sum(number for _, number in decision.counts),
            tenants=len(decision.counts),
            ended_ms=wall_ms - (decision.window + 1) * self._times.window_ms,
            given_up=given_up,
        )

    async def _report(self, decided: DecidedWindow, authority: Authority) -> None:
        """Send the report of a window; its content comes from the decision only."""
        outcome = await self._port.report_usage(
            UsageReport(decided.window, decided.counts),
            self._host,
            authority.fence,
            lambda: self._has_authority(authority.fence),
        )
        self._metrics.count("duty_calls", duty="usage", outcome=outcome.value)
        now = self._clock.now()
        ended_at_ms = (decided.window + 1) * self._times.window_ms
        self._event_log.write(
            "usage",
            "window_reported" if outcome is DutyOutcome.DONE else "report_unanswered",
            window=decided.window,
            outcome=outcome.value,
            fence=authority.fence,
            ended_ms=self._true_time.wall_ms(now) - ended_at_ms,
        )
        if outcome is DutyOutcome.REFUSED:
            self._refused[decided.window] = now + REFUSED_RETRY_S
            return
        self._refused.pop(decided.window, None)
        if outcome is DutyOutcome.DONE:
            self._retry_s = FIRST_RETRY_S
            self._metrics.count("usage_windows", outcome="reported")
            if not await self._commit(WindowReported(decided.window)):
                # The report is repeated, but not in each round.
                self._retry_at = now + MAX_RETRY_S
            return
        if outcome is DutyOutcome.CONFLICT:
            # Another holder has a higher token, so this host has lost its authority.
            self._fenced_token = authority.fence
        self._retry_at = now + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)

    def _show_unreported(self, wall_ms: int) -> None:
        """Set the metrics of decided windows whose report is not acknowledged."""
        waiting, age_s = self._ledger.unreported, 0.0
        if waiting:
            ended_at_ms = (waiting[0].window + 1) * self._times.window_ms
            age_s = max(0.0, (wall_ms - ended_at_ms) / 1000.0)
        self._metrics.gauge("usage_windows_unreported", len(waiting))
        self._metrics.gauge("usage_oldest_unreported_seconds", age_s)

    def _has_authority(self, fence: int) -> bool:
        """Return whether this host still has the authority with a fencing token."""
        authority = self._authority()
        return authority is not None and authority.fence == fence

    async def _commit(self, command: DecideWindow | WindowReported) -> bool:
        try:
            await self._propose(command)
        except WigeonspanError as error:
            # The next round repeats it; the state machine keeps the first decision.
            self._event_log.write(
                "usage",
                "command_uncommitted",
                failure=True,
                window=command.window,
                why=str(error),
            )
            return False
        return True
