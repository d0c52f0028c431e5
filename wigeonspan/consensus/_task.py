"""Replicated log as the control daemon uses it, on one host."""

import asyncio
import random
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.catalog import Member
from wigeonspan.common import (
    Clock,
    DomainName,
    ErrorKind,
    HostId,
    LogIndex,
    Ran,
    Term,
    WigeonspanError,
    part_logger,
)
from wigeonspan.consensus._disk import Disk, FolderDisk
from wigeonspan.consensus._driver import TICK_S, Driver
from wigeonspan.consensus._http import RaftHandler
from wigeonspan.consensus._interface import StateMachine
from wigeonspan.consensus._messages import (
    BootstrapMember,
    Entry,
    LogRole,
    Message,
    Ready,
)
from wigeonspan.consensus._timing import HANDOVER_S, LEASE_S
from wigeonspan.consensus._transport import RAFT_PATH
from wigeonspan.http import JsonHandler

COMMIT_TIMEOUT_S = 5.0
"""Seconds after which a proposal's fate is reported as unknown; two elections."""

CONFIRM_TIMEOUT_S = 2.0
"""Seconds after which confirming leadership fails; the longest election timeout."""

COMMAND_BYTES = 1_000_000
"""Largest command in bytes; a larger one would hold up the heartbeats behind it."""

SNAPSHOT_ENTRIES = 1000
"""Applied entries between snapshots; bench/restart.py shows what replaying costs."""

_log = part_logger("consensus")


