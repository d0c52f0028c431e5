"""Answers without end, through the real programs."""

import pytest
from standin import InjectedFaults

from tests.platform.process_harness import EVENTS, Request, wait_until

MEMORY_KB = 300 * 1024
"""Memory of an entry's machine in the deployments."""

REQUESTS = 24


def peak_memory_kb(machine):
    with open(f"/proc/{machine.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1])


@pytest.mark.timeout(120)
def test_endless_answers_end_no_other_request(fresh_deployment):
    """An entry kept bytes without end, ran out of memory and was killed.

    The requests of other clients at this entry ended with it.
    """
    entry, replicas = fresh_deployment.entries[0], fresh_deployment.platform.replicas
    front = fresh_deployment.front_address(entry)
    endless = InjectedFaults(endless_rate=1.0)
    faulty = [replica for replica in replicas if replica.entry.get("stage") is None]
    faulty += [r for r in replicas if r.entry.get("stage") == "decode"][:1]
    for replica in faulty:
        replica.injected_faults = endless
    paths = ("/plain/x", "/stream/x")
    requests = [
        Request(front, path, f"q{n}{path[1]}", usage=usage)
        for n in range(REQUESTS)
        for path, usage in zip(paths, (None, f"600,{EVENTS}"), strict=True)
    ]
    answers = [request.read_anything() for request in requests]
    assert entry.is_running
    assert peak_memory_kb(entry) < MEMORY_KB
    # Each request gets an answer, and a stream whose other engine is sound a whole one.
    assert all(answer is not None for answer in answers)
    streams = [a for r, a in zip(requests, answers, strict=True) if r.usage]
    assert any(a[0] == 200 and a[2].count(b"data: ") == EVENTS for a in streams)
    for replica in faulty:
        replica.injected_faults = InjectedFaults()

    def served():
        return Request(front, "/plain/x", f"r{len(answers)}").read()[0] == 200

    wait_until("the entry to serve calls again", served)
