"""Fault switches of the stand-in engine."""

from enum import Enum

from msgspec import Struct


class OrderCrash(Enum):
    """Where in an order the engine crashes."""

    BEFORE = "before"
    PARTWAY = "partway"
    AFTER = "after"


class EngineFaults(Struct, frozen=True):
    """Body of ``POST /standin/fault``; an empty body clears all faults.

    Parameters
    ----------
    die_after_tokens : int or None
        The engine restarts empty once a stream has sent this many tokens.
    dead_s : float
        Seconds for which it answers nobody after it died or crashed.
    stop_before_end : bool
        Streams end after the last token, without the chunk with the count.
    wrong_count : int
        Added to ``usage.completion_tokens``.
    skip_position, repeat_position, garbage_position, cross_position : int or None
        Position that a stream leaves out, sends twice, replaces with bytes that are
        not JSON, or sends with another attempt's identifier.
    freeze_after_tokens : int or None
        Streams stop for good, with their connections open, after this many tokens.
    frozen : bool
        No request at all is answered until the fault is cleared.
    refuse_status : int
        Status with which completions are refused; 0 for none.
    crash_in_order : OrderCrash or None
        The engine restarts empty during the next order.
    streams : int
        Number of streams that the stream faults hit; negative for all.
    """

    die_after_tokens: int | None = None
    dead_s: float = 0.0
    stop_before_end: bool = False
    wrong_count: int = 0
    skip_position: int | None = None
    repeat_position: int | None = None
    garbage_position: int | None = None
    cross_position: int | None = None
    freeze_after_tokens: int | None = None
    frozen: bool = False
    refuse_status: int = 0
    crash_in_order: OrderCrash | None = None
    streams: int = -1
