"""An entry's copy of the configuration, and its routing lease."""

from wigeonspan.common import HostId, Term, Version
from wigeonspan.distribution._configuration import Configuration
from wigeonspan.distribution._messages import SyncReply


class Follower:
    """Hold the configuration copy and the routing lease of one entry process.

    The version never decreases within an incarnation. The lease is counted from the
    time at which the request was sent, so it expires on the entry before the leader
    considers it expired.

    Parameters
    ----------
    entry : HostId
        Name of this entry host.
    incarnation : str
        Random identifier, new at each start of the process.
    """

    def __init__(self, entry: HostId, incarnation: str) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._configuration = Configuration()
        self._term = Term(0)
        self._lease_until = 0.0
        self._live_entries: tuple[HostId, ...] = ()
        self._live_stamp = ""
        self._tenant_shares: dict[str, float] = {}

    @property
    def entry(self) -> HostId:
        """Name of this entry host."""
        return self._entry

    @property
    def incarnation(self) -> str:
        """Random identifier of this process."""
        return self._incarnation

    @property
    def configuration(self) -> Configuration:
        """Latest configuration that was received."""
        return self._configuration

    @property
    def version(self) -> Version:
        """Version of the latest configuration; 0 before the first snapshot."""
        return self._configuration.version

    @property
    def term(self) -> Term:
        """Latest term of a leader whose reply was accepted."""
        return self._term

    @property
    def lease_until(self) -> float:
        """Monotonic time in seconds when the routing lease ends; 0 before the first."""
        return self._lease_until

    @property
    def live_entries(self) -> tuple[HostId, ...]:
        """Entries that hold a lease and do not drain, as last listed by the leader."""
        return self._live_entries

    @property
    def live_stamp(self) -> str:
        """Stamp of the list of live entries, sent with the next sync."""
        return self._live_stamp

    def lease_valid(self, now: float) -> bool:
        """Return whether this entry may send work to targets."""
        return now < self._lease_until

    def tenant_share(self, tenant: str) -> float:
        """Return the share of a tenant's limit that this entry may use, from 0 to 1."""
        equal = 1.0 / max(1, len(self._live_entries))
        return self._tenant_shares.get(tenant, equal)

    def accept(self, reply: SyncReply, sent_at: float) -> bool:
        """Apply a reply of the leader.

        A reply of an earlier term or with an earlier version comes from a leader
        that has been replaced, so all of it is ignored, including the lease.

        Parameters
        ----------
        reply : SyncReply
            Reply to a request of this incarnation.
        sent_at : float
            Monotonic time at which the request was sent, in seconds.

        Returns
        -------
        bool
            Whether the reply was applied.
        """
        if reply.term < self._term or reply.version < self.version:
            return False
        self._term = reply.term
        self._update_configuration(reply)
        self._lease_until = max(self._lease_until, sent_at + reply.lease_s)
        if reply.live_entries is not None:
            self._live_entries = tuple(reply.live_entries)
            self._live_stamp = reply.live_stamp
        self._tenant_shares = dict(reply.tenant_shares)
        return True

    def _update_configuration(self, reply: SyncReply) -> None:
        if reply.version == self.version:
            return
        if reply.snapshot is not None:
            self._configuration = Configuration(reply.version, reply.snapshot)
            return
        updates = sorted(reply.updates, key=lambda update: update.version)
        self._configuration = self._configuration.with_updates(reply.version, updates)
