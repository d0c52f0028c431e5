"""Gauges of a control host for dashboards and alerts."""

import asyncio
from collections import Counter
from collections.abc import Callable

from wigeonspan.catalog import Engine, EnginePhase
from wigeonspan.common import Clock, Metrics, metric_name
from wigeonspan.consensus import LogTask
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor

GAUGE_INTERVAL_S = 5.0
"""Interval between samples; statsd collectors flush every 10 s."""


def read_gauges(
    log: LogTask,
    state: ControlState,
    distributor: Distributor | None,
    now: float,
) -> dict[str, float]:
    """Return the gauges of this host.

    Parameters
    ----------
    log : LogTask
        Replicated log.
    state : ControlState
        Applied state.
    distributor : Distributor or None
        Distributor of the current term; None on a follower.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict of str to float
        Value by name. Followers leave out the leader's gauges, so that a sum over all
        hosts counts them once.
    """
    gauges: dict[str, float] = {
        "control.leads": float(log.is_leader),
        "control.lease_left_s": max(0.0, log.lease_valid_until - now),
        "control.term": log.term,
        "control.applied": log.applied,
        "control.version": state.catalog.version,
        "control.record_seq": state.record.head.seq,
        "control.record_failed": float(state.record.failure is not None),
        "control.voters": sum(member.voter for member in log.members),
    }
    if distributor is not None:
        gauges |= _leader_gauges(log, state, distributor, now)
    return gauges


async def send_gauges(
    metrics: Metrics,
    log: LogTask,
    state: ControlState,
    distributor: Callable[[], Distributor | None],
    clock: Clock,
) -> None:
    """Send the gauges periodically until cancelled."""
    while True:
        for name, value in read_gauges(log, state, distributor(), clock.now()).items():
            metrics.gauge(name, value)
        await asyncio.sleep(GAUGE_INTERVAL_S)


def _leader_gauges(
    log: LogTask, state: ControlState, distributor: Distributor, now: float
) -> dict[str, float]:
    engines = [each for each in state.catalog.objects() if isinstance(each, Engine)]
    phases = Counter(engine.phase for engine in engines)
    pending = distributor.entries_pending(state.catalog.version, now)
    gauges = {
        metric_name("engines", phase.value): float(phases[phase])
        for phase in EnginePhase
    }
    return gauges | {
        "control.strangers": float(len(log.unregistered_disks)),
        "entries.live": float(len(distributor.live_entries(now))),
        "entries.pending": float(len(pending)),
        "orders.open": float(len(state.orders.opened)),
        "calls.open": float(len(state.calls.open_calls)),
        "calls.kept": float(state.calls.size),
    }
