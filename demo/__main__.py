"""Run the demo: ``python -m demo``."""

import http.client
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from demo._caller import Stream, get_json, release_loan
from demo._settings import MODEL, PLAIN, DemoSettings
from standins.engine import answer_text
from testbed import Fleet, StepFailed, run_ctl

READY_TIMEOUT_S = 20.0
"""Longest wait for the deployment to answer; an election takes about 2.5 s."""

DRAIN_TIMEOUT_S = 25.0
"""Longest wait for a draining entry to end."""


def main() -> int:
    """Run all steps and return the exit code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="wigeonspan-demo-") as name:
        try:
            with Fleet(Path(name)) as fleet:
                _run(fleet, DemoSettings(Path(name)))
        except (StepFailed, OSError, http.client.HTTPException) as error:
            print(f"FAILED: {error}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted", file=sys.stderr)
            return 1
    print(f"All steps went well, in {time.monotonic() - began:.0f} s.")
    return 0


def _run(fleet: Fleet, settings: DemoSettings) -> None:
    engines, plain = _start_targets(fleet)
    _start_daemons(fleet, settings)
    _apply_configuration(settings, engines, plain)
    _wait_for_engines(fleet, settings)
    _ask(settings)
    _release_loan_twice(settings, plain)
    _drain_entry(fleet, settings)
    _show_record(settings)
    fleet.end_all()
    _say("Ended all processes with SIGTERM; each one ended with exit code 0.")


def _start_targets(fleet: Fleet) -> tuple[list[str], str]:
    options = ["--token_interval_s=0.02", "--order_s=0.5"]
    loaded = fleet.start_standin(
        "engine-1",
        "standins.engine",
        "--name=engine-1",
        f"--model={MODEL}",
        "--model_version=1",
        *options,
    )
    empty = fleet.start_standin(
        "engine-2", "standins.engine", "--name=engine-2", "--model=", *options
    )
    plain = fleet.start_standin(PLAIN, "standins.plain")
    _say("Started two stand-in engines and a plain service.")
    _tell(f"engine-1 at {loaded} holds {MODEL}; engine-2 at {empty} is empty.")
    return [loaded, empty], plain


def _start_daemons(fleet: Fleet, settings: DemoSettings) -> None:
    for path in settings.control_files:
        fleet.start(path.stem, "wigeonspan.controld.main", "run", str(path))
    for path in settings.entry_files:
        fleet.start(path.stem, "wigeonspan.entryd.main", "run", str(path))

    def leader() -> str | None:
        status = run_ctl(settings.operators, "", "", "status", "--output=json")
        return "leader" if '"is_leader":true' in status.replace(" ", "") else None

    _wait(fleet, "a leader", leader)
    _say("Started three control daemons and two entry daemons; a leader is elected.")


def _apply_configuration(
    settings: DemoSettings, engines: list[str], plain: str
) -> None:
    path = settings.write_objects(engines, plain)
    reason = "set up the demo"
    run_ctl(settings.operators, "demo", reason, "apply-file", str(path))
    pin = ["pin-role", "engine-2", "mixed"]
    run_ctl(settings.operators, "demo", "one role for the demo", *pin)
    _say("Applied service, model version, engines and a role with the operator client.")


def _wait_for_engines(fleet: Fleet, settings: DemoSettings) -> None:
    def serving() -> str | None:
        listed = run_ctl(
            settings.operators, "", "", "list", "engine", "--output=json"
        ).replace(" ", "")
        return listed if listed.count('"phase":"serving"') == 2 else None

    _wait(fleet, "both engines to serve", serving)

    def directory() -> Any:
        answer = get_json(settings.entries[0], "/v1/directory?domain=ipoh-utara")
        return answer if len(answer["entries"]) == 2 else None

    answer = _wait(fleet, "the directory to name both entries", directory)
    _say("Both engines serve; the model was loaded on engine-2 by an order.")
    names = ", ".join(f"{each['host']} {each['address']}" for each in answer["entries"])
    _tell(f"The directory names {names}.")


def _ask(settings: DemoSettings) -> None:
    prompt = "describe plate 1907-44"
    stream = Stream(settings.entries[1], prompt, 8)
    for _ in stream.tokens():
        pass
    _check_whole(stream, prompt, 8)
    _say(f"Asked {MODEL} through entry-2 and received a whole stream.")
    _tell(f"Answer:{stream.text}")


def _release_loan_twice(settings: DemoSettings, plain: str) -> None:
    first = release_loan(settings.entries[0], "loan-1907-44", "1907-44")
    second = release_loan(settings.entries[1], "loan-1907-44", "1907-44")
    if first != second or first[0] != 201:
        raise StepFailed(f"the stored answer differs: {first}, then {second}")
    executions = sum(get_json(plain, "/standin/executions").values())
    if executions != 1:
        raise StepFailed(f"the loan release ran {executions} times")
    _say("Released one loan twice with the same key, through both entries.")
    _tell(f"It ran once; both answers are {first[1]}")


def _drain_entry(fleet: Fleet, settings: DemoSettings) -> None:
    prompt, count = "read the whole repair history", 150
    stream = Stream(settings.entries[0], prompt, count)
    for number, _ in enumerate(stream.tokens()):
        if number == 5:
            fleet.terminate("entry-1")
    _check_whole(stream, prompt, count)
    code = fleet.wait("entry-1", DRAIN_TIMEOUT_S)
    if code != 0:
        raise StepFailed(f"entry-1 ended with exit code {code}")
    _say("Stopped entry-1 with SIGTERM in the middle of a stream of 150 tokens.")
    _tell("The stream ended whole; entry-1 ended with exit code 0.")


def _show_record(settings: DemoSettings) -> None:
    lines = run_ctl(
        settings.operators, "", "", "record", "--subject=engine/engine-2"
    ).splitlines()
    if not any("load_model" in line for line in lines):
        raise StepFailed("the record does not hold the order that loaded engine-2")
    _say("The record explains what happened to engine-2:")
    for line in lines:
        _tell(line)


def _check_whole(stream: Stream, prompt: str, count: int) -> None:
    if not stream.is_whole or stream.text != answer_text(prompt, count):
        raise StepFailed(f"the stream is not whole: {stream.text!r}")


def _wait(fleet: Fleet, what: str, probe: Callable[[], Any]) -> Any:
    """Call a probe until it returns something."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    failure = ""
    while time.monotonic() < deadline:
        fleet.check_all()
        try:
            found = probe()
        except (StepFailed, OSError, http.client.HTTPException) as error:
            found, failure = None, f" ({error})"
        if found is not None:
            return found
        time.sleep(0.2)
    raise StepFailed(f"waited {READY_TIMEOUT_S:.0f} s for {what}{failure}")


def _say(text: str) -> None:
    print(f"* {text}", flush=True)


def _tell(text: str) -> None:
    print(f"  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