class LogTask:
    """Member of the replicated log.

    Parameters
    ----------
    name, address, domain
        This host; ``address`` is ``host:port`` of its internal HTTP server.
    bootstrap : iterable of BootstrapMember
        The first voters; used only while the disk belongs to no group. Empty for a
        host that is added later.
    folder : str or Path
        Data folder.
    machine : StateMachine
        State that commands change. ``flush`` is called in a worker thread; all else in
        the event loop.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of election timeouts.
    client : CurlAsyncHTTPClient
        Client for messages to other members.
    snapshot_entries : int
        Applied entries between snapshots.
    make_disk : callable
        Opens the data folder.
    observe_write : callable
        Takes the seconds of each write with its sync.
    """

    def __init__(
        self,
        name: HostId,
        address: str,
        domain: DomainName,
        bootstrap: Iterable[BootstrapMember],
        folder: str | Path,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        client: CurlAsyncHTTPClient,
        *,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        make_disk: Callable[[str | Path], Disk] = FolderDisk,
        observe_write: Callable[[float], None] = lambda took_s: None,
    ) -> None:
        host = BootstrapMember(name, address, domain)
        self._name = name
        self._bootstrap = tuple(bootstrap)
        self._folder = folder
        self._clock = clock
        self._rng = rng
        self._make_disk = make_disk
        self._driver = Driver(
            host, machine, clock, client, snapshot_entries, observe_write
        )

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and has applied an entry of its own term."""
        return self._driver.running and self._driver.node.leads

    @property
    def leader(self) -> Member | None:
        """Member that leads, as far as is known."""
        peer = self._driver.node.leader if self._driver.running else None
        if peer is None:
            return None
        return next((m for m in self.members if m.disk_id == peer.disk_id), None)

    @property
    def term(self) -> Term:
        """Current term; 0 before the start."""
        return self._driver.node.term if self._driver.started else Term(0)

    @property
    def lease_valid_until(self) -> float:
        """Monotonic time until which no other host can lead; 0 when not leader."""
        return self._driver.node.lease_valid_until if self._driver.running else 0.0

    @property
    def members(self) -> list[Member]:
        """Members of the group; empty before this disk belongs to one."""
        return list(self._driver.node.members) if self._driver.started else []

    @property
    def disk_id(self) -> str:
        """Random identity of this host's disk; known after the start."""
        return self._driver.disk_id

    @property
    def strangers(self) -> dict[HostId, str]:
        """Disk identities of hosts that lost their registered disk, by host."""
        return self._driver.node.strangers if self._driver.started else {}

    @property
    def applied(self) -> LogIndex:
        """Index of the last entry that was applied here."""
        return self._driver.applied

    async def start(self) -> None:
        """Read the data folder and begin to take part.

        Raises
        ------
        StorageError
            When the data folder cannot be used.
        """
        await self._driver.start(
            self._folder, self._bootstrap, self._rng, self._make_disk
        )

    async def stop(self) -> None:
        """Hand leadership over if this host leads, then end."""
        voters = sum(member.voter for member in self.members)
        if self._driver.running and voters > 1:
            if self._driver.node.role is LogRole.LEADER:
                await self._hand_over()
        await self._driver.close()

    async def wait_failed(self) -> None:
        """Return when the voter has ended by a fault of its disk or state machine."""
        await self._driver.failed.wait()

    def handlers(self) -> list[tuple[str, type[JsonHandler], dict[str, Any]]]:
        """Return the routes for the internal HTTP server."""
        return [(RAFT_PATH, RaftHandler, {"receive": self.receive})]

    def receive(self, messages: list[Message]) -> None:
        """Process messages from another member.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` when this voter is not running.
        """
        for message in messages:
            self._check_running()
            self._driver.step(self._driver.node.handle(message, self._clock.now()))

    async def propose(self, command: bytes) -> tuple[LogIndex, Any]:
        """Commit a command and return its log index and its result.

        Raises
        ------
        WigeonspanError
            ``TOO_LARGE``, ``NOT_LEADER`` or ``STORAGE_FULL`` when it was not appended;
            ``NO_QUORUM`` with an unknown outcome when it was appended and its fate is
            not known.
        """
        self._check_running()
        if len(command) > COMMAND_BYTES:
            raise WigeonspanError(
                ErrorKind.TOO_LARGE, f"a command of {len(command)} bytes is too large"
            )
        entry, ready = self._driver.node.propose(command, self._clock.now())
        return await self._await_commit(entry, ready)

    async def change_member(
        self, member: Member, present: bool, command: bytes
    ) -> tuple[LogIndex, Any]:
        """Add, promote or remove one member and apply a command in the same entry.

        A leader that is to stop voting hands leadership over and answers
        ``NOT_LEADER``; the new leader takes the change.

        Raises
        ------
        WigeonspanError
            As ``propose``, or ``VERSION_CONFLICT`` or ``NOT_FOUND``.
        """
        self._check_running()
        node, now = self._driver.node, self._clock.now()
        if member.name == self._name and not (present and member.voter):
            self._driver.step(node.hand_over(now))
        entry, ready = node.change_member(member, present, command, now)
        return await self._await_commit(entry, ready)

    async def confirm_leadership(self) -> None:
        """Return when the state holds all that was committed before the call.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM``.
        """
        self._check_running()
        node, asked_at = self._driver.node, self._clock.now()
        term = node.term
        if node.leads and node.lease_valid_until > asked_at:
            return
        self._driver.step(node.start_round(asked_at))

        def confirmed() -> bool:
            self._check_leads(term)
            return node.leads and node.quorum_answered_at >= asked_at

        await self._wait_until(confirmed, CONFIRM_TIMEOUT_S)

    @property
    def led_since(self) -> float:
        """When this host began to lead its term; minus infinity if it never did."""
        return self._driver.node.led_since

    def check_leader(self) -> None:
        """Refuse what only the leader can do.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` with the leader's address when it is known.
        """
        if self.is_leader:
            return
        leader = self.leader
        raise WigeonspanError(
            ErrorKind.NOT_LEADER,
            "this host does not lead",
            leader="" if leader is None else leader.address,
        )

    def silence_s(self, host: HostId) -> float:
        """Return for how many seconds a member has not answered this leader."""
        node, now = self._driver.node, self._clock.now()
        return now - max(node.answered_at(host) or node.led_since, node.led_since)

    def is_caught_up(self, host: HostId) -> bool:
        """Whether a learner holds everything that is committed."""
        if not self.is_leader:
            return False
        if host == self._name:
            return True
        return self._driver.node.match_of(host) >= self._driver.node.commit

    async def _await_commit(self, entry: Entry, ready: Ready) -> tuple[LogIndex, Any]:
        waiting = self._driver.waiting
        future = waiting.add(entry)
        self._driver.step(ready)
        try:
            return entry.index, await asyncio.wait_for(future, COMMIT_TIMEOUT_S)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM, f"entry {entry.index} is not committed yet"
            ) from error
        finally:
            waiting.forget(entry)

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await asyncio.sleep(TICK_S / 5)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM, "no majority answered in time", ran=Ran.NO
            ) from error

    async def _hand_over(self) -> None:
        node = self._driver.node
        term = node.term
        self._driver.step(node.hand_over(self._clock.now()))

        def done() -> bool:
            return node.term > term and node.leader is not None

        try:
            await self._wait_until(done, HANDOVER_S + LEASE_S)
        except WigeonspanError:
            _log.warning("Leadership was not taken over in time.")

    def _check_running(self) -> None:
        if not self._driver.running:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this voter is not running")

    def _check_leads(self, term: Term) -> None:
        self._check_running()
        node = self._driver.node
        if node.role is not LogRole.LEADER or node.term != term:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this host does not lead")
