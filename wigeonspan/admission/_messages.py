"""Settings and message types of admission control."""

from msgspec import Struct

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import ErrorKind, RequestId, ServiceName, TenantName


class AdmissionSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of admission control on one entry.

    Parameters
    ----------
    default_slots : int
        Number of requests of one service that run at once until
        :meth:`Admission.update_slots` sets another number.
    queue_limit : int
        Maximum number of requests that wait for one service.
    tenant_queue_limit : int
        Maximum number of requests of one tenant that wait for one service.
    batch_share : float
        Maximum share of a service's slots that batch requests occupy, so that an
        urgent request seldom waits for a long batch request to end.
    batch_start_interval_s : float
        Interval in seconds in which one batch request of a service starts even while
        urgent requests wait.
    deadline_margin_s : float
        Seconds that must remain between the expected end of a request and its deadline.
    """

    default_slots: int = 64
    queue_limit: int = 1_000
    tenant_queue_limit: int = 500
    batch_share: float = 0.75
    batch_start_interval_s: float = 10.0
    deadline_margin_s: float = 0.05


class AdmissionRequest(Struct, frozen=True):
    """A request as admission control sees it, called a ticket in this package.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds by which the request must end.
    expected_s : float
        Expected seconds from start to end, for example ``EngineRoute.completion_s``.
    cost : float
        Work charged to the tenant's fair share, in any unit, for example tokens. All
        tickets must use the same unit.
    """

    request: RequestId
    tenant: TenantName
    service: ServiceName
    priority: PriorityClass
    deadline: float
    expected_s: float
    cost: float = 1.0


class Admitted(Struct, frozen=True):
    """The request runs now; call :meth:`Admission.record_end` when it ends."""

    request: RequestId


class Queued(Struct, frozen=True):
    """The request waits; :meth:`Admission.poll` returns its later verdict."""

    request: RequestId
    expected_wait_s: float


class Refused(Struct, frozen=True):
    """The request is refused and will not run.

    Parameters
    ----------
    kind : ErrorKind
        ``RATE_LIMITED``, ``OVERLOADED`` or ``DEADLINE_TOO_SHORT``.
    retry_after_s : float
        Seconds after which a retry would probably be admitted.
    """

    request: RequestId
    kind: ErrorKind
    message: str
    retry_after_s: float


Verdict = Admitted | Queued | Refused
"""Decision about a request."""
