"""Model of an engine, which runs one prefill at a time and several streams.

It follows the users' description of the engines:

- An engine finishes the prefill that it is running, then takes the most urgent prompt
  of its queue.
- Prompt parts in its cache need no prefill; the least recently used parts are evicted.
- Each stream takes a slot.
- Where streams and cached parts share the memory, the tokens of a stream are kept until
  it ends. When they do not fit, cached parts are evicted, and then the newest of the
  least urgent streams has to begin again later.
- A decode engine needs twice the time for prefill, and its streams pause until it has
  no prompt left in its queue.
"""

from collections import OrderedDict
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.placing import Prompt
from wigeonspan.targets import Phase, Target

ATTENTION_MS_PER_PAIR = 0.2e-6
"""Prefill time for each pair of a new token and a token of the prompt, taken from
logs of the users' benchmark."""

DECODE_PREFILL_SLOWDOWN = 2.0
"""Factor by which prefill is slower on a decode engine."""

CACHE_SHARE = 0.75
"""Share of the memory that caches prompt parts."""


class PrefillJob(Struct, eq=False):
    """Prompt to be processed.

    Parameters
    ----------
    on_end : callable
        Called at the end with whether the prefill was completed.
    """

    prompt: Prompt
    urgency: int
    on_end: Callable[[bool], None]


class StreamJob(Struct, eq=False):
    """Answer to be generated.

    Parameters
    ----------
    on_first_event : callable
        Called when the first token is generated.
    on_end : callable
        Called at the end with whether the stream was completed.
    on_pause : callable
        Called after a pause with its length in seconds.
    pending_delay_s : float
        Length of past pauses by which the next event of the stream must still be
        delayed.
    crash_after_s : float or None
        Seconds from the beginning of the stream until the engine crashes under it.
    on_crash : callable or None
        Called to crash the engine.
    was_reached : bool
        Whether the engine was up when the job arrived.
    memory_tokens : int
        Tokens of the prompt and the answer, which the stream keeps in memory.
    preemptions : int
        Number of times that the stream had to begin again.
    """

    tokens: int
    urgency: int
    on_first_event: Callable[[], None]
    on_end: Callable[[bool], None]
    on_pause: Callable[[float], None]
    pending_delay_s: float = 0.0
    crash_after_s: float | None = None
    on_crash: Callable[[], None] | None = None
    was_reached: bool = True
    memory_tokens: int = 0
    preemptions: int = 0


Schedule = Callable[[float, Callable[[], None]], None]
"""Function that runs another one after a number of seconds."""


