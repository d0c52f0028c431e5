"""JSON codec for messages between processes of the system."""

from typing import Any, TypeVar

import msgspec

from wigeonspan.common._errors import ErrorKind, WigeonspanError

T = TypeVar("T")

PROTOCOL_VERSION = 1
"""Version of the messages between processes; increase it when the meaning of
a field changes."""

VERSION_HEADER = "X-Wigeonspan-Protocol"
"""HTTP header that carries the protocol version."""

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors that msgspec raises for data that it cannot decode. Nesting beyond the
interpreter's recursion limit raises ``RecursionError``."""

_encoder = msgspec.json.Encoder()
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Encode a message as JSON.

    Parameters
    ----------
    message : Any
        A msgspec struct or built-in types that JSON can represent.

    Returns
    -------
    bytes
        UTF-8 JSON.
    """
    return _encoder.encode(message)


def decode(data: bytes | msgspec.Raw, message_type: type[T] | Any) -> T:
    """Decode a JSON message and validate its type.

    Parameters
    ----------
    data : bytes or msgspec.Raw
        UTF-8 JSON.
    message_type : type
        Type to decode into.

    Returns
    -------
    T
        The decoded message.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the data is not valid JSON, is nested too deeply or does
        not match the type.
    """
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as error:
        raise WigeonspanError(ErrorKind.BAD_REQUEST, str(error)) from error


def check_version(value: str | None) -> None:
    """Check that a received message has the supported protocol version.

    Parameters
    ----------
    value : str or None
        Value of the version header; None when it is missing.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the version is missing or differs from
        ``PROTOCOL_VERSION``.
    """
    if value != str(PROTOCOL_VERSION):
        raise WigeonspanError(
            ErrorKind.BAD_REQUEST,
            f"protocol version {value!r} is not {PROTOCOL_VERSION}",
        )
