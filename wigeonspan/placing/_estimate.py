"""Estimate of the times that a request takes at an engine."""

import random

from wigeonspan.common import DomainName
from wigeonspan.placing._latency import PrefillLatency
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._messages import Plan, Prompt
from wigeonspan.placing._prefixes import CachedPrefixes
from wigeonspan.placing._readings import PrefillSteps, plan_prefill_steps
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._transfer import domain_crossing_ms, transfer_ms
from wigeonspan.targets import Target, TargetId

HANDOFF_MS = 40.0
"""Initial estimate in milliseconds of the time from the end of the prefill to the first
event at the decode engine."""

HANDOFF_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the handoff time."""

CROSS_DOMAIN_MS = 4.0
"""Delay in milliseconds that a target in another failure domain counts as: an
additional round trip of a request, or a transfer at half the speed. Transfers whose
time is known and longer count with that."""

CROSS_DOMAIN_KB_MS = 1.0
"""Delay in milliseconds that each kilobyte sent to another failure domain counts as.
Links between domains are shared and expensive, and the body of a long prompt is sent
to two engines."""


class EngineEstimate:
    """Estimate times from the work at engines, their caches and their speeds.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    """

    def __init__(
        self,
        domain: DomainName,
        rng: random.Random,
        ledger: WorkLedger,
        prefixes: CachedPrefixes,
        slots: SlotForecast,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._ledger = ledger
        self._prefixes = prefixes
        self._slots = slots
        self._handoff_ms = HANDOFF_MS
        self._copy_us = 0.0
        self._latency = PrefillLatency()

    @property
    def handoff_ms(self) -> float:
        """Mean milliseconds from the end of a prefill to the first decode event."""
        return self._handoff_ms

    @property
    def latency_ms(self) -> float:
        """Estimated milliseconds of a prefill request beyond the engine time."""
        return self._latency.ms

    def record_prefill(self, plan: Plan, took_ms: float) -> None:
        """Record the time from sending a prompt to an engine to its answer.

        Only prompts without an expected wait are samples of the prefill latency.
        """
        if plan.wait_ms <= 0.0:
            self._latency.observe(took_ms - plan.cost_ms)
            self._ledger.set_prefill_latency(self._latency.ms)

    def record_handoff(self, actual_ms: float) -> None:
        """Record the time from the end of a prefill to the first decode event."""
        self._handoff_ms += HANDOFF_WEIGHT * (actual_ms - self._handoff_ms)

    def set_copy_time(self, copy_us: float) -> None:
        """Set the copy time of a token in microseconds; 0 when engines cannot copy."""
        self._copy_us = copy_us

    def spent_ms(self, costs: dict[TargetId, float], elapsed_s: float) -> float:
        """Return the time until the first event of a request that does not wait.

        Parameters
        ----------
        costs : dict
            Copy and prefill time in milliseconds by engine.
        elapsed_s : float
            Seconds since the request arrived.
        """
        cost_ms = min(costs.values(), default=0.0)
        return elapsed_s * 1000.0 + cost_ms + self._latency.ms + self._handoff_ms

    def prefill_steps(
        self,
        prefill_engines: list[Target],
        decode_engines: list[Target],
        prompt: Prompt,
    ) -> dict[TargetId, PrefillSteps]:
        engines, prefixes, parts = (
            [*prefill_engines, *decode_engines],
            self._prefixes,
            prompt.parts,
        )
        cached = {t.target: prefixes.cached_tokens(t.target, parts) for t in engines}
        ready = {t.target: prefixes.ready_tokens(t.target, parts) for t in engines}
        total = prompt.total_tokens
        return plan_prefill_steps(
            engines, cached, ready, engines, total, self._copy_us, self._rng
        )

    def cost_ms(
        self, target: Target, steps: PrefillSteps, prompt: Prompt, now: float
    ) -> float:
        """Return the copy and prefill time in milliseconds at an idle engine."""
        slowness = self._ledger.slowness(target.target, now)
        return steps.copy_ms + steps.work_ms(prompt.total_tokens) * slowness

    def slot_wait_ms(
        self,
        prefill_engines: list[Target],
        decode_engines: list[Target],
        urgency: int,
    ) -> float:
        """Return the milliseconds until a decode engine has a slot for a new stream.

        The prompts that are in prefill need their slots first. Less urgent streams
        without a slot wait behind the new one.
        """
        return self._slots.wait_ms(
            sum(t.slots for t in decode_engines),
            self._ledger.open_streams(*(t.target for t in decode_engines)),
            urgency,
            self._ledger.expected_streams(*(t.target for t in prefill_engines)),
        )

    def first_event_ms(self, prefill_ms: float, slot_wait_ms: float) -> float:
        """Return the time until the first event, which needs the prefill and a slot."""
        return max(prefill_ms + self._latency.ms, slot_wait_ms) + self._handoff_ms

    def transfer_ms(self, source: Target, target: Target, prompt: Prompt) -> float:
        """Return the milliseconds of the transfer of a prompt; 0 when unknown."""
        crosses = source.domain != target.domain
        return transfer_ms(prompt.total_tokens, self._copy_us, crosses_domains=crosses)

    def domain_crossing_ms(self, prompt: Prompt) -> float:
        """Return the delay of a prompt whose decode engine is in another domain."""
        return domain_crossing_ms(prompt.total_tokens, self._copy_us, CROSS_DOMAIN_MS)

    def cross_domain_ms(self, target: Target, prompt: Prompt) -> float:
        """Return the penalty in milliseconds for a target in another failure domain."""
        if target.domain == self._domain:
            return 0.0
        return CROSS_DOMAIN_MS + CROSS_DOMAIN_KB_MS * prompt.body_bytes / 1024.0
