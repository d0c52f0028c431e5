"""Tests of splitting a stream into events and of positions in a stream."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspan.gateway._events import (
    MAX_EVENT_BYTES,
    EventDeduplicator,
    EventGap,
    EventSplitter,
    EventTooLarge,
    StreamEvent,
    StreamPosition,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions: 3\nid: 3\ndata: c\n\n"


def test_only_complete_events_are_returned():
    """When a target stops in the middle of an event, another one sends it again."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == []
    assert splitter.feed(b"ta: a\n\nid: 2") == [StreamEvent(b"id: 1\ndata: a\n\n", "1")]
    assert splitter.remainder == b"id: 2"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_packet_boundaries(cuts):
    """A packet may end anywhere in a stream."""
    splitter, events, start = EventSplitter(), [], 0
    for cut in sorted([*cuts, len(STREAM)]):
        events += splitter.feed(STREAM[start:cut])
        start = cut
    assert b"".join(event.data for event in events) == STREAM
    assert [event.event_id for event in events] == ["1", "2", "3"]


def test_windows_line_ends_separate_events_too():
    """The format allows both kinds of line ends."""
    events = EventSplitter().feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n")
    assert [event.event_id for event in events] == ["1", "2"]


@pytest.mark.parametrize(
    ("ids", "passed"),
    [
        (["1", "2", "3"], [True, True, True]),
        (["1", "1", "2"], [True, False, True]),
        (["9", "10", "9"], [True, True, False]),
        ([None, "1", None], [True, True, True]),
    ],
)
def test_caller_gets_no_event_twice(ids, passed):
    """An engine that resumes a stream may repeat events that the caller has."""
    position = StreamPosition()
    assert [position.advance(StreamEvent(b"", i)) for i in ids] == passed


@pytest.mark.parametrize("part", [b"data: a\n", b"x", b": ping\n"])
def test_endless_event_is_refused(part):
    """A faulty engine that sends bytes without end must not fill the memory."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLarge):
        for _ in range(2 * MAX_EVENT_BYTES):
            splitter.feed(part)


@pytest.mark.parametrize(
    ("event", "has_data"),
    [
        (b"data: a\n\n", True),
        (b"id: 1\ndata\n\n", True),
        (b": ping\n\n", False),
        (b"\n\n", False),
        (b"id: 1\n\n", False),
    ],
)
def test_comments_carry_no_data(event, has_data):
    """Comments keep a connection alive but do not count as progress."""
    assert [e.has_data for e in EventSplitter().feed(event)] == [has_data]


def feed(data, *, last, continues=True):
    """Return what an engine's stream adds to that of a caller who has some events."""
    position = StreamPosition()
    position.advance(StreamEvent(b"", last))
    events = EventDeduplicator(position, continues=continues)
    return b"".join(events.feed(data)), events


@pytest.mark.parametrize(
    ("data", "passed", "has_new_event"),
    [
        (b"data: error\n\n", b"", False),
        (b": ping\n\n", b"", False),
        (b"id: 4\ndata: d\n\n", b"", False),
        (b"id: 5\ndata: e\n\n", b"id: 5\ndata: e\n\n", True),
        (b"id: 5\ndata: e\n\ndata: x\n\n", b"id: 5\ndata: e\n\ndata: x\n\n", True),
        (b": a\n\nid: 5\ndata: e\n\n", b": a\n\nid: 5\ndata: e\n\n", True),
    ],
)
def test_continuation_begins_with_a_new_event(data, passed, has_new_event):
    """An error that was sent as an event stood in the middle of a caller's stream."""
    new_data, events = feed(data, last="4")
    assert (new_data, events.has_new_event) == (passed, has_new_event)


def test_events_without_ids_are_passed_on_in_order():
    """Streams without any ids have no other order than that of their arrival."""
    data = b"data: a\n\ndata: b\n\n"
    assert feed(data, last=None)[0] == data
    assert feed(data, last="4", continues=False)[0] == data


@pytest.mark.parametrize(
    ("last", "reached"), [(None, False), ("3", False), ("4", True), ("x", False)]
)
def test_end_of_a_stream_is_known_from_its_number_of_events(last, reached):
    """A continuation without an event ended a stream of which a part was missing."""
    position = StreamPosition()
    position.advance(StreamEvent(b"", last))
    assert position.has_reached(4) is reached


@pytest.mark.parametrize("first_id", ["6", "9", "x"])
def test_continuation_that_skips_events_is_refused(first_id):
    """A caller's stream had a gap, although its end looked complete."""
    position = StreamPosition()
    for number in range(1, 5):
        position.advance(StreamEvent(b"", str(number)))
    events = EventDeduplicator(position, continues=True)
    with pytest.raises(EventGap):
        list(events.feed(b"id: 4\ndata: d\n\nid: %s\ndata: x\n\n" % first_id.encode()))
    # Another engine goes on where the caller is.
    assert position.last == "4"


@pytest.mark.parametrize("ids", [["2"], ["1", "3"], ["a", "b"]])
def test_ids_that_do_not_count_the_events_show_no_gap(ids):
    """Ids may be any names; a sound continuation must not be refused then."""
    position = StreamPosition()
    for event_id in ids:
        position.advance(StreamEvent(b"", event_id))
    events = EventDeduplicator(position, continues=True)
    data = b"id: 70\ndata: x\n\n"
    assert b"".join(events.feed(data)) == data


@pytest.mark.parametrize("event_id", ["9" * 5000, "²", "-1", "1e5"])
def test_id_that_is_no_usual_number_raises_no_error(event_id):
    """An id of 5,000 digits, or a superscript digit, ended a request with an error."""
    position = StreamPosition()
    events = [StreamEvent(b"", i) for i in ("1", event_id, event_id)]
    assert [position.advance(event) for event in events] == [True, True, False]
    assert not position.has_reached(4)


def are_new(*event_ids):
    """Return whether each of the events is new to a caller of a stream."""
    position = StreamPosition()
    return [position.advance(StreamEvent(b"", event_id)) for event_id in event_ids]


@pytest.mark.parametrize("last", ["7", "9" * 5000, "\xb2", "\u0663"])
@pytest.mark.parametrize(
    "event_id", ["8" * 5001, "\xb2", "\xb9\xb2", "0" * 6000 + "88"]
)
def test_odd_event_id_does_not_end_a_stream(event_id, last):
    """``int`` refuses thousands of digits and characters that ``isdigit`` accepts."""
    assert are_new(last, event_id)[0] is True
    assert are_new(event_id, last)[0] is True


@pytest.mark.parametrize(
    ("last", "event_id", "is_new"),
    [
        ("9", "10", True),
        ("10", "9", False),
        ("10", "010", False),
        ("0", "1", True),
        ("0", "00", False),
        ("9" * 5000, "1" + "0" * 5000, True),
        ("a", "b", True),
        ("a", "a", False),
    ],
)
def test_numbers_of_events_are_compared_by_value(last, event_id, is_new):
    """A longer number is larger, unless it begins with zeros."""
    assert are_new(last, event_id) == [True, is_new]


def test_event_without_data_does_not_move_the_position():
    """An event that was held back and dropped with its stream was missing after it."""
    position = StreamPosition()
    events = EventDeduplicator(position)
    data = b"id: 1\ndata: a\n\nid: 2\n\n"
    assert b"".join(events.feed(data)) == b"id: 1\ndata: a\n\n"
    assert position.last == "1"
