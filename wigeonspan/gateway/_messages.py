"""Requests of callers and the protocol of targets, as the gateway needs them."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.common import RequestId
from wigeonspan.placing import Prompt
from wigeonspan.pool import Head
from wigeonspan.targets import Phase, Target


class CallerRequest(Struct, frozen=True):
    """Request as a caller sent it.

    Parameters
    ----------
    target : str
        Path with the query, as it is forwarded.
    headers : list of tuple
        Header fields that are forwarded unchanged.
    deadline_s : float or None
        Seconds that the caller waits; None when it does not say.
    prompt : Prompt or None
        Size of a generation; None for a plain call.
    """

    request: RequestId
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_s: float | None = None
    prompt: Prompt | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Handle(Struct, frozen=True):
    """Prompt that an engine keeps for another engine to fetch."""

    source: Target
    handle: str


class Send(Struct, frozen=True):
    """How a request is sent to one target.

    Parameters
    ----------
    left_s : float
        Seconds until nobody waits for the answer.
    urgency : int or None
        Rank at an engine.
    phase : Phase
        ``PREFILL`` when the prompt is only to be read.
    fetch : Handle or None
        Where the engine gets the prompt from.
    resume_after : str or None
        Last event that the caller has; None to forward what the caller sent.
    copy_from : Target or None
        Engine that the prompt's beginning is copied from before it is read.
    """

    target: Target
    left_s: float
    urgency: int | None = None
    phase: Phase = Phase.NONE
    fetch: Handle | None = None
    resume_after: str | None = None
    copy_from: Target | None = None


class TargetOutcome(Enum):
    """What the head of a target's answer says."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    WRONG_TARGET = "wrong_target"
    UNREADABLE = "unreadable"


class TargetNotice(Struct, frozen=True):
    """What a target says of itself beside its answer.

    Parameters
    ----------
    leaving : bool
        Whether it is about to stop and wants no new work.
    pause_s : float
        Seconds for which it wants no request from this entry; 0 when it does not say.
    """

    leaving: bool = False
    pause_s: float = 0.0


class TargetProtocol(Protocol):
    """Protocol that callers and targets speak."""

    def read_request(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        WigeonspanError
            ``BAD_REQUEST`` when it cannot be understood.
        """
        ...

    def encode(self, request: CallerRequest, send: Send) -> bytes:
        """Return the bytes to send to a target."""
        ...

    def is_answer_to(self, request: CallerRequest, head: Head) -> bool:
        """Whether an answer belongs to a request and not to an earlier one."""
        ...

    def read_outcome(self, head: Head) -> TargetOutcome:
        """Return what the head of an answer says."""
        ...

    def read_notice(self, head: Head) -> TargetNotice:
        """Return what the head of an answer says of the target itself."""
        ...

    def answer_headers(self, head: Head) -> list[tuple[str, str]]:
        """Return the header fields that the caller gets."""
        ...

    def read_handle(self, source: Target, body: bytes) -> Handle | None:
        """Decode the answer of an engine that has read a prompt."""
        ...

    def encode_release(self, handle: Handle) -> bytes:
        """Return the request that frees a prompt that nobody will fetch."""
        ...
