"""A caller's request with the state that is needed to serve it."""

from typing import Any

from msgspec import Struct

from wigeonspan.common import ErrorKind, ServiceName, TenantName, WigeonspanError
from wigeonspan.fleetconfig import Route
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._durations import RequestTimer
from wigeonspan.gateway._failures import failure_error
from wigeonspan.gateway._messages import CallerRequest
from wigeonspan.tenants import Access, KeyFault, authenticate, key_error

UNCONFIRMED_RETRY_S = 0.3
"""Seconds after which to return when the keys are not confirmed yet; a control host
confirms them within a heartbeat."""


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
    access : Access or None
        Tenant and priority at the arrival; None when the configuration has no tenants.
    """

    context: GatewayContext
    request: CallerRequest
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    timer: RequestTimer
    access: Access | None = None

    @property
    def tenant(self) -> TenantName | None:
        """Tenant of the request, if it has one."""
        return None if self.access is None else self.access.tenant

    @property
    def priority(self) -> int:
        """Priority level of the request; 0 is the most urgent."""
        return self.route.priority if self.access is None else self.access.priority

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self.context.clock.now()

    def check_access(self, *, ran: bool) -> Access | None:
        """Check that the key is valid in the configuration now in force.

        Keys are revoked while requests wait, are repeated or are continued, so this is
        called before each send.

        Parameters
        ----------
        ran : bool
            Whether a target may have run the request.

        Returns
        -------
        Access or None
            Tenant under which the request is sent; None when the configuration has no
            tenants.

        Raises
        ------
        WigeonspanError
            When the key is not valid any more, or its validity is not known after a
            pause of this process.
        """
        try:
            access = check_access(self.context, self.request, self.route)
        except WigeonspanError as error:
            if ran:
                raise self.error(error.message, ran=True) from error
            raise
        if isinstance(access, KeyFault):
            self.context.metrics.count("key_refusals", reason=KeyFault.REVOKED.value)
            if ran:
                raise self.error(key_error(KeyFault.REVOKED).message, ran=True)
            raise key_error(KeyFault.REVOKED)
        return access

    def may_send(self, access: Access | None) -> bool:
        """Return whether the result of the last check still holds.

        Making a connection takes time, in which the key may be revoked or this process
        be paused, so this is called right before the request is written.

        Parameters
        ----------
        access : Access or None
            Result of :meth:`check_access` with which the request is encoded.
        """
        try:
            return check_access(self.context, self.request, self.route) == access
        except WigeonspanError:
            return False

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


def check_access(
    context: GatewayContext, request: CallerRequest, route: Route
) -> Access | KeyFault | None:
    """Return the access of a request in the configuration now in force.

    Raises
    ------
    WigeonspanError
        ``NO_TARGET`` when a pause of this process, or a cut from the control hosts,
        makes it unknown which keys are valid.
    """
    keys = context.config.keys
    if keys is None:
        return None
    if not route.public and not context.has_fresh_keys():
        raise WigeonspanError(
            ErrorKind.NO_TARGET,
            "the keys are not confirmed yet",
            retry_after_s=UNCONFIRMED_RETRY_S,
        )
    return authenticate(keys, route, request.credential)
