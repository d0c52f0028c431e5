"""What a caller is told of a request that was not answered by a target."""

from wigeonspan.common import ErrorKind, Ran, WigeonspanError

NO_TARGET_S = 0.2
"""Seconds after which a request that no target took may come back; a target that is
full or restarts is often back by then."""


def describe_failure(
    message: str, *, ran: bool, over: bool, pause_s: float = 0.0
) -> WigeonspanError:
    """Return the error of a request that no target answered.

    Parameters
    ----------
    ran : bool
        Whether a target may have run it, so that it must not be called not run.
    over : bool
        Whether its time is over.
    pause_s : float
        Seconds for which no target wants requests; 0 when one does or none is known.
    """
    if not ran:
        after_s = max(NO_TARGET_S, pause_s)
        return WigeonspanError(ErrorKind.NO_TARGET, message, retry_after_s=after_s)
    if over:
        return WigeonspanError(ErrorKind.DEADLINE_EXCEEDED, message)
    return WigeonspanError(ErrorKind.TARGET_FAILED, message, ran=Ran.UNKNOWN)
