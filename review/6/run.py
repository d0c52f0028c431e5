"""Two control hosts are replaced as planned, one shortly after the other."""

import os
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

BETWEEN_S = float(os.environ.get("BETWEEN_S", "1.0"))
"""Seconds from the end of the first removed machine to the SIGTERM of the second."""

CONTACT_S = 3.0
"""``contact_ms``: seconds until the end of the day is read back."""

READ_S = 30.0
"""Seconds for which the operator asks afterwards; ``recovery_s`` is 12."""

FIRST, NEW, REMOVED = (1, 2, 3), (4, 5), (1, 3)


def play(record):
    """Play the case on a deployment and return whether the rule was broken."""
    deployment = Deployment(record)
    operator = Operator(deployment)
    try:
        for number in FIRST:
            deployment.start(number, "core", FIRST, bootstrap=True)
        if operator.replace(FIRST, configuration(7)) is None:
            raise CannotRun("the group did not start")
        # Long enough for all three machines to count.
        time.sleep(CATCH_UP_S + 1.0)
        for number in NEW:
            deployment.start(number, "core", FIRST)
        new_at = time.monotonic()
        time.sleep(CATCH_UP_S + 0.5)
        if operator.replace(FIRST, configuration(11)) is None:
            raise CannotRun("version 11 was not acknowledged")
        if TROUBLE:
            for number, successor in zip(REMOVED, NEW, strict=True):
                began_s = time.monotonic() - new_at
                took_s = deployment.terminate(number)
                record(
                    f"machine {number} is removed: SIGTERM {began_s:.2f} s after the "
                    f"start of its successor {successor}, ended {took_s:.2f} s later"
                )
                if number != REMOVED[-1]:
                    time.sleep(BETWEEN_S)
        # A leader that has lost its followers still leads for up to two seconds.
        time.sleep(CONTACT_S)
        staying = [n for n in (*FIRST, *NEW) if deployment.is_running(n)]
        end = time.monotonic() + READ_S
        while time.monotonic() < end:
            for number in staying:
                status, seen = operator.describe(number)
                if status == 200:
                    record(f"machine {number} answers a read with version {seen}")
                    return seen < 11
                last = f"machine {number} answers a read with {status} {seen}"
            time.sleep(0.5)
        record(last)
        record(f"none of {staying} has answered a read for {READ_S:.0f} s")
        return True
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
