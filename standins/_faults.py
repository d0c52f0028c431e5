"""Injected faults of the stand-in engine."""

from enum import Enum

from msgspec import Struct


class OrderCrash(Enum):
    """Point during the execution of an order at which the engine crashes."""

    BEFORE = "before"
    PARTWAY = "partway"
    AFTER = "after"


class EngineFaults(Struct, frozen=True):
    """Body of ``POST /standin/fault``; an empty body clears all faults.

    Parameters
    ----------
    die_after_tokens : int or None
        The engine restarts without a model when a stream has sent this many tokens.
    dead_s : float
        Seconds for which the engine drops all connections after a crash.
    stop_before_end : bool
        Streams end after the last token, without the final chunk that has ``usage``.
    wrong_count : int
        Added to ``usage.completion_tokens``.
    skip_position, repeat_position, garbage_position, cross_position : int or None
        Position whose token a stream omits, sends twice, replaces with invalid JSON,
        or sends with the identifier of another attempt.
    freeze_after_tokens : int or None
        Streams hang, with open connections, after this many tokens.
    silent_s : float
        Seconds for which the sound engine sends nothing and then goes on: at once, or
        when a stream has sent ``silent_after_tokens`` tokens, if that is set.
    silent_after_tokens : int or None
        See ``silent_s``.
    freeze_s : float
        Seconds after which these streams go on; 0 for never.
    frozen : bool
        No request is answered until the fault is cleared.
    refuse_status : int
        Status to refuse completions with; 0 for none.
    request_limit : str
        Value of the limit that the engine names in its answers; empty for none.
    crash_in_order : OrderCrash or None
        Point at which the engine restarts without a model, during the next order.
    streams : int
        Number of completions that stream faults and ``refuse_status`` affect; negative
        for all.
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
    silent_s: float = 0.0
    silent_after_tokens: int | None = None
    freeze_s: float = 0.0
    frozen: bool = False
    refuse_status: int = 0
    request_limit: str = ""
    crash_in_order: OrderCrash | None = None
    streams: int = -1
