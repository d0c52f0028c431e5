"""Data folder with torn writes, damage, failed syncs, full disks and power loss."""

import contextlib
import errno
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.consensus.fake_disk import FakeDisk, PowerLoss
from wigeonspan.consensus import (
    Entry,
    HardState,
    LogStore,
    Persist,
    Snapshot,
    SnapshotMeta,
    StorageCorrupt,
    StorageFailed,
    StorageFull,
)
from wigeonspan.consensus._disk import FolderDisk
from wigeonspan.consensus._frames import SyncFull, encode_frame
from wigeonspan.consensus._store import SLOT_BYTES

STATE = HardState("group", 3, "a")
LOG = "log-0000000000000001"
LOG2 = "log-0000000000000002"


def entries(first, last, term=1):
    return [Entry(i, term, f"command {i}".encode()) for i in range(first, last + 1)]


def persist(*items, state=None, snapshot=None):
    return Persist(1, state, snapshot, list(items))


def snapshot(index, term=1, data=b"state"):
    return Snapshot(SnapshotMeta(index, term, (), len(data)), data)


def store_with_entries():
    """Return a disk with three synced frames of entries, and its store."""
    disk = FakeDisk()
    store = LogStore(disk, lambda: "disk-1")
    store.open()
    store.save([persist(*entries(1, 3), state=STATE)])
    store.save([persist(*entries(4, 4))])
    store.save([persist(*entries(5, 8))])
    return disk, store


def reopened(disk):
    store = LogStore(disk, lambda: "disk-2")
    return store, store.open()


def test_disk_identity_state_and_entries_survive_a_restart():
    """A restarted voter must read back its disk identity, vote and entries."""
    disk, store = store_with_entries()
    store.save([persist(*entries(6, 7, term=2)), persist(*entries(8, 8, term=2))])
    store, stored = reopened(disk)
    assert store.disk_id == "disk-1"
    assert stored.state == STATE
    assert stored.entries == entries(1, 5) + entries(6, 8, term=2)


def test_torn_frame_of_any_length_is_removed():
    """A frame truncated by a crash must not stop the voter or lose older frames."""
    disk, store = store_with_entries()
    before = len(disk.read(LOG))
    store.save([persist(*entries(9, 12))])
    whole = disk.read(LOG)
    for size in range(before, len(whole)):
        torn, _ = store_with_entries()
        torn.append(LOG, whole[before:size])
        torn.sync(LOG)
        store, stored = reopened(torn)
        assert stored.entries == entries(1, 8)
        assert len(torn.read(LOG)) == before
        store.save([persist(*entries(9, 9))])
        assert reopened(torn)[1].entries == entries(1, 9)


def test_each_flipped_bit_of_the_log_is_reported_with_file_and_offset():
    """A damaged synced frame must not be dropped as if it were a torn write."""
    size = len(store_with_entries()[0].read(LOG))
    for offset in range(size):
        disk, _ = store_with_entries()
        disk.flip_bit(LOG, offset)
        with pytest.raises(StorageCorrupt) as caught:
            reopened(disk)
        assert caught.value.file == LOG
        assert caught.value.offset <= offset
        assert f"{LOG}: offset {caught.value.offset}:" in str(caught.value)


def test_damage_before_a_valid_frame_is_detected_without_the_tail_file():
    """The tail file is not synced, so it can be missing after a crash."""
    disk, store = store_with_entries()
    last = len(disk.read(LOG))
    store.save([persist(*entries(9, 9))])
    for offset in range(last):
        disk, store = store_with_entries()
        store.save([persist(*entries(9, 9))])
        disk.remove("tail")
        disk.flip_bit(LOG, offset)
        with pytest.raises(StorageCorrupt):
            reopened(disk)


def test_flipped_bit_of_the_voter_file_loses_no_vote():
    """Falling back from a damaged vote to an older one would allow a second vote."""
    for offset in range(store_with_entries()[0].read("voter").__len__()):
        disk, _ = store_with_entries()
        disk.flip_bit("voter", offset)
        store, stored = reopened(disk)
        assert (store.disk_id, stored.state) == ("disk-1", STATE)


def test_flipped_bit_of_the_snapshot_is_detected():
    """A damaged snapshot must not be restored."""
    disk, store = store_with_entries()
    store.save_snapshot(snapshot(6))
    name = "snapshot-0000000000000006"
    for offset in range(len(disk.read(name))):
        disk.flip_bit(name, offset)
        with pytest.raises(StorageCorrupt, match=name):
            reopened(disk)
        disk.flip_bit(name, offset)
    assert reopened(disk)[1].entries == entries(7, 8)


