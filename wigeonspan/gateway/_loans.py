"""Messages by which an entry asks the others for retries and lends them its own."""

from collections.abc import Callable

from wigeonspan.common import Clock, HostId, ServiceName
from wigeonspan.placing import RetryLending
from wigeonspan.sharing import PeerLink, RetriesLent, RetriesWanted
from wigeonspan.trail import EventLog, ProcessMetrics


class RetryLoans:
    """Exchange retries with the other entries, and log and count that.

    Parameters
    ----------
    host : HostId
        This entry.
    lending : RetryLending
        Decides when to ask, to lend and to accept.
    is_service : callable
        Returns whether the configuration has a service. Nothing is kept for others,
        which a datagram may name.
    clock : Clock
        Clock of the budget. It also advances while the host is suspended, so that loans
        lapse before their lenders may lend them again.
    """

    def __init__(
        self,
        host: HostId,
        lending: RetryLending,
        is_service: Callable[[ServiceName], bool],
        link: PeerLink,
        event_log: EventLog,
        metrics: ProcessMetrics,
        clock: Clock,
    ) -> None:
        self._host = host
        self._lending = lending
        self._is_service = is_service
        self._link = link
        self._event_log = event_log
        self._metrics = metrics
        self._clock = clock

    def ask_after_attempt(self, service: ServiceName) -> None:
        """Ask for retries after an attempt to take one, if few are left."""
        want = self._lending.want_after_attempt(service, self._clock.now())
        if want is None:
            return
        self._count("wanted", service, want.count)
        self._event_log.write(
            "retries", "retries_wanted", service=service, count=want.count
        )
        self._link.publish(RetriesWanted(service, want.count, want.asked_ms))

    def answer(self, host: HostId, event: RetriesWanted) -> None:
        """Lend another entry a retry if this one has enough."""
        service = event.service
        if not self._is_service(service):
            return
        lent = self._lending.lend(service, event.count, self._clock.now())
        if lent:
            self._count("lent", service)
            self._event_log.write("retries", "retry_lent", service=service, to=host)
            self._link.publish(RetriesLent(host, service, 1, event.asked_ms))
        elif lent is False:
            self._count("refused", service)

    def receive(self, host: HostId, event: RetriesLent) -> None:
        """Accept retries that another entry has lent to this one."""
        if event.host != self._host:
            return
        service, count, now = event.service, event.count, self._clock.now()
        if self._lending.accept(service, host, count, event.asked_ms, now):
            self._count("borrowed", service, count)
            self._event_log.write(
                "retries", "retry_borrowed", service=service, count=count, lender=host
            )
        else:
            self._event_log.write(
                "retries", "loan_refused", service=service, lender=host
            )

    def spares_retries(self, service: ServiceName) -> bool:
        """Return whether a repeat should take as few retries as possible."""
        return self._lending.spares_retries(service, self._clock.now())

    def record_lapsed(self) -> None:
        """Log and count the loans that lapsed before they were used."""
        for service, count in self._lending.take_lapsed(self._clock.now()).items():
            self._count("lapsed", ServiceName(service), count)
            self._event_log.write(
                "retries", "retries_lapsed", service=service, count=count
            )

    def _count(self, event: str, service: ServiceName, amount: int = 1) -> None:
        self._metrics.count("retry_loans", amount, service=service, event=event)
