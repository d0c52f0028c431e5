"""HTTP handler of syncs on the control daemon."""

from collections.abc import Callable

from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.distribution._distributor import Distributor
from wigeonspan.distribution._messages import SyncRequest
from wigeonspan.http import JsonHandler

SYNC_PATH = "/internal/v1/sync"
"""Path at which the leader takes syncs."""


class SyncHandler(JsonHandler):
    """Answers syncs while this host leads with a valid lease."""

    def initialize(
        self,
        log: ReplicatedLog,
        distributor: Callable[[], Distributor | None],
        clock: Clock,
    ) -> None:
        """Take the parts that the handler needs.

        Parameters
        ----------
        log : ReplicatedLog
            Log whose leadership gives the authority to grant leases.
        distributor : callable
            Returns the distributor of the current term, or None when there is none.
        clock : Clock
            Source of time.
        """
        self._replicated = log
        self._distributor = distributor
        self._clock = clock

    def post(self) -> None:
        """Take a report and grant a lease."""
        request = self.read_message(SyncRequest)
        distributor = self._distributor()
        now = self._clock.now()
        if (
            distributor is None
            or not self._replicated.is_leader
            or now >= self._replicated.lease_valid_until
            or distributor.term != self._replicated.term
        ):
            raise self._not_leader()
        self.send_message(distributor.sync(request, now))

    def _not_leader(self) -> WigeonspanError:
        leader = None if self._replicated.is_leader else self._replicated.leader
        address = leader.address if leader is not None else ""
        return WigeonspanError(
            ErrorKind.NOT_LEADER,
            f"this host does not lead; leader: {address or 'unknown'}",
            leader=address,
        )