@pytest.mark.parametrize("missing", ["voter", LOG])
def test_missing_file_is_refused(missing):
    """A voter with a missing file must not start as new or with an empty log."""
    disk, _ = store_with_entries()
    disk.remove(missing)
    with pytest.raises(StorageCorrupt, match="missing"):
        reopened(disk)


def test_log_of_another_disk_is_refused():
    """A log copied from another voter must not be combined with this voter's votes."""
    disk, other = store_with_entries()[0], FakeDisk()
    LogStore(other, lambda: "disk-2").open()
    disk.create(LOG, other.read(LOG))
    disk.remove("tail")
    with pytest.raises(StorageCorrupt, match="belongs to disk disk-2"):
        reopened(disk)


@pytest.mark.parametrize(
    ("name", "write"),
    [
        (LOG, lambda store: store.save([persist(*entries(9, 9))])),
        ("voter", lambda store: store.save([persist(state=HardState("group", 4))])),
        (
            "snapshot-0000000000000006.new",
            lambda store: store.save_snapshot(snapshot(6)),
        ),
        (".", lambda store: store.save_snapshot(snapshot(6))),
    ],
)
def test_failed_sync_is_reported(name, write):
    """A voter that continues after a failed sync could acknowledge lost data."""
    disk, store = store_with_entries()
    disk.failing.add(name)
    with pytest.raises(StorageFailed, match="sync failed"):
        write(store)


@pytest.mark.parametrize("space", [0, 1, 20, 60])
def test_full_disk_does_not_damage_stored_entries(space):
    """A partial frame on a full disk must not damage entries written after it.

    This disk has no room to grow but lets files be overwritten, so the hard state is
    written.
    """
    disk, store = store_with_entries()
    disk.space = space
    newer = HardState("group", 9, "b")
    with pytest.raises(StorageFull):
        store.save([persist(*entries(9, 20), state=newer)])
    with pytest.raises(StorageFull):
        store.save_snapshot(snapshot(6, data=b"s" * 100))
    assert reopened(disk)[1].entries == entries(1, 8)
    disk.space = None
    store.save([persist(*entries(9, 9))])
    store.save_snapshot(snapshot(6))
    stored = reopened(disk)[1]
    assert (stored.state, stored.entries) == (newer, entries(7, 9))


@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("keeps_refused", [False, True])
def test_entries_refused_at_the_sync_are_replaced(keeps_refused, killed):
    """A disk that was full at the sync may have dropped the entries, or kept them.

    A later sync, which succeeds without writing them, must not make them count. Once
    other entries have taken their place, they must never come back.
    """
    disk, store = store_with_entries()
    disk.full_syncs, disk.keeps_refused = {LOG}, keeps_refused
    for _ in range(2):
        with pytest.raises(SyncFull):
            store.save([persist(*entries(9, 12))])
    with pytest.raises(StorageFull):
        store.save_snapshot(snapshot(6))
    disk.full_syncs = set()
    if killed:
        store, stored = reopened(disk)
        assert stored.entries == entries(1, 8)
    store.save([persist(*entries(9, 10, term=2))])
    disk.crash(random.Random(1))
    assert reopened(disk)[1].entries == entries(1, 8) + entries(9, 10, term=2)


@pytest.mark.parametrize("keeps_refused", [False, True])
def test_vote_refused_at_the_sync_is_written_again(keeps_refused):
    """The next sync could succeed without the vote that the refused one dropped."""
    disk, store = store_with_entries()
    disk.full_syncs, disk.keeps_refused = {"voter"}, keeps_refused
    vote = persist(state=HardState("group", 9, "b"))
    with pytest.raises(SyncFull):
        store.save([vote])
    disk.full_syncs = set()
    store.save([vote])
    disk.crash(random.Random(1))
    assert reopened(disk)[1].state == vote.state


