"""What serving one request of a caller takes."""

from typing import Any

from msgspec import Struct

from wigeonspan.common import ServiceName, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._failures import describe_failure
from wigeonspan.gateway._messages import CallerRequest
from wigeonspan.gateway._parts import Parts


class Job(Struct, frozen=True):
    """One request with its route and the parts that serve it.

    Parameters
    ----------
    service : ServiceName
        Service that was chosen for it.
    arrived : float
        Monotonic time at which serving it began.
    ends_at : float
        Monotonic time at which nobody waits for the answer any more.
    """

    parts: Parts
    request: CallerRequest
    route: Route
    service: ServiceName
    arrived: float
    ends_at: float

    @property
    def left_s(self) -> float:
        """Seconds until nobody waits for the answer any more."""
        return self.ends_at - self.parts.clock.now()

    def error(self, message: str, *, ran: bool) -> WigeonspanError:
        """Return what the caller is told when no target has answered.

        Parameters
        ----------
        ran : bool
            Whether a target may have run the request.
        """
        now = self.parts.clock.now()
        targets = self.parts.board.usable(self.service)
        return describe_failure(
            message,
            ran=ran,
            over=self.ends_at <= now,
            pause_s=self.parts.placer.pause_left_s(targets, now),
        )

    def note(self, part: str, event: str, *, failure: bool, **fields: Any) -> None:
        """Write a line of the decision log."""
        request = self.request.request
        self.parts.trail.note(part, event, request=request, failure=failure, **fields)
