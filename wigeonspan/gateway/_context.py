"""State that the components of a gateway share."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from msgspec import Struct, field

from wigeonspan.common import BootClock, Clock, HostId, ServiceName, TenantName
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._durations import DurationForecast
from wigeonspan.gateway._loans import RetryLoans
from wigeonspan.gateway._messages import TargetNotice, TargetProtocol
from wigeonspan.gateway._stopping import StopWindow
from wigeonspan.placing import Placer, PromptPart, RetryBudget, SpentRetry, Work
from wigeonspan.pool import ConnectionPool
from wigeonspan.quarantine import (
    PartQuarantined,
    PartsCleared,
    PromptQuarantine,
    QuarantineMessage,
    StreamCrashed,
    TargetAlive,
    Verdict,
)
from wigeonspan.sharing import (
    Event,
    PeerLink,
    RetriesLent,
    RetriesWanted,
    TargetLeaving,
    TargetLimited,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.targets import Target, TargetId, TargetTable
from wigeonspan.tenants import ConfigFreshness
from wigeonspan.trail import EventLog, ProcessMetrics
from wigeonspan.usage import UsageMeter


class GatewayContext(Struct):
    """Shared state and connections of one gateway.

    Parameters
    ----------
    read_ms : dict
        Engine time of prefills in milliseconds since the start, by service.
    stream_s : dict
        Total duration of all streams in seconds since the start, by service.
    urgent_read_ms, urgent_stream_s : dict
        The same of the most urgent requests of services whose replicas may be ordered.
    freshness : ConfigFreshness
        When a control host last confirmed the configuration.
    boot_clock : Clock
        Clock that also advances while the host is suspended. Retries are counted by
        it, because the platform and the lenders of retries count that time too.
    max_key_age_s : float or None
        Longest time in seconds without a confirmation for which keys are still
        accepted; None for no limit.
    meter : UsageMeter or None
        Counts of requests by tenant; None when use is not metered.
    loans : RetryLoans or None
        Exchange of retries with the other entries; None without it.
    tasks : set of asyncio.Task
        Background tasks; the event loop itself keeps only weak references to them.
    """

    host: HostId
    clock: Clock
    protocol: TargetProtocol
    config: ConfigHolder
    target_table: TargetTable
    placer: Placer
    budget: RetryBudget
    pool: ConnectionPool
    link: PeerLink
    event_log: EventLog
    metrics: ProcessMetrics
    read_ms: dict[ServiceName, float] = {}
    stream_s: dict[ServiceName, float] = {}
    urgent_read_ms: dict[ServiceName, float] = {}
    urgent_stream_s: dict[ServiceName, float] = {}
    quarantine: PromptQuarantine = field(default_factory=PromptQuarantine)
    durations: DurationForecast = field(default_factory=DurationForecast)
    stop: StopWindow = field(default_factory=StopWindow)
    freshness: ConfigFreshness = field(default_factory=ConfigFreshness)
    boot_clock: Clock = field(default_factory=BootClock)
    max_key_age_s: float | None = None
    meter: UsageMeter | None = None
    loans: RetryLoans | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def add_demand(
        self,
        service: ServiceName,
        priority: int,
        *,
        read_ms: float = 0.0,
        stream_s: float = 0.0,
    ) -> None:
        """Add the work of a generation to the totals of its service."""
        self.read_ms[service] = self.read_ms.get(service, 0.0) + read_ms
        self.stream_s[service] = self.stream_s.get(service, 0.0) + stream_s
        most_urgent = self.config.most_urgent_priority(service)
        if most_urgent is not None and priority <= most_urgent:
            read, stream = self.urgent_read_ms, self.urgent_stream_s
            read[service] = read.get(service, 0.0) + read_ms
            stream[service] = stream.get(service, 0.0) + stream_s

    def has_fresh_keys(self) -> bool:
        """Return whether keys may be checked against the configuration in force."""
        return self.freshness.is_fresh(self.boot_clock.now(), self.max_key_age_s)

    def record_request(self, service: ServiceName, arrived_at: float) -> None:
        """Count a request, which arrived at a time of ``clock``, for the budget."""
        age_s = self.clock.now() - arrived_at
        self.budget.record_request(service, self.boot_clock.now() - age_s)

    def remaining_retries(self, service: ServiceName) -> float:
        """Return how many retries the budget of a service still allows."""
        return self.budget.remaining(service, self.boot_clock.now())

    def take_retry(self, service: ServiceName) -> bool:
        """Take a retry from the budget of a service; return whether it is allowed."""
        return self.spend_retry(service) is not None

    def spend_retry(self, service: ServiceName) -> SpentRetry | None:
        """Take a retry that can be returned; return None if it is not allowed."""
        spent = self.budget.spend(service, self.boot_clock.now())
        outcome = "sent" if spent is not None else "refused"
        self.metrics.count("repeats", service=service, outcome=outcome)
        if self.loans is not None:
            self.loans.ask_after_attempt(service)
        return spent

    def return_retry(self, service: ServiceName, spent: SpentRetry) -> None:
        """Return a retry to the budget because its request was not sent."""
        self.metrics.count("repeats", service=service, outcome="not_sent")
        self.budget.refund(service, spent, self.boot_clock.now())

    def spares_retries(self, service: ServiceName) -> bool:
        """Return whether a repeat should take as few retries as possible."""
        return self.loans is not None and self.loans.spares_retries(service)

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine without waiting for it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin_work(
        self,
        work: Work,
        prompt_parts: tuple[PromptPart, ...] = (),
        new_tokens: int = 0,
        tenant: TenantName | None = None,
        memory_tokens: int = 0,
        prompt_work: str = "",
    ) -> None:
        """Record the start of work and publish it to the other entries.

        Parameters
        ----------
        prompt_work : str
            Name of the work that prefilled the prompt which the target fetches.
        """
        now = self.clock.now()
        self.placer.ledger.begin(work, now)
        self.placer.memory.begin(work, memory_tokens, now, prompt_work)
        self.placer.health.record_sent(work.target, now, work.work)
        if prompt_parts:
            self.placer.prefixes.begin(work.work, work.target, prompt_parts, new_tokens)
        if tenant is not None:
            self.placer.tenant_use.record(tenant, work.urgency, work.work_ms, now)
        if not self.placer.memory.enabled:
            prompt_work = ""
        self.link.publish(
            WorkBegun(
                work, prompt_parts, new_tokens, tenant, memory_tokens, prompt_work
            )
        )

    def renew_work(self) -> None:
        """Report own streams again that still hold memory after a while."""
        now = self.clock.now()
        for work, tokens in self.placer.memory.take_renewals(self.host, now):
            self.placer.ledger.begin(work, now)
            self.link.publish(WorkBegun(work, memory_tokens=tokens))

    def end_work(self, work: Work, *, completed: bool, broken: bool = False) -> None:
        """Record the end of work and publish it to the other entries."""
        broken = broken and self.placer.health.is_shared
        self._apply_end(WorkEnded(work.work, completed, broken), self.clock.now())
        self.link.publish(WorkEnded(work.work, completed, broken))

    def _apply_end(self, event: WorkEnded, now: float) -> None:
        suspended = self.placer.end_work(
            event.work, now, completed=event.completed, broken=event.broken
        )
        if suspended is not None:
            self.metrics.count("shared_suspensions", target=suspended)
            self.event_log.write(
                "health",
                "target_suspended",
                target=suspended,
                silent=False,
                why="broke off the work of several entries",
            )

    def receive_event(self, host: HostId, event: Event) -> None:
        """Process an event of another entry, except about the list of targets."""
        match event:
            case RetriesWanted() | RetriesLent() if self.loans is None:
                pass
            case RetriesWanted():
                self.loans.answer(host, event)
            case RetriesLent():
                self.loans.receive(host, event)
            case _:
                self.apply_event(event)

    def apply_event(self, event: Event) -> None:
        """Apply an event about targets that another entry has published."""
        placer, now = self.placer, self.clock.now()
        match event:
            case WorkBegun():
                placer.ledger.begin(event.work, now)
                if event.memory_tokens:
                    placer.memory.begin(
                        event.work, event.memory_tokens, now, event.prompt_work
                    )
                if event.tenant is not None:
                    placer.tenant_use.record(
                        event.tenant, event.work.urgency, event.work.work_ms, now
                    )
                if event.parts:
                    placer.prefixes.begin(
                        event.work.work,
                        event.work.target,
                        event.parts,
                        event.new_tokens,
                    )
            case WorkEnded():
                self._apply_end(event, now)
            case TargetSuspended():
                placer.health.suspend(event.target, now)
                placer.pace.record_suspension(event.target, now)
            case TargetLeaving():
                self.target_table.record_leaving(event.target, event.born_ms)
            case TargetLimited():
                self.apply_announced_limit(event)
            case StreamCrashed() | TargetAlive() | PartsCleared() | PartQuarantined():
                self.quarantine.apply(event, now)

    def check_quarantine(
        self, parts: tuple[str, ...], *, may_try: bool = True
    ) -> Verdict | None:
        """Return the verdict on a request whose prompt has quarantined parts, if any.

        Parameters
        ----------
        parts : tuple of str
            Ids of the parts of its prompt that other requests may have as well.
        may_try : bool
            Whether the request may be let through as a trial.
        """
        verdict = self.quarantine.check(parts, self.clock.now(), may_try=may_try)
        if verdict is not None:
            self._publish_quarantine(verdict.publish)
        return verdict

    def record_break(
        self, target: Target, parts: tuple[str, ...], sent_at: float
    ) -> None:
        """Record that a target broke off a run, and tell the other entries.

        Parameters
        ----------
        parts : tuple of str
            Shared parts of its prompt; empty when the run had had an event.
        """
        now = self.clock.now()
        self._publish_quarantine(
            self.quarantine.record_break(
                target.target, parts, now, target.born_ms, now - sent_at
            )
        )

    def record_alive(self, target: Target, sent_at: float) -> None:
        """Record an event of a target, which may refute that it has crashed."""
        now = self.clock.now()
        self._publish_quarantine(
            self.quarantine.record_alive(target.target, sent_at, now, target.born_ms)
        )

    def record_written(self, parts: tuple[str, ...]) -> None:
        """Record the first event of a run, which clears the parts of its prompt."""
        now = self.clock.now()
        self._publish_quarantine(self.quarantine.record_written(parts, now))

    def update_quarantine(self) -> None:
        """Judge recent breaks and repeat what other entries may have missed."""
        self._publish_quarantine(self.quarantine.tick(self.clock.now()))

    def _publish_quarantine(self, messages: Iterable[QuarantineMessage]) -> None:
        for message in messages:
            self.link.publish(message)

    def handle_notice(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Process a target's notice; tell the other entries if it leaves or is limited.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent that the target has answered.
        """
        name = target.target
        if notice.leaving and self.target_table.record_leaving(name, target.born_ms):
            self.event_log.write("targets", "target_leaving", target=name)
            self.link.publish(TargetLeaving(name, target.born_ms))
        self._handle_limit(target, notice, sent_at)
        if notice.pause_s > 0.0:
            self.metrics.count("target_pauses", target=name)
            self.event_log.write(
                "targets", "target_pauses", target=name, pause_s=notice.pause_s
            )
            self.placer.health.pause(name, self.clock.now() + notice.pause_s)

    def _handle_limit(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Apply the limit that a target names, or lift it when it names none."""
        name, limits, now = target.target, self.placer.limits, self.clock.now()
        if notice.unreadable_rate:
            # The target still limits its requests, so a limit that is known holds on.
            self.event_log.write(
                "targets",
                "target_limit_unreadable",
                failure=True,
                target=name,
                value=notice.unreadable_rate[:80],
            )
        elif notice.max_rate > 0.0:
            self.metrics.count("target_limits", target=name)
            changed = limits.learn(name, notice.max_rate, now)
            if not limits.announcement_due(name, now, changed=changed):
                return
            self._log_limit(name, notice.max_rate)
            self.link.publish(TargetLimited(name, target.born_ms, notice.max_rate))
        elif limits.lift(name, sent_at):
            self._log_limit(name, 0.0)
            self.link.publish(TargetLimited(name, target.born_ms, 0.0))

    def apply_announced_limit(self, event: TargetLimited) -> None:
        """Apply a limit of a target that another entry has announced."""
        target = self.target_table.get(event.target)
        if target is None or target.born_ms != event.born_ms:
            # The limit is of an earlier or later start than the list shows.
            return
        limits, now = self.placer.limits, self.clock.now()
        if event.max_rate > 0.0:
            changed = limits.learn(event.target, event.max_rate, now)
            limits.record_announcement(event.target, now)
        else:
            changed = event.target in limits.rates
            limits.forget(event.target)
        if changed:
            self._log_limit(event.target, event.max_rate)

    def _log_limit(self, target: TargetId, max_rate: float) -> None:
        self.event_log.write(
            "targets",
            "target_limits",
            target=target,
            max_rate=max_rate,
            own_rate=self.placer.limits.own_rate(target) if max_rate else None,
        )

    def record_failure(
        self, target: TargetId, *, unreachable: bool, reason: str
    ) -> None:
        """Record a target's failure; if it is now suspended, publish that."""
        now = self.clock.now()
        self.metrics.count("target_failures", target=target)
        if self.placer.health.record_failure(target, now, unreachable=unreachable):
            self._publish_suspension(target, unreachable, reason)
        else:
            self.placer.pace.record_failure(target, now)

    def update_pace(self) -> None:
        """End paces that are over, and log and count what has changed."""
        pace = self.placer.pace
        pace.expire(self.clock.now())
        for change in pace.take_changes():
            self.metrics.count("target_paces", change=change.event.value)
            self.event_log.write(
                "health",
                "target_paced",
                target=change.target,
                change=change.event.value,
                limit=change.limit,
            )

    def record_silence(self, target: TargetId) -> None:
        """Record that a target is silent; if it gets no new work now, publish that."""
        self.metrics.count("target_silences", target=target)
        if self.placer.health.record_silence(target, self.clock.now()):
            self._publish_suspension(target, True, "silent")

    def _publish_suspension(self, target: TargetId, silent: bool, reason: str) -> None:
        self.event_log.write(
            "health", "target_suspended", target=target, silent=silent, why=reason
        )
        self.placer.pace.record_suspension(target, self.clock.now())
        self.link.publish(TargetSuspended(target))
