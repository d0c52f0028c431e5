"""Measure how long three voters take to accept an operator's change.

Run with ``python -m bench.changes``. Three control daemons run as separate processes
on loopback, with their data folders on one disk. Operators are threads of this process.
Each change is sent over gRPC, committed by a majority, applied, recorded and answered.
The last line shows the time from killing the leader to the next accepted change.
"""

import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.usage import percentile
from testbed import Deployment, DeploymentOptions, ProcessGroup
from wigeonspan.catalog import OutcomeKind, PutObject, Tenant
from wigeonspan.common import TenantName, Version
from wigeonspan.operators.client import Session, make_session

LOADS = ((1, 2_000), (8, 4_000))
"""Pairs of concurrent operators and total changes."""

KILLS = 5
"""Number of times that the current leader is killed."""

WARM_UP = 50
"""Number of changes before the measurement."""


def change_tenant(session: Session, name: str, changes: int) -> list[float]:
    """Change one tenant repeatedly; return the latencies in milliseconds."""
    version = Version(0)
    times = []
    for number in range(changes):
        value = Tenant(TenantName(name), weight=1.0 + number)
        begun = time.perf_counter()
        outcome = session.apply(PutObject(value), version, "measure")
        times.append(1000 * (time.perf_counter() - begun))
        if outcome.kind is not OutcomeKind.ACCEPTED:
            raise RuntimeError(outcome.message)
        version = outcome.version
    return times


def measure_load(
    open_session: Callable[[], Session], operators: int, total: int
) -> str:
    """Run concurrent operators; return one row of the table."""

    def run_operator(number: int) -> list[float]:
        name = f"t-{operators}-{number}"
        return change_tenant(open_session(), name, total // operators)

    begun = time.perf_counter()
    with ThreadPoolExecutor(operators) as pool:
        times = [
            each for done in pool.map(run_operator, range(operators)) for each in done
        ]
    rate = len(times) / (time.perf_counter() - begun)
    p50, p95, p99 = (percentile(times, share) for share in (0.5, 0.95, 0.99))
    return (
        f"{operators:>9} {len(times):>8} {p50:>8.2f} {p95:>8.2f} {p99:>8.2f} "
        f"{max(times):>8.2f} {rate:>10.0f}"
    )


def measure_failover(deployment: Deployment, session: Session, number: int) -> float:
    """Kill the leader; return the time in seconds until a change is accepted."""
    leader = deployment.wait_until("a leader", deployment.leader)
    deployment.processes.kill(leader)
    begun = time.perf_counter()
    change_tenant(session, f"after-kill-{number}", 1)
    seconds = time.perf_counter() - begun
    deployment.start_control(int(leader.removeprefix("control-")) - 1)
    deployment.wait_until("three voters", lambda: len(deployment.status()) == 3)
    # Before the next kill, every voter must have voted since its restart.
    time.sleep(3.0)
    return seconds


def main() -> None:
    """Run the measurements and print the results."""
    with tempfile.TemporaryDirectory(prefix="wigeonspan-bench-") as name:
        with ProcessGroup(Path(name)) as processes:
            deployment = Deployment(
                processes, Path(name), DeploymentOptions(entries=0, engines=0)
            )
            deployment.start_daemons()

            def open_session() -> Session:
                return make_session(deployment.operators, "bench", 30.0)

            change_tenant(open_session(), "warm-up", WARM_UP)
            print("operators  changes   p50 ms   p95 ms   p99 ms   max ms  changes/s")
            for operators, total in LOADS:
                print(measure_load(open_session, operators, total), flush=True)
            session = open_session()
            times = [measure_failover(deployment, session, n) for n in range(KILLS)]
            shown = " ".join(f"{seconds:.2f}" for seconds in sorted(times))
            print(f"leader killed: seconds until a change is accepted: {shown}")


if __name__ == "__main__":
    main()
