"""Measure how the state grows: ``python -m bench.state_size``.

Prints memory, snapshot size and snapshot time of the replicated state, and the size of
the record, for increasing numbers of engines, changes and idempotency keys. Also prints
the memory of an entry's router including the load reports that it keeps.
"""

import gc
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from bench.decision_cost import fleet
from wigeonspan.calls import CallOutcome, CallState, CloseCall, OpenCall
from wigeonspan.catalog import ApplyChange, PutObject, Tenant
from wigeonspan.common import (
    HostId,
    LogIndex,
    OperationId,
    ServiceName,
    TenantName,
    Version,
    encode,
)
from wigeonspan.controld._state import ControlState
from wigeonspan.engines import LoadReport
from wigeonspan.routing import Router

ENGINES = (500, 1_000, 2_000, 4_800)
CHANGES = (1_000, 2_000, 4_000, 8_000)
KEYS = (5_000, 10_000, 20_000, 40_000)

TENANTS = 220
"""Number of tenants expected in two years."""


def main() -> None:
    """Print all tables."""
    _print_table("engines in the catalog", ENGINES, _fill_engines)
    _print_table("changes of tenants", CHANGES, _fill_changes)
    _print_table("idempotency keys with 100-byte answers", KEYS, _fill_keys)
    print("engines known to a router       MB")
    for count in ENGINES:
        print(f"{count:24d}  {_router_mb(count):7.2f}")


def _print_table(
    title: str, counts: tuple[int, ...], fill: Callable[..., None]
) -> None:
    print(f"{title:38s}  state MB  snapshot MB  snapshot ms  record MB  apply us")
    for count in counts:
        with tempfile.TemporaryDirectory() as name:
            row = _measure(Path(name), count, fill)
        print(f"{count:38d}" + "".join(f"  {value:9.3f}" for value in row), flush=True)


def _measure(folder: Path, count: int, fill: Callable[..., None]) -> list[float]:
    """Return one row of the table.

    Memory is measured on a second state, as tracing allocations slows down the filling.
    """
    state = ControlState(folder / "timed")
    began = time.perf_counter()
    fill(state, count)
    apply_us = (time.perf_counter() - began) / count * 1e6
    state.flush()
    began = time.perf_counter()
    snapshot = state.snapshot()
    snapshot_ms = (time.perf_counter() - began) * 1e3
    files = (folder / "timed").rglob("*")
    record = sum(path.stat().st_size for path in files if path.is_file())
    del state
    memory = _traced_mb(lambda: _build_state(folder / "traced", count, fill))
    return [memory, len(snapshot) / 1e6, snapshot_ms, record / 1e6, apply_us]


def _build_state(folder: Path, count: int, fill: Callable[..., None]) -> ControlState:
    state = ControlState(folder)
    fill(state, count)
    state.flush()
    return state


def _traced_mb(build: Callable[[], Any]) -> float:
    """Build an object; return the memory that it takes in MB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size / 1e6


def _apply_put(state: ControlState, number: int, value: Any, base: int) -> None:
    command = ApplyChange(
        OperationId(f"operation-{number:09d}"),
        "operator",
        "a reason of usual length",
        Version(base),
        PutObject(value),
        1_700_000_000_000 + number,
    )
    state.apply(LogIndex(number + 1), encode(command))


def _fill_engines(state: ControlState, count: int) -> None:
    for number, engine in enumerate(fleet(count, 9, 14)):
        # Without a service, which would have to exist; the size is the same.
        address = f"10.{number // 65025}.{number // 255 % 255}.{number % 255}:80"
        plain = {"name": engine.name, "address": address, "domain": engine.domain}
        _apply_put(state, number, type(engine)(**plain), 0)


def _fill_changes(state: ControlState, count: int) -> None:
    versions: dict[int, int] = {}
    for number in range(count):
        tenant = number % TENANTS
        value = Tenant(TenantName(f"tenant-{tenant}"), rate_per_s=float(number))
        _apply_put(state, number, value, versions.get(tenant, 0))
        versions[tenant] = number + 1


def _fill_keys(state: ControlState, count: int) -> None:
    answer = CallOutcome(201, "application/json", b"x" * 100)
    for number in range(count):
        names = (TenantName(f"tenant-{number % TENANTS}"), ServiceName("loans"))
        key, nonce = f"key-{number:032d}", f"{number:032x}"
        wall_ms = 1_700_000_000_000 + number
        opened = OpenCall(
            *names, key, "0" * 64, HostId("entry-1"), nonce, wall_ms + 10_000, wall_ms
        )
        closed = CloseCall(*names, key, nonce, CallState.DONE, answer, wall_ms)
        state.apply(LogIndex(2 * number + 1), encode(opened))
        state.apply(LogIndex(2 * number + 2), encode(closed))


def _router_mb(count: int) -> float:
    def build() -> Router:
        engines = fleet(count, 9, 14)
        router = Router(Random(1))
        router.update_engines(engines, 0.0)
        for engine in engines:
            report = LoadReport(
                engine.name, "i", 0.1, engine.role, 0, 4, 32, 4000, 2000, 6000.0, 30.0
            )
            router.record_load(report, 0.0)
        return router

    return _traced_mb(build)


if __name__ == "__main__":
    main()
