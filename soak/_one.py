"""Runs one day in a process of its own: ``python -m soak._one SEED FOLDER``."""

import asyncio
import sys
from pathlib import Path

from soak._day import run_day
from soak._parent import end_with_parent
from soak._report import save_result
from soak._schedule import make_schedule


def main() -> None:
    """Run the day and save its outcome."""
    end_with_parent()
    seed, folder = int(sys.argv[1]), Path(sys.argv[2])
    save_result(asyncio.run(run_day(make_schedule(seed), folder)))


if __name__ == "__main__":
    main()
