"""One minute of load with faults: ``python -m bench.faults``.

Callers stream completions and release loans while engines, entries and control hosts
are killed, frozen and drained. The run fails when an answer is wrong, a loan is
released twice, or a "not run" is false.
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

from bench.callers import Callers, Report, Result
from testbed import Deployment, DeploymentOptions, ProcessGroup

TOKENS = 40
"""Tokens of each stream; 0.8 s at the engines' token interval."""


async def _faults(deployment: Deployment, began: float, say) -> None:
    """Bring about one fault after another."""
    fleet = deployment.fleet

    async def at(seconds: float, text: str) -> None:
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        say(f"{time.monotonic() - began:5.1f} s: {text}")

    address = deployment.engines[0]
    await at(4, "kill engine-1")
    fleet.kill("engine-1")
    await at(9, "start engine-1 again")
    await asyncio.to_thread(
        deployment.start_engine, 0, port=int(address.rpartition(":")[2])
    )
    await at(13, "freeze engine-2 for 8 s")
    fleet.freeze("engine-2")
    await at(21, "thaw engine-2")
    fleet.resume("engine-2")
    await at(23, "drain entry-1 with SIGTERM")
    fleet.terminate("entry-1")
    await at(33, "start entry-1 again, kill entry-2")
    code = await asyncio.to_thread(fleet.wait, "entry-1", 20.0)
    say(f"         entry-1 had ended with exit code {code}")
    deployment.start_entry(0)
    fleet.kill("entry-2")
    await at(37, "start entry-2 again, kill the leader")
    deployment.start_entry(1)
    leader = await asyncio.to_thread(deployment.leader)
    if leader is not None:
        fleet.kill(leader)
        await at(43, f"start {leader} again")
        deployment.start_control(int(leader.rpartition("-")[2]) - 1)
    await at(48, "freeze the leader for 5 s")
    leader = await asyncio.to_thread(deployment.leader)
    if leader is not None:
        fleet.freeze(leader)
        await at(53, f"thaw {leader}")
        fleet.resume(leader)
        await at(54, "freeze entry-3 for 5 s, kill engine-3")
        fleet.freeze("entry-3")
        fleet.kill("engine-3")
        await at(59, "thaw entry-3")
        fleet.resume("entry-3")


async def _load(callers: Callers, began: float, seconds: float, rate: float) -> None:
    """Start requests at a fixed rate and wait for all of them."""
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


def _summarise(reports: list[Report], executions: dict[str, int]) -> tuple[str, bool]:
    """Return the table and whether every promise was kept."""
    lines, good = [], True
    for prefix in ("stream", "loan"):
        mine = [each for each in reports if each.name.startswith(prefix)]
        counts = Counter(each.result.value for each in mine)
        kinds = Counter(kind for each in mine for kind in each.kinds)
        times = quantiles([each.seconds for each in mine], n=100)
        lines.append(f"{prefix}: {len(mine)} requests, {dict(counts)}")
        lines.append(f"  answers on the way: {dict(kinds)}")
        lines.append(
            f"  seconds p50 {times[49]:.2f}, p95 {times[94]:.2f}, p99 {times[98]:.2f}"
        )
        good &= counts["wrong"] == 0
    runs = Counter()
    for key, count in executions.items():
        for report in reports:
            if f'"{report.name}"' in key:
                runs[report.name] += count
    loans = [each for each in reports if each.name.startswith("loan")]
    twice = [each.name for each in loans if runs[each.name] > 1]
    lost = [
        each.name
        for each in loans
        if each.result is Result.WHOLE and runs[each.name] != 1
    ]
    untrue = [each.name for each in loans if each.claims_not_run and runs[each.name]]
    lines.append(f"loans: run twice {twice}, answered but not run {lost}")
    lines.append(f"       false 'not run' {untrue}")
    streams_lost = [
        each.name
        for each in reports
        if each.name.startswith("stream") and each.result is not Result.WHOLE
    ]
    lines.append(f"streams without a whole answer: {streams_lost}")
    return "\n".join(lines), good and not (twice or lost or untrue or streams_lost)


async def _run(deployment: Deployment, seconds: float, rate: float, seed: int) -> bool:
    callers = Callers(deployment.entries, random.Random(seed))
    began = time.monotonic()
    faults = asyncio.ensure_future(_faults(deployment, began, print))
    await _load(callers, began, seconds, rate)
    await faults
    executions = deployment.get_json(deployment.plain, "/standin/executions")
    text, good = _summarise(callers.reports, executions)
    print(text)
    worst = sorted(callers.reports, key=lambda each: -each.seconds)[:5]
    print(
        "slowest:", json.dumps([(e.name, round(e.seconds, 1), e.kinds) for e in worst])
    )
    return good


def main(
    seconds: float = 60.0, rate: float = 10.0, seed: int = 1, keep: str = ""
) -> None:
    """Run the load and the faults.

    Parameters
    ----------
    seconds : float
        Length of the load.
    rate : float
        Streams per second; half as many loans are released.
    seed : int
        Seed of the callers' choices.
    keep : str
        Folder for settings and logs; a temporary one when empty.
    """
    with tempfile.TemporaryDirectory(prefix="wigeonspan-faults-") as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        with ProcessGroup(folder) as fleet:
            deployment = Deployment(
                fleet, folder, DeploymentOptions(entries=4, engines=4)
            )
            deployment.start()
            good = asyncio.run(_run(deployment, seconds, rate, seed))
    print("every promise kept" if good else "A PROMISE WAS BROKEN")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    fire.Fire(main)
