"""Types and limits that all checks share."""

from collections.abc import Callable, Iterator

from msgspec import Struct
from standin import Arrival, CallRecord

from soak._evidence import Evidence
from wigeonspan.common import RequestId

MAX_TOLERATED_CASES = 3
"""Number of violating cases that a rule tolerates, for rules that count cases."""

LATENESS_TOLERANCE_S = 0.5
"""Seconds after a deadline, or after a caller disconnected, within which work must
end."""


class Violation(Struct, frozen=True):
    """Violation of a guarantee.

    Parameters
    ----------
    subject : str
        Request, host, target or service concerned.
    """

    rule: str
    subject: str
    text: str


class Index(Struct):
    """Calls and their arrivals at targets, by request."""

    calls: dict[RequestId, CallRecord]
    arrivals: dict[RequestId, list[Arrival]]


Check = Callable[[Evidence, Index], Iterator[Violation]]
"""Function that yields the violations that it finds."""
