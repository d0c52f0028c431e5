"""Targets as described in the fleet's list."""

import hashlib
from enum import Enum
from typing import NewType

from msgspec import Struct

from wigeonspan.common import DomainName, ServiceName, encode

TargetId = NewType("TargetId", str)
"""Identifier of a target. A restarted target may keep it and then differs in
``Target.born_ms``."""


class Phase(Enum):
    """Part of a generation that an engine does."""

    NONE = "none"
    PREFILL = "prefill"
    DECODE = "decode"

    # State is keyed by phase, and Enum computes the hash of a member in Python.
    __hash__ = object.__hash__


class Target(Struct, frozen=True, omit_defaults=True):
    """A target and its properties.

    Parameters
    ----------
    leaving : bool
        Whether it is about to stop and must not get new work.
    phase : Phase
        Part of a generation that it does; ``NONE`` for plain services.
    born_ms : int
        Wall-clock time of its start in milliseconds; 0 if unknown.
    reclaimable : bool
        Whether the platform may take it away at any time, with short notice.
    """

    target: TargetId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    leaving: bool = False
    phase: Phase = Phase.NONE
    born_ms: int = 0
    reclaimable: bool = False


class Listing(Struct, frozen=True):
    """The complete list as returned by one read."""

    targets: tuple[Target, ...]

    @property
    def digest(self) -> str:
        """Digest of the targets; it does not depend on their order."""
        ordered = sorted(self.targets, key=lambda t: t.target)
        return hashlib.blake2s(encode(ordered), digest_size=8).hexdigest()
