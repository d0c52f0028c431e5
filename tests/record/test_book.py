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


def draft(number):
    return EntryDraft(
        wall_ms=1_000 * number,
        kind=RecordKind.CHANGE if number % 2 else RecordKind.ENGINE,
        actor="ana" if number % 3 else "bo",
        subjects=(f"engine/e{number % 4}",),
        summary=f"change {number} é",
        detail={"b": number, "a": [0.1, None, {"z": True, "c": "ü"}]},
    )


def fill(book, first, last):
    return [book.append(n, draft(n)) for n in range(first, last + 1)]


def make_record(folder, count):
    book = RecordStore(folder, SEGMENT_BYTES)
    entries = fill(book, 1, count)
    book.flush()
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
    """A removed file is detected; removing the last one only with a known hash."""
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
    torn=st.integers(0, 400),
    more=st.integers(0, 10),
)
def test_entries_are_stored_exactly_once_after_a_restart(
    synced, written, snapshot, torn, more
):
    """Entries must not be written twice when commands are applied again at a start."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        book = RecordStore(folder, SEGMENT_BYTES)
        expected = fill(book, 1, synced)
        book.flush()
        size = {path: path.stat().st_size for path in paths(folder)}
        expected += fill(book, synced + 1, synced + written)
        book.write_pending()
        if paths(folder):
            # Only bytes that were not synced can be lost.
            last = paths(folder)[-1]
            keep = max(size.get(last, 0), last.stat().st_size - torn)
            os.truncate(last, keep)
        at = min(snapshot, synced)
        head = expected[at - 1] if at else None
        again = RecordStore(folder, SEGMENT_BYTES)
        if head is not None:
            again.restore(RecordHead(head.seq, head.hash, head.wall_ms))
        total = synced + written + more
        expected[at:] = fill(again, at + 1, total)
        again.flush()
        found, _ = find_entries(record_files(folder), RecordFilter(limit=1_000))
        assert found == expected
        result = verify(folder)
        if total:
            assert (result.entries, result.faults) == (total, [])
        assert again.gap() is None


def test_commands_that_contradict_the_files_are_rejected(tmp_path):
    """A record of another control group must not be continued."""
    make_record(tmp_path, 10)
    other = RecordStore(tmp_path, SEGMENT_BYTES)
    with pytest.raises(RecordError, match="another entry than the log"):
        other.append(7, draft(5))
    with pytest.raises(RecordError, match="another entry than the log"):
        RecordStore(tmp_path).restore(RecordHead(3, "0" * 64, 0))


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    held=st.integers(0, 12),
    snapshot=st.integers(1, 25),
    after=st.integers(0, 8),
    seed=st.integers(0, 99),
)
def test_gap_is_filled_from_another_member(held, snapshot, after, seed):
    """A host whose state came from a snapshot must fetch the entries before it."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        source = RecordStore(Path(name) / "source", SEGMENT_BYTES)
        entries = fill(source, 1, 40)
        source.flush()
        folder = Path(name) / "learner"
        book = RecordStore(folder, SEGMENT_BYTES)
        fill(book, 1, held)
        if rng.random() < 0.5:
            book.flush()
        at = entries[max(held, snapshot) - 1]
        book.restore(RecordHead(at.seq, at.hash, at.wall_ms))
        fill(book, at.seq + 1, at.seq + after)
        for _ in range(200):
            gap = book.gap()
            if gap is None:
                break
            last = min(gap.last, gap.first + rng.randrange(4))
            book.fill(gap, source.chunk(gap.first, last).lines)
            if rng.random() < 0.3:
                fill(book, book.head.seq + 1, book.head.seq + 1)
        assert book.gap() is None
        book.flush()
        again = RecordStore(folder, SEGMENT_BYTES)
        again.restore(book.head)
        assert again.gap() is None
        result = verify(folder)
        assert (result.entries, result.faults) == (book.head.seq, [])


@pytest.mark.parametrize("fault", ["first", "text", "end"])
def test_entries_that_do_not_fit_a_gap_are_rejected(tmp_path, fault):
    """Entries of a modified record must not be accepted from another member."""
    source = RecordStore(tmp_path / "source")
    entries = fill(source, 1, 10)
    source.flush()
    book = RecordStore(tmp_path / "learner")
    at = entries[5]
    book.restore(RecordHead(at.seq, "0" * 64 if fault == "end" else at.hash, 0))
    lines = source.chunk(1, 10).lines
    if fault == "first":
        lines = lines[1:]
    if fault == "text":
        lines[2] = lines[2].replace("change 3", "change 4")
    with pytest.raises(RecordError):
        book.fill(book.gap(), lines)
    assert book.gap().first == 1


def test_full_disk_loses_no_entry(tmp_path, monkeypatch):
    """Entries of committed commands stay in memory until the disk has space again."""
    book = RecordStore(tmp_path, SEGMENT_BYTES)
    fill(book, 1, 5)
    book.flush()
    real = os.pwrite

    def full(fd, data, offset):
        written = real(fd, data[: len(data) // 2], offset)
        if written:
            raise OSError(errno.ENOSPC, "No space left on device")
        return written

    monkeypatch.setattr(os, "pwrite", full)
    fill(book, 6, 300)
    with pytest.raises(OSError, match="No space"):
        book.flush()
    monkeypatch.setattr(os, "pwrite", real)
    assert verify(tmp_path).entries == 5
    book.flush()
    result = verify(tmp_path)
    assert (result.entries, result.faults) == (300, [])


def test_failed_sync_stays_failed(tmp_path, monkeypatch):
    """A later sync must not succeed, because the kernel may have dropped the data."""
    book = RecordStore(tmp_path)
    fill(book, 1, 3)
    real = os.fsync

    def fail(fd):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="Input/output"):
        book.flush()
    monkeypatch.setattr(os, "fsync", real)
    with pytest.raises(OSError, match="Input/output"):
        book.flush()
    assert book.failure is not None


def test_only_the_last_file_may_be_unsynced(tmp_path, monkeypatch):
    """Damage by a power loss is repaired only in the last file.

    All files before it must therefore be synced before a new one is started.
    """
    synced = set()
    real = os.fsync

    def record_fsync(fd):
        synced.add(os.fstat(fd).st_ino)
        real(fd)

    monkeypatch.setattr(os, "fsync", record_fsync)
    book = RecordStore(tmp_path, SEGMENT_BYTES)
    fill(book, 1, 40)
    book.write_pending()
    files = paths(tmp_path)
    assert len(files) > 3
    assert {path.stat().st_ino for path in files[:-1]} <= synced


def test_times_in_the_record_never_decrease(tmp_path):
    """Otherwise a new leader whose clock is behind hides entries from time searches."""
    book = RecordStore(tmp_path)
    first = book.append(1, draft(9))
    second = book.append(2, draft(3))
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
    every, truncated = find_entries(files, query)
    assert (len(every), truncated) == (8, False)
    some, truncated = find_entries(files, query, 2)
    assert (some, truncated) == (every[-len(some) :], True)
    assert 0 < len(some) < 8


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
