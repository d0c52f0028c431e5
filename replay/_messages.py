"""Simulated entries and the outcomes of requests."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing import Placer, RetryBudget


class Ending(Enum):
    """How a request ended for its caller.

    ``LATE`` requests were answered, but missed the objective for the first event or
    for pauses; ``ABANDONED`` ones were given up by the caller; ``FAILED`` ones lost
    their engine or found no decode engine, and could not be placed again.
    """

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    ABANDONED = "left"
    FAILED = "broken"


class Outcome(Struct, frozen=True):
    """Result of one request.

    Parameters
    ----------
    input_tokens : int
        Tokens of the prompt.
    response_s : float
        Seconds from the arrival to the first event or, if there was none, to the end.
    arrival_s : float
        Time of the arrival in seconds since the start.
    """

    kind: str
    entry: int
    input_tokens: int
    ending: Ending
    response_s: float
    arrival_s: float


class Entry(Struct):
    """Placer and retry budget of one entry, and the totals of its work.

    Parameters
    ----------
    read_ms : float
        Sum of the expected prefill times of all placements by the entry.
    stream_s : float
        Total duration of all streams that have ended.
    """

    host: HostId
    placer: Placer
    budget: RetryBudget
    read_ms: float = 0.0
    stream_s: float = 0.0
