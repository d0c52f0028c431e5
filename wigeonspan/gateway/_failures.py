"""Errors for callers whose request got no response from a target."""

from wigeonspan.common import ErrorKind, ExecutionState, WigeonspanError

MIN_RETRY_AFTER_S = 0.2
"""Shortest time in seconds after which a caller may retry a request that no target has
run; a target that was full or restarting is often available again by then."""


def failure_error(
    message: str, *, ran: bool, deadline_passed: bool, pause_s: float = 0.0
) -> WigeonspanError:
    """Return the error for a request that got no response from a target.

    Parameters
    ----------
    ran : bool
        Whether a target may have run the request, so that the error must not say that
        it has not run.
    deadline_passed : bool
        Whether the deadline of the request has passed.
    pause_s : float
        Seconds for which no target accepts requests; 0 when one does or there is none.
    """
    if not ran:
        after_s = max(MIN_RETRY_AFTER_S, pause_s)
        return WigeonspanError(ErrorKind.NO_TARGET, message, retry_after_s=after_s)
    if deadline_passed:
        return WigeonspanError(ErrorKind.DEADLINE_EXCEEDED, message)
    return WigeonspanError(ErrorKind.TARGET_FAILED, message, ran=ExecutionState.UNKNOWN)
