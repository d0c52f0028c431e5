"""Deployments, load shapes and arrivals for the mix benchmark."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.engine_model import EngineSpec
from wigeonspan.catalog import Policy, PriorityClass
from wigeonspan.common import DomainName
from wigeonspan.routing import PromptPrefix


@dataclass(frozen=True)
class RequestKind:
    """Kind of request with mean lengths, deadline and shared prompt prefixes."""

    name: str
    priority: PriorityClass
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    prefix_tokens: int
    prefixes: int

    def service_time_s(self, spec: EngineSpec) -> float:
        """Return the engine time of a mean request without cache hits or slowdown."""
        prompt = self.prompt_tokens / spec.prefill_rate
        return prompt + self.output_tokens / spec.decode_rate


@dataclass(frozen=True)
class ModelDeployment:
    """Simulated fleet with three kinds of request: long prompts, questions, tags."""

    name: str
    domains: tuple[DomainName, ...]
    engines: int
    kinds: tuple[RequestKind, RequestKind, RequestKind]
    policy: Policy
    spec: EngineSpec = field(default_factory=EngineSpec)


IPOH = ModelDeployment(
    name="ipoh",
    domains=tuple(map(DomainName, ("ipoh-utara", "ipoh-selatan", "batu-gajah"))),
    engines=6,
    kinds=(
        RequestKind("describe", PriorityClass.BATCH, 6_000, 200, 180.0, 600, 12),
        RequestKind("ask", PriorityClass.DESK, 400, 80, 8.0, 200, 30),
        RequestKind("tag", PriorityClass.BATCH, 1_500, 8, 120.0, 500, 4),
    ),
    policy=Policy(role_change_price=20.0, minimum_stay_s=120.0),
)

TISZA = ModelDeployment(
    name="tisza",
    domains=tuple(map(DomainName, ("szeged", "kecskemet", "szolnok"))),
    engines=9,
    kinds=(
        RequestKind("note", PriorityClass.QUOTE, 5_000, 150, 15.0, 500, 40),
        RequestKind("ask", PriorityClass.DESK, 300, 100, 8.0, 150, 30),
        RequestKind("sort", PriorityClass.BATCH, 1_200, 10, 120.0, 400, 4),
    ),
    policy=Policy(role_change_price=2.0, minimum_stay_s=60.0),
)

Mix = tuple[float, float, float]
"""Load of each request kind as a fraction of the fleet's ideal capacity."""


@dataclass(frozen=True)
class LoadShape:
    """Load over time, with faults.

    Parameters
    ----------
    mix : callable
        Returns the load mix at a time in seconds.
    fail_at_s : float or None
        Time in seconds at which a quarter of the engines fail permanently.
    report_lag_s, report_loss : float
        Age of load reports in seconds, and the fraction of them that is lost.
    """

    name: str
    mix: Callable[[float], Mix]
    fail_at_s: float | None = None
    report_lag_s: float = 0.5
    report_loss: float = 0.0


LONG: Mix = (0.56, 0.10, 0.04)
SHORT: Mix = (0.10, 0.56, 0.04)
EVEN: Mix = (0.33, 0.33, 0.04)


def _scaled(mix: Mix, factor: float) -> Mix:
    return (mix[0] * factor, mix[1] * factor, mix[2] * factor)


def _interpolate(a: Mix, b: Mix, fraction: float) -> Mix:
    first, second, third = (x + (y - x) * fraction for x, y in zip(a, b, strict=True))
    return (first, second, third)


def _morning_shift(now: float) -> Mix:
    """Shift from long prompts to short questions within two minutes."""
    return _interpolate(LONG, SHORT, min(1.0, max(0.0, (now - 240.0) / 120.0)))


def _sine_wave(period_s: float) -> Callable[[float], Mix]:
    def mix(now: float) -> Mix:
        fraction = 0.5 + 0.5 * math.sin(2 * math.pi * now / period_s)
        return _interpolate(LONG, SHORT, fraction)

    return mix


SHAPES = (
    LoadShape("steady", lambda now: LONG),
    LoadShape("morning turn", _morning_shift),
    LoadShape("swing 120 s", _sine_wave(120.0)),
    LoadShape("swing 20 s", _sine_wave(20.0)),
    LoadShape("overload 2x", lambda now: _scaled(EVEN, 2.0)),
    LoadShape("overload 4x", lambda now: _scaled(EVEN, 4.0)),
    LoadShape("engines lost", lambda now: _scaled(LONG, 0.9), fail_at_s=200.0),
    LoadShape("reports late", _morning_shift, report_lag_s=3.0, report_loss=0.3),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Generated request with its arrival time in seconds."""

    number: int
    at: float
    kind: RequestKind
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[PromptPrefix, ...]


def arrivals(
    deployment: ModelDeployment, shape: LoadShape, duration_s: float, rng: Random
) -> list[Arrival]:
    """Return Poisson arrivals; lengths are uniform within 50 % of their means."""
    generated: list[Arrival] = []
    step_s = 0.1
    for index in range(round(duration_s / step_s)):
        now = index * step_s
        loads = shape.mix(now)
        for kind, load in zip(deployment.kinds, loads, strict=True):
            rate = load * deployment.engines / kind.service_time_s(deployment.spec)
            generated += [
                _arrival(len(generated) + extra, now, kind, rng)
                for extra in range(_poisson(rate * step_s, rng))
            ]
    return generated


def _arrival(number: int, now: float, kind: RequestKind, rng: Random) -> Arrival:
    prefix = f"{kind.name}/{rng.randrange(kind.prefixes)}"
    return Arrival(
        number=number,
        at=now,
        kind=kind,
        prompt_tokens=round(kind.prompt_tokens * rng.uniform(0.5, 1.5)),
        output_tokens=max(2, round(kind.output_tokens * rng.uniform(0.5, 1.5))),
        prefixes=(PromptPrefix(prefix, kind.prefix_tokens // 2),),
    )


def _poisson(mean: float, rng: Random) -> int:
    """Return a Poisson sample by Knuth's method, which suits small means."""
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
