"""A caller's request with the state that is needed to serve it."""

from typing import Any

from msgspec import Struct

from wigeonspan.common import ServiceName, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._durations import RequestTimer
from wigeonspan.gateway._failures import failure_error
from wigeonspan.gateway._messages import CallerRequest


class ActiveRequest(Struct, frozen=True, eq=False):
    """One request that is being served, with its route, service and times.

    Parameters
    ----------
    context : GatewayContext
        State that the components of the gateway share.
    service : ServiceName
        Service that was chosen for the request.
    arrived_at : float
        Monotonic time in seconds at which serving began.
    deadline : float
        Monotonic time in seconds after which the caller no longer waits for the
        response.
    timer : RequestTimer
        Times of the request, for forecasts.
    """

    context: GatewayContext
    request: CallerRequest
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    timer: RequestTimer

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self.context.clock.now()

    def check_time_left(self, expected_s: float) -> None:
        """Check that a request can be completed before this entry has stopped.

        Parameters
        ----------
        expected_s : float
            Forecast of the seconds until the response is complete.

        Raises
        ------
        WigeonspanError
            ``DRAINING`` when it cannot.
        """
        context, now = self.context, self.context.clock.now()
        try:
            context.stop.check(self.remaining_s, expected_s, now)
        except WigeonspanError:
            context.metrics.count("refusals", limit="stopping")
            raise

    def error(self, message: str, *, ran: bool) -> WigeonspanError:
        """Return the error for the caller when there is no response from a target.

        Parameters
        ----------
        ran : bool
            Whether a target may have run the request.
        """
        now = self.context.clock.now()
        targets = self.context.target_table.usable(self.service)
        return failure_error(
            message,
            ran=ran,
            deadline_passed=self.deadline <= now,
            pause_s=0.0 if ran else self.context.placer.return_after_s(targets, now),
        )

    def log_event(self, part: str, event: str, *, failure: bool, **fields: Any) -> None:
        """Write a line about the request to the decision log."""
        request = self.request.request
        self.context.event_log.write(
            part, event, request=request, failure=failure, **fields
        )
