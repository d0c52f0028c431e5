"""Messages between entries, sent in datagrams that may be lost."""

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work
from wigeonspan.quarantine import QuarantineMessage
from wigeonspan.targets import Listing, TargetId


class WorkBegun(Struct, frozen=True, tag="begun", array_like=True):
    """An entry sent work to a target.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts of the prompt, which the target prefills or fetches and then has cached;
        empty for plain calls.
    new_tokens : int
        Estimated number of their tokens that the target has not cached.
    """

    work: Work
    parts: tuple[PromptPart, ...] = ()
    new_tokens: int = 0


class WorkEnded(Struct, frozen=True, tag="ended", array_like=True):
    """Work has ended.

    Parameters
    ----------
    completed : bool
        Whether the target has completed it; then it has cached the prompt, if any.
    """

    work: str
    completed: bool


class TargetSuspended(Struct, frozen=True, tag="suspended", array_like=True):
    """An entry found a target unreachable."""

    target: TargetId


class TargetLeaving(Struct, frozen=True, tag="leaving", array_like=True):
    """A target informed an entry that it is about to stop.

    Parameters
    ----------
    born_ms : int
        Start time of the target as in the list. It identifies the incarnation that
        stops.
    """

    target: TargetId
    born_ms: int


class TargetLimited(Struct, frozen=True, tag="limited", array_like=True):
    """A target limits the requests of all entries together.

    Parameters
    ----------
    born_ms : int
        Start time of the target as in the list. It identifies the incarnation that
        names the limit.
    max_rate : float
        Requests a second; 0 when the limit is over.
    """

    target: TargetId
    born_ms: int
    max_rate: float


class ListRead(Struct, frozen=True, tag="list", array_like=True):
    """An entry has read the list of targets.

    Parameters
    ----------
    age_s : float
        Seconds from the start of the read to the sending of this message.
    listing : Listing or None
        The list if it has changed recently. Without it, a receiver that does not know
        the digest waits for its own read.
    """

    digest: str
    age_s: float
    listing: Listing | None = None


Event = (
    WorkBegun
    | WorkEnded
    | TargetSuspended
    | TargetLeaving
    | TargetLimited
    | ListRead
    | QuarantineMessage
)
"""Any event in a packet."""


class Packet(Struct, frozen=True, array_like=True):
    """Events of one entry, sent as one datagram."""

    host: HostId
    events: list[Event]
