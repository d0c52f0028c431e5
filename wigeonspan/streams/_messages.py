"""Messages and limits of relayed streams."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import AttemptId


class StreamFault(Enum):
    """Why an attempt ended before its answer was whole.

    ``UNREACHABLE`` means that the connection was never established, so no byte of the
    request left.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    SERVER_ERROR = "server_error"
    GARBAGE = "garbage"
    TRUNCATED = "truncated"
    SILENT = "silent"
    STALLED = "stalled"
    POSITION = "position"
    COUNT = "count"


class StreamLimits(Struct, frozen=True):
    """Times and sizes that a tracker enforces.

    Parameters
    ----------
    progress_timeout_s : float
        Longest time between two tokens.
    silence_timeout_s : float
        Longest time without any byte on a connection that has carried some.
    buffer_bytes : int
        Bytes that may wait for the reader before the attempt is cancelled.
    """

    progress_timeout_s: float = 5.0
    silence_timeout_s: float = 5.0
    buffer_bytes: int = 65_536


class TokenFrame(Struct, frozen=True):
    """One streamed chunk of an engine.

    Parameters
    ----------
    position : int
        Position of the token in the whole answer, from 0.
    completion_tokens : int or None
        Length of the whole answer; set with ``finish_reason``.
    size : int
        Bytes of the chunk, counted against the reader's buffer.
    """

    attempt: AttemptId
    position: int
    text: str
    finish_reason: str | None = None
    completion_tokens: int | None = None
    size: int = 0


class Token(Struct, frozen=True):
    """A token that goes to the caller."""

    position: int
    text: str
    size: int


class ResumePoint(Struct, frozen=True):
    """Where a new attempt starts: the tokens and text that the caller has."""

    position: int
    text: str


class Step(Struct, frozen=True):
    """What follows from one input.

    Parameters
    ----------
    token : Token or None
        Token to deliver.
    fault : StreamFault or None
        The attempt is over; its connection must be closed.
    pause : bool
        The reader is slow: the attempt must be cancelled.
    whole : bool
        The answer is whole.
    """

    token: Token | None = None
    fault: StreamFault | None = None
    pause: bool = False
    whole: bool = False


NOTHING = Step()
"""Step without any effect."""
