"""State of an entry daemon: its components, the handling of requests, and its drain."""

import asyncio
import random
import uuid
from collections.abc import Callable

from wigeonspan.admission import Admission
from wigeonspan.calls import CallOutcome
from wigeonspan.calls.tasks import (
    CallRunner,
    ExecutionResult,
    KeyedCall,
    PostToLeader,
    Send,
    SendResult,
)
from wigeonspan.catalog import (
    Engine,
    EnginePhase,
    EntryHost,
    ModelService,
    PlainService,
    Tenant,
)
from wigeonspan.common import (
    Clock,
    DomainName,
    EngineId,
    ErrorKind,
    Metrics,
    RequestId,
    ServiceName,
    TenantName,
    WigeonspanError,
    part_logger,
)
from wigeonspan.directory import DirectoryResponse, Drain, list_entries
from wigeonspan.distribution import ROUTING_LEASE_S, Configuration, Follower
from wigeonspan.distribution.tasks import Observations
from wigeonspan.engines import count_tokens, prefix_hashes
from wigeonspan.engines.tasks import (
    EngineClient,
    EnginePoller,
    ExchangeEnd,
    TargetConnections,
)
from wigeonspan.entryd._async_admission import AsyncAdmission
from wigeonspan.entryd._budget import RetryBudget
from wigeonspan.entryd._completion_job import CompletionJob, RelayContext
from wigeonspan.entryd._limits import TargetLimits
from wigeonspan.entryd._plain import PlainCall, PlainRelay
from wigeonspan.entryd._relay import CompletionRelay
from wigeonspan.entryd._requests import DEFAULT_TENANT, CallerHeaders, CompletionBody
from wigeonspan.entryd._settings import EntrySettings
from wigeonspan.entryd._stopping import (
    COMMIT_S,
    FINAL_RESPONSES_S,
    OpenResponse,
    StopWindow,
    stop_error,
)
from wigeonspan.routing import PromptPrefix, Router
from wigeonspan.streams import StreamLimits, Token

MAX_SHORT_EXCHANGES = 512
"""Number of exchanges with targets that are allowed in addition to the streams, so that
load reports, cancellations and plain calls do not wait for streams."""

_log = part_logger("entry")


