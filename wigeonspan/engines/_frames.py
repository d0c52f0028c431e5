"""Parsers of the chunks of an engine's stream and of its cache events."""

import contextlib

import msgspec
from msgspec import Struct

from wigeonspan.common import (
    DECODE_ERRORS,
    ErrorKind,
    WigeonspanError,
    decode,
    split_array,
    split_object,
)
from wigeonspan.engines._messages import (
    CacheEvent,
    CacheEvents,
    ChunkExtension,
    Count,
)
from wigeonspan.streams import TokenFrame

END_MARKER = b"[DONE]"
"""Data of the last event of a complete response."""

MAX_POSITION = 1 << 31
"""Token positions from this one on are invalid, since no response is that long."""


class FrameError(ValueError):
    """The data is not a chunk of a completion."""


class _Choice(Struct):
    text: str = ""
    finish_reason: str | None = None


class _Usage(Struct):
    completion_tokens: Count


class _Chunk(Struct):
    choices: list[_Choice]
    wigeonspan: ChunkExtension
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Chunk)


def parse_frame(data: bytes) -> TokenFrame:
    """Parse the data of one event.

    Parameters
    ----------
    data : bytes
        JSON of a chunk, not the end marker.

    Returns
    -------
    TokenFrame
        The chunk.

    Raises
    ------
    FrameError
        When the data is not a chunk with one choice and a valid position.
    """
    try:
        chunk = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise FrameError(str(error)) from error
    if len(chunk.choices) != 1:
        raise FrameError("a chunk must have one choice")
    extension = chunk.wigeonspan
    if not 0 <= extension.position < MAX_POSITION:
        raise FrameError("the position is out of range")
    choice = chunk.choices[0]
    return TokenFrame(
        attempt=extension.attempt,
        position=extension.position,
        text=choice.text,
        finish_reason=choice.finish_reason,
        completion_tokens=chunk.usage.completion_tokens if chunk.usage else None,
        size=len(data),
    )


def parse_cache_events(body: bytes) -> CacheEvents:
    """Parse an engine's cache events; leave out those that cannot be decoded.

    The events after them would otherwise be asked for again and again.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the body does not have the form of the response.
    """
    members = split_object(body)
    try:
        incarnation: str = decode(members["incarnation"], str)
        encoded = split_array(members["events"])
    except KeyError as error:
        message = f"the response lacks the member {error}"
        raise WigeonspanError(ErrorKind.BAD_REQUEST, message) from error
    events: list[CacheEvent] = []
    for element in encoded:
        with contextlib.suppress(WigeonspanError):
            events.append(decode(element, CacheEvent))
    return CacheEvents(incarnation, events)
