"""Entry point of ``wigeonspan-controld``."""

import asyncio
import sys

from wigeonspan.common import SettingsErrors, load_settings, set_up_logs
from wigeonspan.common.cli import parse_as_strings, run_commands
from wigeonspan.consensus import StorageError
from wigeonspan.controld._settings import ControlSettings
from wigeonspan.record import RecordError


class Controld:
    """Control daemon of a wigeonspan deployment."""

    @parse_as_strings
    def run(self, settings: str) -> None:
        """Run the daemon until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        from wigeonspan.controld._daemon import run_daemon

        loaded = load_settings(settings, ControlSettings)
        set_up_logs(loaded.log_level)
        asyncio.run(run_daemon(loaded))

    @parse_as_strings
    def check(self, settings: str) -> None:
        """Check a settings file and print all of its errors.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        load_settings(settings, ControlSettings)
        print(f"{settings}: good")


def main() -> None:
    """Run one command.

    Exit codes: 0 stopped normally or settings valid, 1 daemon failed, 2 invalid usage
    or settings.
    """
    try:
        run_commands(Controld, "wigeonspan-controld")
    except SettingsErrors as errors:
        print(errors, file=sys.stderr)
        raise SystemExit(2) from None
    except (OSError, StorageError, RecordError) as error:
        print(f"the daemon cannot run: {error}", file=sys.stderr)
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
