"""Deployments, patterns and the requests that follow from them."""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import yaml
from msgspec import Struct

from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import CallKind, Route, WeightedService
from wigeonspan.placing import Prompt, PromptPart

DATA = Path(__file__).parent / "data"

SERVICE = ServiceName("models")

SESSIONS = 40
"""Usual number of sessions of a kind."""

TEMPLATE_SHARE = 0.25
"""Usual share of the shared tokens that all requests of a kind have in common."""

SIZE_SIGMA = 0.4
"""Usual spread of the own tokens; the largest prompts of the first deployments are
about twice the mean."""


class Kind(Struct, frozen=True):
    """Kind of request; ``worth`` and ``late`` are credits of one request.

    Parameters
    ----------
    sessions : int
        Sessions; each shares a part of the prompt among its requests.
    template_share : float
        Share of the shared tokens that all requests have in common.
    sigma : float
        Spread of the own tokens, as the sigma of a log-normal distribution.
    """

    per_s: float
    shared: int
    own: int
    out: int
    objective_s: float
    pause_s: float
    deadline_s: float
    worth: float
    late: float
    sessions: int = SESSIONS
    template_share: float = TEMPLATE_SHARE
    sigma: float = SIZE_SIGMA


class Deployment(Struct, frozen=True):
    """Fleet and the requests that it gets at single load.

    Parameters
    ----------
    read_tokens_per_ms : float
        Prompt tokens that an engine reads in a millisecond, fitted to the logs of days
        of the users' bench; the sheets name slightly more.
    read_fixed_ms : float
        Engine time that reading any prompt takes.
    read_latency_ms : float
        Time after which a prompt that was read counts as read; the engine does other
        work meanwhile.
    """

    entries: int
    engines: int
    domains: int
    slots: int
    memory_tokens: float
    step_ms: float
    read_tokens_per_ms: float
    switch_s: float
    kinds: dict[str, Kind]
    read_fixed_ms: float = 17.0
    read_latency_ms: float = 0.0

    def route(self, name: str) -> Route:
        """Return the route of a kind."""
        kind = self.kinds[name]
        services = (WeightedService(SERVICE, 1.0),)
        return Route(
            name,
            "h",
            f"/{name}/",
            CallKind.STREAM,
            services,
            kind.deadline_s,
            kind.objective_s,
            kind.pause_s,
            max_attempts=2,
            resumable=True,
        )


class Burst(Struct, frozen=True):
    """Time in which a kind, or every kind, comes more or less often."""

    at: float
    for_s: float
    times: float
    kind: int | None = None


class EngineFault(Struct, frozen=True):
    """Engine that crashes or turns slow for a time."""

    at: float
    engine: int
    what: str
    for_s: float
    times: float = 1.0


class Pattern(Struct, frozen=True):
    """What is special about a day.

    Parameters
    ----------
    impatient : float
        Share of the callers that repeat a refused request at once.
    report_lag_s : float
        Delay of what entries tell each other.
    loss : float
        Share of it that is lost.
    entries : int or None
        Number of entries instead of the deployment's.
    """

    bursts: list[Burst] = []
    faults: list[EngineFault] = []
    impatient: float = 0.0
    report_lag_s: float = 0.01
    loss: float = 0.002
    entries: int | None = None


class Arrival(Struct, frozen=True):
    """One request of a caller."""

    at: float
    number: int
    kind: str
    entry: int
    prompt: Prompt
    impatient: bool


def read_deployments() -> dict[str, Deployment]:
    """Return the deployments by name."""
    return _read("deployments.yaml", dict[str, Deployment])


def read_patterns() -> dict[str, Pattern]:
    """Return the patterns by name."""
    return _read("patterns.yaml", dict[str, Pattern])


def _read(name: str, kind: Any) -> Any:
    return msgspec.convert(yaml.safe_load((DATA / name).read_text()), kind)


def draw_arrivals(
    deployment: Deployment, pattern: Pattern, load: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield requests in the order of time, the same ones for the same seed."""
    rng = random.Random(seed)
    names = list(deployment.kinds)
    entries = pattern.entries or deployment.entries
    now, number = 0.0, 0
    while True:
        rates = [
            kind.per_s * load * _times(pattern, position, now)
            for position, kind in enumerate(deployment.kinds.values())
        ]
        now += rng.expovariate(sum(rates))
        if now >= seconds:
            return
        name = rng.choices(names, rates)[0]
        prompt = _draw_prompt(name, deployment.kinds[name], number, rng)
        entry, impatient = rng.randrange(entries), rng.random() < pattern.impatient
        yield Arrival(now, number, name, entry, prompt, impatient)
        number += 1


def _times(pattern: Pattern, position: int, now: float) -> float:
    times = 1.0
    for burst in pattern.bursts:
        applies = burst.kind is None or burst.kind == position
        if applies and burst.at <= now < burst.at + burst.for_s:
            times *= burst.times
    return times


def _draw_prompt(name: str, kind: Kind, number: int, rng: random.Random) -> Prompt:
    size = rng.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
    # Sessions differ in how often they ask.
    session = int(kind.sessions * rng.random() ** 2)
    template = int(kind.shared * kind.template_share)
    parts = (
        PromptPart(f"{name}-template", template),
        PromptPart(f"{name}-{session}", kind.shared - template),
        PromptPart(f"own-{number}", max(1, int(kind.own * size))),
    )
    out = max(1, int(kind.out * rng.lognormvariate(-0.08, 0.4)))
    return Prompt(parts, sum(part.tokens for part in parts), out)
