"""Measure what an entry of a large fleet spends on the work of other entries.

``python -m bench.entry_events`` prints microseconds of CPU time for each event that
another entry reports, decoded or not, and for each placement between them.
``python -m bench.entry_events profile`` prints the functions that take the most time.
"""

import cProfile
import heapq
import pstats
import random
import time
from collections.abc import Iterator

import fire

from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName, TenantName
from wigeonspan.fleetconfig import CallKind, Route, WeightedService
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.placing import (
    Placer,
    Prompt,
    PromptPart,
    Work,
    WorkKind,
    priority_band,
)
from wigeonspan.sharing import Event, Packet, WorkBegun, WorkEnded
from wigeonspan.sharing._wire import decode_datagram, encode_packet
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable

ENTRIES = 69
PREFILL_ENGINES = 12
DECODE_ENGINES = 18
SLOTS = 64
MEMORY_TOKENS = 532_040
TENANTS = 77
"""Fleet of the lab hosting load in docs/engine-pace-and-repeats.md."""

STARTS_PER_S = 300.0
"""Units of work that all entries begin in a second; as many end."""

MEAN_WORK_S = 0.15
PACKET_EVENTS = 4
PLACEMENT_INTERVAL = 12
"""Events between two placements, so that each one finds other work."""

SERVICE = ServiceName("m")
START_S = 100.0


def make_context(*, limits_memory: bool) -> tuple[GatewayContext, ManualClock]:
    """Return the state of an entry that knows the fleet, and its clock."""
    clock = ManualClock(START_S)
    placer = Placer(DomainName("a"), random.Random(7), limits_memory=limits_memory)
    placer.set_engines(MEMORY_TOKENS, 0.1)
    placer.health.set_entries(ENTRIES)
    placer.ledger.follow_starts()
    targets = [
        Target(
            TargetId(f"i-{number}"),
            SERVICE,
            f"10.0.0.{number}:1",
            DomainName("a"),
            SLOTS,
            phase=Phase.PREFILL if number < PREFILL_ENGINES else Phase.DECODE,
        )
        for number in range(PREFILL_ENGINES + DECODE_ENGINES)
    ]
    table = TargetTable()
    table.update(Listing(tuple(targets)), START_S)
    placer.pace.update(targets, START_S)
    unused = ("protocol", "config", "budget", "pool", "link", "event_log", "metrics")
    context = GatewayContext(
        host=HostId("a"),
        clock=clock,
        target_table=table,
        placer=placer,
        **dict.fromkeys(unused),
    )
    return context, clock


def make_events(count: int, *, extended: bool, seed: int = 1) -> list:
    """Return begins and ends of work with their times, in order.

    Parameters
    ----------
    count : int
        Number of units of work.
    extended : bool
        Whether work has a tenant and holds memory.
    """
    rng = random.Random(seed)
    events: list[tuple[float, int, Event]] = []
    kinds = [WorkKind.PREFILL, WorkKind.DECODE, WorkKind.DIRECT]
    for number in range(count):
        begins_at = number / STARTS_PER_S
        kind = rng.choices(kinds, [45, 45, 10])[0]
        engine = rng.randrange(PREFILL_ENGINES)
        if kind is not WorkKind.PREFILL:
            engine = PREFILL_ENGINES + rng.randrange(DECODE_ENGINES)
        host = HostId(f"e{rng.randrange(ENTRIES)}")
        work = Work(
            f"{host}/{number}",
            host,
            TargetId(f"i-{engine}"),
            kind,
            0.0 if kind is WorkKind.DECODE else rng.choice([20.0, 90.0]),
            rng.choice([0, 1, 2, 4, 8, 9]),
        )
        parts = (
            PromptPart(f"{rng.randrange(3)}", 500),
            PromptPart(f"s{rng.randrange(500)}", 4_800),
            PromptPart(f"u{number}", 1_200),
        )
        tenant = TenantName(f"t{rng.randrange(TENANTS)}") if extended else None
        tokens = 6_500 if extended else 0
        events.append(
            (begins_at, 2 * number, WorkBegun(work, parts, 1_200, tenant, tokens))
        )
        ends_at = begins_at + rng.expovariate(1.0 / MEAN_WORK_S)
        ended = WorkEnded(work.work, rng.random() < 0.97)
        events.append((ends_at, 2 * number + 1, ended))
    heapq.heapify(events)
    return [heapq.heappop(events)[::2] for _ in range(len(events))]


