"""In-process stand-in for the replicated log."""

from typing import Any

from wigeonspan.catalog import Member
from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorKind,
    HostId,
    LogIndex,
    Term,
    WigeonspanError,
)


class LocalLog:
    """Log that commits immediately; the test sets leadership and lease."""

    def __init__(self, state: Any, clock: Clock) -> None:
        self.state = state
        self.clock = clock
        self.is_leader = True
        self.leader: Member | None = None
        self.term = Term(1)
        self.lease_s = 1e9
        self.members = [
            Member(HostId("control-1"), "127.0.0.1:1", DomainName("a"), "d1", True)
        ]
        self.disk_id = "d1"
        self.unregistered_disks = {HostId("control-9"): "d9"}
        self.commands: list[tuple[LogIndex, bytes]] = []
        self.caught_up: set[HostId] = set()
        self.lose_answers = 0

    @property
    def lease_valid_until(self) -> float:
        return self.clock.now() + self.lease_s if self.is_leader else 0.0

    async def propose(self, command: bytes) -> tuple[LogIndex, Any]:
        if not self.is_leader:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "not the leader")
        index = LogIndex(len(self.commands) + 1)
        self.commands.append((index, command))
        result = self.state.apply(index, command)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise WigeonspanError(ErrorKind.NO_QUORUM, "the outcome is unknown")
        return index, result

    async def change_member(
        self, member: Member, present: bool, command: bytes
    ) -> tuple[LogIndex, Any]:
        rest = [each for each in self.members if each.name != member.name]
        self.members = [*rest, member] if present else rest
        return await self.propose(command)

    async def confirm_leadership(self) -> None:
        if not self.is_leader:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "not the leader")

    def is_caught_up(self, host: HostId) -> bool:
        return host in self.caught_up
