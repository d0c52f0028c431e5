"""Messages between entries, sent in datagrams that may be lost."""

from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.common import HostId, ServiceName, TenantName
from wigeonspan.placing import MAX_WANTED, PromptPart, Work
from wigeonspan.quarantine import QuarantineMessage
from wigeonspan.targets import Listing, TargetId

_BornMs = Annotated[int, Meta(ge=0, le=2**63 - 1)]
_Tokens = Annotated[int, Meta(ge=0, le=10**9)]
_Rate = Annotated[float, Meta(ge=0.0, le=1e9)]
_Retries = Annotated[int, Meta(ge=1, le=MAX_WANTED)]
_MonotonicMs = Annotated[int, Meta(ge=0, le=2**53)]
# A list that was read more than a day ago is as good as none. The limit also keeps out
# infinite ages, and a time in the future would put off all further reads.
_AgeS = Annotated[float, Meta(ge=0.0, le=86400.0)]
# The limit keeps an odd datagram from hiding an entry from callers for long.
_DrainS = Annotated[float, Meta(ge=0.0, le=30.0)]


class WorkBegun(Struct, frozen=True, tag="begun", array_like=True):
    """An entry sent work to a target.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts of the prompt, which the target prefills or fetches and then has cached;
        empty for plain calls.
    new_tokens : int
        Estimated number of their tokens that the target has not cached.
    tenant : TenantName or None
        Tenant of the request; None when it has none.
    memory_tokens : int
        Tokens that the request holds at its decode engine; 0 when the memory of engines
        is not considered.
    prompt_work : str
        Name of the work that prefilled the prompt, which the target fetches; empty
        without such work and when the memory of engines is not considered.
    """

    work: Work
    parts: tuple[PromptPart, ...] = ()
    new_tokens: _Tokens = 0
    tenant: Annotated[TenantName, Meta(max_length=256)] | None = None
    memory_tokens: _Tokens = 0
    prompt_work: Annotated[str, Meta(max_length=256)] = ""


class WorkEnded(Struct, frozen=True, tag="ended", array_like=True):
    """Work has ended.

    Parameters
    ----------
    completed : bool
        Whether the target has completed it; then it has cached the prompt, if any.
    broken : bool
        Whether the target broke it off. It is false when the caller left, and in small
        fleets, whose entries do not share suspensions.
    """

    work: str
    completed: bool
    broken: bool = False


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
    born_ms: _BornMs


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
    born_ms: _BornMs
    max_rate: _Rate


class RetriesWanted(Struct, frozen=True, tag="wanted", array_like=True):
    """An entry asks the others for retries.

    Parameters
    ----------
    asked_ms : int
        Time of the request in milliseconds since the host of the asking entry booted.
        The lenders return it, so that the asking entry knows the age of a loan.
    """

    service: ServiceName
    count: _Retries
    asked_ms: _MonotonicMs


class RetriesLent(Struct, frozen=True, tag="lent", array_like=True):
    """An entry lends retries, which it has recorded as spent, to another one.

    Parameters
    ----------
    host : HostId
        Entry that has asked for them.
    asked_ms : int
        Time of its request, see :class:`RetriesWanted`.
    """

    host: HostId
    service: ServiceName
    count: _Retries
    asked_ms: _MonotonicMs


class EntryStopping(Struct, frozen=True, tag="stopping", array_like=True):
    """An entry is stopping; it is sent in a datagram of its own.

    Parameters
    ----------
    drain_s : float
        Seconds for which its process still runs, unless it crashes. No restarted
        entry of the same name exists before their end.
    """

    drain_s: _DrainS


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
    age_s: _AgeS
    listing: Listing | None = None


Event = (
    WorkBegun
    | WorkEnded
    | TargetSuspended
    | TargetLeaving
    | TargetLimited
    | RetriesWanted
    | RetriesLent
    | EntryStopping
    | ListRead
    | QuarantineMessage
)
"""Any event in a packet."""


class Packet(Struct, frozen=True, array_like=True):
    """Events of one entry, sent as one datagram."""

    host: HostId
    events: list[Event]
