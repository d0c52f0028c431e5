"""Deployments and shapes of load for the mix benchmark."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.engine_model import EngineSpec
from wigeonspan.catalog import Policy, PriorityClass
from wigeonspan.common import DomainName
from wigeonspan.routing import PromptPrefix


@dataclass(frozen=True)
class Kind:
    """Kind of request."""

    name: str
    priority: PriorityClass
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    prefix_tokens: int
    prefixes: int

    def work_s(self, spec: EngineSpec) -> float:
        """Return the engine time that one request takes without cache or loss."""
        prompt = self.prompt_tokens / spec.prefill_rate
        return prompt + self.output_tokens / spec.decode_rate


@dataclass(frozen=True)
class Deployment:
    """Fleet and kinds of request: long prompts, short questions, tags."""

    name: str
    domains: tuple[DomainName, ...]
    engines: int
    kinds: tuple[Kind, Kind, Kind]
    policy: Policy
    spec: EngineSpec = field(default_factory=EngineSpec)


IPOH = Deployment(
    name="ipoh",
    domains=tuple(map(DomainName, ("ipoh-utara", "ipoh-selatan", "batu-gajah"))),
    engines=6,
    kinds=(
        Kind("describe", PriorityClass.BATCH, 6_000, 200, 180.0, 600, 12),
        Kind("ask", PriorityClass.DESK, 400, 80, 8.0, 200, 30),
        Kind("tag", PriorityClass.BATCH, 1_500, 8, 120.0, 500, 4),
    ),
    policy=Policy(role_change_price=20.0, minimum_stay_s=120.0),
)

TISZA = Deployment(
    name="tisza",
    domains=tuple(map(DomainName, ("szeged", "kecskemet", "szolnok"))),
    engines=9,
    kinds=(
        Kind("note", PriorityClass.QUOTE, 5_000, 150, 15.0, 500, 40),
        Kind("ask", PriorityClass.DESK, 300, 100, 8.0, 150, 30),
        Kind("sort", PriorityClass.BATCH, 1_200, 10, 120.0, 400, 4),
    ),
    policy=Policy(role_change_price=2.0, minimum_stay_s=60.0),
)

Mix = tuple[float, float, float]
"""Load of each kind as a part of the fleet's ideal capacity."""


@dataclass(frozen=True)
class Shape:
    """Load over time and faults.

    Parameters
    ----------
    mix : callable
        Load at a time in seconds.
    lose_at_s : float or None
        Time at which a quarter of the engines crash for good.
    report_lag_s, report_loss : float
        Age of load reports and the part of them that never arrives.
    """

    name: str
    mix: Callable[[float], Mix]
    lose_at_s: float | None = None
    report_lag_s: float = 0.5
    report_loss: float = 0.0


LONG: Mix = (0.56, 0.10, 0.04)
SHORT: Mix = (0.10, 0.56, 0.04)
EVEN: Mix = (0.33, 0.33, 0.04)


def _scaled(mix: Mix, factor: float) -> Mix:
    return (mix[0] * factor, mix[1] * factor, mix[2] * factor)


def _between(a: Mix, b: Mix, part: float) -> Mix:
    first, second, third = (x + (y - x) * part for x, y in zip(a, b, strict=True))
    return (first, second, third)


def _morning(now: float) -> Mix:
    """Turn from long prompts to short questions within two minutes."""
    return _between(LONG, SHORT, min(1.0, max(0.0, (now - 240.0) / 120.0)))


def _swing(period_s: float) -> Callable[[float], Mix]:
    def mix(now: float) -> Mix:
        part = 0.5 + 0.5 * math.sin(2 * math.pi * now / period_s)
        return _between(LONG, SHORT, part)

    return mix


SHAPES = (
    Shape("steady", lambda now: LONG),
    Shape("morning turn", _morning),
    Shape("swing 120 s", _swing(120.0)),
    Shape("swing 20 s", _swing(20.0)),
    Shape("overload 2x", lambda now: _scaled(EVEN, 2.0)),
    Shape("overload 4x", lambda now: _scaled(EVEN, 4.0)),
    Shape("engines lost", lambda now: _scaled(LONG, 0.9), lose_at_s=200.0),
    Shape("reports late", _morning, report_lag_s=3.0, report_loss=0.3),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load."""

    number: int
    at: float
    kind: Kind
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[PromptPrefix, ...]


def arrivals(
    deployment: Deployment, shape: Shape, duration_s: float, rng: Random
) -> list[Arrival]:
    """Return Poisson arrivals with lengths that vary by half around the mean."""
    made: list[Arrival] = []
    step_s = 0.1
    for index in range(round(duration_s / step_s)):
        now = index * step_s
        loads = shape.mix(now)
        for kind, load in zip(deployment.kinds, loads, strict=True):
            rate = load * deployment.engines / kind.work_s(deployment.spec)
            made += [
                _arrival(len(made) + extra, now, kind, rng)
                for extra in range(_poisson(rate * step_s, rng))
            ]
    return made


def _arrival(number: int, now: float, kind: Kind, rng: Random) -> Arrival:
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
    """Return a Poisson number by Knuth's method; the means here are small."""
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
