"""Files in the data folder that others left, or whose content cannot be decoded."""

import pytest

from tests.consensus.test_store import (
    STATE,
    entries,
    persist,
    reopened,
    snapshot,
    store_with_entries,
)
from wigeonspan.consensus import StorageCorrupt, encode_frame
from wigeonspan.consensus._log_file import TAIL_BYTES, TAIL_FILE
from wigeonspan.consensus._store import SLOT_BYTES, VOTER_FILE

DEEP = b"\x91" * 400 + b"\xc0"


@pytest.mark.parametrize(
    "name",
    [
        "log-old",
        "log-",
        "log-0000000000000001.bak",
        "log-\u0663",
        "log--5",
        "log-9999999999999999999999",
        "snapshot-old",
        "snapshot-9999999999999999.bak",
        "snapshot-",
        "notes.txt",
    ],
)
def test_foreign_file_does_not_keep_a_voter_from_starting(name):
    """The number of a copy was not a number, or it was taken for the newest file."""
    disk, store = store_with_entries()
    store.save([persist(state=STATE, snapshot=snapshot(4))])
    disk.create(name, b"foreign")
    store, stored = reopened(disk)
    assert stored.state == STATE
    assert [e.index for e in stored.entries] == [5, 6, 7, 8]
    assert stored.snapshot.index == 4
    store.save([persist(*entries(9, 9))])
    assert disk.read(name) == b"foreign"


@pytest.mark.parametrize("payload", [b"x", DEEP, b"\x92\xa1\xff\x01", b"\x92\x01\xc0"])
def test_tail_that_cannot_be_decoded_is_not_known(payload):
    """The tail file is optional, so its content must not keep a voter from starting."""
    disk, _ = store_with_entries()
    disk.create(TAIL_FILE, encode_frame(payload).ljust(TAIL_BYTES, b"\0"))
    assert [e.index for e in reopened(disk)[1].entries] == list(range(1, 9))


@pytest.mark.parametrize("payload", [b"x", DEEP, b"\x81\xa1\xff\x01", b"\x80"])
def test_voter_file_that_cannot_be_decoded_is_reported_with_its_name(payload):
    """An operator got an error without the name of the file."""
    disk, _ = store_with_entries()
    disk.create(VOTER_FILE, encode_frame(payload).ljust(SLOT_BYTES, b"\0") * 2)
    with pytest.raises(StorageCorrupt, match=VOTER_FILE):
        reopened(disk)


@pytest.mark.parametrize(
    "payload", [b"\x91\x81\xa1z" + b"\x91" * 50_000 + b"\xc0", b"\x91\xa1\xff"]
)
def test_frame_that_cannot_be_decoded_is_reported_with_its_file(payload):
    """Deep nesting raised ``RecursionError``, which the start does not report."""
    disk, _ = store_with_entries()
    name = next(n for n in disk.names() if n.startswith("log-"))
    disk.append(name, encode_frame(payload))
    with pytest.raises(StorageCorrupt, match=name):
        reopened(disk)
