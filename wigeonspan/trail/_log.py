"""Structured log lines: one for each decision, bounded in number."""

import hashlib
from typing import Any

from wigeonspan.common import Clock, HostId
from wigeonspan.trail._render import (
    REQUEST_ID,
    Line,
    Render,
    choose_render,
    render_json,
)
from wigeonspan.trail._writer import LineWriter

LINES_PER_S = 400.0
"""Lines a second that a process writes on average; about 100 KB/s."""

BURST_LINES = 2000.0
"""Lines that may be written at once."""

SAMPLED_BELOW = 0.5
"""Share of the burst below which only a sample of the requests is logged, so that the
lines of the sampled requests are complete."""

SAMPLE = 8
"""One of this many requests is logged while lines are short; failures always are."""

STANDARD_OUTPUT = 1
"""File descriptor that lines are written to."""

SUMMARY_S = 5.0
"""Seconds between lines that count what was left out."""


class Trail:
    """Log of one process.

    Parameters
    ----------
    host : HostId
        Name of this host, on each line.
    clock : Clock
        Source of time.
    writer : LineWriter
        Where lines go.
    render : callable
        Returns a line as bytes.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        writer: LineWriter,
        render: Render = render_json,
    ) -> None:
        self._host = host
        self._clock = clock
        self._writer = writer
        self._render = render
        self._tokens = BURST_LINES
        self._filled_at = clock.now()
        self._summary_at = clock.now()
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Number of lines left out to keep within the bound."""
        return self._left_out + self._writer.dropped

    def note(
        self,
        part: str,
        event: str,
        *,
        request: str | None = None,
        failure: bool = False,
        **fields: Any,
    ) -> None:
        """Write a line.

        Parameters
        ----------
        part : str
            Part of the process that decides.
        event : str
            What was decided or learned.
        request : str or None
            Id of the request that it touches.
        failure : bool
            Whether the line explains a failure, which is kept before others.
        **fields
            Inputs of the decision, their age, and its outcome.
        """
        if not self._admits(request, failure):
            self._left_out += 1
            return
        line: Line = {"wall_ms": self._clock.wall_ms(), "host": self._host}
        line["part"] = part
        line["event"] = event
        if request is not None:
            line[REQUEST_ID] = request
        line.update(fields)
        self._writer.add(self._render(line))

    def flush(self) -> None:
        """Write queued lines, and now and then how many were left out."""
        now = self._clock.now()
        if now - self._summary_at >= SUMMARY_S:
            self._summary_at = now
            if self.left_out:
                self.note("trail", "lines_left_out", failure=True, count=self.left_out)
        self._writer.flush()

    def _admits(self, request: str | None, failure: bool) -> bool:
        now = self._clock.now()
        earned = (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        short = self._tokens < BURST_LINES * SAMPLED_BELOW
        if short and request is not None and not failure and not _sampled(request):
            return False
        self._tokens -= 1.0
        return True


def _sampled(request: str) -> bool:
    """Whether a request is in the sample; all processes choose the same ones."""
    digest = hashlib.blake2s(request.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SAMPLE == 0


def open_trail(host: HostId, clock: Clock) -> Trail:
    """Return the log of this process: JSON, or text when a terminal reads it."""
    writer = LineWriter(STANDARD_OUTPUT)
    return Trail(host, clock, writer, choose_render(STANDARD_OUTPUT))
