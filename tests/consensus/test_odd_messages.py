"""Messages between voters with integers that the files of the log cannot hold."""

import msgspec
import pytest

from tests.consensus.one_voter import MEMBERS, START, make_node, message
from tests.consensus.test_store import reopened, store_with_entries
from wigeonspan.common import ErrorKind, WigeonspanError, decode, encode
from wigeonspan.consensus import Entry, HardState, Persist, SnapshotMeta
from wigeonspan.consensus._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    MessageBatch,
    SnapshotReply,
    Vote,
    VoteReply,
)

LARGE = [2**63, 2**70, -(2**70), 10**400]


def bodies(number):
    meta = SnapshotMeta(number, 1, MEMBERS, 1)
    return [
        Vote(False, number, 1),
        Vote(False, 1, number),
        Append(number, 1, [], 1, 1),
        Append(1, number, [], 1, 1),
        Append(1, 1, [], number, 1),
        Append(1, 1, [], 1, number),
        Append(1, 1, [Entry(number, 1, b"x")], 1, 1),
        Append(1, 1, [Entry(1, number, b"x")], 1, 1),
        AppendReply(True, number, 1),
        AppendReply(True, 1, number),
        InstallSnapshot(meta, 0, 1, b""),
        InstallSnapshot(msgspec.structs.replace(meta, index=1), number, 1, b""),
        SnapshotReply(number, 1, 1),
        SnapshotReply(1, number, 1),
    ]


@pytest.mark.parametrize("number", LARGE)
def test_message_with_an_integer_out_of_range_is_refused(number):
    """A voter that took such a term could not write its state, and stopped."""
    messages = [message(body) for body in bodies(number)]
    messages.append(message(VoteReply(False, True), term=number))
    for each in messages:
        with pytest.raises(WigeonspanError) as caught:
            decode(encode(MessageBatch([each])), MessageBatch)
        assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_state_after_the_largest_term_is_read_back():
    """The next election counts on from the term of the message."""
    batch: MessageBatch = decode(
        encode(MessageBatch([message(Vote(False, 1, 1), term=2**62)])), MessageBatch
    )
    ready = make_node().handle(batch.messages[0], START + 10.0)
    assert ready.persist.state.term == 2**62
    state = HardState("group", 2**62 + 1, "a")
    disk, store = store_with_entries()
    store.save([Persist(1, state, None, [Entry(9, state.term, b"x")])])
    stored = reopened(disk)[1]
    assert (stored.state, stored.entries[-1].term) == (state, state.term)
