"""Processes end with the one that started them."""

import os
import time
from threading import Thread

LOOK_S = 0.5
"""Seconds between two looks at whether the parent process is still there."""


def end_with_parent() -> None:
    """End this process when its parent is gone, however that ended."""
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(LOOK_S)
        os._exit(1)

    Thread(target=watch, daemon=True).start()
