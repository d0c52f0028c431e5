"""Generations: read the prompt at one engine, stream the answer from another."""

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._attempt import Sending, answer_head, sending, within
from wigeonspan.gateway._engines_left import EnginesLeft
from wigeonspan.gateway._events import (
    EventTooLarge,
    RunEvents,
    StreamPosition,
)
from wigeonspan.gateway._job import Job
from wigeonspan.gateway._messages import Handle, Send, TargetOutcome
from wigeonspan.gateway._parts import Parts
from wigeonspan.gateway._patience import reading_limit_s, stall_limit_s
from wigeonspan.placing import (
    DIRECT_SLOWDOWN,
    Decision,
    Limit,
    Plan,
    Prompt,
    Refusal,
    WorkKind,
    patience_s,
)
from wigeonspan.pool import Bound, Exchange, ExchangeFailed, FailureKind, Head
from wigeonspan.serving import Caller
from wigeonspan.targets import Phase, Target

MOST_ROUNDS = 5
"""Most rounds of reading a prompt and producing its answer for one request."""

LOOK_S = 0.1
"""Seconds between two looks at the engine of a prompt that waits to be read."""

MOST_REPLY_BYTES = 64 * 1024
"""Largest answer of an engine that has read a prompt, in bytes; a handle is short."""

BODY_S = 1.0
"""Seconds in which the short body of an engine's own answer, such as a handle or a
failure, must follow its head."""

RELEASE_S = 1.0
"""Seconds in which the release of a prompt that nobody fetches must be answered."""


