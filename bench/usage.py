"""Read processor time and memory of processes, and compute percentiles."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_time_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident set size of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of unsorted values; ``fraction`` is between 0 and 1."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]
