"""Encoding of :class:`WigeonspanError` in gRPC statuses and trailing metadata."""

import grpc

from wigeonspan.common import ErrorBody, ErrorKind, WigeonspanError, decode, encode

ERROR_KEY = "wigeonspan-error"
"""Trailing metadata key whose value is the JSON body of the error."""

LEADER_KEY = "wigeonspan-leader"
"""Trailing metadata key whose value is the leader's address for operators."""

_STATUS_CODES: dict[ErrorKind, grpc.StatusCode] = {
    ErrorKind.BAD_REQUEST: grpc.StatusCode.INVALID_ARGUMENT,
    ErrorKind.TOO_LARGE: grpc.StatusCode.INVALID_ARGUMENT,
    ErrorKind.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    ErrorKind.NOT_LEADER: grpc.StatusCode.FAILED_PRECONDITION,
    ErrorKind.NO_QUORUM: grpc.StatusCode.UNAVAILABLE,
    ErrorKind.LEASE_EXPIRED: grpc.StatusCode.UNAVAILABLE,
    ErrorKind.STORAGE_FULL: grpc.StatusCode.RESOURCE_EXHAUSTED,
    ErrorKind.DRAINING: grpc.StatusCode.UNAVAILABLE,
}


def status_code(kind: ErrorKind) -> grpc.StatusCode:
    """Return the gRPC status code of an error kind."""
    return _STATUS_CODES.get(kind, grpc.StatusCode.INTERNAL)


def error_metadata(
    error: WigeonspanError, leader: str = ""
) -> tuple[tuple[str, str], ...]:
    """Encode an error as trailing metadata.

    Parameters
    ----------
    error : WigeonspanError
        Error that ends the call.
    leader : str
        Leader's address for operators; empty when it is unknown.

    Returns
    -------
    tuple of (str, str)
        Metadata keys and values.

    Notes
    -----
    Non-ASCII characters of the message are escaped, as metadata values must be ASCII.
    """
    text = encode(error.body).decode("utf-8")
    escaped = "".join(c if c.isascii() else _escape_character(c) for c in text)
    pairs = [(ERROR_KEY, escaped)]
    if leader:
        pairs.append((LEADER_KEY, leader))
    return tuple(pairs)


def read_error(call: grpc.Call) -> WigeonspanError | None:
    """Decode the error that a control host ended a call with.

    Returns
    -------
    WigeonspanError or None
        None when the trailing metadata has no error, for example because no control
        host responded.
    """
    pairs = dict(call.trailing_metadata() or ())
    if ERROR_KEY not in pairs:
        return None
    value = pairs[ERROR_KEY]
    data = value if isinstance(value, bytes) else value.encode("ascii")
    detail = decode(data, ErrorBody).error
    return WigeonspanError(
        detail.kind,
        detail.message,
        ran=detail.ran,
        retry_after_s=detail.retry_after_s,
    )


def read_leader_address(call: grpc.Call) -> str:
    """Return the leader's address from the trailing metadata; empty if it is absent."""
    return str(dict(call.trailing_metadata() or ()).get(LEADER_KEY, ""))


def _escape_character(character: str) -> str:
    """Return the JSON escape of a character, as UTF-16 code units."""
    units = character.encode("utf-16-be")
    return "".join(
        f"\\u{units[i]:02x}{units[i + 1]:02x}" for i in range(0, len(units), 2)
    )