@pytest.mark.parametrize("name", ["snapshot-0000000000000006.new", LOG2 + ".new"])
def test_snapshot_refused_at_the_sync_leaves_the_log(name):
    """A snapshot that was not synced must not replace the entries that it covers."""
    disk, store = store_with_entries()
    disk.full_syncs = {name}
    with pytest.raises(SyncFull):
        store.save_snapshot(snapshot(6))
    disk.full_syncs = set()
    disk.crash(random.Random(1))
    store, stored = reopened(disk)
    # The removal of the snapshot's name is not synced, so it may come back.
    base = stored.snapshot.index if stored.snapshot else 0
    assert stored.entries == entries(base + 1, 8)
    store.save_snapshot(snapshot(6))
    assert reopened(disk)[1].entries == entries(7, 8)


def test_folder_without_space_at_its_sync_ends_the_voter():
    """Names that a sync of the folder dropped cannot be written again."""
    disk, store = store_with_entries()

    def refuse():
        raise OSError(errno.ENOSPC, "no space left")

    disk.sync_folder = refuse
    with pytest.raises(StorageFailed, match="sync failed"):
        store.save_snapshot(snapshot(6))


@pytest.mark.parametrize("name", ["voter", LOG])
def test_data_read_after_a_kill_survives_a_loss_of_power(name):
    """A process killed before its sync leaves data that a loss of power may undo.

    The next process acknowledges what it has read, so it must sync it first.
    """
    disk, store = store_with_entries()
    sync = disk.sync

    def kill(synced):
        if synced == name:
            raise PowerLoss
        sync(synced)

    disk.sync = kill
    item = persist(state=HardState("group", 9, "b"))
    with pytest.raises(PowerLoss):
        store.save([item if name == "voter" else persist(*entries(9, 10))])
    disk.sync = sync
    stored = reopened(disk)[1]
    disk.crash(TornAfter(0))
    assert reopened(disk)[1] == stored


def test_log_that_a_full_disk_did_not_sync_at_the_start_is_replaced():
    """The sync of the next attempt succeeds without the entries that were dropped."""
    disk, store = store_with_entries()
    disk.append(LOG, encode_frame(msgspec.msgpack.encode(entries(9, 9))))
    disk.full_syncs = {LOG}
    with pytest.raises(SyncFull):
        reopened(disk)
    disk.full_syncs = set()
    assert LogStore(disk, replace_log=True).open().entries == entries(1, 9)
    disk.crash(TornAfter(0))
    assert reopened(disk)[1].entries == entries(1, 9)


def test_name_of_a_log_read_after_a_kill_survives_a_loss_of_power():
    """A loss of power may undo a rename and still keep the removal of the old log."""
    disk, store = store_with_entries()
    sync_folder, calls = disk.sync_folder, []

    def kill():
        calls.append(None)
        if len(calls) == 2:
            raise PowerLoss
        sync_folder()

    disk.sync_folder = kill
    with pytest.raises(PowerLoss):
        store.save_snapshot(snapshot(6))
    disk.sync_folder = sync_folder
    synced = []
    disk.sync_folder = lambda: (synced.append(disk.names()), sync_folder())
    remove = disk.remove

    def check(name):
        assert any(LOG2 in names and LOG in names for names in synced)
        remove(name)

    disk.remove = check
    assert reopened(disk)[1].entries == entries(7, 8)
    assert LOG not in disk.names()


class TornAfter:
    """Stands in for the random numbers of a crash: each write keeps so many bytes."""

    def __init__(self, size):
        self._size = size

    def random(self):
        return 0.0

    def randint(self, low, high):
        return min(high, self._size)


@pytest.mark.parametrize("damaged", [0, SLOT_BYTES])
def test_intact_slot_of_the_voter_file_is_rewritten_last(damaged):
    """A power loss while the bad slot is repaired once left both slots bad."""
    for operations in range(8):
        for kept in (0, 6, SLOT_BYTES):
            disk, store = store_with_entries()
            store.close()
            disk.flip_bit("voter", damaged + 9)
            disk.operations_left = operations
            with contextlib.suppress(PowerLoss):
                reopened(disk)
            disk.crash(TornAfter(kept))
            assert reopened(disk)[1].state == STATE


@pytest.mark.parametrize("writes", [0, 1])
def test_slot_that_a_full_disk_left_behind_is_rewritten_first(writes):
    """A vote whose write a full disk broke off may have damaged one of the two slots.

    The next write must not begin with the intact one.
    """
    for operations in range(6):
        for kept in (0, 6, SLOT_BYTES):
            disk, store = store_with_entries()
            disk.writes_left = writes
            with pytest.raises(StorageFull):
                store.save([persist(state=HardState("group", 9, "b"))])
            disk.writes_left = None
            # The refused write left its slot in an unknown condition.
            disk.flip_bit("voter", writes * SLOT_BYTES + 9)
            disk.operations_left = operations
            with contextlib.suppress(PowerLoss):
                store.save([persist(state=HardState("group", 10, "c"))])
            disk.crash(TornAfter(kept))
            assert reopened(disk)[1].state.term in (3, 9, 10)


