"""Requests of callers, and the interface to the protocol of callers and targets."""

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.common import RequestId
from wigeonspan.placing import Prompt
from wigeonspan.pool import Head
from wigeonspan.targets import Phase, Target
from wigeonspan.tenants import Access, Credential, KeyFault


class HiddenHeaders(Struct, frozen=True):
    """Header fields that may hold a key; their representation hides the values."""

    fields: tuple[tuple[str, str], ...] = ()

    def __repr__(self) -> str:
        names = ", ".join(name for name, _ in self.fields)
        return f"HiddenHeaders({names})"

    def __rich_repr__(self) -> Iterable[str]:
        # msgspec's default would show the values to pretty printers.
        return (name for name, _ in self.fields)


class CallerRequest(Struct, frozen=True):
    """Request of a caller.

    Parameters
    ----------
    target : str
        Path with the query, as it is forwarded.
    headers : list of tuple
        Header fields that are forwarded unchanged.
    deadline_s : float or None
        Seconds for which the caller waits; None when it gives no limit.
    prompt : Prompt or None
        Size of a generation's prompt and output; None for a plain call.
    credential : ApiKey or KeyFault
        Key of the caller's tenant, or why there is none.
    tenant_headers : HiddenHeaders
        Header fields about the key and the tenant; forwarded only when the
        configuration has no tenants.
    """

    request: RequestId
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_s: float | None = None
    prompt: Prompt | None = None
    credential: Credential = KeyFault.MISSING
    tenant_headers: HiddenHeaders = HiddenHeaders()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class PromptHandle(Struct, frozen=True):
    """Prompt that an engine has prefilled and keeps for another engine to fetch.

    Parameters
    ----------
    work : str
        Name of the work that prefilled it.
    """

    source: Target
    handle: str
    work: str = ""


class SendOptions(Struct, frozen=True):
    """Target of a request and how it is sent there.

    Parameters
    ----------
    remaining_s : float
        Seconds until the caller no longer waits for the response.
    urgency : int or None
        Priority of the request at an engine.
    phase : Phase
        ``PREFILL`` when the engine is only to prefill the prompt.
    fetch : PromptHandle or None
        Prompt that the engine fetches from another engine instead of prefilling it.
    resume_after : str or None
        Id of the last event that the caller has; None to forward the caller's own
        value.
    copy_from : Target or None
        Engine from which the beginning of the prompt is copied before the rest is
        prefilled.
    """

    target: Target
    remaining_s: float
    urgency: int | None = None
    phase: Phase = Phase.NONE
    fetch: PromptHandle | None = None
    resume_after: str | None = None
    copy_from: Target | None = None


class TargetOutcome(Enum):
    """Outcome of a request according to the head of a target's response."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    WRONG_TARGET = "wrong_target"
    UNREADABLE = "unreadable"


class TargetNotice(Struct, frozen=True):
    """State that a target reports about itself in the head of a response.

    Parameters
    ----------
    leaving : bool
        Whether it is about to stop and accepts no new work.
    pause_s : float
        Seconds for which it wants no requests from this entry; 0 for no pause.
    max_rate : float
        Requests a second that it takes from all entries together; 0 for no limit.
    unreadable_rate : str
        Value of such a limit that cannot be read; empty otherwise.
    """

    leaving: bool = False
    pause_s: float = 0.0
    max_rate: float = 0.0
    unreadable_rate: str = ""

    @property
    def explains_refusal(self) -> bool:
        """Whether it is a reason for which a sound target refuses requests."""
        return self.leaving or self.pause_s > 0.0 or self.is_limited

    @property
    def is_limited(self) -> bool:
        """Whether it limits its requests; the rate may be one that cannot be read."""
        return self.max_rate > 0.0 or bool(self.unreadable_rate)


class TargetProtocol(Protocol):
    """Interface to the protocol of callers and targets."""

    def read_request(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        WigeonspanError
            ``BAD_REQUEST`` when it cannot be decoded.
        """
        ...

    def encode(
        self, request: CallerRequest, send: SendOptions, access: Access | None = None
    ) -> bytes:
        """Return the bytes to send to a target.

        Parameters
        ----------
        access : Access or None
            Tenant of the request; None when the configuration has no tenants.
        """
        ...

    def is_response_to(self, request: CallerRequest, head: Head) -> bool:
        """Return whether a response belongs to a request and not to an earlier one."""
        ...

    def keeps_connection(self, request: CallerRequest, head: Head) -> bool:
        """Return whether a connection may be used again after a response on it."""
        ...

    def read_outcome(self, head: Head) -> TargetOutcome:
        """Return the outcome that the head of a response reports."""
        ...

    def read_notice(self, head: Head) -> TargetNotice:
        """Return what the head of a response reports about the target itself."""
        ...

    def response_headers(self, head: Head) -> list[tuple[str, str]]:
        """Return the header fields to send to the caller."""
        ...

    def read_handle(self, source: Target, body: bytes) -> PromptHandle | None:
        """Decode an engine's response to a prefill; return None if it is invalid."""
        ...

    def encode_release(self, handle: PromptHandle) -> bytes:
        """Return the request that releases a prompt that no engine will fetch."""
        ...
