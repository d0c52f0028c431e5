"""Parts of prompts that crash the engines that write answers on them."""

from wigeonspan.quarantine._core import PromptQuarantine
from wigeonspan.quarantine._memory import VerdictMemory
from wigeonspan.quarantine._messages import (
    PartQuarantined,
    PartsCleared,
    QuarantineMessage,
    StreamCrashed,
    TargetAlive,
    Verdict,
)

__all__ = [
    "PartQuarantined",
    "PartsCleared",
    "PromptQuarantine",
    "QuarantineMessage",
    "StreamCrashed",
    "TargetAlive",
    "Verdict",
    "VerdictMemory",
]
