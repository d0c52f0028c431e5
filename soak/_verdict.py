"""What checks look at and what they return."""

from collections.abc import Callable, Iterator

from msgspec import Struct
from standin import Arrival, CallSeen

from soak._evidence import Evidence
from wigeonspan.common import RequestId

FEW = 3
"""Cases that rules with a count allow."""

LATE_S = 0.5
"""Seconds after a deadline, or after a caller left, in which work must end."""


class Break(Struct, frozen=True):
    """A promise that was broken.

    Parameters
    ----------
    subject : str
        Request, host or target.
    """

    rule: str
    subject: str
    text: str


class Index(Struct):
    """Calls and arrivals by request."""

    calls: dict[RequestId, CallSeen]
    arrivals: dict[RequestId, list[Arrival]]


Check = Callable[[Evidence, Index], Iterator[Break]]
"""Yields the promises that were broken."""
