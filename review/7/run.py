"""An entry on the platform's list that cannot be read."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import (  # noqa: E402
    REPLICA_PORT,
    TROUBLE,
    CannotRun,
    Deployment,
    Operator,
    Replica,
    Requests,
    configuration,
    run,
    start_entry,
)

WATCHED_S = 40.0
"""Seconds for which ordinary requests are sent."""

TIMEOUT_S = 1.0
"""``timeout_ms`` of the route, which is also the deadline of the requests."""

MARGIN_S = 0.5
"""Time after the time-out within which the rule wants an answer."""

CONTACT_S = 3.0
"""``contact_ms``: longest time for which a ready machine may take no connection."""


def cut_entry(address):
    """Return an entry of another writer that ends in the middle."""
    entry = {
        "id": "job-17",
        "service": "nightly",
        "address": address,
        "zone": "zone-1",
        "points": [[number, number + 1] for number in range(2000)],
        "state": "ready",
    }
    text = json.dumps(entry).encode()
    return text[: len(text) * 9 // 10]


def change(deployment):
    """Change the configuration every few seconds, as an operator does."""
    began, version = time.monotonic(), 11
    while time.monotonic() - began < WATCHED_S:
        sent_at = time.monotonic()
        if Operator(deployment).replace((1, 2, 3), configuration(version), 30.0):
            took_s = time.monotonic() - sent_at
            deployment.record(f"version {version} took {took_s:.2f} s")
        version += 4
        time.sleep(3.0)


def play(record):
    """Play the case on a deployment and return whether the rule was broken."""
    deployment = Deployment(record)
    replica = Replica(deployment)
    try:
        address, instances = start_entry(deployment, replica)
        time.sleep(CONTACT_S + 1.0)
        if TROUBLE:
            foreign = cut_entry(f"{deployment.ip(150)}:{REPLICA_PORT}")
            instances.foreign = [foreign]
            record(f"an entry of {len(foreign)} bytes is cut on the list")
        operator = threading.Thread(target=change, args=[deployment])
        operator.start()
        requests = Requests(address, record)
        requests.run(WATCHED_S)
        operator.join()
        if not deployment.is_running(11):
            raise CannotRun("the entry has ended")
        late = [o for o in requests.outcomes if o[1] > TIMEOUT_S]
        too_late = [o for o in late if o[1] > TIMEOUT_S + MARGIN_S]
        served = sum(status == 200 for status, _ in requests.outcomes)
        record(f"{served} of {len(requests.outcomes)} requests are served")
        record(
            f"{len(late)} requests unanswered at their time-out, "
            f"{len(too_late)} of them half a second later"
        )
        longest_s = max(requests.checks)
        record(f"the readiness check waited for up to {longest_s:.1f} s for its answer")
        record(f"the list was read {instances.reads} times")
        return (
            len(late) >= 8 and len(too_late) > len(late) / 2 and longest_s > CONTACT_S
        )
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
