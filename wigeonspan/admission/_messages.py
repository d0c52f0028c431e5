"""Settings and messages of admission."""

from msgspec import Struct

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import ErrorKind, RequestId, ServiceName, TenantName


class AdmissionSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of admission on one entry.

    Parameters
    ----------
    default_slots : int
        Requests of one service that run at once until :meth:`Admission.update_slots`
        says otherwise.
    queue_limit : int
        Requests that wait for one service.
    tenant_queue_limit : int
        Requests of one tenant that wait for one service.
    batch_share : float
        Largest share of a service's slots that batch requests hold, so that an
        urgent request seldom waits for a long batch request to end.
    batch_patience_s : float
        While urgent requests wait, one batch request starts in each such time.
    deadline_margin_s : float
        Time that must remain between the expected end and the deadline.
    """

    default_slots: int = 64
    queue_limit: int = 1_000
    tenant_queue_limit: int = 500
    batch_share: float = 0.75
    batch_patience_s: float = 10.0
    deadline_margin_s: float = 0.05


class Ticket(Struct, frozen=True):
    """A request that asks to run.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds.
    expected_s : float
        Seconds from its start to its end, for example ``Route.completion_s``.
    cost : float
        Work that counts for fair shares, in any unit, for example tokens.
    """

    request: RequestId
    tenant: TenantName
    service: ServiceName
    priority: PriorityClass
    deadline: float
    expected_s: float
    cost: float = 1.0


class Admitted(Struct, frozen=True):
    """The request runs now; :meth:`Admission.finished` must follow."""

    request: RequestId


class Queued(Struct, frozen=True):
    """The request waits; :meth:`Admission.poll` tells what becomes of it."""

    request: RequestId
    expected_wait_s: float


class Refused(Struct, frozen=True):
    """The request does not run.

    Parameters
    ----------
    kind : ErrorKind
        ``RATE_LIMITED``, ``OVERLOADED`` or ``DEADLINE_TOO_SHORT``.
    retry_after_s : float
        Seconds after which it would probably be admitted.
    """

    request: RequestId
    kind: ErrorKind
    message: str
    retry_after_s: float


Verdict = Admitted | Queued | Refused
"""Answer to a ticket."""
