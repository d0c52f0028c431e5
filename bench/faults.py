"""Run a minute of load with injected faults: ``python -m bench.faults``.

Callers stream completions and release loans while engines, entries and control hosts
are killed, frozen and drained. The run fails when an answer is wrong, a stream stays
incomplete, a loan is released more than once, an answered loan was not run, or an error
states "not run" for a loan that did run.
"""

import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import quantiles

import fire

from bench.callers import Callers, RequestOutcome, RequestResult
from testbed import Deployment, DeploymentOptions, ProcessGroup

TOKENS = 40
"""Tokens per stream; 0.8 s at the token interval of the engines."""


async def _inject_faults(deployment: Deployment, began: float, report_step) -> None:
    """Inject the faults one after the other at fixed times."""
    processes = deployment.processes

    async def at(seconds: float, text: str) -> None:
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        report_step(f"{time.monotonic() - began:5.1f} s: {text}")

    address = deployment.engines[0]
    await at(4, "kill engine-1")
    processes.kill("engine-1")
    await at(9, "start engine-1 again")
    await asyncio.to_thread(
        deployment.start_engine, 0, port=int(address.rpartition(":")[2])
    )
    await at(13, "freeze engine-2 for 8 s")
    processes.freeze("engine-2")
    await at(21, "thaw engine-2")
    processes.resume("engine-2")
    await at(23, "drain entry-1 with SIGTERM")
    processes.terminate("entry-1")
    await at(33, "start entry-1 again, kill entry-2")
    code = await asyncio.to_thread(processes.wait, "entry-1", 20.0)
    report_step(f"         entry-1 had ended with exit code {code}")
    deployment.start_entry(0)
    processes.kill("entry-2")
    await at(37, "start entry-2 again, kill the leader")
    deployment.start_entry(1)
    leader = await asyncio.to_thread(deployment.leader)
    if leader is not None:
        processes.kill(leader)
        await at(43, f"start {leader} again")
        deployment.start_control(int(leader.rpartition("-")[2]) - 1)
    await at(48, "freeze the leader for 5 s")
    leader = await asyncio.to_thread(deployment.leader)
    if leader is not None:
        processes.freeze(leader)
        await at(53, f"thaw {leader}")
        processes.resume(leader)
        await at(54, "freeze entry-3 for 5 s, kill engine-3")
        processes.freeze("entry-3")
        processes.kill("engine-3")
        await at(59, "thaw entry-3")
        processes.resume("entry-3")


async def _run_load(
    callers: Callers, began: float, seconds: float, rate: float
) -> None:
    """Start requests at a fixed rate and wait until all have finished."""
    tasks, number = [], 0
    while time.monotonic() < began + seconds:
        number += 1
        priority = ("desk", "quote", "batch")[number % 3]
        tasks.append(callers.stream(f"stream-{number}", TOKENS, priority))
        if number % 2 == 0:
            tasks.append(callers.release(f"loan-{number}"))
        tasks = [asyncio.ensure_future(task) for task in tasks]
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
    await asyncio.gather(*tasks)


def _summarise(
    outcomes: list[RequestOutcome], executions: dict[str, int]
) -> tuple[str, bool]:
    """Return the report and whether all guarantees held."""
    lines, passed = [], True
    for prefix in ("stream", "loan"):
        selected = [each for each in outcomes if each.name.startswith(prefix)]
        counts = Counter(each.result.value for each in selected)
        error_kinds = Counter(kind for each in selected for kind in each.error_kinds)
        times = quantiles([each.seconds for each in selected], n=100)
        lines.append(f"{prefix}: {len(selected)} requests, {dict(counts)}")
        lines.append(
            f"  errors of attempts without a final result: {dict(error_kinds)}"
        )
        lines.append(
            f"  seconds p50 {times[49]:.2f}, p95 {times[94]:.2f}, p99 {times[98]:.2f}"
        )
        passed &= counts["wrong"] == 0
    runs = Counter()
    for key, count in executions.items():
        for outcome in outcomes:
            if f'"{outcome.name}"' in key:
                runs[outcome.name] += count
    loans = [each for each in outcomes if each.name.startswith("loan")]
    duplicated = [each.name for each in loans if runs[each.name] > 1]
    missing = [
        each.name
        for each in loans
        if each.result is RequestResult.COMPLETE and runs[each.name] != 1
    ]
    false_claims = [
        each.name for each in loans if each.reported_not_run and runs[each.name]
    ]
    lines.append(
        f"loans: run more than once {duplicated}, answered but not run {missing}"
    )
    lines.append(f"       false 'not run' {false_claims}")
    incomplete_streams = [
        each.name
        for each in outcomes
        if each.name.startswith("stream") and each.result is not RequestResult.COMPLETE
    ]
    lines.append(f"streams without a complete answer: {incomplete_streams}")
    return "\n".join(lines), passed and not (
        duplicated or missing or false_claims or incomplete_streams
    )


async def _run(deployment: Deployment, seconds: float, rate: float, seed: int) -> bool:
    callers = Callers(deployment.entries, random.Random(seed))
    began = time.monotonic()
    faults = asyncio.ensure_future(_inject_faults(deployment, began, print))
    await _run_load(callers, began, seconds, rate)
    await faults
    executions = deployment.get_json(deployment.plain, "/standin/executions")
    text, passed = _summarise(callers.outcomes, executions)
    print(text)
    worst = sorted(callers.outcomes, key=lambda each: -each.seconds)[:5]
    print(
        "slowest:",
        json.dumps([(e.name, round(e.seconds, 1), e.error_kinds) for e in worst]),
    )
    return passed


def main(
    seconds: float = 60.0, rate: float = 10.0, seed: int = 1, keep: str = ""
) -> None:
    """Run the load and the faults.

    Parameters
    ----------
    seconds : float
        Length of the load in seconds.
    rate : float
        Streams per second; half as many loans are released.
    seed : int
        Seed of the callers' choices.
    keep : str
        Folder for settings and logs; a temporary folder when empty.
    """
    with tempfile.TemporaryDirectory(prefix="wigeonspan-faults-") as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        with ProcessGroup(folder) as processes:
            deployment = Deployment(
                processes, folder, DeploymentOptions(entries=4, engines=4)
            )
            deployment.start()
            passed = asyncio.run(_run(deployment, seconds, rate, seed))
    print("all guarantees held" if passed else "A GUARANTEE WAS VIOLATED")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    fire.Fire(main)
