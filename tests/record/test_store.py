"""Tests of the record's files: writing, restart, gaps, verification and search."""

import errno
import os
import random
import shutil
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.record import (
    EntryDraft,
    RecordError,
    RecordFile,
    RecordFilter,
    RecordHead,
    RecordKind,
    RecordStore,
    find_entries,
    record_files,
    verify,
)

SEGMENT_BYTES = 1_500


def make_draft(number):
    return EntryDraft(
        wall_ms=1_000 * number,
        kind=RecordKind.CHANGE if number % 2 else RecordKind.ENGINE,
        actor="ana" if number % 3 else "bo",
        subjects=(f"engine/e{number % 4}",),
        summary=f"change {number} é",
        detail={"b": number, "a": [0.1, None, {"z": True, "c": "ü"}]},
    )


def append_entries(store, first, last):
    return [store.append(n, make_draft(n)) for n in range(first, last + 1)]


def make_record(folder, count):
    store = RecordStore(folder, SEGMENT_BYTES)
    entries = append_entries(store, 1, count)
    store.flush()
    return entries


def paths(folder):
    return [file.path for file in record_files(folder)]


@pytest.fixture(scope="module")
def complete_record(tmp_path_factory):
    folder = tmp_path_factory.mktemp("complete")
    make_record(folder, 30)
    assert len(paths(folder)) > 3
    return folder


@settings(derandomize=True, deadline=None, max_examples=300)
@given(position=st.floats(0, 1, exclude_max=True), bit=st.integers(0, 7))
def test_verify_finds_any_flipped_bit(complete_record, position, bit):
    """Any modification of the record is detected, whichever bit it changes."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "copy"
        shutil.copytree(complete_record, folder)
        files = paths(folder)
        offset = int(position * sum(path.stat().st_size for path in files))
        while offset >= files[0].stat().st_size:
            offset -= files.pop(0).stat().st_size
        path = files[0]
        data = bytearray(path.read_bytes())
        data[offset] ^= 1 << bit
        path.write_bytes(data)
        assert verify(folder).faults


@pytest.mark.parametrize("file_index", [0, 1, -1])
def test_verify_finds_a_missing_file(complete_record, tmp_path, file_index):
    """A removed file is detected; the last one only if its head hash was saved."""
    folder = tmp_path / "copy"
    shutil.copytree(complete_record, folder)
    good = verify(folder)
    assert (good.entries, good.faults) == (30, [])
    paths(folder)[file_index].unlink()
    assert verify(folder, good.head.seq, good.head.hash).faults
    assert bool(verify(folder).faults) == (file_index != -1)


def test_verify_of_an_empty_folder_is_a_fault(tmp_path):
    """Verifying a wrong folder must not succeed."""
    assert verify(tmp_path).faults


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    synced=st.integers(0, 20),
    written=st.integers(0, 20),
    snapshot=st.integers(0, 40),
    lost_bytes=st.integers(0, 400),
    new=st.integers(0, 10),
)
def test_entries_are_stored_exactly_once_after_a_restart(
    synced, written, snapshot, lost_bytes, new
):
    """Commands that are applied again after a restart must not add duplicates."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        store = RecordStore(folder, SEGMENT_BYTES)
        expected = append_entries(store, 1, synced)
        store.flush()
        synced_sizes = {path: path.stat().st_size for path in paths(folder)}
        expected += append_entries(store, synced + 1, synced + written)
        store.write_pending()
        if paths(folder):
            # Only bytes that were not synced can be lost.
            last = paths(folder)[-1]
            kept_bytes = max(
                synced_sizes.get(last, 0), last.stat().st_size - lost_bytes
            )
            os.truncate(last, kept_bytes)
        snapshot_seq = min(snapshot, synced)
        head = expected[snapshot_seq - 1] if snapshot_seq else None
        restarted = RecordStore(folder, SEGMENT_BYTES)
        if head is not None:
            restarted.restore(RecordHead(head.seq, head.hash, head.wall_ms))
        total = synced + written + new
        expected[snapshot_seq:] = append_entries(restarted, snapshot_seq + 1, total)
        restarted.flush()
        found, _ = find_entries(record_files(folder), RecordFilter(limit=1_000))
        assert found == expected
        result = verify(folder)
        if total:
            assert (result.entries, result.faults) == (total, [])
        assert restarted.gap() is None


