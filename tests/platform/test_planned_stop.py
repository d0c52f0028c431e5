"""Tests of the requests that a stopping entry accepts, with the real programs."""

import signal
import threading
import time
import uuid
from http.client import HTTPConnection, HTTPException
from itertools import count

import pytest
from standin import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    EVENT_INTERVAL_S,
    FRONT_PORT,
    InjectedFaults,
)

from tests.platform.process_harness import document, log_lines, wait_until
from wigeonspan.presence import ADDRESS_KEEP_S

EVENTS, EVENT_S = 40, 0.1
"""Events of a stream, and seconds between two of them."""

SHORT_EVENTS, SHORT_DEADLINE_MS = 5, 3000
"""Streams whose deadline is within the time that a stopping entry has for them."""

SEND_INTERVAL_S = 0.4
SEND_S = 7.0
"""Seconds after the stop for which callers send; some cannot get a new address."""


class Caller(threading.Thread):
    """Send one request and read its answer."""

    def __init__(self, ip, path, usage, deadline_ms=8000):
        super().__init__(daemon=True)
        self.connection = HTTPConnection(ip, FRONT_PORT, timeout=10)
        self.path, self.usage, self.deadline_ms = path, usage, deadline_ms
        self.sent_at = time.monotonic()
        self.status, self.complete = 0, False
        self.start()

    def run(self):
        headers = {"Host": "h.example", "Request-Id": uuid.uuid4().hex[:16]}
        headers["Deadline-Ms"] = str(self.deadline_ms)
        if self.usage:
            headers["Token-Usage"] = self.usage
        try:
            self.connection.request("POST", self.path, b"body", headers)
            answer = self.connection.getresponse()
            self.status = answer.status
            answer.read()
            self.complete = True
        except (HTTPException, OSError):
            # The test tells by the status whether an answer was cut.
            pass
        self.ended_at = time.monotonic()

    @property
    def was_cut(self):
        return self.status == 200 and not self.complete


def send_for(ip, seconds):
    """Begin a long stream, a short one and a plain call at each interval."""
    streams, short, calls, end = [], [], [], time.monotonic() + seconds
    while time.monotonic() < end:
        streams.append(Caller(ip, "/stream/x", f"600,{EVENTS}"))
        usage = f"600,{SHORT_EVENTS}"
        short.append(Caller(ip, "/stream/x", usage, SHORT_DEADLINE_MS))
        calls.append(Caller(ip, "/plain/x", None))
        time.sleep(SEND_INTERVAL_S)
    return streams, short, calls


@pytest.mark.timeout(60)
def test_stopping_entry_finishes_or_refuses_what_it_accepts(fresh_deployment):
    """Streams that came 3 to 6 s after SIGTERM were cut in the middle.

    Callers keep an address of the directory for seconds. The entry took their streams
    although they may last longer than the time until it ends.
    """
    entry = fresh_deployment.entries[0]
    for replica in fresh_deployment.platform.replicas:
        if replica.service == "models":
            faults = InjectedFaults(slowdown_factor=EVENT_S / EVENT_INTERVAL_S)
            replica.injected_faults = faults
    # The entry has served both routes for a while when it is told to stop.
    before, *_ = send_for(entry.ip, EVENTS * EVENT_S)
    entry.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    streams, short, calls = send_for(entry.ip, SEND_S)
    for caller in (*before, *streams, *short, *calls):
        caller.join()
    sent = (*before, *streams, *short)
    cut = [round(s.sent_at - stopped_at, 1) for s in sent if s.was_cut]
    assert not cut, f"streams sent {cut} s after SIGTERM were cut"
    assert all(s.complete for s in before)
    refused = [s for s in streams if s.complete and s.status == 503]
    assert refused and all(s.ended_at - s.sent_at < 0.5 for s in refused)
    # What ends in time is still served, and other requests are not refused with it.
    kept_short = [s for s in short if s.sent_at - stopped_at < 3.0 * ADDRESS_KEEP_S]
    assert kept_short and all(s.complete and s.status == 200 for s in kept_short)
    kept_calls = [c for c in calls if c.sent_at - stopped_at < 3.0 * ADDRESS_KEEP_S]
    assert kept_calls and all(c.status == 200 for c in kept_calls)
    assert entry.process.wait(timeout=5) == 0


def call_until_refused(url, method, make_body, results):
    """Call a control host until it accepts no connection; note cut calls."""
    host, _, rest = url.removeprefix("http://").partition("/")
    while True:
        connection = HTTPConnection(*host.split(":"), timeout=5)
        try:
            connection.connect()
        except OSError:
            return
        try:
            connection.request(method, f"/{rest}", make_body())
            results.append(connection.getresponse().status)
        except (HTTPException, OSError) as error:
            results.append(repr(error))
        finally:
            connection.close()


@pytest.mark.timeout(60)
def test_stopping_control_host_answers_what_it_reads(fresh_deployment):
    """An operator's change or a look-up in hand must not end without an answer."""
    versions = count(2)

    def leader():
        for machine in fresh_deployment.controls:
            lines = [x for x in log_lines(machine) if x["event"] == "role"]
            if lines and lines[-1]["leads"]:
                return machine
        return None

    stopped = wait_until("a leader", leader)
    changes, lookups = [], []
    control = f"http://{stopped.ip}:{CONTROL_PORT}/v1/config/replace"
    directory = f"http://{stopped.ip}:{DIRECTORY_PORT}/v1/resolve?name=h&zone=z1"
    threads = [
        threading.Thread(
            target=call_until_refused,
            args=(control, "POST", lambda: document(next(versions)), changes),
        )
        for _ in range(4)
    ] + [
        threading.Thread(
            target=call_until_refused,
            args=(directory, "GET", lambda: None, lookups),
        )
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    stopped.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert 200 in changes and 200 in lookups
    assert not [x for x in (*changes, *lookups) if isinstance(x, str)]
    assert stopped.process.wait(timeout=5) == 0
