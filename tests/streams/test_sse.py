"""Tests of the server-sent events decoder."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from wigeonspan.streams import SseComment, SseDecoder, SseError, SseEvent

FUZZ = settings(derandomize=True, deadline=None, max_examples=800)


def decode(pieces, limit=1 << 20):
    """Feed all pieces to one decoder and return what it decodes."""
    decoder = SseDecoder(limit)
    return [item for piece in pieces for item in decoder.feed(piece)]


def event(data, name="message"):
    return SseEvent(name, data)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"data: a\n\n", [event(b"a")]),
        (b"data:a\r\n\r\n", [event(b"a")]),
        (b"data: a\r\r", [event(b"a")]),
        (b"data:  a\n\n", [event(b" a")]),
        (b"data: a\ndata: b\n\n", [event(b"a\nb")]),
        (b"event: error\ndata: a\n\n", [event(b"a", "error")]),
        (b"data\n\n", [event(b"")]),
        (b"event: error\n\ndata: a\n\n", [event(b"a")]),
        (b": alive\n\ndata: a\n\n", [SseComment(), event(b"a")]),
        (b"\xef\xbb\xbfdata: a\n\n", [event(b"a")]),
        (b"id: 1\nretry: 5\nother: x\ndata: a\n\n", [event(b"a")]),
        (b"data: a\n", []),
        (b"data: a", []),
        (b"", []),
    ],
)
def test_events_are_decoded_in_pieces_of_any_size(data, expected):
    """An event split between two reads must not be lost."""
    assert decode([data]) == expected
    assert decode([data[i : i + 1] for i in range(len(data))]) == expected


LINES = st.lists(
    st.sampled_from(
        [b"data: a", b"data:", b"event: error", b":", b"", b"x", b"data: \xff", b"id:1"]
    ),
    max_size=12,
)


@FUZZ
@given(LINES, st.sampled_from([b"\n", b"\r\n", b"\r"]), st.data())
def test_cuts_between_reads_change_nothing(lines, end, data):
    """A read that ends between CR and LF must not end an event twice."""
    stream = b"".join(line + end for line in lines)
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6).map(sorted))
    pieces = [
        stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)
    ]
    assert decode(pieces) == decode([stream])
    assert decode([stream]) == decode([stream.replace(end, b"\n")])


@FUZZ
@given(st.lists(st.binary(max_size=60), max_size=20))
@example([b"\xef", b"\xbb", b"\xbf", b"data: a\n\n"])
@example([b"\r", b"\n", b"\r\n\r"])
def test_any_input_is_decoded_or_raises_sse_error(pieces):
    """Input from a faulty engine must raise no error other than SseError."""
    try:
        items = decode(pieces, limit=64)
    except SseError:
        return
    assert all(isinstance(item, SseEvent | SseComment) for item in items)
    assert all(len(i.data) <= 64 for i in items if isinstance(i, SseEvent))


@pytest.mark.parametrize(
    "piece", [b"data: aaaaaaaaaa\n", b"x", b"id: aaaaaa\n", b"data\n"]
)
def test_endless_event_is_refused(piece):
    """An event that never ends must not fill the memory of the entry."""
    with pytest.raises(SseError):
        decode([piece] * 1000, limit=500)


def test_comments_do_not_count_towards_the_size_limit():
    """Keep-alive comments must not count towards the size limit of an event."""
    assert len(decode([b": alive\n\n"] * 1000, limit=100)) == 1000