def test_commands_that_contradict_the_files_are_rejected(tmp_path):
    """A record of another control group must not be continued."""
    make_record(tmp_path, 10)
    other = RecordStore(tmp_path, SEGMENT_BYTES)
    with pytest.raises(RecordError, match="another entry than the log"):
        other.append(7, make_draft(5))
    with pytest.raises(RecordError, match="another entry than the log"):
        RecordStore(tmp_path).restore(RecordHead(3, "0" * 64, 0))


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    stored=st.integers(0, 12),
    snapshot=st.integers(1, 25),
    applied_after=st.integers(0, 8),
    seed=st.integers(0, 99),
)
def test_gap_is_filled_from_another_member(stored, snapshot, applied_after, seed):
    """A host whose state came from a snapshot must fetch the entries before it."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        source = RecordStore(Path(name) / "source", SEGMENT_BYTES)
        entries = append_entries(source, 1, 40)
        source.flush()
        folder = Path(name) / "learner"
        store = RecordStore(folder, SEGMENT_BYTES)
        append_entries(store, 1, stored)
        if rng.random() < 0.5:
            store.flush()
        snapshot_entry = entries[max(stored, snapshot) - 1]
        store.restore(
            RecordHead(snapshot_entry.seq, snapshot_entry.hash, snapshot_entry.wall_ms)
        )
        append_entries(
            store, snapshot_entry.seq + 1, snapshot_entry.seq + applied_after
        )
        for _ in range(200):
            gap = store.gap()
            if gap is None:
                break
            last = min(gap.last, gap.first + rng.randrange(4))
            store.fill(gap, source.chunk(gap.first, last).lines)
            if rng.random() < 0.3:
                append_entries(store, store.head.seq + 1, store.head.seq + 1)
        assert store.gap() is None
        store.flush()
        restarted = RecordStore(folder, SEGMENT_BYTES)
        restarted.restore(store.head)
        assert restarted.gap() is None
        result = verify(folder)
        assert (result.entries, result.faults) == (store.head.seq, [])


@pytest.mark.parametrize("fault", ["first", "text", "end"])
def test_entries_that_do_not_fit_a_gap_are_rejected(tmp_path, fault):
    """Entries of a modified record must not be accepted from another member."""
    source = RecordStore(tmp_path / "source")
    entries = append_entries(source, 1, 10)
    source.flush()
    store = RecordStore(tmp_path / "learner")
    snapshot_entry = entries[5]
    store.restore(
        RecordHead(
            snapshot_entry.seq, "0" * 64 if fault == "end" else snapshot_entry.hash, 0
        )
    )
    lines = source.chunk(1, 10).lines
    if fault == "first":
        lines = lines[1:]
    if fault == "text":
        lines[2] = lines[2].replace("change 3", "change 4")
    with pytest.raises(RecordError):
        store.fill(store.gap(), lines)
    assert store.gap().first == 1


def test_full_disk_loses_no_entry(tmp_path, monkeypatch):
    """Entries of committed commands stay in memory until the disk has space again."""
    store = RecordStore(tmp_path, SEGMENT_BYTES)
    append_entries(store, 1, 5)
    store.flush()
    real_pwrite = os.pwrite

    def write_half(fd, data, offset):
        written = real_pwrite(fd, data[: len(data) // 2], offset)
        if written:
            raise OSError(errno.ENOSPC, "No space left on device")
        return written

    monkeypatch.setattr(os, "pwrite", write_half)
    append_entries(store, 6, 300)
    with pytest.raises(OSError, match="No space"):
        store.flush()
    monkeypatch.setattr(os, "pwrite", real_pwrite)
    assert verify(tmp_path).entries == 5
    store.flush()
    result = verify(tmp_path)
    assert (result.entries, result.faults) == (300, [])


def test_failed_sync_stays_failed(tmp_path, monkeypatch):
    """A later sync must not succeed, because the kernel may have dropped the data."""
    store = RecordStore(tmp_path)
    append_entries(store, 1, 3)
    real_fsync = os.fsync

    def fail(fd):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="Input/output"):
        store.flush()
    monkeypatch.setattr(os, "fsync", real_fsync)
    with pytest.raises(OSError, match="Input/output"):
        store.flush()
    assert store.failure is not None


def test_only_the_last_file_may_be_unsynced(tmp_path, monkeypatch):
    """Damage by a power loss is repaired only in the last file.

    All files before it must therefore be synced before a new one is started.
    """
    synced = set()
    real_fsync = os.fsync

    def record_fsync(fd):
        synced.add(os.fstat(fd).st_ino)
        real_fsync(fd)

    monkeypatch.setattr(os, "fsync", record_fsync)
    store = RecordStore(tmp_path, SEGMENT_BYTES)
    append_entries(store, 1, 40)
    store.write_pending()
    files = paths(tmp_path)
    assert len(files) > 3
    assert {path.stat().st_ino for path in files[:-1]} <= synced


def test_times_in_the_record_never_decrease(tmp_path):
    """Otherwise a new leader whose clock is behind hides entries from time searches."""
    store = RecordStore(tmp_path)
    first = store.append(1, make_draft(9))
    second = store.append(2, make_draft(3))
    assert second.wall_ms == first.wall_ms


SEARCHES = [
    (RecordFilter(since_ms=28_000), [28, 29, 30]),
    (RecordFilter(until_ms=2_000), [1, 2]),
    (RecordFilter(since_ms=14_000, until_ms=16_000), [14, 15, 16]),
    (RecordFilter(subjects=("engine/e1",), until_ms=9_999), [1, 5, 9]),
    (RecordFilter(subjects=("engine/e1", "engine/e2"), until_ms=5_000), [1, 2, 5]),
    (RecordFilter(actor="bo", since_ms=24_500), [27, 30]),
    (RecordFilter(kind="engine", since_ms=25_000), [26, 28, 30]),
    (RecordFilter(limit=2), [29, 30]),
    (RecordFilter(subjects=("engine/e9",)), []),
]


def test_find_reports_unread_files(complete_record):
    """A search that read only the newest files must report that it is truncated."""
    files = record_files(complete_record)
    query = RecordFilter(subjects=("engine/e1",))
    all_found, truncated = find_entries(files, query)
    assert (len(all_found), truncated) == (8, False)
    newest_found, truncated = find_entries(files, query, 2)
    assert (newest_found, truncated) == (all_found[-len(newest_found) :], True)
    assert 0 < len(newest_found) < 8


def test_find_ignores_incomplete_writes(tmp_path):
    """A search during a write must not report a half-written line as damage."""
    entries = make_record(tmp_path, 3)
    [file] = record_files(tmp_path)
    size = file.path.stat().st_size
    with open(file.path, "ab") as opened:
        opened.write(b'{"seq":')
    found, _ = find_entries([RecordFile(file.path, size)], RecordFilter())
    assert found == entries


@pytest.mark.parametrize(("query", "expected"), SEARCHES)
def test_find_returns_matching_entries(complete_record, query, expected):
    """Skipping files by their times must not lose entries at the file boundaries."""
    entries, truncated = find_entries(record_files(complete_record), query)
    assert [entry.seq for entry in entries] == expected
    assert truncated == (query.limit == 2)


def test_line_that_is_nested_deeply_is_reported_with_its_place(tmp_path):
    """It raised ``RecursionError``, which the commands on records do not report."""
    make_record(tmp_path, 3)
    path = paths(tmp_path)[0]
    lines = path.read_bytes().splitlines(keepends=True)
    lines[1] = b'{"note":' + b"[" * 5000 + b"]" * 5000 + b"}\n"
    path.write_bytes(b"".join(lines))
    with pytest.raises(RecordError, match="not an entry"):
        find_entries(record_files(tmp_path), RecordFilter())


@pytest.mark.parametrize("name", ["record-old.jsonl", "record-000000000001-copy.jsonl"])
def test_foreign_file_does_not_keep_a_record_from_opening(tmp_path, name):
    """A copy beside the segments was read as one of them."""
    entries = make_record(tmp_path, 3)
    (tmp_path / name).write_bytes(b"foreign\n")
    RecordStore(tmp_path, SEGMENT_BYTES)
    found, _ = find_entries(record_files(tmp_path), RecordFilter())
    assert sorted(e.seq for e in found) == [e.seq for e in entries]
    assert (tmp_path / name).read_bytes() == b"foreign\n"
