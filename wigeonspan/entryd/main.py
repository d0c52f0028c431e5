"""Command line of the entry daemon."""

import asyncio
import random
import sys

import fire

from wigeonspan.common import (
    SettingsErrors,
    SystemClock,
    load_settings,
    on_stop_signal,
    set_up_logs,
)
from wigeonspan.entryd._daemon import EntryDaemon
from wigeonspan.entryd._settings import EntrySettings


def run(settings: str) -> None:
    """Serve callers until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    loaded = _load(settings)
    set_up_logs(loaded.log_level)
    asyncio.run(_serve(loaded))


def check(settings: str) -> None:
    """Check a settings file and report all of its faults.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    _load(settings)
    print(f"{settings}: valid")


def main() -> None:
    """Run the command line."""
    fire.Fire({"run": run, "check": check}, name="wigeonspan-entryd")


def _load(path: str) -> EntrySettings:
    try:
        return load_settings(path, EntrySettings)
    except SettingsErrors as errors:
        print(errors, file=sys.stderr)
        sys.exit(2)


async def _serve(settings: EntrySettings) -> None:
    clock = SystemClock()
    daemon = EntryDaemon(settings, clock, random.Random())
    # Installed before the daemon listens, since an earlier signal would end the process
    # without a graceful stop.
    on_stop_signal(clock, daemon.request_stop)
    daemon.start()
    await daemon.serve()


if __name__ == "__main__":
    main()