class Generation:
    """One generation of a caller.

    Parameters
    ----------
    job : Job
        The request.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        request = job.request
        self._prompt = request.prompt or Prompt((), len(request.body), 1)
        self._engines = EnginesLeft(job, self._prompt)
        self._position = StreamPosition()
        self._reads = 0
        self._streams = 0
        self._runs = 0
        self._last_event_at: float | None = None
        self._head: Head | None = None

    @property
    def _parts(self) -> Parts:
        return self._job.parts

    @property
    def _route(self) -> Route:
        return self._job.route

    def give_up(self, message: str) -> WigeonspanError:
        """Return what the caller is told when the request is served no further."""
        return self._error(message)

    async def serve(self, caller: Caller) -> None:
        """Answer the caller.

        Raises
        ------
        WigeonspanError
            When there is nothing of a target to pass on, or the stream breaks off.
        """
        for _ in range(MOST_ROUNDS):
            plan = self._plan()
            handle = None
            if plan.prefill is not None:
                handle = await self._read_prompt(plan, plan.prefill)
                if handle is None:
                    continue
            if await self._stream_from(caller, plan, handle):
                return
            self._check_may_go_on()
        raise self._error("no engine answered")

    def _plan(self) -> Plan:
        parts, now = self._parts, self._parts.clock.now()
        plan = self._engines.plan()
        list_age_ms = parts.board.age_ms(now)
        if isinstance(plan, Refusal):
            parts.meters.count("refusals", limit=plan.limit.value)
            self._note(
                "refused", failure=True, why=plan.reason, list_age_ms=list_age_ms
            )
            raise self._refusal(plan)
        read_ms = plan.work_ms * parts.placer.ledger.usual_slowness(now)
        parts.note_demand(self._job.service, read_ms=read_ms)
        parts.meters.observe("expected_wait_seconds", plan.wait_ms / 1000.0)
        self._note(
            "placed",
            how=plan.decision.value,
            prefill=plan.prefill.target if plan.prefill else None,
            decode=plan.decode.target,
            wait_ms=round(plan.wait_ms),
            cost_ms=round(plan.cost_ms),
            first_ms=round(plan.first_ms),
            urgency=plan.urgency,
            read_tokens=plan.reading.read_tokens,
            copied_tokens=plan.reading.copied_tokens,
            source=plan.reading.source.target if plan.reading.source else None,
            list_age_ms=list_age_ms,
        )
        return plan

    async def _read_prompt(self, plan: Plan, engine: Target) -> Handle | None:
        """Have the prompt read; return None when another engine must do it."""
        parts, now = self._parts, self._parts.clock.now()
        if self._reads:
            self._take_budget()
        self._reads += 1
        send = Send(
            engine,
            self._job.ends_at - now,
            plan.urgency,
            Phase.PREFILL,
            copy_from=plan.reading.source,
        )
        try:
            async with sending(
                parts,
                self._job.request,
                send,
                WorkKind.PREFILL,
                work_ms=plan.work_ms,
                reads=self._prompt.parts,
                new_tokens=plan.reading.new_tokens,
            ) as sent:
                head = await self._read_answer(plan, engine, sent.exchange)
                body = await within(
                    self._body_s(), sent.exchange.read_all(MOST_REPLY_BYTES)
                )
                handle = self._read_handle(engine, head, body)
                sent.completed = handle is not None
        except ExchangeFailed as failure:
            self._engines.note_break(engine, "read_broke_off", failure)
            return None
        if handle is None:
            self._engines.exclude(engine, "read_refused", status=head.status)
            return None
        took_ms = (parts.clock.now() - now) * 1000.0
        parts.placer.health.succeeded(engine.target)
        parts.placer.observe_read(plan, took_ms)
        parts.meters.observe("prompt_read_seconds", took_ms / 1000.0)
        self._note("read", target=engine.target, took_ms=round(took_ms))
        return handle

    def _read_handle(self, engine: Target, head: Head, body: bytes) -> Handle | None:
        if head.status != 200:
            return None
        return self._parts.protocol.read_handle(engine, body)

    async def _read_answer(
        self, plan: Plan, engine: Target, exchange: Exchange
    ) -> Head:
        """Wait for an engine to read a prompt, as long as that makes sense.

        An engine that finishes other prompts is behind, not dead. One that another
        request found silent is left at once: nothing has run.

        Raises
        ------
        ExchangeFailed
            When the prompt is to be read elsewhere.
        WigeonspanError
            When the caller will have left before its first event.
        """
        clock, placer = self._parts.clock, self._parts.placer
        began = progress_at = clock.now()
        limit_s = reading_limit_s(plan)
        while True:
            left_s = self._lost_at() - clock.now()
            try:
                return await answer_head(
                    self._parts, engine, exchange, min(LOOK_S, left_s)
                )
            except ExchangeFailed as failure:
                if failure.kind is not FailureKind.TIMEOUT:
                    raise
                now = clock.now()
                if placer.ledger.finished_since(engine.target, progress_at):
                    progress_at = now
                silent = now - progress_at >= limit_s
                lost = placer.health.suspended_since(engine.target, began)
                if silent or lost or now >= self._job.ends_at:
                    raise
                if now >= self._lost_at():
                    raise self._overtaken(plan) from failure

    def _lost_at(self) -> float:
        """Return when a prompt that is not read is too late for its caller.

        Right before, it may be nearly read, which nobody sees from outside the engine.
        """
        if self._runs:
            return self._job.ends_at
        leaves_at = min(self._job.arrived + patience_s(self._route), self._job.ends_at)
        return leaves_at - self._parts.placer.handoff_ms / 1000.0

    def _overtaken(self, plan: Plan) -> WigeonspanError:
        """Return the refusal of a request whose prompt waited for too long."""
        self._parts.meters.count("refusals", limit=Limit.TIME.value)
        self._note("refused", failure=True, why="overtaken")
        reason = "the prompt still waits to be read"
        retry_after_s = self._parts.placer.retry_after_s(plan, self._route)
        return self._refusal(Refusal(Limit.TIME, reason, retry_after_s))

    async def _stream_from(
        self, caller: Caller, plan: Plan, handle: Handle | None
    ) -> bool:
        """Stream from an engine; return False when another round may follow."""
        runs_before = self._runs
        # Reading may take seconds, in which the planned engine may have left.
        engine = plan.decode if handle is None else self._engines.choose(handle.source)
        try:
            while engine is not None:
                self._check_budget()
                try:
                    return await self._stream(caller, plan, engine, handle)
                except ExchangeFailed as failure:
                    self._engines.note_break(engine, "stream_broke_off", failure)
                    if failure.sent:
                        return False
                engine = None if handle is None else self._engines.choose(handle.source)
            return False
        finally:
            if handle is not None and self._runs == runs_before:
                self._release(handle)

    async def _stream(
        self, caller: Caller, plan: Plan, engine: Target, handle: Handle | None
    ) -> bool:
        """Send the request to an engine and pass its events on."""
        parts, started = self._parts, self._parts.clock.now()
        direct = handle is None
        send = Send(
            engine,
            self._job.ends_at - started,
            plan.urgency,
            fetch=handle,
            resume_after=self._position.last,
            copy_from=plan.reading.source if direct else None,
        )
        async with sending(
            parts,
            self._job.request,
            send,
            WorkKind.DIRECT if direct else WorkKind.DECODE,
            work_ms=plan.work_ms * DIRECT_SLOWDOWN if direct else 0.0,
            fresh=not self._route.repeatable,
            reads=self._prompt.parts,
            new_tokens=parts.placer.new_tokens(engine, self._prompt),
        ) as sent:
            exchange = sent.exchange
            self._streams += 1
            # Until the engine says otherwise the request counts as run.
            self._runs += 1
            head = await answer_head(
                parts, engine, exchange, self._stall_s(plan, engine)
            )
            outcome = parts.protocol.read_outcome(head)
            if outcome in (TargetOutcome.NOT_RUN, TargetOutcome.WRONG_TARGET):
                self._runs -= 1
                if handle is not None:
                    # Its prompt may have lapsed where it was read.
                    parts.placer.health.erred(handle.source.target)
                self._engines.exclude(engine, "stream_refused", status=head.status)
                return False
            if outcome is TargetOutcome.UNREADABLE:
                raise ExchangeFailed(FailureKind.GARBLED, sent=True)
            if outcome is TargetOutcome.FAILED:
                return await self._take_failure(caller, engine, head, exchange)
            self._head = self._head or head
            try:
                await self._pass_on(caller, plan, engine, sent, started)
                sent.completed = True
            finally:
                stream_s = parts.clock.now() - started
                parts.note_demand(self._job.service, stream_s=stream_s)
        parts.placer.health.succeeded(engine.target)
        return True

    async def _pass_on(
        self,
        caller: Caller,
        plan: Plan,
        engine: Target,
        sent: Sending,
        started: float,
    ) -> None:
        """Pass whole events on until the stream's complete end.

        The engine must bring a new event in time; comments, halves of events and
        events that the caller has are no progress.
        """
        events, clock = RunEvents(self._position), self._parts.clock
        exchange = sent.exchange
        due_at = clock.now() + self._stall_s(plan, engine)
        while data := await self._read(exchange, due_at):
            try:
                for passed in events.feed(data):
                    await self._begin(caller)
                    await caller.send(passed)
                    self._note_progress(plan, engine, started)
                    due_at = clock.now() + self._stall_s(plan, engine)
            except EventTooLarge as error:
                raise ExchangeFailed(
                    FailureKind.OVERSIZED, sent=True, bound=Bound.EVENT
                ) from error
        if events.in_event and not exchange.framed:
            # The end of the connection in the middle of an event is a break.
            raise ExchangeFailed(FailureKind.CLOSED, sent=True)
        await self._begin(caller)
        if rest := events.rest():
            await caller.send(rest)
        await caller.finish()

    async def _read(self, exchange: Exchange, due_at: float) -> bytes:
        """Return the next bytes of a stream; empty at its end.

        Raises
        ------
        ExchangeFailed
            When the answer breaks off or is not there in time.
        """
        left_s = due_at - self._parts.clock.now()
        if left_s <= 0.0:
            # Bytes that are always there would never wait for the limit to fire.
            raise ExchangeFailed(FailureKind.TIMEOUT, sent=True)
        return await within(left_s, exchange.read())

    def _note_progress(self, plan: Plan, engine: Target, started: float) -> None:
        """Measure the time to the first event, or the pause before another one."""
        parts, now = self._parts, self._parts.clock.now()
        last, self._last_event_at = self._last_event_at, now
        if last is not None and last >= started:
            parts.placer.paces.observe(engine.target, now - last)
            return
        took_s = now - started
        parts.meters.observe("first_event_seconds", now - self._job.arrived)
        if plan.decision is Decision.SPLIT:
            parts.placer.observe_handoff(took_s * 1000.0)
        self._note("first_event", target=engine.target, took_ms=round(took_s * 1000))

    async def _begin(self, caller: Caller) -> None:
        """Send the head once; it is that of the first engine also after a resume."""
        if caller.begun or self._head is None:
            return
        headers = self._parts.protocol.answer_headers(self._head)
        await caller.begin(self._head.status, headers)

    async def _take_failure(
        self, caller: Caller, engine: Target, head: Head, exchange: Exchange
    ) -> bool:
        """Pass an engine's failure on, or return False to try another engine."""
        parts = self._parts
        body = await within(self._body_s(), exchange.read_all())
        parts.placer.health.erred(engine.target)
        self._engines.exclude(engine, "stream_failed", status=head.status)
        if caller.begun or (self._route.repeatable and self._runs_left()):
            return False
        await caller.answer(head.status, parts.protocol.answer_headers(head), body)
        return True

    def _stall_s(self, plan: Plan, engine: Target) -> float:
        """Return how long to wait for the next event of a stream.

        A stream that cannot go on elsewhere gets all the time that is left.
        """
        if not (self._route.repeatable and self._runs_left()):
            return self._job.left_s
        placer = self._parts.placer
        if self._last_event_at is not None:
            usual_s = placer.paces.usual_s(engine.target)
        elif plan.decision is Decision.SPLIT:
            usual_s = placer.handoff_ms / 1000.0
        else:
            usual_s = 0.0
        return min(self._job.left_s, stall_limit_s(self._route, plan, usual_s))

    def _body_s(self) -> float:
        """Return how long to wait for the body of an engine's own answer."""
        return min(BODY_S, self._job.left_s)

    def _release(self, handle: Handle) -> None:
        """Free a prompt that nobody will fetch, without waiting for the answer."""
        parts = self._parts

        async def release() -> None:
            try:
                head, _ = await parts.pool.fetch(
                    handle.source.address,
                    parts.protocol.encode_release(handle),
                    RELEASE_S,
                    fresh=True,
                )
                parts.take_notice(handle.source, parts.protocol.read_notice(head))
            except ExchangeFailed as failure:
                # The engine frees it by itself when its time to live is over.
                self._note("release_failed", why=str(failure))

        parts.spawn(release())

    def _check_budget(self) -> None:
        if self._streams:
            self._take_budget()

    def _take_budget(self) -> None:
        """Count a repeated send.

        Raises
        ------
        WigeonspanError
            When the budget is used up.
        """
        if not self._parts.take_repeat(self._job.service):
            raise self._error("the budget of repeated sends is used up")

    def _runs_left(self) -> int:
        return max(0, self._route.max_attempts - self._runs)

    def _check_may_go_on(self) -> None:
        """Raise when the request must not or cannot be sent again."""
        if self._runs and not self._route.repeatable:
            raise self._error("the engine broke off")
        if self._runs and not self._runs_left():
            raise self._error("all attempts broke off")
        if self._parts.clock.now() >= self._job.ends_at:
            raise self._error("the time is over")

    def _refusal(self, refusal: Refusal) -> WigeonspanError:
        if self._runs:
            return self._error(refusal.reason)
        kind = ErrorKind.OVERLOADED
        return WigeonspanError(
            kind, refusal.reason, retry_after_s=refusal.retry_after_s
        )

    def _error(self, message: str) -> WigeonspanError:
        return self._job.error(message, ran=self._runs > 0)

    def _note(self, event: str, *, failure: bool = False, **fields: object) -> None:
        self._job.note("generation", event, failure=failure, **fields)