class Entry:
    """Components and state of one entry daemon.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the daemon.
    follower : Follower
        Provides the configuration and the routing lease.
    post : PostToLeader
        Function that sends messages to the leader.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    metrics : Metrics
        Sink of metrics.
    """

    def __init__(
        self,
        settings: EntrySettings,
        follower: Follower,
        post: PostToLeader,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        relay = settings.relay
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.in_flight = 0
        self.open_responses: set[OpenResponse] = set()
        self._stop = StopWindow(clock)
        self._relays: set[CompletionRelay] = set()
        self._follower = follower
        self._rng = rng
        self._drain: Drain | None = None
        self._drain_reported = False
        self._observed_at = clock.now()
        self._version = -1
        self._target_limits = TargetLimits(clock, metrics)
        self._connections = TargetConnections(
            relay.max_streams + MAX_SHORT_EXCHANGES,
            relay.max_answer_bytes,
            relay.connect_timeout_s,
            clock,
            self._target_limits.observe,
        )
        engines = EngineClient(self._connections)
        router = Router(random.Random(rng.random()))
        budget = RetryBudget(relay.retry_ratio)
        self._context = RelayContext(
            router=router,
            engines=engines,
            clock=clock,
            budget=budget,
            limits=StreamLimits(
                progress_timeout_s=relay.progress_timeout_s,
                silence_timeout_s=relay.progress_timeout_s,
                buffer_bytes=relay.buffer_bytes,
            ),
            has_lease=self.has_lease,
            accepts_new_work=self.accepts_new_work,
            target_limits=self._target_limits,
            limited_engines=self.limited_engines,
            domain=settings.domain,
            attempt_prefix=f"{settings.host}-{uuid.uuid4().hex[:12]}",
            metrics=metrics,
        )
        self.poller = EnginePoller(engines, router, clock, rng)
        self._admission = Admission()
        self._async_admission = AsyncAdmission(self._admission, clock)
        self.plain = PlainRelay(
            self._connections, clock, rng, settings.domain, budget, self._target_limits
        )
        self.calls = CallRunner(settings.host, post, self.has_lease, clock)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force. A request keeps the one at its arrival."""
        return self._follower.configuration

    @property
    def draining(self) -> bool:
        """Whether the entry drains, so that the directory must not list it."""
        return self._drain is not None

    def has_lease(self) -> bool:
        """Whether this entry holds a routing lease, and so may send work to targets."""
        return self._follower.lease_valid(self.clock.now())

    def accepts_new_work(self, name: EngineId) -> bool:
        """Whether an engine accepts new work in the newest configuration."""
        engine = self.configuration.engine(name)
        return engine is not None and engine.phase is EnginePhase.SERVING

    def limited_engines(self) -> dict[EngineId, str]:
        """Return the engines that take no request of this entry now, with addresses."""
        return {
            engine.name: engine.address
            for engine in self.configuration.all(Engine)
            if not self._target_limits.may_send(engine.address)
        }

    def check_serving(self) -> None:
        """Raise an error when new requests must be refused.

        Raises
        ------
        WigeonspanError
            ``LEASE_EXPIRED`` or ``DRAINING``.
        """
        now = self.clock.now()
        if self._drain is not None and self._drain.may_refuse(now):
            raise WigeonspanError(ErrorKind.DRAINING, "this entry is stopping")
        if not self._follower.lease_valid(now):
            raise WigeonspanError(
                ErrorKind.LEASE_EXPIRED, "this entry has no routing lease"
            )

    def check_deadline(self, deadline: float) -> None:
        """Raise ``DRAINING`` if a request may outlast this process, which stops."""
        self._stop.check(deadline)

    def effective_tenant(self, name: TenantName) -> TenantName:
        """Return the tenant whose limits apply to a name.

        All names that are not configured share one set of limits, so that callers
        cannot evade the limits with new names.
        """
        known = self.configuration.get(Tenant, name) is not None
        return name if known else DEFAULT_TENANT

    def make_job(self, headers: CallerHeaders, body: CompletionBody) -> CompletionJob:
        """Create the job of a checked request from the configuration in force.

        Raises
        ------
        WigeonspanError
            ``UNKNOWN_MODEL``, or ``DRAINING`` when the deadline is later than the end
            of this process.
        """
        service = self.configuration.get(ModelService, body.model)
        if service is None:
            raise WigeonspanError(
                ErrorKind.UNKNOWN_MODEL, f"there is no model {body.model[:100]!r}"
            )
        now = self.clock.now()
        deadline_ms = headers.deadline_ms or service.default_deadline_ms
        self.check_deadline(now + deadline_ms / 1000)
        priority = headers.priority or service.default_class
        expected = self._context.demand.expected_output_tokens(
            service.name, priority, body.max_tokens
        )
        prefixes = (PromptPrefix(*item) for item in prefix_hashes(body.prompt))
        return CompletionJob(
            request=headers.request,
            admission_id=RequestId(uuid.uuid4().hex),
            tenant=self.effective_tenant(headers.tenant),
            priority=priority,
            service=service,
            body=body,
            arrived=now,
            deadline=now + deadline_ms / 1000,
            prompt_tokens=count_tokens(body.prompt),
            prefixes=tuple(prefixes),
            expected_output_tokens=expected,
        )

    def make_relay(
        self, job: CompletionJob, on_token: Callable[[Token], None]
    ) -> CompletionRelay:
        """Return the relay of a job, to be run by :meth:`complete`."""
        return CompletionRelay(self._context, job, on_token)

    async def complete(self, job: CompletionJob, relay: CompletionRelay) -> None:
        """Admit a request and run it until its response is complete.

        Raises
        ------
        WigeonspanError
            When the request is refused or fails.
        """
        demand = self._context.demand
        service_and_class = (job.service.name, job.priority)
        demand.record_arrival(*service_and_class, job.tenant, job.prompt_tokens)
        try:
            async with self._stop.end_in_time(relay.stop_error):
                await self._admit_and_run(job, relay)
        except WigeonspanError as error:
            late = error.kind is ErrorKind.DEADLINE_EXCEEDED
            demand.record_failure(*service_and_class, relay.tracker.position, late)
            self.metrics.count(f"errors.{error.kind.value}")
            raise
        now = self.clock.now()
        late = now > job.deadline
        demand.record_completion(*service_and_class, relay.tracker.position, late)
        self.metrics.timing(job.metric("request"), now - job.arrived)

    async def _admit_and_run(self, job: CompletionJob, relay: CompletionRelay) -> None:
        limited = self.limited_engines()
        request = job.route_request(0, frozenset(limited), self.settings.domain)
        route = self._context.router.choose(request, self.clock.now())
        if route is None:
            raise WigeonspanError(
                ErrorKind.NO_TARGET,
                f"no engine serves {job.service.name} now",
                retry_after_s=self._target_limits.return_after_s(
                    job.service.name, limited.values()
                ),
            )
        await self._async_admission.acquire(job.admission_request(route))
        self._relays.add(relay)
        try:
            if len(self._relays) > self.settings.relay.max_streams:
                raise WigeonspanError(
                    ErrorKind.OVERLOADED, "this entry has too many streams"
                )
            await relay.run()
        finally:
            self._relays.discard(relay)
            self._async_admission.release(job.admission_id)

    async def run_call(self, call: KeyedCall, send: Send) -> tuple[CallOutcome, bool]:
        """Run a non-idempotent call; see :meth:`CallRunner.run`.

        The call counts as in flight until it ends, even when its caller has closed
        the connection. When this process ends earlier, its outcome is recorded as
        unknown, or as not run when it has not been sent.

        Raises
        ------
        WigeonspanError
            When the call was refused or its outcome is unknown.
        """
        self._stop.check(call.deadline, COMMIT_S)
        task = asyncio.create_task(self._run_call(call, send))
        async with self._stop.end_in_time(lambda: stop_error(True)):
            return await asyncio.shield(task)

    async def _run_call(self, call: KeyedCall, send: Send) -> tuple[CallOutcome, bool]:
        async def send_in_time() -> ExecutionResult:
            if self._stop.remaining_s() <= COMMIT_S:
                raise stop_error(False)
            stopped = stop_error(True)
            try:
                async with self._stop.end_in_time(lambda: stopped, COMMIT_S):
                    return await send()
            except WigeonspanError as error:
                if error is not stopped:
                    raise
                return ExecutionResult(SendResult.UNKNOWN, message=error.message)

        self.in_flight += 1
        try:
            return await self.calls.run(call, send_in_time)
        finally:
            self.in_flight -= 1

    async def run_plain_call(self, call: PlainCall) -> ExchangeEnd:
        """Run a call that may be repeated; see :meth:`PlainRelay.call`.

        Raises
        ------
        WigeonspanError
            When the call was refused or failed.
        """
        self._stop.check(call.deadline)
        async with self._stop.end_in_time(
            lambda: stop_error(bool(call.tried_addresses))
        ):
            return await self.plain.call(call)

    def find_plain_service(self, name: str) -> PlainService:
        """Return a plain service of the configuration in force.

        Raises
        ------
        WigeonspanError
            ``UNKNOWN_SERVICE``.
        """
        service = self.configuration.get(PlainService, ServiceName(name))
        if service is None:
            raise WigeonspanError(
                ErrorKind.UNKNOWN_SERVICE, f"there is no service {name[:100]!r}"
            )
        return service

    def list_directory(self, domain: DomainName | None) -> DirectoryResponse:
        """Return the response to a directory request.

        Raises
        ------
        WigeonspanError
            ``LEASE_EXPIRED``, since an outdated list could contain entries that have
            stopped.
        """
        if not self.has_lease():
            raise WigeonspanError(
                ErrorKind.LEASE_EXPIRED,
                "this entry does not know which entries live",
            )
        excluded_hosts = {self.settings.host} if self.draining else set()
        hosts = self.configuration.all(EntryHost)
        live = set(self._follower.live_entries)
        return list_entries(hosts, live, excluded_hosts, domain, self._rng)

    def observe(self) -> Observations:
        """Return the observations for the next sync."""
        now = self.clock.now()
        interval_s = max(now - self._observed_at, 0.001)
        self._observed_at = now
        self._drain_reported = self.draining
        context = self._context
        arrivals = context.demand.take_tenant_arrivals()
        return Observations(
            draining=self.draining,
            in_flight=context.router.in_flight(),
            demand=context.demand.take_samples(),
            engines=context.router.take_samples(),
            tenant_rates={name: n / interval_s for name, n in arrivals.items()},
        )

    def on_sync(self) -> None:
        """Apply the follower's newest configuration and tenant shares."""
        now = self.clock.now()
        if self._drain is not None and self._drain_reported:
            self._drain.record_leader_notified(now)
        configuration = self.configuration
        engines = configuration.all(Engine)
        if configuration.version != self._version:
            self._version = configuration.version
            self._context.router.update_engines(engines, now)
            self.poller.update_engines(engines)
            self.plain.update_services(configuration.all(PlainService))
            for relay in self._relays:
                relay.reroute_from_closing_engine()
        self._target_limits.update_entries(
            self.settings.host, self._follower.live_entries
        )
        live = max(1, len(self._follower.live_entries))
        self._context.router.update_live_entries(live)
        tenants = configuration.all(Tenant)
        if not any(t.name == DEFAULT_TENANT for t in tenants):
            tenants.append(Tenant(DEFAULT_TENANT))
        shares = {t.name: self._follower.tenant_share(t.name) for t in tenants}
        self._admission.update_tenants(tenants, shares, live, now)
        for service in configuration.all(ModelService):
            slots = self._context.router.slots(service.name, now)
            self._admission.update_slots(service.name, slots)
        self._async_admission.poll()

    def start_drain(self, signalled_at: float | None = None) -> None:
        """Leave the directory, but continue to serve requests.

        After a second call, :meth:`wait_drained` no longer waits for cached directory
        responses to expire.

        Parameters
        ----------
        signalled_at : float or None
            Monotonic time in seconds from which the supervisor counts; None for now.
        """
        if self._drain is not None:
            _log.info(
                "Second stop request: not waiting for cached directory responses."
            )
            self._drain.skip_wait()
            return
        _log.info("Draining with {} requests in flight.", self.in_flight)
        now = self.clock.now()
        if signalled_at is None:
            signalled_at = now
        self._drain = Drain(now, self._follower.lease_until, ROUTING_LEASE_S)
        self._stop.begin(
            signalled_at + self.settings.stop_timeout_s - FINAL_RESPONSES_S
        )

    async def wait_drained(self, before_end_s: float = 0.0) -> bool:
        """Wait until no request runs and no directory response lists this entry.

        Parameters
        ----------
        before_end_s : float
            Seconds before the end of open requests at which the wait ends.

        Returns
        -------
        bool
            Whether that is so; False at the end of the wait.
        """
        while self._drain is None or not self._drain.may_exit(
            self.clock.now(), self.in_flight + self.calls.uncommitted_outcomes
        ):
            remaining_s = self._stop.remaining_s() - before_end_s
            if remaining_s <= 0:
                return False
            await asyncio.sleep(min(0.05, remaining_s))
        return True

    def close(self) -> None:
        """Close the connections to targets."""
        self._connections.close()
