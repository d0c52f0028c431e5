"""Interfaces between the replicated log and the control daemon."""

from typing import Any, Protocol

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term


class StateMachine(Protocol):
    """Deterministic state machine, to which committed commands are applied."""

    def apply(self, index: LogIndex, command: bytes) -> Any:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the complete state in serialized form."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        ...

    def flush(self) -> None:
        """Sync files that were written while commands were applied.

        Called before the log entries of these commands are dropped.
        """
        ...


class ReplicatedLog(Protocol):
    """Replicated log as used by the control daemon."""

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and has applied an entry of its current term."""
        ...

    @property
    def leader(self) -> Member | None:
        """Return the member that leads, or None when it is not known."""
        ...

    @property
    def term(self) -> Term:
        """Return the current term."""
        ...

    @property
    def lease_valid_until(self) -> float:
        """Return the monotonic time until which no other host can lead.

        0 when this host is not the leader.
        """
        ...

    @property
    def members(self) -> list[Member]:
        """Return the members of the group."""
        ...

    async def propose(self, command: bytes) -> tuple[LogIndex, Any]:
        """Commit a command and return its log index and its result.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``STORAGE_FULL`` when it was not appended; ``NO_QUORUM``
            when it was appended, but it is not known whether it will be committed.
        """
        ...

    async def change_member(
        self, member: Member, present: bool, command: bytes
    ) -> tuple[LogIndex, Any]:
        """Add, promote or remove one member and apply a command in the same entry."""
        ...

    async def confirm_leadership(self) -> None:
        """Wait until the state includes everything committed before the call.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM``.
        """
        ...

    def is_caught_up(self, host: HostId) -> bool:
        """Whether a member stores all committed entries."""
        ...
