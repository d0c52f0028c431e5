"""Runs one day in a process of its own: ``python -m soak._one SEED FOLDER``."""

import asyncio
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform")]

from soak._day import run_day  # noqa: E402
from soak._report import save_result  # noqa: E402
from soak._schedule import make_schedule  # noqa: E402

PARENT_S = 0.5
"""Seconds between two looks at whether the parent process is still there."""


async def _run(seed: int, folder: Path) -> None:
    """Run the day; end it, and all that it started, when the parent is gone."""
    parent = os.getppid()
    day = asyncio.create_task(run_day(make_schedule(seed), folder))
    while not day.done():
        await asyncio.wait([day], timeout=PARENT_S)
        if os.getppid() != parent:
            day.cancel()
    save_result(await day)


def main() -> None:
    """Run the day and save its outcome."""
    asyncio.run(_run(int(sys.argv[1]), Path(sys.argv[2])))


if __name__ == "__main__":
    main()
