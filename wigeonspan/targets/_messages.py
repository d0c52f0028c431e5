"""Targets as the fleet's list names them."""

import hashlib
from enum import Enum
from typing import NewType

from msgspec import Struct

from wigeonspan.common import DomainName, ServiceName, encode

TargetId = NewType("TargetId", str)
"""Name of one incarnation of a target."""


class Phase(Enum):
    """Part of a generation that an engine takes."""

    NONE = "none"
    PREFILL = "prefill"
    DECODE = "decode"


class Target(Struct, frozen=True):
    """One target.

    Parameters
    ----------
    leaving : bool
        Whether it gets no new work because it is about to stop.
    phase : Phase
        Part of a generation that it takes; ``NONE`` for plain services.
    born_ms : int
        Wall-clock time of its start in milliseconds; 0 when it is not known.
    """

    target: TargetId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    leaving: bool = False
    phase: Phase = Phase.NONE
    born_ms: int = 0


class Listing(Struct, frozen=True):
    """The whole list as one read returned it."""

    targets: tuple[Target, ...]

    @property
    def digest(self) -> str:
        """Digest by which two equal listings are known."""
        ordered = sorted(self.targets, key=lambda t: t.target)
        return hashlib.blake2s(encode(ordered), digest_size=8).hexdigest()
