"""Bounded decision log and metrics."""

import asyncio
import os
from collections import Counter

import msgspec
from loguru import logger

from wigeonspan.common import HostId, ManualClock, part_logger
from wigeonspan.trail import LineWriter, Meters, Trail, bridge_logs
from wigeonspan.trail._log import BURST_LINES, LINES_PER_S
from wigeonspan.trail._render import choose_render, render_json, render_text
from wigeonspan.trail._writer import BUFFER_BYTES


class Lines:
    """Writer that keeps lines."""

    def __init__(self):
        self.lines = []
        self.dropped = 0

    def add(self, line):
        self.lines.append(msgspec.json.decode(line))

    def flush(self):
        pass


def trail():
    clock, lines = ManualClock(), Lines()
    return Trail(HostId("e1"), clock, lines), lines.lines, clock


def test_line_names_the_request_and_the_inputs():
    """On-call has only these lines to get from a request to its cause."""
    log, lines, _ = trail()
    log.note("generation", "placed", request="r1", wait_ms=5)
    assert lines[0] == {
        "wall_ms": 0,
        "host": "e1",
        "part": "generation",
        "event": "placed",
        "request": "r1",
        "wait_ms": 5,
    }


def test_volume_is_bounded_in_a_storm():
    """A storm of refusals must not fill the log."""
    log, lines, clock = trail()
    for n in range(40_000):
        log.note("serve", "refused", request=str(n), failure=True)
        clock.advance(0.0001)
    assert len(lines) <= BURST_LINES + 4.0 * LINES_PER_S + 1
    assert log.left_out == 40_000 - len(lines)


def test_whole_requests_are_left_out_while_lines_are_short():
    """A request with half of its lines leads to a wrong cause."""
    log, lines, _ = trail()
    for n in range(1200):
        log.note("serve", "admitted", request=str(n))
    lines.clear()
    for n in range(200):
        for event in ("admitted", "placed", "answered"):
            log.note("serve", event, request=f"late-{n}")
    counts = Counter(line["request"] for line in lines)
    assert 0 < len(counts) < 100
    assert set(counts.values()) == {3}
    log.note("serve", "refused", request="x", failure=True)
    assert lines[-1]["event"] == "refused"


def test_left_out_lines_are_counted_in_the_log():
    """A gap in the log must be visible."""
    log, lines, clock = trail()
    for n in range(5000):
        log.note("serve", "admitted", request=str(n))
    clock.advance(6.0)
    log.flush()
    assert lines[-1]["event"] == "lines_left_out"
    assert lines[-1]["count"] > 0


def test_stopped_reader_never_blocks():
    """A reader that stops must not stop the process that logs."""
    reader, writer = os.pipe()
    try:
        lines = LineWriter(writer)
        for _ in range(3 * BUFFER_BYTES // 1000):
            lines.add(b"x" * 999 + b"\n")
            lines.flush()
        assert lines.dropped > 0
    finally:
        os.close(reader)
        os.close(writer)


def test_reader_gets_whole_lines_in_order():
    """A short write must not lose or double bytes."""
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    wanted = b"".join(b"%d\n" % n for n in range(20_000))
    for n in range(20_000):
        lines.add(b"%d\n" % n)
    got = b""
    while len(got) < len(wanted):
        lines.flush()
        got += os.read(reader, 65536)
    os.close(reader)
    os.close(writer)
    assert got == wanted


def test_metrics_are_text_with_histograms_by_class():
    """On-call reads counters and latencies by class of request."""
    meters = Meters()
    meters.count("requests", outcome="answered")
    meters.observe("request_seconds", 0.2, route="r1")
    meters.gauge("config_version", 7)
    text = meters.text().decode()
    assert 'requests_total{outcome="answered"} 1.0' in text
    assert 'request_seconds_bucket{le="0.3",route="r1"} 1.0' in text
    assert "config_version 7.0" in text


def test_text_for_a_terminal_names_time_and_request():
    """JSON is hard to read while a program is tried out."""
    line = {"wall_ms": 3_661_042, "host": "e1", "part": "serve", "event": "refused"}
    line |= {"request": "r1", "why": "too late", "left_ms": 5}
    text = render_text(line)
    assert text == b"01:01:01.042 [r1] e1 serve: refused why=too late left_ms=5\n"


def test_terminal_gets_text_and_a_file_gets_json(tmp_path):
    """Collected logs must stay JSON."""
    terminal, other = os.openpty()
    try:
        assert choose_render(other) is render_text
        with open(tmp_path / "log", "wb") as file:
            assert choose_render(file.fileno()) is render_json
    finally:
        os.close(terminal)
        os.close(other)


def test_lines_of_other_slices_reach_the_trail_from_any_thread(capfd):
    """The replicated log wrote to standard error, unbounded and unstructured."""
    log, lines, _ = trail()

    async def write():
        bridge_logs(log)
        slice_log = part_logger("consensus")
        slice_log.debug("Messages were lost.")
        await asyncio.to_thread(slice_log.warning, "Slow {}.", "disk")
        await asyncio.sleep(0.01)

    try:
        asyncio.run(write())
    finally:
        logger.remove()
    assert [(x["part"], x["level"], x["text"]) for x in lines] == [
        ("consensus", "WARNING", "Slow disk.")
    ]
    assert capfd.readouterr().err == ""


def test_metrics_carry_labels():
    """Counts by kind and outcome tell overload from a lost service."""
    meters = Meters()
    meters.count("requests", kind="stream", outcome="answered")
    meters.gauge("targets", 3, state="usable")
    text = meters.text().decode()
    assert 'requests_total{kind="stream",outcome="answered"} 1.0' in text
    assert 'targets{state="usable"} 3.0' in text
