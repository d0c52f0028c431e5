"""JSON codec for the messages between the system's own processes."""

from typing import Any, TypeVar

import msgspec

from wigeonspan.common._errors import ErrorKind, WigeonspanError

T = TypeVar("T")

PROTOCOL_VERSION = 1
"""Version of the messages between processes; raised when a field changes meaning."""

VERSION_HEADER = "X-Wigeonspan-Protocol"
"""HTTP header that carries the protocol version."""

_encoder = msgspec.json.Encoder()
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Encode a message as JSON.

    Parameters
    ----------
    message : Any
        A msgspec struct, or plain data.

    Returns
    -------
    bytes
        UTF-8 JSON.
    """
    return _encoder.encode(message)


def decode(data: bytes, kind: type[T] | Any) -> T:
    """Decode and check a message.

    Parameters
    ----------
    data : bytes
        UTF-8 JSON.
    kind : type
        Type that the message must have.

    Returns
    -------
    T
        The message.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the data is not JSON or not of this type.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise WigeonspanError(ErrorKind.BAD_REQUEST, str(error)) from error


def check_version(value: str | None) -> None:
    """Check the protocol version of a received message.

    Parameters
    ----------
    value : str or None
        Value of the version header.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the version is absent or not ours.
    """
    if value != str(PROTOCOL_VERSION):
        raise WigeonspanError(
            ErrorKind.BAD_REQUEST,
            f"protocol version {value!r} is not {PROTOCOL_VERSION}",
        )
