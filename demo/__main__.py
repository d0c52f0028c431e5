"""Run a small deployment step by step and print each step: ``python -m demo``."""

import http.client
import signal
import sys
import tempfile
import time
from pathlib import Path

from testbed import (
    MODEL_SERVICE,
    Deployment,
    DeploymentError,
    DeploymentOptions,
    ProcessGroup,
    Stream,
    release_loan,
)

DRAIN_TIMEOUT_S = 25.0
"""Maximum time for a draining entry daemon to exit, in seconds."""


def main() -> int:
    """Run all steps and return the exit code: 0 on success, 1 on failure."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="wigeonspan-demo-") as name:
        try:
            with ProcessGroup(Path(name)) as processes:
                _run_steps(
                    processes, Deployment(processes, Path(name), DeploymentOptions())
                )
        except (DeploymentError, OSError, http.client.HTTPException) as error:
            print(f"FAILED: {error}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted", file=sys.stderr)
            return 1
    print(f"All steps succeeded in {time.monotonic() - started_at:.0f} s.")
    return 0


def _run_steps(processes: ProcessGroup, deployment: Deployment) -> None:
    _start(deployment)
    _request_completion(deployment)
    _release_loan_twice(deployment)
    _drain_entry(processes, deployment)
    _show_record(deployment)
    processes.terminate_all()
    _print_step("Stopped all processes with SIGTERM; each one exited with code 0.")


def _start(deployment: Deployment) -> None:
    deployment.start_targets(empty={1})
    loaded, empty = deployment.engines
    _print_step("Started two stand-in engines and a plain service.")
    _print_detail(
        f"engine-1 at {loaded} has {MODEL_SERVICE} loaded; "
        f"engine-2 at {empty} has no model."
    )
    deployment.start_daemons()
    _print_step(
        "Started three control daemons and two entry daemons; a leader was elected."
    )
    deployment.configure()
    reason = "one role for the demo"
    deployment.ctl("pin-role", "engine-2", "mixed", reason=reason)
    _print_step(
        "Configured service, model version, engines and a role with wigeonspan-ctl."
    )
    deployment.wait_serving()
    _print_step("Both engines are serving; an order loaded the model on engine-2.")
    path = "/v1/directory?domain=ipoh-utara"
    listed = deployment.get_json(deployment.entries[0], path)["entries"]
    names = ", ".join(f"{each['host']} {each['address']}" for each in listed)
    _print_detail(f"Entry hosts in the directory: {names}.")


def _request_completion(deployment: Deployment) -> None:
    prompt = "describe plate 1907-44"
    stream = Stream(deployment.entries[1], prompt, 8)
    stream.read_to_end()
    _print_step(
        f"Requested a completion of {MODEL_SERVICE} through entry-2; "
        "the stream is complete."
    )
    _print_detail(f"Generated text:{stream.text}")


def _release_loan_twice(deployment: Deployment) -> None:
    first = release_loan(deployment.entries[0], "loan-1907-44", "1907-44")
    second = release_loan(deployment.entries[1], "loan-1907-44", "1907-44")
    if first != second or first[0] != 201:
        raise DeploymentError(
            f"expected the same 201 response twice, got {first}, then {second}"
        )
    executions = sum(
        deployment.get_json(deployment.plain, "/standin/executions").values()
    )
    if executions != 1:
        raise DeploymentError(
            f"the loan release was executed {executions} times, expected once"
        )
    _print_step(
        "Sent one loan release through both entries with the same idempotency key."
    )
    _print_detail(f"It was executed once; both responses are {first[1]}")


def _drain_entry(processes: ProcessGroup, deployment: Deployment) -> None:
    prompt, count = "read the whole repair history", 150
    stream = Stream(deployment.entries[0], prompt, count)
    for number, _ in enumerate(stream.tokens()):
        if number == 5:
            processes.terminate("entry-1")
    stream.check_complete()
    code = processes.wait("entry-1", DRAIN_TIMEOUT_S)
    if code != 0:
        raise DeploymentError(f"entry-1 exited with code {code}")
    _print_step("Sent SIGTERM to entry-1 during a stream of 150 tokens.")
    _print_detail("The stream was completed; entry-1 exited with code 0.")


def _show_record(deployment: Deployment) -> None:
    lines = deployment.show("record", "--subject=engine/engine-2").splitlines()
    if not any("load_model" in line for line in lines):
        raise DeploymentError("the audit record has no load_model order for engine-2")
    _print_step("Audit record of engine-2:")
    for line in lines:
        _print_detail(line)


def _print_step(text: str) -> None:
    print(f"* {text}", flush=True)


def _print_detail(text: str) -> None:
    print(f"  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
