"""Leadership and lease checks before a host answers from its state."""

from wigeonspan.catalog import Member
from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.consensus import ReplicatedLog


class LeaderAccess:
    """Checks that guard requests which only the leader may answer.

    Parameters
    ----------
    log : ReplicatedLog
        Replicated log that reports the leader and the lease.
    clock : Clock
        Source of time.
    """

    def __init__(self, log: ReplicatedLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock

    @property
    def lease_valid(self) -> bool:
        """Whether this host leads and its lease has not expired."""
        return self._log.is_leader and self._clock.now() < self._log.lease_valid_until

    def leader(self) -> Member | None:
        """Return the leader as this host last saw it, or None."""
        return self._log.leader

    def check_leader(self) -> None:
        """Check that this host leads.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's internal address.
        """
        if self._log.is_leader:
            return
        leader = self._log.leader
        name = leader.name if leader is not None else "unknown"
        raise WigeonspanError(
            ErrorKind.NOT_LEADER,
            f"this host does not lead; leader: {name}",
            leader=leader.address if leader is not None else "",
        )

    async def confirm_read(self) -> None:
        """Wait until the state may be read (linearizable read).

        Afterwards the state contains everything that was committed before the call,
        and this host holds a valid lease.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER``, ``NO_QUORUM`` or ``LEASE_EXPIRED``.
        """
        self.check_leader()
        await self._log.confirm_leadership()
        self.check_leader()
        if not self.lease_valid:
            raise WigeonspanError(
                ErrorKind.LEASE_EXPIRED, "the lease of this leader has ended"
            )
