"""Command line of the soak."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import fire

from soak import ROOT
from soak._day import Result
from soak._report import describe, save_result, write_report
from soak._schedule import make_schedule
from soak._verdict import Break

ERRORS_FILE = "errors"
"""What a day's own process wrote to standard error."""

REGRESSIONS = Path(__file__).parent / "regressions.txt"
"""Seeds that failed once, one a line, each with its cause."""


class SoakCommands:
    """Runs the real programs under random faults and checks what they promise."""

    def run(self, *seeds: int, keep: str = "", at_once: int = 1) -> None:
        """Run the days of seeds.

        Parameters
        ----------
        keep : str
            Folder for the logs; a temporary one by default.
        at_once : int
            Days that run at the same time.
        """
        asyncio.run(_run_all(list(seeds), _folder(keep), at_once))

    def seeds(self, first: int, number: int, keep: str = "", at_once: int = 3) -> None:
        """Run the days of consecutive seeds."""
        seeds = list(range(first, first + number))
        asyncio.run(_run_all(seeds, _folder(keep), at_once))

    def hunt(self, minutes: float, keep: str = "", at_once: int = 3) -> None:
        """Run days of fresh seeds for some minutes."""
        first = int(time.time())
        end = time.monotonic() + minutes * 60.0
        asyncio.run(_run_until(end, first, _folder(keep), at_once))

    def replay(self, seed: int, keep: str = "") -> None:
        """Run a seed again and keep its logs."""
        asyncio.run(_run_all([seed], _folder(keep), 1))

    def regressions(self, keep: str = "", at_once: int = 2) -> None:
        """Run every seed that failed once."""
        lines = REGRESSIONS.read_text().splitlines()
        seeds = [int(x.split()[0]) for x in lines if x and not x.startswith("#")]
        asyncio.run(_run_all(seeds, _folder(keep), at_once))

    def show(self, seed: int) -> str:
        """Show the day of a seed without running it."""
        return describe(make_schedule(seed))


def _folder(keep: str) -> Path:
    return Path(keep) if keep else Path(tempfile.mkdtemp(prefix="wigeonspan-soak-"))


async def _run_all(seeds: list[int], folder: Path, at_once: int) -> None:
    places = asyncio.Semaphore(at_once)

    async def run(seed: int) -> Result:
        async with places:
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
    """Run a seed in a process of its own, so that days do not slow each other."""
    where = folder / str(seed)
    where.mkdir(parents=True, exist_ok=True)
    with open(where / ERRORS_FILE, "wb") as errors:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "soak._one", str(seed), str(where)),
            cwd=ROOT,
            stderr=errors,
        )
        await process.wait()
    if process.returncode:
        # The soak failed, not the programs; the day counts as broken all the same.
        text = f"the day ended with status {process.returncode}"
        broken = [Break("soak", "soak", text)]
        save_result(Result(make_schedule(seed), broken, where, 0, 0, 0.0))
    return write_report(where)


def _finish(results: list[Result]) -> None:
    failed = [result for result in results if result.breaks]
    print(f"{len(results)} days, {len(failed)} with a broken promise")
    for result in failed:
        print(f"  python -m soak replay {result.schedule.seed}")
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(SoakCommands, name="soak")