class Engine:
    """One engine.

    Parameters
    ----------
    memory_tokens : float
        Memory in tokens.
    step_ms : float
        Time of a decode step without load.
    read_tokens_per_ms : float
        Prefill rate in tokens per millisecond.
    schedule : callable
        Runs a function after a number of seconds.
    read_fixed_ms : float
        Part of the prefill time that doesn't depend on the prompt.
    read_latency_ms : float
        Time from the end of a prefill until it is reported as complete.
    full_batch_step_factor : float
        Factor on the time of a decode step when all slots are taken.
    shares_memory : bool
        Whether streams take memory from the cache.
    """

    def __init__(
        self,
        target: Target,
        memory_tokens: float,
        step_ms: float,
        read_tokens_per_ms: float,
        schedule: Schedule,
        read_fixed_ms: float = 17.0,
        read_latency_ms: float = 0.0,
        full_batch_step_factor: float = 2.0,
        *,
        shares_memory: bool = False,
    ) -> None:
        self.target = target
        self.phase = target.phase
        self.slowness = 1.0
        self.is_up = True
        self.is_switching = False
        self.prefill_ms = 0.0
        self.prefill_tokens = 0
        self.recomputed_tokens = 0
        self._memory_tokens = memory_tokens
        self._step_ms = step_ms
        self._read_tokens_per_ms = read_tokens_per_ms
        self._schedule = schedule
        self._read_fixed_ms = read_fixed_ms
        self._read_latency_ms = read_latency_ms
        self._full_batch_step_factor = full_batch_step_factor
        self._shares_memory = shares_memory
        self.preemptions = 0
        self._is_silent = False
        # Ends of prefills that fell into a silence.
        self._held: list[Callable[[], None]] = []
        # Number of crashes; events that were scheduled before a crash are ignored.
        self._generation = 0
        self._prefill_queue: list[PrefillJob] = []
        self._prefill: PrefillJob | None = None
        # Total time of the prefills since the queue was last empty. On a decode engine
        # the streams pause for that long.
        self._uninterrupted_prefill_s = 0.0
        self._stream_queue: list[StreamJob] = []
        self._streams: list[StreamJob] = []
        # Tokens of the cached parts by name, least recently used first.
        self._cache: OrderedDict[str, int] = OrderedDict()
        # Names of all parts processed so far, also of evicted ones.
        self._processed_parts: set[str] = set()

    @property
    def is_idle(self) -> bool:
        """Whether the engine has no work."""
        return not (
            self._prefill or self._prefill_queue or self._streams or self._stream_queue
        )

    def submit_prefill(self, job: PrefillJob) -> None:
        """Queue a prompt."""
        self._prefill_queue.append(job)
        self._start_next_prefill()

    def submit_stream(self, job: StreamJob) -> None:
        """Queue an answer."""
        self._stream_queue.append(job)
        self._start_queued_streams()

    def cancel(self, job: PrefillJob | StreamJob) -> None:
        """Drop a job whose request has ended, without calling ``on_end``."""
        if job is self._prefill:
            self._prefill = None
            self._start_next_prefill()
        for jobs in (self._prefill_queue, self._stream_queue, self._streams):
            if job in jobs:
                jobs.remove(job)  # type: ignore[arg-type]
        self._start_queued_streams()

    def crash(self) -> None:
        """Lose all jobs and the cache; report each job as not completed."""
        self.is_up = False
        self._generation += 1
        lost = [*self._prefill_queue, *self._stream_queue, *self._streams]
        if self._prefill is not None:
            lost.append(self._prefill)
        self._prefill_queue, self._stream_queue, self._streams = [], [], []
        self._prefill = None
        self._cache.clear()
        for job in lost:
            job.on_end(False)

    def fall_silent(self, for_s: float) -> None:
        """Stop for some seconds, lose nothing, and go on."""
        self._is_silent = True
        for stream in self._streams:
            stream.pending_delay_s += for_s
            stream.on_pause(for_s)
        self._schedule(for_s, self._go_on)

    def _go_on(self) -> None:
        self._is_silent = False
        held, self._held = self._held, []
        for finish in held:
            finish()
        self._start_next_prefill()
        self._start_queued_streams()

    def _start_next_prefill(self) -> None:
        if self._prefill is not None or self._is_silent:
            return
        if not self._prefill_queue:
            self._delay_streams()
            return
        job = min(self._prefill_queue, key=lambda queued: queued.urgency)
        self._prefill_queue.remove(job)
        self._prefill = job
        duration_ms = self._cache_prompt(job.prompt) * self.slowness
        self.prefill_ms += duration_ms
        self._uninterrupted_prefill_s += duration_ms / 1000.0
        generation = self._generation

        def finish() -> None:
            if self._is_silent:
                self._held.append(finish)
                return
            if self._prefill is job and self._generation == generation:
                self._prefill = None
                self._schedule(
                    self._read_latency_ms / 1000.0, lambda: report(generation)
                )
                self._start_next_prefill()

        def report(generation: int) -> None:
            job.on_end(self._generation == generation)

        self._schedule(duration_ms / 1000.0, finish)

    def _delay_streams(self) -> None:
        """Delay the streams of a decode engine by the time of the last prefills."""
        pause_s, self._uninterrupted_prefill_s = self._uninterrupted_prefill_s, 0.0
        if self.phase is not Phase.DECODE or not pause_s:
            return
        for stream in self._streams:
            stream.pending_delay_s += pause_s
            stream.on_pause(pause_s)

    def _cache_prompt(self, prompt: Prompt) -> float:
        """Add a prompt's parts to the cache; return its prefill time in ms."""
        cached_tokens = 0
        for part in prompt.parts:
            if part.part not in self._cache:
                break
            cached_tokens += part.tokens
        new_tokens = max(1, prompt.input_tokens - cached_tokens)
        self.prefill_tokens += new_tokens
        for part in prompt.parts:
            if part.part not in self._cache and part.part in self._processed_parts:
                self.recomputed_tokens += part.tokens
            self._processed_parts.add(part.part)
            self._cache[part.part] = part.tokens
            self._cache.move_to_end(part.part)
        self._evict()
        slowdown = DECODE_PREFILL_SLOWDOWN if self.phase is Phase.DECODE else 1.0
        attention_ms = ATTENTION_MS_PER_PAIR * new_tokens * prompt.input_tokens
        return slowdown * (
            self._read_fixed_ms + new_tokens / self._read_tokens_per_ms + attention_ms
        )

    def _evict(self) -> None:
        """Evict the least recently used parts that do not fit into the cache."""
        limit = self._memory_tokens * CACHE_SHARE
        if self._shares_memory:
            limit = self._memory_tokens - self._stream_tokens()
        total = sum(self._cache.values())
        while self._cache and total > limit:
            total -= self._cache.popitem(last=False)[1]

    def _stream_tokens(self) -> int:
        return sum(stream.memory_tokens for stream in self._streams)

    def _make_room(self, job: StreamJob) -> bool:
        """Preempt less urgent streams for a new one; return whether it has room."""
        if not self._shares_memory:
            return True
        while self._streams:
            if self._stream_tokens() + job.memory_tokens <= self._memory_tokens:
                return True
            urgency = max(stream.urgency for stream in self._streams)
            if urgency <= job.urgency:
                return False
            newest = [s for s in self._streams if s.urgency == urgency][-1]
            newest.preemptions += 1
            self.preemptions += 1
            newest.pending_delay_s += (
                newest.memory_tokens / self._read_tokens_per_ms / 1000.0
            )
            self._streams.remove(newest)
            self._stream_queue.append(newest)
        return True

    def _start_queued_streams(self) -> None:
        while (
            not self._is_silent
            and self._stream_queue
            and len(self._streams) < self.target.slots
        ):
            job = min(self._stream_queue, key=lambda queued: queued.urgency)
            if not self._make_room(job):
                return
            self._stream_queue.remove(job)
            self._streams.append(job)
            self._evict()
            self._run_stream(job)

    def _run_stream(self, job: StreamJob) -> None:
        occupancy = len(self._streams) / self.target.slots
        step_ms = self._step_ms * (
            1.0 + (self._full_batch_step_factor - 1.0) * occupancy
        )
        step_s = step_ms * self.slowness / 1000.0
        generation, preemptions = self._generation, job.preemptions

        def is_running() -> bool:
            return (
                job in self._streams
                and self._generation == generation
                and job.preemptions == preemptions
            )

        def send_first_event() -> None:
            if job.preemptions != preemptions:
                return
            if self._postpone(job, send_first_event):
                return
            if is_running():
                job.on_first_event()

        def finish() -> None:
            if job.preemptions != preemptions:
                return
            if self._postpone(job, finish):
                return
            if is_running():
                self._streams.remove(job)
                job.on_end(True)
                self._start_queued_streams()

        def crash() -> None:
            if is_running() and job.on_crash is not None:
                job.on_crash()

        if job.crash_after_s is not None:
            self._schedule(job.crash_after_s, crash)
            return
        self._schedule(step_s, send_first_event)
        self._schedule(step_s * max(1, job.tokens), finish)

    def _postpone(self, job: StreamJob, event: Callable[[], None]) -> bool:
        """Reschedule an event by the stream's pending delay.

        Returns
        -------
        bool
            Whether the event was rescheduled; False if there was no delay.
        """
        delay_s, job.pending_delay_s = job.pending_delay_s, 0.0
        if delay_s > 0.0:
            self._schedule(delay_s, event)
        return delay_s > 0.0
