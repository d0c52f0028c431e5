"""Simulated callers that find an entry, send requests and retry after refusals."""

import asyncio
import random
import time
from itertools import count

from msgspec import structs
from standin import (
    LARGE_EVENTS,
    Call,
    CallEnding,
    CallRecord,
    Connection,
    is_ready,
    resolve,
)

from soak._evidence import Probe, newest_required_version
from soak._late_requests import LateRequest, draw_late_requests
from soak._operators import (
    CALL_TIMEOUT_S,
    STREAM_TIMEOUT_S,
    Operators,
    marker_path,
)
from soak._prompt_mix import PromptMix
from soak._world import Host, World
from wigeonspan.common import RequestId
from wigeonspan.fleetconfig import CallKind

CALLER_COUNT = 24
"""Number of callers, each with its own connections and its own directory answer."""

STALE_ANSWER_SHARE = 0.3
"""Share of the callers that cache a directory answer for three times its lifetime."""

ABANDONED_SHARE = 0.05
"""Share of the requests whose caller disconnects early."""

NEW_CONNECTION_SHARE = 0.2
"""Share of the requests that are sent on a new connection."""

MAX_RETRIES = 1
"""Largest number of retries by a caller, as in the documents of the deployments."""

MIDDLE_PARTS = 6
"""Middle parts that the prompts of all sessions share."""

PROMPT_MIX_RATE = 12.0
"""Requests a second of a mix of prompts; 20 sound ones must come in a few seconds."""

LONG_STREAM_RATE = 4.0
"""Long streams a second around stops of entries."""

LONG_STREAM_EVENTS = (50, 130)
"""Bounds of their number of events; they take two to five seconds and more."""

SLOW_READER_RATE = 3.0
"""Streams a second whose callers read slowly."""

SLOW_READER_EVENTS = (5, 25)
"""Bounds of the number of their large events; the longest streams take 4 s to read, so
that their callers are done before the deadline."""

PROBE_INTERVAL_S = 0.3
"""Seconds between two probes of one entry."""

PROBE_DEADLINE_S = 1.0

FAILED_ADDRESS_TIMEOUT_S = 2.0
"""Seconds for which a caller avoids an address that it could not connect to."""


class _Caller:
    """Addresses and idle connections of one caller.

    Attributes
    ----------
    ttl_factor : float
        Factor by which the caller extends the lifetime of a directory answer.
    expires_at : float
        Monotonic time until which the addresses are used.
    failed : dict
        Monotonic times until which addresses are avoided.
    """

    def __init__(self, rng: random.Random) -> None:
        self.zone = f"z{rng.randrange(3)}"
        self.ttl_factor = 3.0 if rng.random() < STALE_ANSWER_SHARE else 1.0
        self.addresses: list[str] = []
        self.expires_at = 0.0
        self.idle: list[Connection] = []
        self.failed: dict[str, float] = {}


