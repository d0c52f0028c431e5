"""Tests of the decision whether a response continues a stream."""

import pytest

from wigeonspan.gateway._continuation import may_continue
from wigeonspan.pool import Head


def head(status, media_type):
    return Head(status, [("content-type", media_type)] if media_type else [])


SSE, OTHER = "text/event-stream", "application/x-ndjson"


@pytest.mark.parametrize(
    ("status", "media_type", "first_type", "expected"),
    [
        (200, SSE, SSE, True),
        (200, "Text/Event-Stream ; charset=utf-8", SSE, True),
        (200, SSE, None, True),
        (200, None, None, True),
        (200, OTHER, OTHER, True),
        (200, OTHER, SSE, False),
        (200, "application/json", None, False),
        (200, None, SSE, False),
        (302, SSE, SSE, False),
        (404, None, None, False),
        (409, SSE, SSE, False),
    ],
)
def test_only_a_stream_like_the_first_one_continues_it(
    status, media_type, first_type, expected
):
    """The text of an error stood in the middle of a caller's stream."""
    first_head = head(200, first_type)
    assert may_continue(head(status, media_type), first_head) is expected


def test_event_stream_may_continue_one_without_a_head():
    """A silent engine may not even have sent the head of its stream."""
    assert may_continue(head(200, SSE), None)
    assert not may_continue(head(404, SSE), None)
