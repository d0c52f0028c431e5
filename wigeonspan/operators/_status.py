"""How an error of the closed list travels over gRPC."""

import grpc

from wigeonspan.common import ErrorBody, ErrorKind, WigeonspanError, decode, encode

ERROR_KEY = "wigeonspan-error"
"""Trailing metadata key with the JSON body of the error."""

LEADER_KEY = "wigeonspan-leader"
"""Trailing metadata key with the operators' address of the leader."""

_CODES: dict[ErrorKind, grpc.StatusCode] = {
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
    """Return the gRPC status of an error kind."""
    return _CODES.get(kind, grpc.StatusCode.INTERNAL)


def error_metadata(
    error: WigeonspanError, leader: str = ""
) -> tuple[tuple[str, str], ...]:
    """Return the trailing metadata that carries an error.

    Parameters
    ----------
    error : WigeonspanError
        Error that ends the call.
    leader : str
        Operators' address of the leader; empty when it is not known.

    Returns
    -------
    tuple of (str, str)
        Keys and values.

    Notes
    -----
    Non-ASCII characters of the message are escaped because metadata values are ASCII.
    """
    text = encode(error.body).decode("utf-8")
    escaped = "".join(c if c.isascii() else _escape(c) for c in text)
    pairs = [(ERROR_KEY, escaped)]
    if leader:
        pairs.append((LEADER_KEY, leader))
    return tuple(pairs)


def read_error(call: grpc.Call) -> WigeonspanError | None:
    """Return the error of the closed list that a call ended with.

    Returns
    -------
    WigeonspanError or None
        None when the call ended before a server of the system answered.
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


def read_leader(call: grpc.Call) -> str:
    """Return the leader's operators' address that a call named, or an empty text."""
    return str(dict(call.trailing_metadata() or ()).get(LEADER_KEY, ""))


def _escape(character: str) -> str:
    units = character.encode("utf-16-be")
    return "".join(
        f"\\u{units[i]:02x}{units[i + 1]:02x}" for i in range(0, len(units), 2)
    )