@pytest.mark.parametrize(
    ("index", "term", "kept"),
    [(6, 1, entries(7, 8)), (6, 2, []), (8, 1, []), (30, 4, [])],
)
def test_installed_snapshot_discards_conflicting_entries(index, term, kept):
    """Entries after a conflicting position belong to an abandoned branch."""
    disk, store = store_with_entries()
    store.save([persist(snapshot=snapshot(index, term))])
    store, stored = reopened(disk)
    assert (stored.snapshot.index, stored.entries) == (index, kept)
    last = kept[-1].index if kept else index
    store.save([persist(*entries(last + 1, last + 2, term))])
    assert reopened(disk)[1].entries == kept + entries(last + 1, last + 2, term)


@given(
    seed=st.integers(0, 2**32),
    steps=st.lists(st.sampled_from(["state", "append", "replace", "snapshot"])),
    operations=st.integers(0, 60),
)
@settings(derandomize=True, deadline=None, max_examples=1500)
def test_power_loss_at_any_operation_loses_no_acknowledged_data(
    seed, steps, operations
):
    """A missing sync of a file or the folder would lose acknowledged data."""
    rng = random.Random(seed)
    disk = FakeDisk()
    disk.operations_left = operations
    acknowledged, state, term, snapshot_index = [], HardState(), 1, 0
    pending = None
    try:
        store = LogStore(disk, lambda: "disk-1")
        store.open()
        for step in steps:
            pending = None
            term += 1
            last = acknowledged[-1].index if acknowledged else snapshot_index
            if step == "state":
                pending = HardState("group", term, "a")
                store.save([persist(state=pending)])
                state = pending
            elif step == "snapshot":
                if last > snapshot_index:
                    at = rng.choice(acknowledged)
                    store.save_snapshot(snapshot(at.index, at.term))
                    snapshot_index = at.index
                    acknowledged = [e for e in acknowledged if e.index > snapshot_index]
            else:
                first = last + 1
                if step == "replace" and acknowledged:
                    first = rng.choice(acknowledged).index
                new = entries(first, first + rng.randint(0, 3), term)
                pending = new
                store.save([persist(*new)])
                acknowledged = [e for e in acknowledged if e.index < first] + new
    except PowerLoss:
        pass
    disk.crash(rng)
    stored = reopened(disk)[1]
    assert stored.state in (state, pending)
    base = stored.snapshot.index if stored.snapshot else 0
    assert base >= snapshot_index
    found = stored.entries
    if isinstance(pending, list) and pending[0] in found:
        acknowledged = [e for e in acknowledged if e.index < pending[0].index] + pending
    assert found == [e for e in acknowledged if e.index > base]


def test_folder_disk_behaves_like_the_fake_disk(tmp_path):
    """Tests with the in-memory disk are valid only if a real folder behaves alike."""

    def use(disk):
        store = LogStore(disk, lambda: "disk-1")
        store.open()
        store.save([persist(*entries(1, 9), state=STATE)])
        store.save_snapshot(snapshot(5))
        store.save([persist(*entries(8, 12, term=2))])
        disk.truncate(store._log.name, len(disk.read(store._log.name)) - 1)
        disk.remove("tail")
        chunk = store.read_chunk(store.snapshot, 2, 100)
        store.close()
        return chunk

    real, fake = FolderDisk(tmp_path / "data"), FakeDisk()
    assert use(real) == use(fake) == b"ate"
    real = FolderDisk(tmp_path / "data")
    assert real.names() == fake.names()
    assert [real.read(n) for n in real.names()] == [fake.read(n) for n in fake.names()]
    assert reopened(real)[1] == reopened(fake)[1]


def test_folder_in_use_cannot_be_opened_again(tmp_path):
    """Two processes on one folder could vote twice with the same identity."""
    first = FolderDisk(tmp_path)
    with pytest.raises(OSError, match="is in use"):
        FolderDisk(tmp_path)
    first.close()
    FolderDisk(tmp_path).close()