class Traffic:
    """Traffic of all simulated callers.

    Parameters
    ----------
    rng : random.Random
        Draws requests and their times; both depend only on the seed.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._numbers = count(1)
        self._callers = [_Caller(rng) for _ in range(CALLER_COUNT)]
        self._open: set[asyncio.Task[None]] = set()
        # Apart from the others, so that runs without tenants draw the same requests.
        self._key_rng = random.Random(world.schedule.seed + 4)

    async def run(self, until: float) -> None:
        """Send requests at random times until a given time."""
        rate = self._world.schedule.requests_per_s
        next_at = time.monotonic()
        while next_at < until:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            self._start_call(self._draw_call())
            next_at += self._rng.expovariate(rate)

    async def burst(self, streams: int, lasts_s: float) -> None:
        """Send a number of long streams, spread evenly over a duration."""
        for _ in range(streams):
            self._start_call(self._make_stream(resumable=True, events=60))
            await asyncio.sleep(lasts_s / streams)

    async def send_prompts(self, mix: PromptMix, lasts_s: float) -> None:
        """Send short streams with the prompts of a mix for a duration."""
        for _ in range(round(lasts_s * PROMPT_MIX_RATE)):
            resumable, events = self._rng.random() < 0.5, self._rng.randint(3, 10)
            call = self._make_stream(
                resumable=resumable, events=events, shared=mix.draw(self._rng)
            )
            self._start_call(call)
            await asyncio.sleep(1.0 / PROMPT_MIX_RATE)

    async def send_long_streams(self, lasts_s: float) -> None:
        """Send long streams, some of which may not be repeated, for a duration.

        Their callers keep the addresses of entries for as long as callers may.
        """
        callers = [c for c in self._callers if c.ttl_factor > 1.0] or self._callers
        for _ in range(round(lasts_s * LONG_STREAM_RATE)):
            resumable = self._rng.random() < 0.5
            events = self._rng.randint(*LONG_STREAM_EVENTS)
            call = self._make_stream(resumable=resumable, events=events)
            self._spawn(self._send_with_retries(self._rng.choice(callers), call))
            await asyncio.sleep(1.0 / LONG_STREAM_RATE)

    def send_late_requests(self, address: str, stop_at: float) -> None:
        """Open connections to an entry that is about to stop, and use them later.

        Parameters
        ----------
        stop_at : float
            Monotonic time of the stop signal in seconds.
        """
        for request in draw_late_requests(self._rng):
            call = self._make_late_call(request)
            at = stop_at + request.after_s
            self._spawn(
                self._send_directly(address, call, at, reads_slowly=request.large)
            )

    async def send_to_slow_readers(self, lasts_s: float) -> None:
        """Send streams with large events whose callers read slowly, for a duration.

        They go to entries that have not been told to stop, on connections of their own.
        """
        for _ in range(round(lasts_s * SLOW_READER_RATE)):
            resumable = self._rng.random() < 0.5
            events = self._rng.randint(*SLOW_READER_EVENTS)
            call = self._make_stream(resumable=resumable, events=events)
            path = f"{call.path.rpartition('/')[0]}/{LARGE_EVENTS}"
            call = structs.replace(call, path=path, abandon_after_s=None)
            hosts = [h for h in self._world.entries if not h.planned_end]
            if hosts:
                address = self._world.direct_address(self._rng.choice(hosts))
                now = time.monotonic()
                self._spawn(self._send_directly(address, call, now, reads_slowly=True))
            await asyncio.sleep(1.0 / SLOW_READER_RATE)

    async def finish(self) -> None:
        """Wait for all open requests."""
        while self._open:
            await asyncio.gather(*self._open)

    async def probe(self, operators: Operators, until: float) -> None:
        """Probe every entry for the routes of versions until a given time.

        They are the newest one, and the newest one that must be in force: while
        versions follow each other, the newest one may be missing everywhere.
        """
        while time.monotonic() < until:
            due = newest_required_version(self._world.evidence, time.monotonic())
            for host in self._world.entries:
                for version in {operators.newest, due or operators.newest}:
                    self._spawn(self._probe_once(host, version))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until all entries are ready; return whether they are."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            ready = [
                await is_ready(self._world.ready_address(host))
                for host in self._world.entries
            ]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    def _start_call(self, call: Call) -> None:
        self._spawn(self._send_with_retries(self._rng.choice(self._callers), call))

    def _draw_call(self) -> Call:
        draw = self._rng.random()
        if draw < 0.3:
            return self._make_stream(resumable=True, events=self._rng.randint(3, 30))
        if draw < 0.5:
            return self._make_stream(resumable=False, events=self._rng.randint(3, 30))
        if draw < 0.8:
            return self._make_call(CallKind.NON_IDEMPOTENT, "/book/x")
        return self._make_call(CallKind.IDEMPOTENT, "/read/x")

    def _make_stream(
        self, *, resumable: bool, events: int, shared: tuple[str, str] | None = None
    ) -> Call:
        """Make a stream whose prompt has two shared parts and a last one of its own."""
        tokens = self._rng.choice((300, 1500, 6000))
        session = self._rng.randrange(20)
        request, number = self._next_request(), next(self._numbers)
        first, middle = shared or (f"a{session}", f"m{number % MIDDLE_PARTS}")
        share = tokens // 3
        return Call(
            request,
            CallKind.STREAM,
            "/resumable/x" if resumable else "/single/x",
            STREAM_TIMEOUT_S,
            resumable,
            tokens,
            events,
            f"{first}:{share},{middle}:{share},b{number:x}:{tokens - 2 * share}",
            self._abandon_after_s(2.0),
        )

    def _make_late_call(self, request: LateRequest) -> Call:
        is_resumable = request.route == "/resumable/"
        if request.events:
            call = self._make_stream(resumable=is_resumable, events=request.events)
        elif request.route == "/read/":
            call = self._make_call(CallKind.IDEMPOTENT, "/read/x")
        else:
            call = self._make_call(CallKind.NON_IDEMPOTENT, "/book/x")
        return structs.replace(
            call,
            path=f"{request.route}{LARGE_EVENTS}" if request.large else call.path,
            abandon_after_s=None,
            body_s=request.body_s,
        )

    async def _send_directly(
        self, address: str, call: Call, at: float, *, reads_slowly: bool
    ) -> None:
        connection = Connection(address, reads_slowly=reads_slowly)
        try:
            await connection.open()
        except OSError:
            # The entry is down because of another fault.
            return
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        if not connection.is_open:
            # The process has ended.
            return
        record = await connection.send(self._with_key(call))
        self._world.evidence.calls.append(record)
        connection.close()

    def _make_call(self, kind: CallKind, path: str) -> Call:
        return Call(
            self._next_request(),
            kind,
            path,
            CALL_TIMEOUT_S,
            abandon_after_s=self._abandon_after_s(0.05),
        )

    def _abandon_after_s(self, max_s: float) -> float | None:
        if self._rng.random() >= ABANDONED_SHARE:
            return None
        return self._rng.uniform(0.0, max_s) + 0.005

    def _next_request(self) -> RequestId:
        return RequestId(f"r{self._world.schedule.seed}-{next(self._numbers)}")

    def _with_key(self, call: Call) -> Call:
        """Return a call with a key, at times with one that may be revoked."""
        keys = list(self._world.evidence.tenant_by_key)
        if not keys:
            return call
        return structs.replace(call, key=self._key_rng.choice(keys))

    async def _send_with_retries(self, caller: _Caller, call: Call) -> None:
        """Send a request, and retry it where a caller would."""
        call = self._with_key(call)
        ends_at = time.monotonic() + call.deadline_s
        for attempt in range(MAX_RETRIES + 1):
            connection = await self._connect(caller, fresh=attempt > 0)
            if connection is None:
                return
            record = await connection.send(call)
            self._world.evidence.calls.append(record)
            if connection.is_open:
                caller.idle.append(connection)
            if record.ending is CallEnding.NOT_CONNECTED:
                caller.failed[record.address] = (
                    time.monotonic() + FAILED_ADDRESS_TIMEOUT_S
                )
            if not _sends_again(record):
                return
            remaining_s = ends_at - time.monotonic()
            wait_s = min(record.retry_after_s or 0.05, remaining_s / 3)
            if remaining_s - wait_s < 0.1:
                return
            await asyncio.sleep(wait_s)
            call = Call(
                self._next_request(),
                call.kind,
                call.path,
                remaining_s - wait_s,
                call.resumable,
                call.tokens,
                call.events,
                call.prompt,
                key=call.key,
            )

    async def _connect(self, caller: _Caller, *, fresh: bool) -> Connection | None:
        await self._refresh(caller)
        usable = [
            connection
            for connection in caller.idle
            if connection.is_open and connection.address in caller.addresses
        ]
        if usable and not fresh and self._rng.random() > NEW_CONNECTION_SHARE:
            caller.idle.remove(usable[0])
            return usable[0]
        now = time.monotonic()
        good = [a for a in caller.addresses if caller.failed.get(a, 0.0) < now]
        addresses = good or caller.addresses
        return Connection(self._rng.choice(addresses)) if addresses else None

    async def _refresh(self, caller: _Caller) -> None:
        if time.monotonic() < caller.expires_at:
            return
        hosts = [host for host in self._world.controls if not host.removed]
        for host in self._rng.sample(hosts, min(3, len(hosts))):
            found = await resolve(self._world.directory_address(host), caller.zone)
            if found is not None:
                caller.addresses, ttl_s = found
                caller.expires_at = time.monotonic() + ttl_s * caller.ttl_factor
                return

    async def _probe_once(self, host: Host, version: int) -> None:
        start, sent_at = host.starts, time.monotonic()
        call = Call(
            RequestId(f"p{next(self._numbers)}"),
            CallKind.IDEMPOTENT,
            marker_path(version) + "x",
            PROBE_DEADLINE_S,
            key=next(iter(self._world.evidence.tenant_by_key), ""),
        )
        connection = Connection(self._world.front_address(host))
        record = await connection.send(call)
        connection.close()
        self._world.evidence.calls.append(record)
        # After a restart the answer says nothing about the process that was probed.
        same = host.starts == start
        in_force = {200: True, 404: False}.get(record.status) if same else None
        self._world.evidence.probes.append(
            Probe(sent_at, record.ended, host.name, start, version, in_force)
        )


def _sends_again(record: CallRecord) -> bool:
    """Whether a caller may and does retry its request."""
    if record.ending in (CallEnding.ABANDONED, CallEnding.TIMED_OUT):
        return False
    if record.ending is CallEnding.ANSWERED and record.status < 300:
        return False
    if record.status in (400, 401, 404, 413, 431):
        return False
    not_run = record.status in (408, 421, 429, 503) or not record.sent
    return not_run or record.call.kind is CallKind.IDEMPOTENT
