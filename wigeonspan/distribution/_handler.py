"""HTTP handler for syncs, part of the control daemon."""

from collections.abc import Callable

from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.distribution._distributor import Distributor
from wigeonspan.distribution._messages import SyncRequest
from wigeonspan.http import JsonHandler

SYNC_PATH = "/internal/v1/sync"
"""Path at which the leader receives syncs."""


class SyncHandler(JsonHandler):
    """Reply to syncs while this host is the leader and has a valid lease."""

    def initialize(
        self,
        log: ReplicatedLog,
        distributor: Callable[[], Distributor | None],
        clock: Clock,
    ) -> None:
        """Store the dependencies of the handler.

        Parameters
        ----------
        log : ReplicatedLog
            Replicated log; only its leader may grant leases.
        distributor : callable
            Returns the distributor of the current term, or None when there is none.
        clock : Clock
            Monotonic clock.
        """
        self._replicated_log = log
        self._distributor = distributor
        self._clock = clock

    def post(self) -> None:
        """Receive a report and grant a lease.

        Raises
        ------
        WigeonspanError
            Of kind ``NOT_LEADER`` when this host may not grant leases.
        """
        request = self.read_message(SyncRequest)
        distributor = self._distributor()
        now = self._clock.now()
        if (
            distributor is None
            or not self._replicated_log.is_leader
            or now >= self._replicated_log.lease_valid_until
            or distributor.term != self._replicated_log.term
        ):
            raise self._not_leader()
        self.send_message(distributor.sync(request, now))

    def _not_leader(self) -> WigeonspanError:
        leader = None if self._replicated_log.is_leader else self._replicated_log.leader
        address = leader.address if leader is not None else ""
        return WigeonspanError(
            ErrorKind.NOT_LEADER,
            f"this host does not lead; leader: {address or 'unknown'}",
            leader=address,
        )
