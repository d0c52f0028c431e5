"""A planned replacement of a control host, and then the loss of one disk."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness2 import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Deployment,
    Operator,
    configuration,
    run,
)

CATCH_UP_S = 4.0
"""``catch_up_s``: seconds after its start for which a new machine counts as lost."""

REMOVED_TO_LOSS_S = 1.0
"""Seconds from the end of the removed machine to the loss of the disk."""

DOWN_S = 3.0
"""Seconds until the machine whose disk is lost is back (``for_s`` of the site file)."""

READ_S = 30.0
"""Seconds for which the operator asks afterwards; ``recovery_s`` is 12."""

FIRST, NEW = (1, 2, 3), 4


def play(record):
    deployment = Deployment(record)
    operator = Operator(deployment)
    try:
        for number in FIRST:
            deployment.start(number, "core", FIRST, bootstrap=True)
        if operator.replace(FIRST, configuration(7)) is None:
            raise CannotRun("the group did not start")
        # Long enough for all three machines to count.
        time.sleep(CATCH_UP_S + 1.0)
        if operator.replace(FIRST, configuration(11)) is None:
            raise CannotRun("the group does not store configurations")
        old, kept = 1, [2, 3]
        deployment.start(NEW, "core", FIRST)
        new_at = time.monotonic()
        time.sleep(CATCH_UP_S)
        took_s = deployment.terminate(old)
        removed_at = time.monotonic()
        record(
            f"machine {old} is removed: SIGTERM {removed_at - took_s - new_at:.2f} s "
            f"after its successor {NEW} started, ended {took_s:.2f} s later"
        )
        time.sleep(REMOVED_TO_LOSS_S)
        acknowledged_by = operator.replace([*kept, NEW], configuration(15))
        if acknowledged_by is None:
            raise CannotRun("version 15 was not acknowledged")
        lost = kept[-1]
        if TROUBLE:
            deployment.kill(lost)
            deployment.lose_disk(lost)
            record(
                f"machine {lost} has lost its disk, "
                f"{time.monotonic() - new_at:.2f} s after the start of {NEW}"
            )
            time.sleep(DOWN_S)
            deployment.start(lost, "core", [*kept, NEW])
        else:
            time.sleep(DOWN_S)
        end = time.monotonic() + READ_S
        while time.monotonic() < end:
            for number in (*kept, NEW):
                status, seen = operator.describe(number)
                if status == 200:
                    record(f"machine {number} answers a read with version {seen}")
                    return seen < 15
                last = f"machine {number} answers a read with {status} {seen}"
            time.sleep(0.5)
        record(last)
        record(f"nobody has answered a read for {READ_S:.0f} s")
        return True
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
