"""Run the demo: ``python -m demo``."""

import http.client
import signal
import sys
import tempfile
import time
from pathlib import Path

from testbed import MODEL, Deployment, Fleet, Shape, StepFailed, Stream, release_loan

DRAIN_TIMEOUT_S = 25.0
"""Longest wait for a draining entry to end."""


def main() -> int:
    """Run all steps and return the exit code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="wigeonspan-demo-") as name:
        try:
            with Fleet(Path(name)) as fleet:
                _run(fleet, Deployment(fleet, Path(name), Shape()))
        except (StepFailed, OSError, http.client.HTTPException) as error:
            print(f"FAILED: {error}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted", file=sys.stderr)
            return 1
    print(f"All steps went well, in {time.monotonic() - began:.0f} s.")
    return 0


def _run(fleet: Fleet, deployment: Deployment) -> None:
    _start(deployment)
    _ask(deployment)
    _release_loan_twice(deployment)
    _drain_entry(fleet, deployment)
    _show_record(deployment)
    fleet.end_all()
    _say("Ended all processes with SIGTERM; each one ended with exit code 0.")


def _start(deployment: Deployment) -> None:
    deployment.start_targets(empty={1})
    loaded, empty = deployment.engines
    _say("Started two stand-in engines and a plain service.")
    _tell(f"engine-1 at {loaded} holds {MODEL}; engine-2 at {empty} is empty.")
    deployment.start_daemons()
    _say("Started three control daemons and two entry daemons; a leader is elected.")
    deployment.configure()
    reason = "one role for the demo"
    deployment.ctl("pin-role", "engine-2", "mixed", reason=reason)
    _say("Applied service, model version, engines and a role with the operator client.")
    deployment.wait_serving()
    _say("Both engines serve; the model was loaded on engine-2 by an order.")
    path = "/v1/directory?domain=ipoh-utara"
    listed = deployment.get_json(deployment.entries[0], path)["entries"]
    names = ", ".join(f"{each['host']} {each['address']}" for each in listed)
    _tell(f"The directory names {names}.")


def _ask(deployment: Deployment) -> None:
    prompt = "describe plate 1907-44"
    stream = Stream(deployment.entries[1], prompt, 8)
    stream.read_whole()
    _say(f"Asked {MODEL} through entry-2 and received a whole stream.")
    _tell(f"Answer:{stream.text}")


def _release_loan_twice(deployment: Deployment) -> None:
    first = release_loan(deployment.entries[0], "loan-1907-44", "1907-44")
    second = release_loan(deployment.entries[1], "loan-1907-44", "1907-44")
    if first != second or first[0] != 201:
        raise StepFailed(f"the stored answer differs: {first}, then {second}")
    executions = sum(
        deployment.get_json(deployment.plain, "/standin/executions").values()
    )
    if executions != 1:
        raise StepFailed(f"the loan release ran {executions} times")
    _say("Released one loan twice with the same key, through both entries.")
    _tell(f"It ran once; both answers are {first[1]}")


def _drain_entry(fleet: Fleet, deployment: Deployment) -> None:
    prompt, count = "read the whole repair history", 150
    stream = Stream(deployment.entries[0], prompt, count)
    for number, _ in enumerate(stream.tokens()):
        if number == 5:
            fleet.terminate("entry-1")
    stream.check_whole()
    code = fleet.wait("entry-1", DRAIN_TIMEOUT_S)
    if code != 0:
        raise StepFailed(f"entry-1 ended with exit code {code}")
    _say("Stopped entry-1 with SIGTERM in the middle of a stream of 150 tokens.")
    _tell("The stream ended whole; entry-1 ended with exit code 0.")


def _show_record(deployment: Deployment) -> None:
    lines = deployment.show("record", "--subject=engine/engine-2").splitlines()
    if not any("load_model" in line for line in lines):
        raise StepFailed("the record does not hold the order that loaded engine-2")
    _say("The record explains what happened to engine-2:")
    for line in lines:
        _tell(line)


def _say(text: str) -> None:
    print(f"* {text}", flush=True)


def _tell(text: str) -> None:
    print(f"  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
