"""What the replicated log offers to the control daemon, and asks of it."""

from typing import Any, Protocol

from wigeonspan.catalog import Member
from wigeonspan.common import HostId, LogIndex, Term


class StateMachine(Protocol):
    """Deterministic state that committed commands change."""

    def apply(self, index: LogIndex, command: bytes) -> Any:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        ...

    def flush(self) -> None:
        """Sync files that were written while commands applied.

        Called before the log that they came from is truncated.
        """
        ...


class ReplicatedLog(Protocol):
    """Replicated log as the control daemon uses it."""

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and has applied an entry of its own term."""
        ...

    @property
    def leader(self) -> Member | None:
        """Member that leads, as far as is known."""
        ...

    @property
    def term(self) -> Term:
        """Current term."""
        ...

    @property
    def lease_valid_until(self) -> float:
        """Monotonic time until which no other host can lead; 0 when not leader."""
        ...

    @property
    def members(self) -> list[Member]:
        """Members of the group."""
        ...

    async def propose(self, command: bytes) -> tuple[LogIndex, Any]:
        """Commit a command and return its log index and its result.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``STORAGE_FULL`` when it was not appended; ``NO_QUORUM``
            with an unknown outcome when it was appended and its fate is not known.
        """
        ...

    async def change_member(
        self, member: Member, present: bool, command: bytes
    ) -> tuple[LogIndex, Any]:
        """Add, promote or remove one member and apply a command in the same entry."""
        ...

    async def confirm_leadership(self) -> None:
        """Return when the state holds all that was committed before the call.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM``.
        """
        ...

    def is_caught_up(self, host: HostId) -> bool:
        """Whether a learner holds everything that is committed."""
        ...
