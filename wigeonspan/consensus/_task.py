"""The task that owns one member of the replicated log: its core, disk and timers."""

import asyncio
import random
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
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
from wigeonspan.consensus._core import RaftNode
from wigeonspan.consensus._disk import FolderDisk
from wigeonspan.consensus._frames import StorageError, StorageFull
from wigeonspan.consensus._http import RaftHandler
from wigeonspan.consensus._interface import StateMachine
from wigeonspan.consensus._messages import (
    BootstrapMember,
    Entry,
    Local,
    LogRole,
    Message,
    Persist,
    Ready,
    Snapshot,
    SnapshotMeta,
)
from wigeonspan.consensus._store import LogStore
from wigeonspan.consensus._timing import CHUNK_BYTES, HANDOVER_S, LEASE_S
from wigeonspan.consensus._transport import RAFT_PATH, Transport
from wigeonspan.consensus._waiting import Waiting
from wigeonspan.http import JsonHandler

TICK_S = 0.05
"""Seconds between ticks; a fifth of the heartbeat."""

COMMIT_TIMEOUT_S = 5.0
"""Seconds after which a proposal's fate is reported as unknown; two elections."""

CONFIRM_TIMEOUT_S = 2.0
"""Seconds after which confirming leadership fails; the longest election timeout."""

SNAPSHOT_ENTRIES = 1000
"""Applied entries between snapshots; replaying them takes a fraction of a second."""

