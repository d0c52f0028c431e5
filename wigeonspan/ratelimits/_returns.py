"""Times at which refused callers may return, one after the other."""

from wigeonspan.common import ServiceName

MAX_RETURN_S = 10.0
"""Maximum seconds until a return; callers do not wait longer."""


class ReturnSchedule:
    """Give each refused caller of a service the next request that its limits allow.

    Callers that return at the same time would compete for one request, and all but one
    would be refused again.
    """

    def __init__(self) -> None:
        self._next_at: dict[ServiceName, float] = {}

    def next_return_s(
        self, service: ServiceName, first_s: float, rate: float, now: float
    ) -> float:
        """Return the seconds after which the next refused caller may return.

        Parameters
        ----------
        first_s : float
            Seconds until the limits allow a request.
        rate : float
            Requests a second that the limits allow.
        """
        at = max(self._next_at.get(service, 0.0), now + first_s)
        self._next_at[service] = min(at + 1.0 / rate, now + MAX_RETURN_S)
        return min(at - now, MAX_RETURN_S)
