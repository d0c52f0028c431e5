"""Measure processor time and memory of idle daemons.

Run with ``python -m bench.at_rest``. The daemons run as processes with an increasing
number of engines and without requests. The entry still polls each engine and syncs with
the leader.
"""

import tempfile
import time
from pathlib import Path

import fire

from bench.usage import cpu_time_s, resident_mb
from testbed import Deployment, DeploymentOptions, ProcessGroup

ENGINES = (2, 8, 32)
"""Numbers of engines; each is measured in a deployment of its own."""

WINDOW_S = 10.0
"""Measuring time in seconds."""


def main(window_s: float = WINDOW_S) -> None:
    """Print processor time and memory of the leader, a follower and the entry.

    Parameters
    ----------
    window_s : float
        Measuring time in seconds.
    """
    print("engines  process   core %     MB")
    for count in ENGINES:
        with tempfile.TemporaryDirectory(prefix="wigeonspan-rest-") as name:
            with ProcessGroup(Path(name)) as processes:
                deployment = Deployment(
                    processes, Path(name), DeploymentOptions(engines=count)
                )
                deployment.start()
                _print_costs(deployment, count, window_s)


def _print_costs(deployment: Deployment, count: int, window_s: float) -> None:
    leader = str(deployment.leader())
    follower = next(f"control-{n}" for n in (1, 2, 3) if f"control-{n}" != leader)
    names = {"leader": leader, "follower": follower, "entry": "entry-1"}
    pids = {role: deployment.processes.pid(host) for role, host in names.items()}
    before = {role: cpu_time_s(pid) for role, pid in pids.items()}
    time.sleep(window_s)
    for role, pid in pids.items():
        core = (cpu_time_s(pid) - before[role]) / window_s * 100
        print(
            f"{count:7d}  {role:8s}  {core:6.2f}  {resident_mb(pid):5.1f}", flush=True
        )


if __name__ == "__main__":
    fire.Fire(main)
