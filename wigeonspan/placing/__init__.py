"""Placement of requests on targets, decided without I/O."""

from wigeonspan.placing._health import HealthBook
from wigeonspan.placing._ledger import Work, WorkKind, WorkLedger
from wigeonspan.placing._messages import (
    Decision,
    Limit,
    Plan,
    Prompt,
    PromptPart,
    Refusal,
)
from wigeonspan.placing._patience import patience_s
from wigeonspan.placing._placer import CALL_MS, DIRECT_SLOWDOWN, Placer
from wigeonspan.placing._prefixes import PrefixBook
from wigeonspan.placing._readings import Reading
from wigeonspan.placing._retries import RetryBudget
from wigeonspan.placing._speed import SpeedBook

__all__ = [
    "CALL_MS",
    "DIRECT_SLOWDOWN",
    "Decision",
    "HealthBook",
    "Limit",
    "Placer",
    "Plan",
    "PrefixBook",
    "Prompt",
    "PromptPart",
    "Reading",
    "Refusal",
    "RetryBudget",
    "SpeedBook",
    "Work",
    "WorkKind",
    "WorkLedger",
    "patience_s",
]
