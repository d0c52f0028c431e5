"""``LogTask`` with loopback sockets and real folders."""

import asyncio
import errno
import shutil

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from tests.consensus.cluster import Host, start_group, wait_for_leader, wait_until
from wigeonspan.catalog import Member
from wigeonspan.common import ErrorKind, SystemClock, WigeonspanError, decode, encode
from wigeonspan.consensus import StorageCorrupt, _driver
from wigeonspan.consensus._disk import FolderDisk
from wigeonspan.consensus._messages import (
    Append,
    BatchReply,
    Message,
    MessageBatch,
    Peer,
)
from wigeonspan.consensus._transport import RAFT_PATH, Transport
from wigeonspan.http import make_client


async def stop_all(hosts):
    for host in hosts:
        await host.stop()


@pytest.mark.parametrize("names", [["a"], ["a", "b", "c"]])
def test_group_commits_and_survives_a_restart(tmp_path, names):
    """A group must elect a leader, commit, and keep its state over a restart."""

    async def run():
        hosts = await start_group(tmp_path, names)
        leader = await wait_for_leader(hosts)
        results = await asyncio.gather(
            *(leader.log.propose(f"w{i}".encode()) for i in range(50))
        )
        assert [result for _, result in results] == list(range(1, 51))
        for host in hosts:
            await wait_until(lambda host=host: len(host.machine.words) == 50)
        await stop_all(hosts)
        for host in hosts:
            await host.start([])
        leader = await wait_for_leader(hosts)
        await leader.log.confirm_leadership()
        assert leader.machine.words == [f"w{i}" for i in range(50)]
        await stop_all(hosts)

    asyncio.run(run())


def test_restart_restores_the_last_snapshot(tmp_path):
    """Without snapshots, the time of a restart would grow with every change."""

    async def run():
        (host,) = await start_group(tmp_path, ["a"], snapshot_entries=100)
        await wait_for_leader([host])
        for first in range(0, 3000, 60):
            words = (f"w{i}".encode() for i in range(first, first + 60))
            await asyncio.gather(*(host.log.propose(word) for word in words))
        await host.stop()
        await host.start([])
        # The last snapshot is at most one interval and one batch of proposals old.
        assert host.log.applied >= 3000 - 100 - 60
        await wait_for_leader([host])
        assert host.machine.words == [f"w{i}" for i in range(3000)]
        await host.stop()

    asyncio.run(run())


def test_proposal_outcomes_are_correct_during_leadership_changes(tmp_path):
    """A refused proposal must not be committed; an accepted one must not be lost."""
    accepted, refused, unknown = set(), set(), set()

    async def propose_forever(hosts, done):
        count = 0
        while not done.is_set():
            count += 1
            word = f"w{count}"
            running = [h for h in hosts if h.log.term and h.log._driver.running]
            host = running[count % len(running)]
            try:
                await host.log.propose(word.encode())
                accepted.add(word)
            except WigeonspanError as error:
                kind = unknown if error.kind is ErrorKind.NO_QUORUM else refused
                kind.add(word)
            await asyncio.sleep(0.003)

    async def run():
        hosts = await start_group(tmp_path, ["a", "b", "c"])
        await wait_for_leader(hosts)
        done = asyncio.Event()
        tasks = [asyncio.create_task(propose_forever(hosts, done)) for _ in range(1)]
        for end in (Host.stop, Host.kill):
            leader = await wait_for_leader(hosts)
            await end(leader)
            await wait_for_leader([h for h in hosts if h is not leader])
            await asyncio.sleep(0.5)
            await leader.start([])
        done.set()
        await asyncio.gather(*tasks)
        leader = await wait_for_leader(hosts)
        await leader.log.propose(b"last")
        words = leader.machine.words
        assert len(words) == len(set(words))
        assert accepted <= set(words)
        assert not refused & set(words)
        assert accepted and refused
        await stop_all(hosts)

    asyncio.run(run())


