"""Task that maintains the membership of the control group.

The leader changes the membership; a host that is not a member asks to join.
"""

import asyncio

from msgspec import Struct

from wigeonspan.common import (
    Clock,
    ErrorBody,
    ErrorKind,
    HostId,
    WigeonspanError,
    decode,
    split_address,
)
from wigeonspan.consensus import LogTask
from wigeonspan.coordinator._membership import Candidate, MembershipView, next_step
from wigeonspan.pool import ConnectionPool, ExchangeError, encode_message
from wigeonspan.trail import EventLog

JOIN_PATH = "/internal/v1/join"
"""HTTP path for requests to join the group."""

MEMBERSHIP_INTERVAL_S = 0.2
"""Seconds between two checks of the membership."""

JOIN_REQUEST_TTL_S = 2.0
"""Seconds for which a request to join remains valid."""

REJOIN_AFTER_S = 2.5
"""Seconds without a known leader after which a member asks to join again. It may have
been removed while it was unreachable, and a removed member gets no more messages."""

JOIN_TIMEOUT_S = 0.8
"""Timeout of a request to join, in seconds."""


class JoinReply(Struct, frozen=True):
    """Reply to a request to join; it confirms only that the leader received it."""

    members: int


class GroupMembership:
    """Maintains the membership of the control group.

    Parameters
    ----------
    candidate : Candidate
        This host as a candidate; its disk id is set in each request to join.
    wanted_voters : int
        Number of voters to maintain, which limits how many hosts may be lost.
    """

    def __init__(
        self,
        candidate: Candidate,
        log: LogTask,
        clock: Clock,
        pool: ConnectionPool,
        event_log: EventLog,
        wanted_voters: int,
    ) -> None:
        self._candidate = candidate
        self._log = log
        self._clock = clock
        self._pool = pool
        self._event_log = event_log
        self._wanted_voters = wanted_voters
        self._join_requests: dict[HostId, tuple[Candidate, float]] = {}
        self._seeds: list[str] = []
        self._leader_seen_at = clock.now()

    def set_seeds(self, addresses: list[str]) -> None:
        """Set the addresses of the control hosts from the settings."""
        self._seeds = list(addresses)

    def receive_join_request(self, candidate: Candidate) -> JoinReply:
        """Record a request to join, for the next change of the membership.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's address if it is known, or ``BAD_REQUEST``
            when the members could not connect to the candidate.
        """
        self._log.check_leader()
        try:
            split_address(candidate.address)
        except ValueError as error:
            raise WigeonspanError(ErrorKind.BAD_REQUEST, str(error)) from error
        self._join_requests[candidate.name] = (candidate, self._clock.now())
        return JoinReply(len(self._log.members))

    async def run(self) -> None:
        """Check the membership periodically until cancelled."""
        while True:
            await asyncio.sleep(MEMBERSHIP_INTERVAL_S)
            if self._log.is_leader:
                self._leader_seen_at = self._clock.now()
                await self._step()
            elif self._needs_to_join():
                await self._join()

    async def _step(self) -> None:
        """Make the next due change of the membership, if any, and log its outcome."""
        step = next_step(self._view())
        if step is None:
            return
        outcome = "changed"
        try:
            await self._log.change_member(step.member, step.present, b"")
        except WigeonspanError as error:
            outcome = str(error)
        self._event_log.write(
            "group",
            "membership_step",
            member=step.member.name,
            voter=step.member.voter,
            present=step.present,
            why=step.reason,
            outcome=outcome,
        )

    def _view(self) -> MembershipView:
        now = self._clock.now()
        self._join_requests = {
            n: (c, at)
            for n, (c, at) in self._join_requests.items()
            if now - at < JOIN_REQUEST_TTL_S
        }
        members, own = self._log.members, self._candidate.name
        return MembershipView(
            leader=own,
            members=members,
            caught_up={m.name for m in members if self._log.is_caught_up(m.name)},
            seconds_since_answer={
                m.name: self._log.seconds_since_answer(m.name)
                for m in members
                if m.name != own
            },
            candidates=[candidate for candidate, _ in self._join_requests.values()],
            wanted_voters=self._wanted_voters,
        )

    def _needs_to_join(self) -> bool:
        """Return whether this host is not a member or has had no leader for too long.

        A host whose disk is not the registered one does not count as a member.
        """
        leader, own = self._log.leader, self._candidate
        if leader is not None:
            self._leader_seen_at = self._clock.now()
        registered = any(
            m.name == own.name and m.disk_id == self._log.disk_id
            for m in self._log.members
        )
        return (
            not registered or self._clock.now() - self._leader_seen_at > REJOIN_AFTER_S
        )

    async def _join(self) -> None:
        """Ask every known control host to join; only the leader accepts the request."""
        own = self._candidate
        candidate = Candidate(own.name, own.address, own.domain, self._log.disk_id)
        known = {*self._seeds, *(m.address for m in self._log.members)}
        requests = [
            self._send_join_request(a, candidate) for a in sorted(known - {own.address})
        ]
        leaders = {leader for leader in await asyncio.gather(*requests) if leader}
        for leader in leaders - known:
            await self._send_join_request(leader, candidate)

    async def _send_join_request(self, address: str, candidate: Candidate) -> str:
        """Ask one host to join; return the leader's address if the reply has one."""
        request = encode_message(address, JOIN_PATH, candidate)
        try:
            head, body = await self._pool.fetch(address, request, JOIN_TIMEOUT_S)
            if head.status == 200:
                return ""
            return decode(body, ErrorBody).error.leader
        except (ExchangeError, WigeonspanError) as error:
            self._event_log.write(
                "group", "join_unanswered", control=address, why=str(error)
            )
            return ""
