"""Executes one run in its own process: ``python -m soak._one SEED FOLDER``."""

import asyncio
import sys
from pathlib import Path

from soak._parent import end_with_parent
from soak._report import save_result
from soak._run import run_soak
from soak._schedule import make_schedule


def main() -> None:
    """Execute the run and save its result."""
    end_with_parent()
    seed, folder = int(sys.argv[1]), Path(sys.argv[2])
    save_result(asyncio.run(run_soak(make_schedule(seed), folder)))


if __name__ == "__main__":
    main()
