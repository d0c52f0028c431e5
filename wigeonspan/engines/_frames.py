"""Parser of the chunks of an engine's stream."""

import msgspec
from msgspec import Struct

from wigeonspan.engines._messages import ChunkExtension
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
    completion_tokens: int


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
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
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
