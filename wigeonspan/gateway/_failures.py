"""Errors for callers whose request was not answered by a target."""

from wigeonspan.common import ErrorKind, ExecutionState, WigeonspanError

NO_TARGET_S = 0.2
"""Shortest retry time in seconds for a request that no target has run; a target that
was full or restarting is often available again by then."""


def describe_failure(
    message: str, *, ran: bool, over: bool, pause_s: float = 0.0
) -> WigeonspanError:
    """Return the error of a request that no target answered.

    Parameters
    ----------
    ran : bool
        Whether a target may have run the request, so that the error must not say that
        it has not run.
    over : bool
        Whether its deadline has passed.
    pause_s : float
        Seconds for which no target accepts requests; 0 when one does or there is none.
    """
    if not ran:
        after_s = max(NO_TARGET_S, pause_s)
        return WigeonspanError(ErrorKind.NO_TARGET, message, retry_after_s=after_s)
    if over:
        return WigeonspanError(ErrorKind.DEADLINE_EXCEEDED, message)
    return WigeonspanError(ErrorKind.TARGET_FAILED, message, ran=ExecutionState.UNKNOWN)
