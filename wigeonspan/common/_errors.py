"""Error kinds of the system and the HTTP response for each of them."""

from enum import Enum

from msgspec import Struct


class ErrorKind(Enum):
    """Kind of an error that the system reports to callers and operators."""

    BAD_REQUEST = "bad_request"
    UNSUPPORTED_MEDIA_TYPE = "unsupported_media_type"
    TOO_LARGE = "too_large"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNAUTHORIZED = "unauthorized"
    KEY_REQUIRED = "key_required"
    KEY_CONFLICT = "key_conflict"
    CALL_IN_PROGRESS = "call_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    SLOW_READER = "slow_reader"
    LEASE_EXPIRED = "lease_expired"
    DRAINING = "draining"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    STORAGE_FULL = "storage_full"
    VERSION_CONFLICT = "version_conflict"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


class ExecutionState(Enum):
    """Whether the failed request was executed on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorResponse(Struct, frozen=True):
    """HTTP response to a kind of error.

    Parameters
    ----------
    status : int
        HTTP status code.
    ran : ExecutionState
        Whether the request was executed, unless the error itself says otherwise. Code
        that raises the error may weaken this default to ``UNKNOWN`` but must never
        make a stronger claim.
    retry : bool
        Whether a retry of the same request can succeed.
    retry_after_s : float
        Seconds to wait before the retry; 0 when ``retry`` is false.
    """

    status: int
    ran: ExecutionState
    retry: bool = False
    retry_after_s: float = 0.0


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, ExecutionState.NO),
    ErrorKind.UNSUPPORTED_MEDIA_TYPE: ErrorResponse(415, ExecutionState.NO),
    ErrorKind.TOO_LARGE: ErrorResponse(413, ExecutionState.NO),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, ExecutionState.NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, ExecutionState.NO),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, ExecutionState.NO),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, ExecutionState.NO),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400, ExecutionState.NO),
    ErrorKind.KEY_CONFLICT: ErrorResponse(422, ExecutionState.NO),
    ErrorKind.CALL_IN_PROGRESS: ErrorResponse(409, ExecutionState.UNKNOWN, True, 1.0),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, ExecutionState.UNKNOWN),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, ExecutionState.NO, True, 1.0),
    ErrorKind.OVERLOADED: ErrorResponse(503, ExecutionState.NO, True, 2.0),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorResponse(503, ExecutionState.NO, True, 5.0),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, ExecutionState.UNKNOWN, True, 1.0),
    ErrorKind.NO_TARGET: ErrorResponse(503, ExecutionState.NO, True, 2.0),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, ExecutionState.UNKNOWN, True, 1.0),
    ErrorKind.SLOW_READER: ErrorResponse(408, ExecutionState.UNKNOWN, True, 1.0),
    ErrorKind.LEASE_EXPIRED: ErrorResponse(503, ExecutionState.NO, True, 1.0),
    ErrorKind.DRAINING: ErrorResponse(503, ExecutionState.NO, True, 0.1),
    ErrorKind.NOT_LEADER: ErrorResponse(421, ExecutionState.NO, True, 0.2),
    ErrorKind.NO_QUORUM: ErrorResponse(503, ExecutionState.UNKNOWN, True, 1.0),
    ErrorKind.STORAGE_FULL: ErrorResponse(507, ExecutionState.NO, True, 60.0),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, ExecutionState.NO),
    ErrorKind.NOT_FOUND: ErrorResponse(404, ExecutionState.NO),
    ErrorKind.INTERNAL: ErrorResponse(500, ExecutionState.UNKNOWN, True, 1.0),
}


class ErrorDetail(Struct, frozen=True, omit_defaults=True):
    """Content of an error response.

    Parameters
    ----------
    kind : ErrorKind
        Machine-readable kind.
    message : str
        Human-readable message.
    ran : ExecutionState
        Whether the request was executed on a target.
    retry : bool
        Whether a retry of the same request can succeed.
    retry_after_s : float
        Seconds to wait before the retry.
    leader : str
        Internal address of the leader, for ``NOT_LEADER`` when it is known.
    """

    kind: ErrorKind
    message: str
    ran: ExecutionState
    retry: bool
    retry_after_s: float
    leader: str = ""


class ErrorBody(Struct, frozen=True):
    """JSON body of an error response: ``{"error": {...}}``."""

    error: ErrorDetail


class WigeonspanError(Exception):
    """Error of one of the kinds in :class:`ErrorKind`.

    Parameters
    ----------
    kind : ErrorKind
        Kind of error.
    message : str
        Human-readable message.
    ran : ExecutionState or None
        Whether the request was executed; None for the default of the kind.
    retry_after_s : float or None
        Seconds to wait before a retry; None for the default of the kind.
    leader : str
        Internal address of the leader, for ``NOT_LEADER`` when it is known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: ExecutionState | None = None,
        retry_after_s: float | None = None,
        leader: str = "",
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.ran = ran if ran is not None else self.response.ran
        self.leader = leader
        self._retry_after_s = retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """Default response to this kind of error."""
        return ERROR_RESPONSES[self.kind]

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.response.status

    @property
    def body(self) -> ErrorBody:
        """JSON body of the HTTP response."""
        response = self.response
        retry_after_s = self._retry_after_s
        return ErrorBody(
            ErrorDetail(
                kind=self.kind,
                message=self.message,
                ran=self.ran,
                retry=response.retry,
                retry_after_s=response.retry_after_s
                if retry_after_s is None
                else retry_after_s,
                leader=self.leader,
            )
        )

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.message}"
