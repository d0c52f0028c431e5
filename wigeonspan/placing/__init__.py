"""Placement of requests on targets, decided without I/O."""

from wigeonspan.placing._choice import CALL_MS, DIRECT_SLOWDOWN
from wigeonspan.placing._figures import GenerationFigures, TargetFigures
from wigeonspan.placing._health import TargetAvailability
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._lending import MAX_WANTED, RetryLending
from wigeonspan.placing._messages import (
    Decision,
    Limit,
    Plan,
    Prompt,
    PromptPart,
    Refusal,
)
from wigeonspan.placing._patience import abandon_after_s
from wigeonspan.placing._placer import Placer
from wigeonspan.placing._prefixes import CachedPrefixes
from wigeonspan.placing._priority import (
    PriorityBand,
    priority_band,
    stream_priorities,
)
from wigeonspan.placing._readings import PrefillSteps
from wigeonspan.placing._retries import RetryBudget, SpentRetry
from wigeonspan.placing._speed import SlowdownFactors
from wigeonspan.placing._work_queue import Work, WorkKind

__all__ = [
    "CALL_MS",
    "DIRECT_SLOWDOWN",
    "CachedPrefixes",
    "Decision",
    "MAX_WANTED",
    "GenerationFigures",
    "Limit",
    "Placer",
    "Plan",
    "PrefillSteps",
    "PriorityBand",
    "Prompt",
    "PromptPart",
    "Refusal",
    "RetryBudget",
    "RetryLending",
    "SlowdownFactors",
    "SpentRetry",
    "TargetAvailability",
    "TargetFigures",
    "Work",
    "WorkKind",
    "WorkLedger",
    "abandon_after_s",
    "priority_band",
    "stream_priorities",
]
