"""Decide whether a response continues the stream of an earlier one, without I/O."""

from wigeonspan.pool import Head

EVENT_STREAM = "text/event-stream"


def may_continue(head: Head, first_head: Head | None) -> bool:
    """Return whether a response may continue a stream.

    Parameters
    ----------
    head : Head
        Head of a response without an error.
    first_head : Head or None
        Head with which the stream began; None when it is not known yet.
    """
    if not 200 <= head.status < 300:
        return False
    first_type = None if first_head is None else _media_type(first_head)
    return _media_type(head) in (EVENT_STREAM, first_type)


def _media_type(head: Head) -> str | None:
    """Return the media type of a response without its parameters."""
    content_type = head.get("Content-Type")
    return content_type and content_type.partition(";")[0].strip().lower()
