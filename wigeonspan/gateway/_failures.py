"""What a caller is told of a request that was not answered by a target."""

from wigeonspan.common import ErrorKind, Ran, WigeonspanError

NO_TARGET_S = 0.2
"""Seconds after which a request that no target took may come back; a target that is
full or restarts is often back by then."""


def describe_failure(message: str, *, ran: bool, over: bool) -> WigeonspanError:
    """Return the error of a request that no target answered.

    Parameters
    ----------
    ran : bool
        Whether a target may have run it, so that it must not be called not run.
    over : bool
        Whether its time is over.
    """
    if not ran:
        return WigeonspanError(ErrorKind.NO_TARGET, message, retry_after_s=NO_TARGET_S)
    if over:
        return WigeonspanError(ErrorKind.DEADLINE_EXCEEDED, message)
    return WigeonspanError(ErrorKind.TARGET_FAILED, message, ran=Ran.UNKNOWN)
