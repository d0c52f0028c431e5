"""Measure how much the intent of an at-most-once call adds to its latency.

Run with ``python -m bench.intent``. Three control daemons, one entry, one engine and a
plain service run as processes on loopback and share one disk. Each round sends, one
after the other: a call directly to the plain service, a repeatable (idempotent) call
through the entry, and a non-idempotent call through the entry. For the last one, the
entry commits an intent before the call and the outcome after it. Afterwards, several
callers send non-idempotent calls concurrently.
"""

import http.client
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.relay import percentile
from testbed import PLAIN_SERVICE, Deployment, DeploymentOptions, ProcessGroup

ROUNDS = 300
WARM_UP_ROUNDS = 10

CALLERS = 32
CALLS_PER_CALLER = 20

PATH = f"/v1/services/{PLAIN_SERVICE}"


class Caller:
    """Blocking HTTP connection that is reused for all calls."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=20.0)

    def call(self, method: str, path: str, key: str = "") -> float:
        """Send a call and return its latency in seconds.

        Raises
        ------
        RuntimeError
            The status is neither 200 nor 201.
        """
        headers = {"Idempotency-Key": key} if key else {}
        body = "plate 7" if method == "POST" else None
        begun = time.perf_counter()
        self._connection.request(method, path, body, headers)
        response = self._connection.getresponse()
        answer = response.read()
        elapsed = time.perf_counter() - begun
        if response.status not in (200, 201):
            raise RuntimeError(f"{path}: status {response.status}: {answer.decode()}")
        return elapsed

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def print_row(name: str, times: list[float]) -> None:
    """Print one row of the table."""
    p50, p95 = percentile(times, 0.5) * 1e3, percentile(times, 0.95) * 1e3
    print(f"{name:<34} {len(times):>6} {p50:>8.2f} {p95:>8.2f}")


def measure_rounds(entry: str, plain: str) -> None:
    """Print the latencies of the three kinds of calls."""
    direct, relayed = Caller(plain), Caller(entry)
    calls: dict[str, Callable[[int], float]] = {
        "plain service, direct": lambda n: direct.call("POST", "/loans"),
        "repeatable call, relayed": lambda n: relayed.call("GET", f"{PATH}/sheets/a"),
        "non-idempotent call, with intent": lambda n: relayed.call(
            "POST", f"{PATH}/loans", f"serial-{n}"
        ),
    }
    times: dict[str, list[float]] = {name: [] for name in calls}
    for number in range(WARM_UP_ROUNDS + ROUNDS):
        for name, call in calls.items():
            elapsed = call(number)
            if number >= WARM_UP_ROUNDS:
                times[name].append(elapsed)
    for name, values in times.items():
        print_row(name, values)
    relay_s, intent_s = (percentile(list(times.values())[i], 0.5) for i in (1, 2))
    print(f"added by intent and outcome, p50: {(intent_s - relay_s) * 1e3:.2f} ms")
    direct.close()
    relayed.close()


def measure_parallel(entry: str) -> None:
    """Print latency and rate of non-idempotent calls from concurrent callers."""

    def run(caller: int) -> list[float]:
        connection = Caller(entry)
        keys = (f"parallel-{caller}-{n}" for n in range(CALLS_PER_CALLER))
        times = [connection.call("POST", f"{PATH}/loans", key) for key in keys]
        connection.close()
        return times

    begun = time.perf_counter()
    with ThreadPoolExecutor(CALLERS) as pool:
        times = [t for times in pool.map(run, range(CALLERS)) for t in times]
    rate = len(times) / (time.perf_counter() - begun)
    print_row(f"with intent, {CALLERS} callers", times)
    print(f"{rate:.0f} calls/s")


def main() -> None:
    """Start a deployment and run the measurements."""
    with tempfile.TemporaryDirectory(prefix="wigeonspan-intent-") as name:
        folder = Path(name)
        with ProcessGroup(folder) as processes:
            deployment = Deployment(
                processes, folder, DeploymentOptions(entries=1, engines=1)
            )
            deployment.start()
            print(f"{'call':<34} {'calls':>6} {'p50 ms':>8} {'p95 ms':>8}")
            measure_rounds(deployment.entries[0], deployment.plain)
            measure_parallel(deployment.entries[0])
            processes.terminate_all()


if __name__ == "__main__":
    main()
