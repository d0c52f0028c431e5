"""Messages between entries, in datagrams that may be lost."""

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work
from wigeonspan.targets import Listing, TargetId


class WorkBegun(Struct, frozen=True, tag="begun", array_like=True):
    """An entry sent work to a target.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts of the prompt that the target reads; empty otherwise.
    new_tokens : int
        Tokens of them that the sender takes to be new to the target.
    """

    work: Work
    parts: tuple[PromptPart, ...] = ()
    new_tokens: int = 0


class WorkEnded(Struct, frozen=True, tag="ended", array_like=True):
    """Work has ended.

    Parameters
    ----------
    completed : bool
        Whether it was done to the end.
    """

    work: str
    completed: bool


class TargetSuspended(Struct, frozen=True, tag="suspended", array_like=True):
    """An entry found a target silent."""

    target: TargetId


class TargetLeaving(Struct, frozen=True, tag="leaving", array_like=True):
    """A target told an entry that it is about to stop.

    Parameters
    ----------
    born_ms : int
        Start of the target that this is about, as the list names it.
    """

    target: TargetId
    born_ms: int


class ListSeen(Struct, frozen=True, tag="list", array_like=True):
    """An entry has read the list of targets.

    Parameters
    ----------
    age_s : float
        Seconds since the read began, when this is sent.
    listing : Listing or None
        The list when it has changed lately; a receiver that does not know the digest
        waits for its own read.
    """

    digest: str
    age_s: float
    listing: Listing | None = None


Event = WorkBegun | WorkEnded | TargetSuspended | TargetLeaving | ListSeen
"""Content of a packet."""


class Packet(Struct, frozen=True, array_like=True):
    """One datagram."""

    host: HostId
    events: list[Event]
