"""Measurement of what an entry uses of its processor, memory, link and descriptors.

It answers entries of different sizes: control hosts give larger shares of the callers
to entries that have more left.
"""

import os
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from wigeonspan.common import Clock, TrafficCounter
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.presence import EntryLoad, Resources
from wigeonspan.serving import BASE_MEMORY_MB, MIN_CALLER_MB

USE_WINDOW_S = 2.0
"""Seconds over which use is averaged: the entry's own bursts are shorter, and the
waves of demand that weights follow are several times longer."""

SAMPLE_INTERVAL_S = 0.4
"""Minimum seconds between two samples. Heartbeats go to each control host twice a
second, and counting descriptors takes time in proportion to their number."""

BITS_PER_MBIT = 1e6
MB = 1024 * 1024


class ProcessTotals(Struct, frozen=True):
    """Totals of a process since its start, and what it holds now.

    Parameters
    ----------
    processor_s : float
        Processor time in seconds.
    sent_bytes, received_bytes : int
        Bytes that its sockets have carried.
    memory_mb : float
        Resident memory in MB.
    descriptors : int
        Open descriptors.
    """

    processor_s: float
    sent_bytes: int
    received_bytes: int
    memory_mb: float
    descriptors: int


class UseMeter:
    """Average of an entry's use over the last seconds.

    Parameters
    ----------
    capacity : Resources
        Capacity of the entry.
    read_totals : callable
        Returns the totals of the process.
    """

    def __init__(
        self,
        capacity: Resources,
        read_totals: Callable[[], ProcessTotals],
        clock: Clock,
    ) -> None:
        self._capacity = capacity
        self._read_totals = read_totals
        self._clock = clock
        self._samples = deque([(clock.now(), read_totals())])

    def load(self) -> EntryLoad:
        """Return the capacity, and the use over the last ``USE_WINDOW_S``."""
        now, samples = self._clock.now(), self._samples
        if now - samples[-1][0] >= SAMPLE_INTERVAL_S:
            samples.append((now, self._read_totals()))
        while len(samples) > 2 and now - samples[1][0] >= USE_WINDOW_S:
            samples.popleft()
        (first_at, first), (last_at, last) = samples[0], samples[-1]
        span_s = max(last_at - first_at, SAMPLE_INTERVAL_S)
        moved_bytes = max(
            last.sent_bytes - first.sent_bytes,
            last.received_bytes - first.received_bytes,
        )
        used = Resources(
            cores=round((last.processor_s - first.processor_s) / span_s, 4),
            memory_mb=round(max(0.0, last.memory_mb - BASE_MEMORY_MB), 1),
            link_mbps=round(moved_bytes * 8 / BITS_PER_MBIT / span_s, 4),
            descriptors=last.descriptors,
        )
        return EntryLoad(self._capacity, used)


def make_use_meter(
    settings: GatewaySettings, counters: list[TrafficCounter], clock: Clock
) -> UseMeter | None:
    """Return the meter of an entry, or None when the settings name no capacity."""
    if settings.cores is None and settings.link_mbps is None:
        return None
    capacity = Resources(
        cores=settings.cores,
        memory_mb=max(MIN_CALLER_MB, settings.memory_mb - BASE_MEMORY_MB),
        link_mbps=settings.link_mbps,
        descriptors=settings.max_fds,
    )
    return UseMeter(capacity, lambda: read_totals(counters), clock)


def read_totals(counters: list[TrafficCounter]) -> ProcessTotals:
    """Read the totals of this process from the kernel and from counters of bytes."""
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return ProcessTotals(
        processor_s=time.process_time(),
        sent_bytes=sum(c.sent for c in counters),
        received_bytes=sum(c.received for c in counters),
        memory_mb=resident_pages * os.sysconf("SC_PAGE_SIZE") / MB,
        descriptors=len(os.listdir("/proc/self/fd")),
    )