class Replay:
    """Apply events to an entry and place requests between them.

    Attributes
    ----------
    event_s, placement_s : float
        Total CPU time of the events and of the placements.
    """

    def __init__(self, count: int, *, extended: bool) -> None:
        self._context, self._clock = make_context(limits_memory=extended)
        self._events = make_events(count, extended=extended)
        self._extended = extended
        self.event_s = self.placement_s = 0.0
        self.placements = 0

    @property
    def events(self) -> int:
        """Number of events."""
        return len(self._events)

    def run(self) -> None:
        """Apply all events."""
        for first in range(0, len(self._events), PLACEMENT_INTERVAL):
            batch = self._events[first : first + PLACEMENT_INTERVAL]
            started = time.process_time()
            for at, event in batch:
                self._clock.advance(max(0.0, START_S + at - self._clock.now()))
                self._context.apply_event(event)
            self.event_s += time.process_time() - started
            started = time.process_time()
            self._place()
            self.placement_s += time.process_time() - started
            self._context.placer.expire(self._clock.now())

    def _place(self) -> None:
        route = Route(
            "r",
            "h",
            "/r/",
            CallKind.STREAM,
            (WeightedService(SERVICE, 1.0),),
            timeout_s=10.0,
            objective_s=1.245,
            pause_objective_s=0.2,
            priority=1,
        )
        parts = (
            PromptPart("0", 500),
            PromptPart("s1", 4_800),
            PromptPart("own", 6_700),
        )
        self._context.placer.plan(
            route,
            Prompt(parts, sum(p.tokens for p in parts), 32),
            self._context.target_table.usable(SERVICE),
            8.0,
            self._clock.now(),
            band=priority_band({0, 1, 2}, 1),
            tenant=TenantName("t1") if self._extended else None,
        )
        self.placements += 1


def decoding_us(count: int, *, extended: bool) -> float:
    """Return microseconds for decoding an event, in packets of a few events."""
    events = [event for _, event in make_events(count, extended=extended)]
    datagrams = [
        encode_packet(Packet(HostId("e1"), events[first : first + PACKET_EVENTS]))
        for first in range(0, len(events), PACKET_EVENTS)
    ]
    started = time.process_time()
    for datagram in datagrams:
        decode_datagram(datagram)
    return (time.process_time() - started) / len(events) * 1e6


def _iter_rows(count: int, rounds: int) -> Iterator[str]:
    for extended in (True, False):
        replays = [Replay(count, extended=extended) for _ in range(rounds)]
        for replay in replays:
            replay.run()
        event_us = min(r.event_s / r.events for r in replays) * 1e6
        placement_us = min(r.placement_s / r.placements for r in replays) * 1e6
        decoded_us = min(decoding_us(count, extended=extended) for _ in range(rounds))
        name = "tenants and memory" if extended else "neither"
        yield f"| {name} | {decoded_us:.2f} | {event_us:.2f} | {placement_us:.0f} |"


def main(mode: str = "time", count: int = 6_000, rounds: int = 5) -> None:
    """Print the least CPU time of several rounds, or a profile of one.

    Parameters
    ----------
    mode : str
        ``time`` or ``profile``.
    count : int
        Units of work; each has two events.
    """
    if mode == "profile":
        replay = Replay(count, extended=True)
        with cProfile.Profile() as profile:
            replay.run()
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)
        return
    print("| work has | us per event decoded | applied | us per placement |")
    print("|---|---|---|---|")
    for row in _iter_rows(count, rounds):
        print(row, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
