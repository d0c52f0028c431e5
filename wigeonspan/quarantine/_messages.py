"""Messages of the quarantine between entries, and its verdict on a request."""

from msgspec import Struct

from wigeonspan.targets import TargetId


class StreamCrashed(Struct, frozen=True, tag="crashed", array_like=True):
    """A target broke off a stream of an entry.

    Parameters
    ----------
    parts : tuple of str
        Keys of the parts of its prompt, in order, when the stream had no event yet;
        empty when it had one. Then the target crashed with no suspect at the entry.
    written : tuple of int
        Indices of the parts on which the entry has recently seen an answer.
    age_s : float
        Seconds from the crash to the sending of this message.
    born_ms : int
        Start of the target as in the list; 0 if unknown.
    sent_s : float
        Seconds from the sending of the request to its break.
    """

    target: TargetId
    parts: tuple[str, ...] = ()
    written: tuple[int, ...] = ()
    age_s: float = 0.0
    born_ms: int = 0
    sent_s: float = 0.0


class TargetAlive(Struct, frozen=True, tag="alive", array_like=True):
    """A target went on with a stream after a break that looked like its crash.

    Parameters
    ----------
    age_s : float
        Seconds from the event of the stream to the sending of this message.
    born_ms : int
        Start of the target as in the list; 0 if unknown.
    sent_s : float
        Seconds from the sending of the request to the event.
    """

    target: TargetId
    age_s: float = 0.0
    born_ms: int = 0
    sent_s: float = 0.0


class PartsCleared(Struct, frozen=True, tag="cleared", array_like=True):
    """Answers were written on parts that had been suspected or quarantined.

    Parameters
    ----------
    age_s : float
        Seconds from the answer to the sending of this message.
    """

    parts: tuple[str, ...]
    age_s: float = 0.0


class PartQuarantined(Struct, frozen=True, tag="quarantined", array_like=True):
    """No request with a part may be sent.

    Parameters
    ----------
    age_s : float
        Seconds from the beginning of the quarantine to the sending of this message.
    trials : int
        Number of requests that were let through to see whether the part still crashes
        engines.
    idle_s : float
        Seconds since the latest known request with the part.
    """

    part: str
    age_s: float
    trials: int = 0
    idle_s: float = 0.0


QuarantineMessage = StreamCrashed | TargetAlive | PartsCleared | PartQuarantined
"""Any message of the quarantine."""


class Verdict(Struct, frozen=True):
    """Decision about a request with a quarantined part.

    Parameters
    ----------
    part : str
        Key of the part.
    retry_after_s : float
        Seconds after which the caller may return.
    trial : bool
        Whether the request may be sent once, as a trial: one send to an engine that
        writes its answer, without a prefill elsewhere and without a repetition.
    publish : tuple of messages
        Messages to publish before the request is sent.
    """

    part: str
    retry_after_s: float
    trial: bool = False
    publish: tuple[QuarantineMessage, ...] = ()
