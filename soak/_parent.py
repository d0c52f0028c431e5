"""Ends a process when its parent process is gone."""

import os
import time
from threading import Thread

PARENT_CHECK_INTERVAL_S = 0.5
"""Seconds between two checks of whether the parent process is still running."""


def end_with_parent() -> None:
    """End this process when its parent has ended, also if the parent was killed."""
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_INTERVAL_S)
        os._exit(1)

    Thread(target=watch, daemon=True).start()
