"""Task that keeps the control group's membership, on the leader and on a joiner."""

import asyncio

from msgspec import Struct

from wigeonspan.common import (
    Clock,
    ErrorBody,
    HostId,
    WigeonspanError,
    decode,
)
from wigeonspan.consensus import LogTask
from wigeonspan.coordinator._membership import Candidate, MembershipView, next_step
from wigeonspan.pool import ConnectionPool, ExchangeFailed, encode_message
from wigeonspan.trail import Trail

JOIN_PATH = "/internal/v1/join"
"""Path at which a host asks to be a member."""

ROUND_S = 0.2
"""Seconds between two looks at the membership."""

CANDIDATE_S = 2.0
"""Seconds for which a host that asked to join counts as there."""

LEADERLESS_S = 2.5
"""Seconds without a leader after which a member asks to join: it may have been removed
while it was away, and a removed member hears no more."""

TIMEOUT_S = 0.8
"""Seconds in which a request to join must be answered."""


class Joined(Struct, frozen=True):
    """Answer to a request to join; it says only that the leader heard it."""

    members: int


class Group:
    """Membership of the control group.

    Parameters
    ----------
    wanted_voters : int
        Voters that survive the losses to be tolerated.
    """

    def __init__(
        self,
        candidate: Candidate,
        log: LogTask,
        clock: Clock,
        pool: ConnectionPool,
        trail: Trail,
        wanted_voters: int,
    ) -> None:
        self._candidate = candidate
        self._log = log
        self._clock = clock
        self._pool = pool
        self._trail = trail
        self._wanted_voters = wanted_voters
        self._asked: dict[HostId, tuple[Candidate, float]] = {}
        self._seeds: list[str] = []
        self._led_at = clock.now()

    def set_seeds(self, addresses: list[str]) -> None:
        """Note the control hosts that the settings name."""
        self._seeds = list(addresses)

    def ask(self, candidate: Candidate) -> Joined:
        """Note a request to join.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's address when it is known.
        """
        self._log.check_leader()
        self._asked[candidate.name] = (candidate, self._clock.now())
        return Joined(len(self._log.members))

    async def run(self) -> None:
        """Keep the membership for as long as this host runs."""
        while True:
            await asyncio.sleep(ROUND_S)
            if self._log.is_leader:
                self._led_at = self._clock.now()
                await self._step()
            elif self._must_join():
                await self._join()

    async def _step(self) -> None:
        step = next_step(self._view())
        if step is None:
            return
        outcome = "changed"
        try:
            await self._log.change_member(step.member, step.present, b"")
        except WigeonspanError as error:
            outcome = str(error)
        self._trail.note(
            "group",
            "membership_step",
            member=step.member.name,
            voter=step.member.voter,
            present=step.present,
            why=step.why,
            outcome=outcome,
        )

    def _view(self) -> MembershipView:
        now = self._clock.now()
        self._asked = {
            n: (c, at) for n, (c, at) in self._asked.items() if now - at < CANDIDATE_S
        }
        members, own = self._log.members, self._candidate.name
        return MembershipView(
            leader=own,
            members=members,
            caught_up={m.name for m in members if self._log.is_caught_up(m.name)},
            silence_s={
                m.name: self._log.silence_s(m.name) for m in members if m.name != own
            },
            candidates=[candidate for candidate, _ in self._asked.values()],
            wanted_voters=self._wanted_voters,
        )

    def _must_join(self) -> bool:
        """Whether this host has no vote or hears no leader."""
        leader, own = self._log.leader, self._candidate
        if leader is not None:
            self._led_at = self._clock.now()
        registered = any(
            m.name == own.name and m.disk_id == self._log.disk_id
            for m in self._log.members
        )
        return not registered or self._clock.now() - self._led_at > LEADERLESS_S

    async def _join(self) -> None:
        """Ask every known control host; the leader among them takes it up."""
        own = self._candidate
        candidate = Candidate(own.name, own.address, own.domain, self._log.disk_id)
        known = {*self._seeds, *(m.address for m in self._log.members)}
        asked = [self._ask_at(a, candidate) for a in sorted(known - {own.address})]
        leaders = {leader for leader in await asyncio.gather(*asked) if leader}
        for leader in leaders - known:
            await self._ask_at(leader, candidate)

    async def _ask_at(self, address: str, candidate: Candidate) -> str:
        """Ask one host to join; return the leader's address if it names one."""
        request = encode_message(address, JOIN_PATH, candidate)
        try:
            head, body = await self._pool.fetch(address, request, TIMEOUT_S)
            if head.status == 200:
                return ""
            return decode(body, ErrorBody).error.leader
        except (ExchangeFailed, WigeonspanError) as error:
            self._trail.note(
                "group", "join_unanswered", control=address, why=str(error)
            )
            return ""
