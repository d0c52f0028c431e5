"""Entries of a replay, and how requests end."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing import Placer, RetryBudget


class End(Enum):
    """How a request ended for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    LEFT = "left"
    BROKEN = "broken"


class Outcome(Struct, frozen=True):
    """One request at its end.

    Parameters
    ----------
    decided_s : float
        Seconds from its arrival to its first event or its refusal.
    """

    kind: str
    entry: int
    tokens: int
    end: End
    decided_s: float
    arrived: float


class Entry(Struct):
    """One entry: its decisions, and the totals of its work."""

    host: HostId
    placer: Placer
    budget: RetryBudget
    read_ms: float = 0.0
    stream_s: float = 0.0
