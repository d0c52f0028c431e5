"""Command line of the soak test."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import fire

from soak import ROOT
from soak._check_types import Violation
from soak._report import describe, print_report, save_result
from soak._run import Result
from soak._schedule import make_schedule

ERRORS_FILE = "errors"
"""Name of the file with what the process of a run wrote to standard error."""

REGRESSIONS = Path(__file__).parent / "regressions.txt"
"""File with the seeds that failed before, one a line, each with its cause."""


class SoakCommands:
    """Run the real programs under random faults and check their guarantees."""

    def run(self, *seeds: int, keep: str = "", at_once: int = 1) -> None:
        """Run the given seeds.

        Parameters
        ----------
        keep : str
            Folder for the logs; a temporary one by default.
        at_once : int
            Number of runs at the same time.
        """
        asyncio.run(_run_all(list(seeds), _folder(keep), at_once))

    def seeds(self, first: int, number: int, keep: str = "", at_once: int = 3) -> None:
        """Run consecutive seeds."""
        seeds = list(range(first, first + number))
        asyncio.run(_run_all(seeds, _folder(keep), at_once))

    def hunt(self, minutes: float, keep: str = "", at_once: int = 3) -> None:
        """Run new seeds, counted up from the current time, for some minutes."""
        first = int(time.time())
        end = time.monotonic() + minutes * 60.0
        asyncio.run(_run_until(end, first, _folder(keep), at_once))

    def replay(self, seed: int, keep: str = "") -> None:
        """Run a seed again."""
        asyncio.run(_run_all([seed], _folder(keep), 1))

    def regressions(self, keep: str = "", at_once: int = 2) -> None:
        """Run every seed that failed before."""
        lines = REGRESSIONS.read_text().splitlines()
        seeds = [int(x.split()[0]) for x in lines if x and not x.startswith("#")]
        asyncio.run(_run_all(seeds, _folder(keep), at_once))

    def show(self, seed: int) -> str:
        """Show the schedule of a seed without running it."""
        return describe(make_schedule(seed))


def _folder(keep: str) -> Path:
    return Path(keep) if keep else Path(tempfile.mkdtemp(prefix="wigeonspan-soak-"))


async def _run_all(seeds: list[int], folder: Path, at_once: int) -> None:
    slots = asyncio.Semaphore(at_once)

    async def run(seed: int) -> Result:
        async with slots:
            return await _run_one(seed, folder)

    results = await asyncio.gather(*(run(seed) for seed in seeds))
    _finish(results)


async def _run_until(end: float, first: int, folder: Path, at_once: int) -> None:
    results: list[Result] = []

    async def work(offset: int) -> None:
        seed = first + offset
        while time.monotonic() < end:
            results.append(await _run_one(seed, folder))
            seed += at_once

    await asyncio.gather(*(work(n) for n in range(at_once)))
    _finish(results)


async def _run_one(seed: int, folder: Path) -> Result:
    """Run a seed in its own process, so that runs do not slow each other down."""
    run_folder = folder / str(seed)
    run_folder.mkdir(parents=True, exist_ok=True)
    with open(run_folder / ERRORS_FILE, "wb") as errors:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "soak._one", str(seed), str(run_folder)),
            cwd=ROOT,
            stderr=errors,
        )
        await process.wait()
    if process.returncode:
        # The soak test itself failed, not the programs; the run still counts as failed.
        text = f"the process of the run exited with status {process.returncode}"
        violations = [Violation("soak", "soak", text)]
        save_result(Result(make_schedule(seed), violations, run_folder, 0, 0, 0.0))
    return print_report(run_folder)


def _finish(results: list[Result]) -> None:
    failed = [result for result in results if result.breaks]
    print(f"{len(results)} runs, {len(failed)} with violations")
    for result in failed:
        print(f"  python -m soak replay {result.schedule.seed}")
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(SoakCommands, name="soak")
