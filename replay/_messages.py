"""Simulated entries and the outcomes of requests."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import HostId, TenantName
from wigeonspan.placing import Placer, RetryBudget
from wigeonspan.quarantine import PromptQuarantine


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
    tenant : TenantName or None
        Tenant that sent the request.
    retry_after_s : float or None
        Seconds that the last refusal named; None when the request was never refused.
    """

    kind: str
    entry: int
    input_tokens: int
    ending: Ending
    response_s: float
    arrival_s: float
    tenant: TenantName | None = None
    retry_after_s: float | None = None


class CulpritRecord(Struct):
    """What happened to the requests with a culprit.

    Parameters
    ----------
    crashes : list of float
        Times of the crashes.
    sends : list of float
        Times of the requests that reached an engine, prefills and streams.
    """

    crashes: list[float] = []
    sends: list[float] = []

    def late_sends(self, crashes: int = 5, hold_s: float = 3.0) -> int:
        """Return the number of sends later than some seconds after a crash."""
        if len(self.crashes) < crashes:
            return 0
        return sum(at > self.crashes[crashes - 1] + hold_s for at in self.sends)


class Entry(Struct):
    """Placer, retry budget and quarantine of one entry, and the totals of its work.

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
    quarantine: PromptQuarantine
    read_ms: float = 0.0
    stream_s: float = 0.0
