"""Tests of the decision log and the metrics."""

import asyncio
import os
from collections import Counter

import msgspec
from loguru import logger

from wigeonspan.common import HostId, ManualClock, part_logger
from wigeonspan.trail import EventLog, LineWriter, ProcessMetrics, bridge_logs
from wigeonspan.trail._log import MAX_BURST_LINES, MAX_LINES_PER_S
from wigeonspan.trail._render import choose_renderer, render_json, render_text
from wigeonspan.trail._writer import MAX_BUFFER_BYTES


class RecordingWriter:
    """Writer that records the decoded lines."""

    def __init__(self):
        self.lines = []
        self.dropped = 0

    def add(self, line):
        self.lines.append(msgspec.json.decode(line))

    def flush(self):
        pass


def make_event_log():
    clock, writer = ManualClock(), RecordingWriter()
    return EventLog(HostId("e1"), clock, writer), writer.lines, clock


def test_line_names_the_request_and_the_inputs():
    """On-call engineers trace a failed request to its cause with these lines alone."""
    log, lines, _ = make_event_log()
    log.write("generation", "placed", request="r1", wait_ms=5)
    assert lines[0] == {
        "wall_ms": 0,
        "host": "e1",
        "part": "generation",
        "event": "placed",
        "request": "r1",
        "wait_ms": 5,
    }


def test_rate_of_lines_is_limited():
    """A burst of refused requests must not flood the log."""
    log, lines, clock = make_event_log()
    for n in range(40_000):
        log.write("serve", "refused", request=str(n), failure=True)
        clock.advance(0.0001)
    assert len(lines) <= MAX_BURST_LINES + 4.0 * MAX_LINES_PER_S + 1
    assert log.omitted_lines == 40_000 - len(lines)


def test_sampling_omits_complete_requests():
    """A request with only some of its lines suggests a wrong cause of its failure."""
    log, lines, _ = make_event_log()
    for n in range(1200):
        log.write("serve", "admitted", request=str(n))
    lines.clear()
    for n in range(200):
        for event in ("admitted", "placed", "answered"):
            log.write("serve", event, request=f"late-{n}")
    counts = Counter(line["request"] for line in lines)
    assert 0 < len(counts) < 100
    assert set(counts.values()) == {3}
    log.write("serve", "refused", request="x", failure=True)
    assert lines[-1]["event"] == "refused"


def test_omitted_lines_are_counted_in_the_log():
    """The log must show that lines are missing."""
    log, lines, clock = make_event_log()
    for n in range(5000):
        log.write("serve", "admitted", request=str(n))
    clock.advance(6.0)
    log.flush()
    assert lines[-1]["event"] == "lines_left_out"
    assert lines[-1]["count"] > 0


def test_stopped_reader_never_blocks():
    """A reader that stops reading must not block the logging process."""
    reader, writer = os.pipe()
    try:
        lines = LineWriter(writer)
        for _ in range(3 * MAX_BUFFER_BYTES // 1000):
            lines.add(b"x" * 999 + b"\n")
            lines.flush()
        assert lines.dropped > 0
    finally:
        os.close(reader)
        os.close(writer)


def test_reader_gets_complete_lines_in_order():
    """A partial write must not lose or duplicate bytes."""
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


def test_metrics_text_has_counters_histograms_and_gauges():
    """Counters and latency histograms are exported with their labels."""
    metrics = ProcessMetrics()
    metrics.count("requests", outcome="answered")
    metrics.observe("request_seconds", 0.2, route="r1")
    metrics.gauge("config_version", 7)
    text = metrics.text().decode()
    assert 'requests_total{outcome="answered"} 1.0' in text
    assert 'request_seconds_bucket{le="0.3",route="r1"} 1.0' in text
    assert "config_version 7.0" in text


def test_text_for_a_terminal_names_time_and_request():
    """Developers read the log on a terminal, where JSON is hard to read."""
    line = {"wall_ms": 3_661_042, "host": "e1", "part": "serve", "event": "refused"}
    line |= {"request": "r1", "why": "too late", "left_ms": 5}
    text = render_text(line)
    assert text == b"01:01:01.042 [r1] e1 serve: refused why=too late left_ms=5\n"


def test_terminal_gets_text_and_a_file_gets_json(tmp_path):
    """Only a terminal gets text, because collected logs must be JSON."""
    controller, terminal = os.openpty()
    try:
        assert choose_renderer(terminal) is render_text
        with open(tmp_path / "log", "wb") as file:
            assert choose_renderer(file.fileno()) is render_json
    finally:
        os.close(controller)
        os.close(terminal)


def test_loguru_messages_reach_the_log_from_any_thread(capfd):
    """Loguru messages must not bypass the rate limit and the format of the log."""
    log, lines, _ = make_event_log()

    async def write():
        bridge_logs(log)
        logger_of_part = part_logger("consensus")
        logger_of_part.debug("Messages were lost.")
        await asyncio.to_thread(logger_of_part.warning, "Slow {}.", "disk")
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
    """Counts by kind and outcome distinguish overload from a lost service."""
    metrics = ProcessMetrics()
    metrics.count("requests", kind="stream", outcome="answered")
    metrics.gauge("targets", 3, state="usable")
    text = metrics.text().decode()
    assert 'requests_total{kind="stream",outcome="answered"} 1.0' in text
    assert 'targets{state="usable"} 3.0' in text
