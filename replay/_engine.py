"""Model of an engine: prompts one after the other, streams side by side.

It stands for what the users' pages say: an engine finishes the prompt that it reads,
then takes the most urgent one; parts that it holds are not read again and the least
recently used ones yield; streams take slots; a decode engine reads at half the speed,
and its streams pause until no prompt is left to read.
"""

from collections import OrderedDict
from collections.abc import Callable

from msgspec import Struct

from wigeonspan.placing import Prompt
from wigeonspan.targets import Phase, Target

PAIR_MS = 0.2e-6
"""Time of reading by pairs of tokens, fitted to the logs of days of the bench."""

DECODE_READ_SLOWDOWN = 2.0
"""Factor by which a decode engine reads more slowly."""

FULL_STEP_FACTOR = 2.0
"""Factor on the time of a step when all slots are taken."""

HOLD_SHARE = 0.75
"""Share of the memory that holds finished parts."""


class Reading(Struct, eq=False):
    """A prompt to be read; ``done`` is called with whether it was."""

    prompt: Prompt
    urgency: int
    done: Callable[[bool], None]


class Stream(Struct, eq=False):
    """An answer to be produced; the callables tell how it goes.

    Parameters
    ----------
    paused : callable
        Takes the length of a pause in seconds.
    delay_s : float
        Time of pauses that its end is yet to be put off by.
    """

    tokens: int
    urgency: int
    first: Callable[[], None]
    done: Callable[[bool], None]
    paused: Callable[[float], None]
    delay_s: float = 0.0


At = Callable[[float, Callable[[], None]], None]
"""Runs a function after a number of seconds."""


class Engine:
    """One engine."""

    def __init__(
        self,
        target: Target,
        memory_tokens: float,
        step_ms: float,
        read_tokens_per_ms: float,
        at: At,
        read_fixed_ms: float = 17.0,
        read_latency_ms: float = 0.0,
    ) -> None:
        self.target = target
        self.phase = target.phase
        self.slowness = 1.0
        self.up = True
        self.switching = False
        self.read_ms = 0.0
        self.tokens_read = 0
        self.tokens_again = 0
        self._memory_tokens = memory_tokens
        self._step_ms = step_ms
        self._read_tokens_per_ms = read_tokens_per_ms
        self._at = at
        self._read_fixed_ms = read_fixed_ms
        self._read_latency_ms = read_latency_ms
        self._start = 0
        self._reads: list[Reading] = []
        self._reading: Reading | None = None
        # Reading time in one go until now, which the streams of the engine wait for.
        self._in_one_go_s = 0.0
        self._waiting: list[Stream] = []
        self._streams: list[Stream] = []
        self._held: OrderedDict[str, int] = OrderedDict()
        self._known: set[str] = set()

    @property
    def idle(self) -> bool:
        """Whether it has no work."""
        return not (self._reading or self._reads or self._streams or self._waiting)

    def read(self, reading: Reading) -> None:
        """Queue a prompt."""
        self._reads.append(reading)
        self._next_read()

    def stream(self, stream: Stream) -> None:
        """Queue an answer."""
        self._waiting.append(stream)
        self._next_stream()

    def cancel(self, work: Reading | Stream) -> None:
        """Drop work whose caller has left."""
        if work is self._reading:
            self._reading = None
            self._next_read()
        for queue in (self._reads, self._waiting, self._streams):
            if work in queue:
                queue.remove(work)  # type: ignore[arg-type]
        self._next_stream()

    def crash(self) -> None:
        """Lose all work and all that is held."""
        self.up = False
        self._start += 1
        lost = [*self._reads, *self._waiting, *self._streams]
        if self._reading is not None:
            lost.append(self._reading)
        self._reads, self._waiting, self._streams = [], [], []
        self._reading = None
        self._held.clear()
        for work in lost:
            work.done(False)

    def _next_read(self) -> None:
        if self._reading is not None:
            return
        if not self._reads:
            self._end_pause()
            return
        reading = min(self._reads, key=lambda each: each.urgency)
        self._reads.remove(reading)
        self._reading = reading
        took_ms = self._read_ms(reading.prompt) * self.slowness
        self.read_ms += took_ms
        self._in_one_go_s += took_ms / 1000.0
        start = self._start

        def finish() -> None:
            if self._reading is reading and self._start == start:
                self._reading = None
                self._at(self._read_latency_ms / 1000.0, lambda: tell(start))
                self._next_read()

        def tell(start: int) -> None:
            reading.done(self._start == start)

        self._at(took_ms / 1000.0, finish)

    def _end_pause(self) -> None:
        """Let the streams of a decode engine go on after it has read prompts."""
        pause_s, self._in_one_go_s = self._in_one_go_s, 0.0
        if self.phase is not Phase.DECODE or not pause_s:
            return
        for stream in self._streams:
            stream.delay_s += pause_s
            stream.paused(pause_s)

    def _read_ms(self, prompt: Prompt) -> float:
        """Return the time of reading a prompt, and hold its parts."""
        held = 0
        for part in prompt.parts:
            if part.part not in self._held:
                break
            held += part.tokens
        new = max(1, prompt.input_tokens - held)
        self.tokens_read += new
        for part in prompt.parts:
            if part.part not in self._held and part.part in self._known:
                self.tokens_again += part.tokens
            self._known.add(part.part)
            self._held[part.part] = part.tokens
            self._held.move_to_end(part.part)
        while sum(self._held.values()) > self._memory_tokens * HOLD_SHARE:
            self._held.popitem(last=False)
        slower = DECODE_READ_SLOWDOWN if self.phase is Phase.DECODE else 1.0
        pairs_ms = PAIR_MS * new * prompt.input_tokens
        return slower * (
            self._read_fixed_ms + new / self._read_tokens_per_ms + pairs_ms
        )

    def _next_stream(self) -> None:
        while self._waiting and len(self._streams) < self.target.slots:
            stream = min(self._waiting, key=lambda each: each.urgency)
            self._waiting.remove(stream)
            self._streams.append(stream)
            self._produce(stream)

    def _produce(self, stream: Stream) -> None:
        full = len(self._streams) / self.target.slots
        step_ms = self._step_ms * (1.0 + (FULL_STEP_FACTOR - 1.0) * full)
        step_s = step_ms * self.slowness / 1000.0
        start = self._start

        def is_open() -> bool:
            return stream in self._streams and self._start == start

        def first() -> None:
            if self._put_off(stream, first):
                return
            if is_open():
                stream.first()

        def finish() -> None:
            if self._put_off(stream, finish):
                return
            if is_open():
                self._streams.remove(stream)
                stream.done(True)
                self._next_stream()

        self._at(step_s, first)
        self._at(step_s * max(1, stream.tokens), finish)

    def _put_off(self, stream: Stream, step: Callable[[], None]) -> bool:
        """Run a step of a stream later when it has paused; return whether it has."""
        delay_s, stream.delay_s = stream.delay_s, 0.0
        if delay_s > 0.0:
            self._at(delay_s, step)
        return delay_s > 0.0