SNAPSHOT_BYTES = 8_000_000
"""Size of applied commands between snapshots, in bytes."""

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
    ) -> None:
        self._host = BootstrapMember(name, address, domain)
        self._bootstrap = tuple(bootstrap)
        self._folder = folder
        self._machine = machine
        self._clock = clock
        self._rng = rng
        self._snapshot_entries = snapshot_entries
        self._transport = Transport(client, clock, self._read_chunk)
        self._executor = ThreadPoolExecutor(1, "consensus-disk")
        self._waiting = Waiting()
        self._writes: list[Persist] = []
        self._write_due = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._failure: asyncio.Event = asyncio.Event()
        self._running = False
        self._applied = LogIndex(0)
        self._applied_bytes = 0
        self._store: LogStore
        self._node: RaftNode

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and has applied an entry of its own term."""
        return self._running and self._node.leads

    @property
    def leader(self) -> Member | None:
        """Member that leads, as far as is known."""
        peer = self._node.leader if self._running else None
        if peer is None:
            return None
        return next((m for m in self.members if m.disk_id == peer.disk_id), None)

    @property
    def term(self) -> Term:
        """Current term."""
        return self._node.term

    @property
    def lease_valid_until(self) -> float:
        """Monotonic time until which no other host can lead; 0 when not leader."""
        return self._node.lease_valid_until if self._running else 0.0

    @property
    def members(self) -> list[Member]:
        """Members of the group; empty before this disk belongs to one."""
        return list(self._node.members)

    @property
    def disk_id(self) -> str:
        """Random identity of this host's disk."""
        return self._store.disk_id

    @property
    def strangers(self) -> dict[HostId, str]:
        """Disk identities of hosts that lost their registered disk, by host."""
        return self._node.strangers

    @property
    def applied(self) -> LogIndex:
        """Index of the last entry that was applied here."""
        return self._applied

    async def start(self) -> None:
        """Read the data folder and begin to take part.

        Raises
        ------
        StorageError
            When the data folder cannot be used.
        """
        self._store = LogStore(FolderDisk(self._folder))
        stored = await self._on_disk(self._store.open)
        snapshot = await self._on_disk(self._store.read_snapshot)
        if snapshot is not None:
            self._restore(snapshot)
        host = self._host
        local = Local(host.name, host.address, host.domain, self._store.disk_id)
        now = self._clock.now()
        self._node = RaftNode(local, self._bootstrap, stored, self._rng, now)
        self._running = True
        self._tasks = [
            asyncio.create_task(self._tick_loop()),
            asyncio.create_task(self._write_loop()),
        ]
        _log.info("Voter {} starts with disk {}.", host.name, self._store.disk_id)

    async def stop(self) -> None:
        """Hand leadership over if this host leads, then end."""
        voters = sum(member.voter for member in self._node.members)
        if self._running and self._node.role is LogRole.LEADER and voters > 1:
            await self._hand_over()
        self._end("this host is stopping")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.close()
        self._executor.shutdown(wait=True)
        self._store.close()

    async def wait_failed(self) -> None:
        """Return when the voter has ended because its disk failed."""
        await self._failure.wait()

    def handlers(self) -> list[tuple[str, type[JsonHandler], dict[str, Any]]]:
        """Return the routes for the internal HTTP server."""
        return [(RAFT_PATH, RaftHandler, {"receive": self.receive})]

    def receive(self, messages: list[Message]) -> None:
        """Process messages from another member."""
        for message in messages:
            if not self._running:
                raise WigeonspanError(ErrorKind.NOT_LEADER, "this voter is not running")
            self._step(self._node.handle(message, self._clock.now()))

    async def propose(self, command: bytes) -> tuple[LogIndex, Any]:
        """Commit a command and return its log index and its result.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``STORAGE_FULL`` when it was not appended; ``NO_QUORUM``
            with an unknown outcome when it was appended and its fate is not known.
        """
        self._check_running()
        entry, ready = self._node.propose(command, self._clock.now())
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
        now = self._clock.now()
        if member.name == self._host.name and not (present and member.voter):
            self._step(self._node.hand_over(now))
        entry, ready = self._node.change_member(member, present, command, now)
        return await self._await_commit(entry, ready)

    async def confirm_leadership(self) -> None:
        """Return when the state holds all that was committed before the call.

        Raises
        ------
        WigeonspanError
            ``NOT_LEADER`` or ``NO_QUORUM``.
        """
        self._check_running()
        asked_at, term = self._clock.now(), self._node.term
        if not self._node.leads or self._node.lease_valid_until <= asked_at:
            self._step(self._node.start_round(asked_at))

            def confirmed() -> bool:
                self._check_leads(term)
                return self._node.leads and self._node.quorum_answered_at >= asked_at

            await self._wait_until(confirmed, CONFIRM_TIMEOUT_S)

    def is_caught_up(self, host: HostId) -> bool:
        """Whether a learner holds everything that is committed."""
        if not self.is_leader:
            return False
        if host == self._host.name:
            return True
        return self._node.match_of(host) >= self._node.commit

    async def _await_commit(self, entry: Entry, ready: Ready) -> tuple[LogIndex, Any]:
        future = self._waiting.add(entry)
        self._step(ready)
        try:
            return entry.index, await asyncio.wait_for(future, COMMIT_TIMEOUT_S)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM, f"entry {entry.index} is not committed yet"
            ) from error
        finally:
            self._waiting.forget(entry)

    async def _wait_until(self, condition: Any, timeout_s: float) -> None:
        async def wait() -> None:
            while not condition():
                await asyncio.sleep(TICK_S / 5)

        try:
            await asyncio.wait_for(wait(), timeout_s)
        except TimeoutError as error:
            raise WigeonspanError(
                ErrorKind.NO_QUORUM, "no majority answered in time", ran=Ran.NO
            ) from error

    async def _hand_over(self) -> None:
        self._step(self._node.hand_over(self._clock.now()))
        term = self._node.term

        def done() -> bool:
            return self._node.term > term and self._node.leader is not None

        try:
            await self._wait_until(done, HANDOVER_S + LEASE_S)
        except WigeonspanError:
            _log.warning("Leadership was not taken over in time.")

    async def _tick_loop(self) -> None:
        while True:
            self._step(self._node.tick(self._clock.now()))
            self._transport.flush()
            await asyncio.sleep(TICK_S)

    async def _write_loop(self) -> None:
        try:
            while True:
                await self._write_due.wait()
                self._write_due.clear()
                await self._write()
                await self._save_snapshot()
        except StorageError as error:
            _log.critical("Voter {} ends: {}.", self._host.name, error)
            self._end(f"storage failed: {error}")
            self._failure.set()

    async def _write(self) -> None:
        """Write all waiting effects with one sync; more gather meanwhile."""
        batch, self._writes = self._writes, []
        if not batch:
            return
        try:
            await self._on_disk(self._store.save, batch)
        except StorageFull as error:
            _log.error("Proposals are refused: {}.", error)
            self._writes = []
            last, ready = self._node.storage_full(self._clock.now())
            self._waiting.refuse_after(last, ErrorKind.STORAGE_FULL, str(error))
            self._step(ready)
        else:
            now = self._clock.now()
            self._step(self._node.persisted(batch[-1].sequence, now))

    async def _save_snapshot(self) -> None:
        entries = self._applied - self._node.snapshot_index
        if entries < self._snapshot_entries and self._applied_bytes < SNAPSHOT_BYTES:
            return
        self._applied_bytes = 0
        data = self._machine.snapshot()
        meta = self._node.snapshot_meta(self._applied, len(data))
        try:
            await self._on_disk(self._machine.flush)
            await self._on_disk(self._store.save_snapshot, Snapshot(meta, data))
        except StorageFull as error:
            _log.error("A snapshot was not written: {}.", error)
        else:
            self._node.compact(meta)

    def _step(self, ready: Ready) -> None:
        """Carry out the effects of one step of the core."""
        if ready.persist is not None:
            self._writes.append(ready.persist)
            self._write_due.set()
        if ready.send:
            self._transport.send(ready.send)
        if ready.snapshot is not None:
            self._restore(ready.snapshot)
        for entry in ready.committed:
            self._apply(entry)
        if ready.committed:
            self._write_due.set()

    def _apply(self, entry: Entry) -> None:
        result = None
        if entry.command:
            result = self._machine.apply(entry.index, entry.command)
        self._applied = entry.index
        self._applied_bytes += len(entry.command)
        self._waiting.resolve(entry, result)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied = snapshot.meta.index
        self._waiting.refuse_up_to(snapshot.meta.index)

    def _end(self, reason: str) -> None:
        self._running = False
        self._waiting.refuse_all(reason)

    def _check_running(self) -> None:
        if not self._running:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this voter is not running")

    def _check_leads(self, term: Term) -> None:
        self._check_running()
        if self._node.role is not LogRole.LEADER or self._node.term != term:
            raise WigeonspanError(ErrorKind.NOT_LEADER, "this host does not lead")

    def _read_chunk(self, meta: SnapshotMeta, offset: int) -> bytes | None:
        return self._store.read_chunk(meta, offset, CHUNK_BYTES)

    async def _on_disk(self, function: Any, *arguments: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)