def test_wiped_voter_is_reported_and_can_be_added_again(tmp_path):
    """An operator must see that a disk was lost and be able to re-add its host."""

    async def run():
        hosts = await start_group(tmp_path, ["a", "b", "c"], snapshot_entries=20)
        leader = await wait_for_leader(hosts)
        for i in range(50):
            await leader.log.propose(b"x" * 10_000 + str(i).encode())
        lost = next(h for h in hosts if h is not leader)
        await lost.kill()
        shutil.rmtree(lost.folder)
        await lost.start([])
        await wait_until(lambda: lost.name in leader.log.unregistered_disks)
        disk = leader.log.unregistered_disks[lost.name]
        assert disk == lost.log.disk_id

        def member(voter):
            return Member(lost.name, lost.member.address, "szeged", disk, voter)

        with pytest.raises(WigeonspanError, match="learner with this disk"):
            await leader.log.change_member(member(True), True, b"too early")
        await leader.log.change_member(member(False), True, b"learner")
        await wait_until(lambda: leader.log.is_caught_up(lost.name))
        await leader.log.change_member(member(True), True, b"promoted")
        await wait_until(lambda: lost.machine.words == leader.machine.words)
        assert leader.machine.words[-1] == "promoted"
        assert leader.log.unregistered_disks == {}
        await stop_all(hosts)

    asyncio.run(run())


def test_failed_sync_stops_the_voter(tmp_path, monkeypatch):
    """A voter must not acknowledge anything after a failed sync."""

    def fail(disk, name):
        raise OSError(errno.EIO, "input/output error")

    async def run():
        (host,) = await start_group(tmp_path, ["a"])
        await wait_for_leader([host])
        monkeypatch.setattr(FolderDisk, "sync", fail)
        with pytest.raises(WigeonspanError, match="sync failed"):
            await host.log.propose(b"lost")
        await host.log.wait_until_failed()
        with pytest.raises(WigeonspanError, match="not running"):
            await host.log.propose(b"refused")
        assert not host.log.is_leader
        await host.stop()

    asyncio.run(run())


def test_full_disk_refuses_proposals_only_while_it_is_full(tmp_path, monkeypatch):
    """Proposals refused on a full disk must not be committed.

    New proposals must be accepted as soon as there is space again.
    """

    def refuse(disk, name, data):
        raise OSError(errno.ENOSPC, "no space left on device")

    async def run():
        (host,) = await start_group(tmp_path, ["a"])
        await wait_for_leader([host])
        await host.log.propose(b"before")
        with monkeypatch.context() as patch:
            patch.setattr(FolderDisk, "append", refuse)
            with pytest.raises(WigeonspanError) as caught:
                await host.log.propose(b"refused")
            assert caught.value.kind is ErrorKind.STORAGE_FULL
        await host.log.propose(b"after")
        await host.stop()
        await host.start([])
        await wait_for_leader([host])
        assert host.machine.words == ["before", "after"]
        await host.stop()

    asyncio.run(run())


@pytest.mark.parametrize("operation", ["create", "make_disk"])
def test_start_on_a_full_disk_waits_for_space(tmp_path, monkeypatch, operation):
    """A voter that ended instead would only be started again on the same disk."""
    attempts = []

    def refuse(*_):
        attempts.append(operation)
        raise OSError(errno.ENOSPC, "no space left on device")

    async def run():
        host = Host("a", tmp_path)
        options = {}
        with monkeypatch.context() as patch:
            patch.setattr(_driver, "START_RETRY_S", 0.05)
            if operation == "create":
                patch.setattr(FolderDisk, "create", refuse)
            else:
                options["make_disk"] = lambda folder: (
                    refuse() if len(attempts) < 3 else FolderDisk(folder)
                )
            start = asyncio.create_task(host.start([host.member], **options))
            await wait_until(lambda: len(attempts) >= 3)
        await start
        await wait_for_leader([host])
        await host.log.propose(b"after")
        await host.stop()

    asyncio.run(run())


