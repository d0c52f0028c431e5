"""Structured log with one line per decision and a limited rate of lines."""

import hashlib
from typing import Any

from wigeonspan.common import Clock, HostId
from wigeonspan.trail._render import (
    REQUEST_ID,
    LogLine,
    Renderer,
    choose_renderer,
    render_json,
)
from wigeonspan.trail._writer import LineWriter

MAX_LINES_PER_S = 400.0
"""Maximum average lines per second of a process; about 100 KB/s."""

MAX_BURST_LINES = 2000.0
"""Maximum lines in a burst; capacity of the token bucket."""

SAMPLING_THRESHOLD = 0.5
"""Fraction of the burst capacity below which only a sample of the requests is logged.

Sampling whole requests avoids requests of which only some lines are logged.
"""

SAMPLE_ONE_IN = 8
"""One in this many requests is logged while sampling.

Failures are not sampled: they are logged as long as the token bucket is not empty.
"""

STANDARD_OUTPUT = 1
"""File descriptor to which lines are written."""

SUMMARY_INTERVAL_S = 5.0
"""Seconds between lines that report the number of omitted lines."""


class EventLog:
    """Decision log of one process.

    A token bucket limits the rate of lines.

    Parameters
    ----------
    host : HostId
        Name of this host, included in each line.
    clock : Clock
        Source of time.
    writer : LineWriter
        Destination of the lines.
    render : callable
        Encodes a line as bytes.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        writer: LineWriter,
        render: Renderer = render_json,
    ) -> None:
        self._host = host
        self._clock = clock
        self._writer = writer
        self._render = render
        self._tokens = MAX_BURST_LINES
        self._last_refill_at = clock.now()
        self._last_summary_at = clock.now()
        self._suppressed = 0

    @property
    def omitted_lines(self) -> int:
        """Number of lines omitted because of the rate limit or a slow reader."""
        return self._suppressed + self._writer.dropped

    def write(
        self,
        part: str,
        event: str,
        *,
        request: str | None = None,
        failure: bool = False,
        **fields: Any,
    ) -> None:
        """Write a line unless the rate limit is exceeded.

        Parameters
        ----------
        part : str
            Component that made the decision.
        event : str
            Name of the decision or of the observed event.
        request : str or None
            Id of the affected request, if any.
        failure : bool
            Whether the line explains a failure; such lines are not sampled.
        **fields
            Inputs of the decision, their age, and its outcome.
        """
        if not self._admit_line(request, failure):
            self._suppressed += 1
            return
        line: LogLine = {"wall_ms": self._clock.wall_ms(), "host": self._host}
        line["part"] = part
        line["event"] = event
        if request is not None:
            line[REQUEST_ID] = request
        line.update(fields)
        self._writer.add(self._render(line))

    def flush(self) -> None:
        """Write queued lines, and report omitted lines every ``SUMMARY_INTERVAL_S``."""
        now = self._clock.now()
        if now - self._last_summary_at >= SUMMARY_INTERVAL_S:
            self._last_summary_at = now
            if self.omitted_lines:
                self.write(
                    "trail", "lines_left_out", failure=True, count=self.omitted_lines
                )
        self._writer.flush()

    def _admit_line(self, request: str | None, failure: bool) -> bool:
        """Take a token for a line; return False if the line must be omitted."""
        now = self._clock.now()
        refill = (now - self._last_refill_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._last_refill_at = now
        if self._tokens < 1.0:
            return False
        sampling = self._tokens < MAX_BURST_LINES * SAMPLING_THRESHOLD
        if (
            sampling
            and request is not None
            and not failure
            and not _is_sampled(request)
        ):
            return False
        self._tokens -= 1.0
        return True


def _is_sampled(request: str) -> bool:
    """Return whether a request is in the sample, which is the same in all processes."""
    digest = hashlib.blake2s(request.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SAMPLE_ONE_IN == 0


def open_event_log(host: HostId, clock: Clock) -> EventLog:
    """Open the decision log on standard output: text on a terminal, otherwise JSON."""
    writer = LineWriter(STANDARD_OUTPUT)
    return EventLog(host, clock, writer, choose_renderer(STANDARD_OUTPUT))
