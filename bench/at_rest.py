"""Cost of each daemon at rest: ``python -m bench.at_rest``.

Real processes with growing numbers of engines and no requests; an entry polls each
engine and syncs with the leader.
"""

import tempfile
import time
from pathlib import Path

import fire

from bench.usage import processor_s, resident_mb
from testbed import Deployment, DeploymentOptions, ProcessGroup

ENGINES = (2, 8, 32)
"""Numbers of engines, in one deployment each."""

WINDOW_S = 10.0
"""Time over which processor time is read."""


def main(window_s: float = WINDOW_S) -> None:
    """Print processor time and memory of leader, follower and entry.

    Parameters
    ----------
    window_s : float
        Time over which processor time is read, in seconds.
    """
    print("engines  process   core %     MB")
    for count in ENGINES:
        with tempfile.TemporaryDirectory(prefix="wigeonspan-rest-") as name:
            with ProcessGroup(Path(name)) as fleet:
                deployment = Deployment(
                    fleet, Path(name), DeploymentOptions(engines=count)
                )
                deployment.start()
                _print_costs(deployment, count, window_s)


def _print_costs(deployment: Deployment, count: int, window_s: float) -> None:
    leader = str(deployment.leader())
    follower = next(f"control-{n}" for n in (1, 2, 3) if f"control-{n}" != leader)
    names = {"leader": leader, "follower": follower, "entry": "entry-1"}
    pids = {part: deployment.fleet.pid(host) for part, host in names.items()}
    before = {part: processor_s(pid) for part, pid in pids.items()}
    time.sleep(window_s)
    for part, pid in pids.items():
        core = (processor_s(pid) - before[part]) / window_s * 100
        print(
            f"{count:7d}  {part:8s}  {core:6.2f}  {resident_mb(pid):5.1f}", flush=True
        )


if __name__ == "__main__":
    fire.Fire(main)