def test_full_disk_is_written_to_with_pauses(tmp_path, monkeypatch):
    """A vote that could not be written was once written 2,300 times a second.

    Each attempt had its own line in the log.
    """
    attempts, lines = [], []

    def refuse(name, *_):
        attempts.append(name)
        raise OSError(errno.ENOSPC, "no space left on device")

    async def run():
        hosts = await start_group(tmp_path, ["a", "b", "c"])
        leader = await wait_for_leader(hosts)
        full = next(h for h in hosts if h is not leader)
        with monkeypatch.context() as patch:
            patch.setattr(full.log._driver._store._disk, "write_at", refuse)
            patch.setattr(full.log._driver._store._disk, "append", refuse)
            patch.setattr(full.log._driver._store._disk, "create", refuse)
            patch.setattr(_driver._log, "error", lambda *line: lines.append(line))
            await leader.stop()
            await wait_until(lambda: attempts)
            attempts.clear()
            await asyncio.sleep(2.0)
            count = len(attempts)
        await leader.start([])
        leader = await wait_for_leader(hosts)
        await leader.log.propose(b"after")
        await wait_until(lambda: "after" in full.machine.words)
        await stop_all(hosts)
        return count

    assert 3 <= asyncio.run(run()) <= 30
    assert len(lines) <= 2


def test_outcome_of_a_change_is_unknown_when_the_sync_finds_no_space(
    tmp_path, monkeypatch
):
    """The process once ended, and the entry may be on disk, so it may run later.

    A refusal as "not run" would therefore be wrong.
    """

    def refuse(disk, name):
        raise OSError(errno.ENOSPC, "no space left on device")

    async def run():
        (host,) = await start_group(tmp_path, ["a"])
        await wait_for_leader([host])
        await host.log.propose(b"before")
        with monkeypatch.context() as patch:
            patch.setattr(FolderDisk, "sync", refuse)
            with pytest.raises(WigeonspanError) as caught:
                await host.log.propose(b"refused")
            assert caught.value.kind is ErrorKind.NO_QUORUM
        await wait_for_leader([host])
        await host.log.propose(b"after")
        await host.stop()
        await host.start([])
        await wait_for_leader([host])
        assert host.machine.words == ["before", "after"]
        await host.stop()

    asyncio.run(run())


def test_command_above_the_size_limit_is_refused(tmp_path):
    """A huge command would delay the heartbeats that are queued behind it."""

    async def run():
        (host,) = await start_group(tmp_path, ["a"])
        await wait_for_leader([host])
        with pytest.raises(WigeonspanError) as caught:
            await host.log.propose(b"x" * 1_000_001)
        assert caught.value.kind is ErrorKind.TOO_LARGE
        await host.stop()

    asyncio.run(run())


def test_damaged_log_prevents_the_start(tmp_path):
    """A voter must not start on a damaged log, and must release the folder."""

    async def run():
        (host,) = await start_group(tmp_path, ["a"])
        await wait_for_leader([host])
        await host.stop()
        path = next(host.folder.glob("log-*"))
        path.write_bytes(b"\1" + path.read_bytes()[1:])
        for _ in range(2):
            with pytest.raises(StorageCorrupt, match=f"{path.name}: offset 0"):
                await host.start([])

    asyncio.run(run())


def test_unanswered_requests_do_not_delay_later_messages():
    """Heartbeats must not wait for an unresponsive connection.

    Such a wait ended the leader's lease in an earlier version.
    """

    class UnresponsiveHandler(RequestHandler):
        seen, rounds = 0, set()

        async def post(self):
            batch = decode(self.request.body, MessageBatch)
            UnresponsiveHandler.rounds |= {m.body.round for m in batch.messages}
            UnresponsiveHandler.seen += 1
            if UnresponsiveHandler.seen <= 2:
                await asyncio.Event().wait()
            self.finish(encode(BatchReply(1)))

    async def run():
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(RAFT_PATH, UnresponsiveHandler)]))
        server.add_sockets(sockets)
        client = make_client(16)
        transport = Transport(client, SystemClock(), lambda meta, offset: None)
        here = Peer("a", "127.0.0.1:1", "1")
        there = Peer("b", f"127.0.0.1:{sockets[0].getsockname()[1]}", "2")
        for number in range(8):
            body = Append(0, 0, [], 0, number)
            transport.send([Message("g", here, there, 1, body)])
            await asyncio.sleep(0.15)
            transport.flush()
        await wait_until(lambda: set(range(8)) == UnresponsiveHandler.rounds)
        assert len(transport._tasks) <= 2
        await transport.close()
        client.close()
        server.stop()

    asyncio.run(run())
