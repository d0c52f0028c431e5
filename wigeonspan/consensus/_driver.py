"""Executes the effects of a Raft node: disk writes, messages and applied commands."""

import asyncio
import random
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import Clock, ErrorKind, LogIndex, Term, part_logger
from wigeonspan.consensus._core import RaftNode
from wigeonspan.consensus._disk import Disk
from wigeonspan.consensus._files import translate_os_errors
from wigeonspan.consensus._frames import StorageFull, SyncFull
from wigeonspan.consensus._interface import StateMachine
from wigeonspan.consensus._messages import (
    BootstrapMember,
    Entry,
    LocalMember,
    LogRole,
    Persist,
    Ready,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from wigeonspan.consensus._proposals import PendingProposals
from wigeonspan.consensus._state import NEVER
from wigeonspan.consensus._store import LogStore
from wigeonspan.consensus._timing import CHUNK_BYTES
from wigeonspan.consensus._transport import Transport

T = TypeVar("T")

TICK_S = 0.05
"""Seconds between ticks; a fifth of the heartbeat interval."""

SNAPSHOT_RETRY_S = 10.0
"""Seconds between attempts to write a snapshot to a full disk."""

STORAGE_RETRY_S = 0.1
"""Seconds between attempts to write to a full disk. Without a pause, a voter file that
could not be written was written again some 2,300 times a second."""

START_RETRY_S = 0.5
"""Seconds between attempts to open a data folder on a full disk."""

FULL_LOG_INTERVAL_S = 10.0
"""Seconds between log lines about a disk that remains full."""

SNAPSHOT_BYTES = 8_000_000
"""Total size of applied commands after which a snapshot is taken, in bytes."""

_log = part_logger("consensus")


class Driver:
    """Runs a Raft node with its data folder and its timers.

    Disk operations run in order in one worker thread, so that heartbeats continue in
    the meantime. Effects that arrive during a write are written together afterwards,
    with one sync.

    Parameters
    ----------
    host : BootstrapMember
        This host.
    machine : StateMachine
        State machine to which commands are applied.
    clock : Clock
        Source of time.
    client : CurlAsyncHTTPClient
        Client for messages to other members.
    snapshot_entries : int
        Applied entries between snapshots.
    observe_write : callable
        Called with the duration of each write including its sync, in seconds.
    """

    def __init__(
        self,
        host: BootstrapMember,
        machine: StateMachine,
        clock: Clock,
        client: CurlAsyncHTTPClient,
        snapshot_entries: int,
        observe_write: Callable[[float], None],
    ) -> None:
        self.pending_proposals = PendingProposals()
        self.failed = asyncio.Event()
        self.running = False
        self.applied = LogIndex(0)
        self.node: RaftNode
        self._host = host
        self._machine = machine
        self._clock = clock
        self._snapshot_entries = snapshot_entries
        self._observe_write = observe_write
        self._transport = Transport(client, clock, self._read_chunk)
        self._executor = ThreadPoolExecutor(1, "consensus-disk")
        self._writes: list[Persist] = []
        self._write_due = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._applied_bytes = 0
        self._next_snapshot_at = NEVER
        self._refused_writes = 0
        self._next_full_log_at = NEVER
        self._logged_role = (Term(0), LogRole.FOLLOWER)
        self._store: LogStore

    @property
    def started(self) -> bool:
        """Whether the data folder was read and the node was created."""
        return bool(self._tasks)

    @property
    def disk_id(self) -> str:
        """Return the random identity of this host's disk."""
        return self._store.disk_id

    async def start(
        self,
        folder: str | Path,
        bootstrap: Iterable[BootstrapMember],
        rng: random.Random,
        make_disk: Callable[[str | Path], Disk],
    ) -> None:
        """Read the data folder and start to participate in the group.

        While the disk is full, wait for space: a host that ended instead would only be
        started again, on the same disk.

        Raises
        ------
        StorageError
            When the data folder cannot be used.
        """
        replace_log = False
        while True:
            try:
                stored = await self._open(folder, make_disk, replace_log)
                break
            except StorageFull as error:
                replace_log = replace_log or isinstance(error, SyncFull)
                self._record_refused_write(error)
                await asyncio.sleep(START_RETRY_S)
        host = self._host
        local = LocalMember(host.name, host.address, host.domain, self.disk_id)
        self.node = RaftNode(local, bootstrap, stored, rng, self._clock.now())
        self.running = True
        self._tasks = [
            asyncio.create_task(self._tick_loop()),
            asyncio.create_task(self._write_loop()),
        ]
        _log.info("Voter {} is starting with disk {}.", host.name, self.disk_id)

    async def close(self) -> None:
        """Stop all work; data that is not written yet is lost."""
        self._stop_processing("this host is stopping")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.close()
        self._executor.shutdown(wait=True)
        if self.started:
            self._store.close()

    def step(self, ready: Ready) -> None:
        """Execute the effects of one step of the node."""
        if ready.persist is not None:
            self._writes.append(ready.persist)
            self._write_due.set()
        if ready.send:
            self._transport.send(ready.send)
        try:
            if ready.snapshot is not None:
                self._restore(ready.snapshot)
            for entry in ready.committed:
                self._apply(entry)
        except Exception as error:
            # Another voter may have applied the command: if this one skipped it, their
            # states could diverge.
            _log.opt(exception=error).error("A command could not be applied.")
            self._fail(error)
        if ready.committed:
            self._write_due.set()
        self._log_role_change()

    async def _open(
        self,
        folder: str | Path,
        make_disk: Callable[[str | Path], Disk],
        replace_log: bool,
    ) -> StoredState:
        with translate_os_errors(str(folder)):
            disk = make_disk(folder)
        self._store = LogStore(disk, replace_log=replace_log)
        try:
            stored = await self._run_on_disk_thread(self._store.open)
            snapshot = await self._run_on_disk_thread(self._store.read_snapshot)
            if snapshot is not None:
                self._restore(snapshot)
        except BaseException:
            # The disk thread may still be at work if the start was cancelled.
            await asyncio.shield(self._run_on_disk_thread(disk.close))
            raise
        return stored

    async def _tick_loop(self) -> None:
        try:
            while self.running:
                self.step(self.node.tick(self._clock.now()))
                self._transport.flush()
                await asyncio.sleep(TICK_S)
        except Exception as error:
            # Without ticks, a voter would never notice the loss of its leader.
            self._fail(error)

    async def _write_loop(self) -> None:
        try:
            while self.running:
                await self._write_due.wait()
                self._write_due.clear()
                await self._write()
                await self._save_snapshot()
        except Exception as error:
            self._fail(error)

    async def _write(self) -> None:
        batch, self._writes = self._writes, []
        if not batch:
            return
        began = self._clock.now()
        try:
            await self._run_on_disk_thread(lambda: self._store.save(batch))
        except StorageFull as error:
            self._record_refused_write(error)
            self._writes = []
            # Only what a leader did not write is certain to be never committed.
            leads = self.node.role is LogRole.LEADER
            certain = leads and not isinstance(error, SyncFull)
            kind = ErrorKind.STORAGE_FULL if certain else ErrorKind.NO_QUORUM
            last, ready = self.node.on_storage_full(self._clock.now())
            self.pending_proposals.fail_after(last, kind, str(error))
            self.step(ready)
            # The effects of the step repeat the write of a term or vote at once.
            await asyncio.sleep(STORAGE_RETRY_S)
        else:
            now = self._clock.now()
            if self._refused_writes:
                refused, self._refused_writes = self._refused_writes, 0
                _log.info("The disk has space again after {} writes.", refused)
            self._observe_write(now - began)
            self.step(self.node.on_persisted(batch[-1].sequence, now))

    def _record_refused_write(self, error: StorageFull) -> None:
        self._refused_writes += 1
        if self._clock.now() >= self._next_full_log_at:
            self._next_full_log_at = self._clock.now() + FULL_LOG_INTERVAL_S
            _log.error(
                "The disk is full, {} writes are refused so far: {}.",
                self._refused_writes,
                error,
            )

    async def _save_snapshot(self) -> None:
        entries = self.applied - self.node.snapshot_index
        if entries < self._snapshot_entries and self._applied_bytes < SNAPSHOT_BYTES:
            return
        if self._clock.now() < self._next_snapshot_at:
            return
        self._next_snapshot_at = self._clock.now() + SNAPSHOT_RETRY_S
        self._applied_bytes = 0
        data = self._machine.snapshot()
        meta = self.node.snapshot_meta(self.applied, len(data))
        try:
            await self._run_on_disk_thread(self._machine.flush)
            await self._run_on_disk_thread(
                lambda: self._store.save_snapshot(Snapshot(meta, data))
            )
        except StorageFull as error:
            _log.error(
                "A snapshot was not written because the disk is full: {}.", error
            )
        else:
            self._next_snapshot_at = NEVER
            self.node.compact(meta)

    def _apply(self, entry: Entry) -> None:
        result = None
        if entry.command:
            result = self._machine.apply(entry.index, entry.command)
        self.applied = entry.index
        self._applied_bytes += len(entry.command)
        self.pending_proposals.resolve(entry, result)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied = snapshot.meta.index
        self.pending_proposals.fail_up_to(snapshot.meta.index)

    def _log_role_change(self) -> None:
        current = (self.node.term, self.node.role)
        if current != self._logged_role:
            self._logged_role = current
            _log.info(
                "{} is {} in term {}.", self._host.name, current[1].value, current[0]
            )

    def _fail(self, error: Exception) -> None:
        _log.critical("Voter {} stops after an error: {}.", self._host.name, error)
        self._stop_processing(f"the voter failed: {error}")
        self.failed.set()

    def _stop_processing(self, reason: str) -> None:
        self.running = False
        self.pending_proposals.fail_all(reason)

    def _read_chunk(self, meta: SnapshotMeta, offset: int) -> bytes | None:
        return self._store.read_chunk(meta, offset, CHUNK_BYTES)

    async def _run_on_disk_thread(self, function: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function)
