"""Data types and limits of relayed token streams."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import AttemptId


class StreamFault(Enum):
    """Why an attempt ended before its response was complete.

    Attributes
    ----------
    UNREACHABLE
        The connection was never established, so no byte of the request was sent.
    REFUSED
        The engine did not accept the request, or it was not sent.
    SERVER_ERROR
        The engine reported an error.
    GARBAGE
        The stream could not be decoded.
    TRUNCATED
        The stream ended too early.
    SILENT
        No data arrived in time.
    STALLED
        Data arrived, but no token arrived in time.
    POSITION
        A chunk did not have the next position, or followed the finish reason.
    COUNT
        The engine reported a wrong number of tokens.
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
    """Timeouts and buffer size that a tracker enforces.

    Parameters
    ----------
    progress_timeout_s : float
        Longest time between two tokens, in seconds.
    silence_timeout_s : float
        Longest time without any data, in seconds, on a connection that has already
        received some.
    buffer_bytes : int
        Largest number of bytes buffered for the reader; the attempt is cancelled when
        it is exceeded.
    """

    progress_timeout_s: float = 5.0
    silence_timeout_s: float = 5.0
    buffer_bytes: int = 65_536


class TokenFrame(Struct, frozen=True):
    """One chunk that an engine streams.

    Parameters
    ----------
    position : int
        Position of the token in the complete response, starting at 0.
    completion_tokens : int or None
        Number of tokens in the complete response; set together with ``finish_reason``.
    size : int
        Size of the chunk in bytes, counted against the reader's buffer.
    """

    attempt: AttemptId
    position: int
    text: str
    finish_reason: str | None = None
    completion_tokens: int | None = None
    size: int = 0


class Token(Struct, frozen=True):
    """A token to deliver to the caller."""

    position: int
    text: str
    size: int


class ResumePoint(Struct, frozen=True):
    """Number of tokens and the text after which a new attempt continues."""

    position: int
    text: str


class TrackerResult(Struct, frozen=True):
    """Result of one input to the tracker.

    Parameters
    ----------
    token : Token or None
        Token to deliver to the caller.
    fault : StreamFault or None
        Why the attempt has failed, in which case its connection must be closed.
    pause : bool
        Whether the attempt must be cancelled because the reader is slow.
    complete : bool
        Whether the response is complete.
    """

    token: Token | None = None
    fault: StreamFault | None = None
    pause: bool = False
    complete: bool = False


NO_EFFECT = TrackerResult()
"""Result of an input that has no effect."""
