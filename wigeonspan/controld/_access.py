"""Checks that this host may answer from its state."""

from wigeonspan.catalog import Member
from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.consensus import ReplicatedLog


class LeaderAccess:
    """Gate in front of everything that only a leader may answer.

    Parameters
    ----------
    log : ReplicatedLog
        Log whose leadership and lease count.
    clock : Clock
        Source of time.
    """

    def __init__(self, log: ReplicatedLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock

    @property
    def lease_valid(self) -> bool:
        """Whether this host leads and its lease has not ended."""
        return self._log.is_leader and self._clock.now() < self._log.lease_valid_until

    def leader(self) -> Member | None:
        """Return the member that leads, as far as is known."""
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
        """Return when the state may be read.

        The state then holds all that was committed before the call, and the lease
        covers the answer.

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
