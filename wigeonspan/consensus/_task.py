"""Replicated log on one host, as used by the control daemon."""

import asyncio
import math
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
    ExecutionState,
    HostId,
    LogIndex,
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
from wigeonspan.consensus._timing import HANDOVER_TIMEOUT_S, LEASE_S
from wigeonspan.consensus._transport import RAFT_PATH
from wigeonspan.http import JsonHandler

COMMIT_TIMEOUT_S = 5.0
"""Seconds after which the outcome of a proposal is reported as unknown; this is enough
for two elections."""

CONFIRM_TIMEOUT_S = 2.0
"""Seconds after which confirming leadership fails; equal to the longest election
timeout."""

MAX_COMMAND_BYTES = 1_000_000
"""Maximum size of a command in bytes; larger ones would delay the heartbeats that are
queued behind them."""

SNAPSHOT_ENTRIES = 1000
"""Applied entries between snapshots; bench/restart.py measures the cost of replaying
entries at a restart."""

_log = part_logger("consensus")


class LogTask:
    """Member of the replicated log.

    Parameters
    ----------
    name, address, domain
        This host; ``address`` is ``host:port`` of its internal HTTP server.
    bootstrap : iterable of BootstrapMember
        The initial voters; used only while the disk belongs to no group. Empty for a
        host that is added later.
    folder : str or Path
        Data folder.
    machine : StateMachine
        State machine to which commands are applied. ``flush`` is called in a worker
        thread, all other methods in the event loop.
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
        Called with the duration of each write including its sync, in seconds.
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
        """Whether this host leads and has applied an entry of its current term."""
        return self._driver.running and self._driver.node.leads

    @property
    def leader(self) -> Member | None:
        """Return the member that leads, or None when it is not known."""
        peer = self._driver.node.leader if self._driver.running else None
        if peer is None:
            return None
        return next((m for m in self.members if m.disk_id == peer.disk_id), None)

    @property
    def term(self) -> Term:
        """Return the current term; 0 before the start."""
        return self._driver.node.term if self._driver.started else Term(0)

    @property
    def lease_valid_until(self) -> float:
        """Return the monotonic time until which no other host can lead.

        0 when this host is not the leader.
        """
        return self._driver.node.lease_valid_until if self._driver.running else 0.0

    @property
    def members(self) -> list[Member]:
        """Return the members; empty while this disk belongs to no group."""
        return list(self._driver.node.members) if self._driver.started else []

    @property
    def in_contact(self) -> bool:
        """Whether this host hears of new entries.

        It does while it follows a leader, or leads with a majority.
        """
        driver = self._driver
        return driver.running and driver.node.in_contact(self._clock.now())

    @property
    def disk_id(self) -> str:
        """Return the random identity of this host's disk; available after the start."""
        return self._driver.disk_id

    @property
    def unregistered_disks(self) -> dict[HostId, str]:
        """Return the unregistered disk identities of hosts that replied, by host.

        Such a host has lost the disk that is registered for it.
        """
        return self._driver.node.unregistered_disks if self._driver.started else {}

    @property
    def applied(self) -> LogIndex:
        """Return the index of the last entry that was applied on this host."""
        return self._driver.applied

    async def start(self) -> None:
        """Read the data folder and start to participate in the group.

        Raises
        ------
        StorageError
            When the data folder cannot be used.
        """
        await self._driver.start(
            self._folder, self._bootstrap, self._rng, self._make_disk
        )

    async def stop(self, timeout_s: float = math.inf) -> None:
        """Hand leadership over if this host leads, then stop.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for another leader.
        """
        voters = sum(member.voter for member in self.members)
        if self._driver.running and voters > 1:
            if self._driver.node.role is LogRole.LEADER:
                await self._hand_over(timeout_s)
        await self._driver.close()

    async def wait_until_failed(self) -> None:
        """Wait until the voter has stopped because its disk or state machine failed."""
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
            ``NO_QUORUM`` when it was appended, but it is not known whether it will be
            committed.
        """
        self._check_running()
        if len(command) > MAX_COMMAND_BYTES:
            raise WigeonspanError(
                ErrorKind.TOO_LARGE,
                f"a command of {len(command)} bytes is too large",
            )
        entry, ready = self._driver.node.propose(command, self._clock.now())
        return await self._await_commit(entry, ready)

    async def change_member(
        self, member: Member, present: bool, command: bytes
    ) -> tuple[LogIndex, Any]:
        """Add, promote or remove one member and apply a command in the same entry.

        A leader that is to be removed or demoted hands leadership over and raises
        ``NOT_LEADER``; the change must then be sent to the new leader.

        Raises
        ------
        WigeonspanError
            As in ``propose``, or ``VERSION_CONFLICT`` or ``NOT_FOUND``.
        """
        self._check_running()
        node, now = self._driver.node, self._clock.now()
        if member.name == self._name and not (present and member.voter):
            self._driver.step(node.hand_over(now))
        entry, ready = node.change_member(member, present, command, now)
        return await self._await_commit(entry, ready)

    async def confirm_leadership(self) -> None:
        """Wait until the state includes everything committed before the call.

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
            self._check_still_leader(term)
            return node.leads and node.quorum_round_sent_at >= asked_at

        await self._wait_until(confirmed, CONFIRM_TIMEOUT_S)

    @property
    def leader_since(self) -> float:
        """Return when this host last became leader; minus infinity if it never did."""
        return self._driver.node.leader_since

    def check_leader(self) -> None:
        """Raise an error unless this host is the leader.

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

    def seconds_since_answer(self, host: HostId) -> float:
        """Return the seconds since a member last answered this leader.

        Counted from the sending of the answered round, or from the start of the
        leadership if that is later.
        """
        node, now = self._driver.node, self._clock.now()
        return now - max(
            node.answered_round_sent_at(host) or node.leader_since, node.leader_since
        )

    def is_caught_up(self, host: HostId) -> bool:
        """Whether a member stores all committed entries."""
        if not self.is_leader:
            return False
        if host == self._name:
            return True
        return self._driver.node.match_index(host) >= self._driver.node.commit

    async def _await_commit(self, entry: Entry, ready: Ready) -> tuple[LogIndex, Any]:
        pending_proposals = self._driver.pending_proposals
        future = pending_proposals.add(entry)
        self._driver.step(ready)
        try:
            return entry.index, await asyncio.wait_for(future, COMMIT_TIMEOUT_S)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM, f"entry {entry.index} is not committed yet"
            ) from error
        finally:
            pending_proposals.forget(entry)

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await asyncio.sleep(TICK_S / 5)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM,
                "no majority answered in time",
                ran=ExecutionState.NO,
            ) from error

    async def _hand_over(self, timeout_s: float) -> None:
        node = self._driver.node
        term = node.term
        self._driver.step(node.hand_over(self._clock.now()))

        def done() -> bool:
            return node.term > term and node.leader is not None

        try:
            await self._wait_until(done, min(timeout_s, HANDOVER_TIMEOUT_S + LEASE_S))
        except WigeonspanError:
            _log.warning("No other voter took over leadership in time.")

    def _check_running(self) -> None:
        if not self._driver.running:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this voter is not running")

    def _check_still_leader(self, term: Term) -> None:
        self._check_running()
        node = self._driver.node
        if node.role is not LogRole.LEADER or node.term != term:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this host does not lead")
