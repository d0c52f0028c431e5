"""Deployments, load patterns and the requests drawn from them."""

import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import yaml
from msgspec import Struct, structs

from wigeonspan.common import ServiceName, TenantName
from wigeonspan.fleetconfig import CallKind, Route, WeightedService
from wigeonspan.placing import Prompt, PromptPart

DATA_DIR = Path(__file__).parent / "data"

SERVICE = ServiceName("models")

DEFAULT_SESSIONS = 40
"""Default number of sessions of a request kind."""

DEFAULT_TEMPLATE_SHARE = 0.25
"""Default share of the shared tokens that all requests of a kind have in common."""

DEFAULT_SIGMA = 0.4
"""Default sigma of a request's own tokens; with it, the largest prompts are about twice
the mean, as in the first deployments."""


class RequestKind(Struct, frozen=True):
    """Kind of request.

    Parameters
    ----------
    per_s : float
        Requests per second at a load factor of 1.
    shared : int
        Prompt tokens that requests share with others of their session or kind.
    own : int
        Mean number of prompt tokens that only the request itself has.
    out : int
        Mean number of output tokens.
    objective_s : float
        Objective for the time to the first event.
    pause_s : float
        Objective for the longest pause between events.
    deadline_s : float
        Time limit of a request, including its retries.
    worth : float
        Credit of one request that is on time.
    late : float
        Credit of one request that is late.
    sessions : int
        Number of sessions; requests of a session share a part of the prompt.
    template_share : float
        Share of the shared tokens that all requests have in common.
    sigma : float
        Spread of the own tokens, as the sigma of a log-normal distribution.
    priority : int
        Priority level of the route; 0 is the most urgent.
    max_own : int or None
        Largest number of own tokens; None when they are not limited.
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
    sessions: int = DEFAULT_SESSIONS
    template_share: float = DEFAULT_TEMPLATE_SHARE
    sigma: float = DEFAULT_SIGMA
    priority: int = 0
    max_own: int | None = None


class Deployment(Struct, frozen=True):
    """Fleet and the requests that it gets at a load factor of 1.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    slots : int
        Maximum number of concurrent streams of an engine.
    memory_tokens : float
        Memory of an engine, in tokens.
    step_ms : float
        Time of a decode step on an engine without load.
    read_tokens_per_ms : float
        Prefill rate of an engine in tokens per millisecond, taken from logs of the
        users' benchmark; the users' data sheets give slightly higher rates.
    switch_s : float
        Time for which a change of phase takes an idle engine out of service.
    read_fixed_ms : float
        Part of the prefill time that doesn't depend on the prompt.
    read_latency_ms : float
        Time from the end of a prefill until it is reported as complete; the engine
        does other work meanwhile.
    full_batch_step_factor : float
        Factor on the time of a decode step when all slots are taken.
    shares_memory : bool
        Whether running streams and cached parts share the memory of an engine.
    """

    entries: int
    engines: int
    domains: int
    slots: int
    memory_tokens: float
    step_ms: float
    read_tokens_per_ms: float
    switch_s: float
    kinds: dict[str, RequestKind]
    read_fixed_ms: float = 17.0
    read_latency_ms: float = 0.0
    full_batch_step_factor: float = 2.0
    shares_memory: bool = False

    def scaled(self, pattern: "Pattern") -> "Deployment":
        """Return the deployment at the size of a pattern, with the same engine load.

        A smaller fleet gets fewer requests and sessions, in proportion to its engines.
        """
        engines = pattern.engines or self.engines
        share = engines / self.engines
        kinds = {
            name: structs.replace(
                kind,
                per_s=kind.per_s * share,
                sessions=max(1, round(kind.sessions * share)),
            )
            for name, kind in self.kinds.items()
        }
        entries = pattern.entries or self.entries
        return structs.replace(self, entries=entries, engines=engines, kinds=kinds)

    def route(self, name: str) -> Route:
        """Return the route of a request kind."""
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
            kind.priority,
            max_attempts=2,
            resumable=True,
        )


class Burst(Struct, frozen=True):
    """Period in which requests are more or less frequent than usual.

    Parameters
    ----------
    at, for_s : float
        Start and duration in seconds.
    times : float
        Factor on the request rate.
    kind : int or None
        Index of the affected request kind; None for all.
    """

    at: float
    for_s: float
    times: float
    kind: int | None = None


class EngineFault(Struct, frozen=True):
    """Crash, silence or slowdown of an engine.

    Parameters
    ----------
    at, for_s : float
        Start and duration in seconds.
    engine : int
        Index of the engine.
    what : str
        ``"crash"``, ``"silence"`` for an engine that stops for a while and then goes
        on, or ``"slow"``.
    times : float
        Factor on the engine's times during a slowdown.
    """

    at: float
    engine: int
    what: str
    for_s: float
    times: float = 1.0


class Culprit(Struct, frozen=True):
    """Part of some prompts under which decode engines crash.

    Parameters
    ----------
    share : float
        Share of the requests that have the part.
    position : int
        Position in the prompt, which is not the last one.
    from_s : float
        Time of the first requests with the part.
    crash_after_s : float
        Seconds from the beginning of the stream to the crash.
    down_s : float
        Seconds until the engine is back.
    """

    part: str
    share: float
    position: int = 1
    from_s: float = 5.0
    crash_after_s: float = 0.1
    down_s: float = 5.0


class Wave(Struct, frozen=True):
    """Rise and fall of the requests in one failure domain.

    Parameters
    ----------
    domain : int
        Index of the failure domain.
    period_s : float
        Time between two maxima.
    phase : float
        Share of a period by which the wave is ahead.
    swing : float
        Largest deviation from the mean rate, as a share of it.
    """

    domain: int
    period_s: float
    phase: float
    swing: float


class TenantLoad(Struct, frozen=True):
    """Tenants, one of which sends most requests of a kind.

    Parameters
    ----------
    others : int
        Number of tenants that share the remaining requests evenly.
    kind : int
        Index of the request kind.
    share : float
        Share of the first tenant, ``t0``, in the requests of the kind.
    """

    others: int
    kind: int
    share: float


class Pattern(Struct, frozen=True):
    """Deviations of a run from the deployment's steady load.

    Parameters
    ----------
    impatient : float
        Share of the callers that repeat a refused request at once.
    report_lag_s : float
        Maximum delay of reports between entries.
    loss : float
        Share of these reports that is lost.
    entries : int or None
        Number of entries instead of the deployment's.
    culprits : list of Culprit
        Parts that replace those of some requests.
    engines : int or None
        Number of engines instead of the deployment's; the load is scaled with it.
    waves : list of Wave
        Waves of the failure domains; without them all entries get the same load.
    tenants : TenantLoad or None
        Tenants of the requests; None when they have none.
    """

    bursts: list[Burst] = []
    faults: list[EngineFault] = []
    impatient: float = 0.0
    report_lag_s: float = 0.01
    loss: float = 0.002
    entries: int | None = None
    culprits: list[Culprit] = []
    engines: int | None = None
    waves: list[Wave] = []
    tenants: TenantLoad | None = None


class Arrival(Struct, frozen=True):
    """One request of a caller.

    Parameters
    ----------
    arrival_s : float
        Time of the arrival in seconds since the start.
    entry : int
        Index of the entry that receives the request.
    impatient : bool
        Whether the caller repeats the request at once when it is refused.
    culprit : Culprit or None
        Part of the prompt under which engines crash.
    tenant : TenantName or None
        Tenant that sends the request.
    """

    arrival_s: float
    number: int
    kind: str
    entry: int
    prompt: Prompt
    impatient: bool
    culprit: Culprit | None = None
    tenant: TenantName | None = None


def read_deployments() -> dict[str, Deployment]:
    """Return the deployments by name."""
    return _read_yaml("deployments.yaml", dict[str, Deployment])


def read_patterns() -> dict[str, Pattern]:
    """Return the patterns by name."""
    return _read_yaml("patterns.yaml", dict[str, Pattern])


def _read_yaml(name: str, expected_type: Any) -> Any:
    return msgspec.convert(yaml.safe_load((DATA_DIR / name).read_text()), expected_type)


def draw_arrivals(
    deployment: Deployment, pattern: Pattern, load: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield requests in order of arrival; the same seed yields the same requests."""
    rng = random.Random(seed)
    # Patterns without culprits or tenants keep their random numbers.
    culprit_rng = random.Random(f"culprits {seed}")
    tenant_rng = random.Random(f"tenants {seed}")
    deployment = deployment.scaled(pattern)
    names = list(deployment.kinds)
    entries = deployment.entries
    now, number = 0.0, 0
    while True:
        weights = _entry_weights(deployment, pattern, now)
        total = load * sum(weights) / entries
        rates = [
            kind.per_s * total * _rate_factor(pattern, kind_index, now)
            for kind_index, kind in enumerate(deployment.kinds.values())
        ]
        now += rng.expovariate(sum(rates))
        if now >= seconds:
            return
        name = rng.choices(names, rates)[0]
        prompt = _draw_prompt(name, deployment.kinds[name], number, rng)
        if pattern.waves:
            entry = rng.choices(range(entries), weights)[0]
        else:
            entry = rng.randrange(entries)
        impatient = rng.random() < pattern.impatient
        culprit = _draw_culprit(pattern, now, culprit_rng)
        if culprit is not None:
            prompt = _insert_culprit(prompt, culprit)
        tenant = _draw_tenant(pattern.tenants, names.index(name), tenant_rng)
        yield Arrival(now, number, name, entry, prompt, impatient, culprit, tenant)
        number += 1


def _rate_factor(pattern: Pattern, kind_index: int, now: float) -> float:
    factor = 1.0
    for burst in pattern.bursts:
        applies = burst.kind is None or burst.kind == kind_index
        if applies and burst.at <= now < burst.at + burst.for_s:
            factor *= burst.times
    return factor


def _entry_weights(deployment: Deployment, pattern: Pattern, now: float) -> list[float]:
    """Return the load of each entry, relative to its mean."""
    factors = [1.0] * deployment.domains
    for wave in pattern.waves:
        angle = 2.0 * math.pi * (now / wave.period_s + wave.phase)
        factors[wave.domain % deployment.domains] *= 1.0 + wave.swing * math.sin(angle)
    return [factors[n % deployment.domains] for n in range(deployment.entries)]


def _draw_tenant(
    load: TenantLoad | None, kind_index: int, rng: random.Random
) -> TenantName | None:
    if load is None:
        return None
    if kind_index == load.kind and rng.random() < load.share:
        return TenantName("t0")
    return TenantName(f"t{1 + rng.randrange(load.others)}")


def _draw_culprit(pattern: Pattern, now: float, rng: random.Random) -> Culprit | None:
    """Return the culprit of a request; usually none."""
    for culprit in pattern.culprits:
        if now >= culprit.from_s and rng.random() < culprit.share:
            return culprit
    return None


def _insert_culprit(prompt: Prompt, culprit: Culprit) -> Prompt:
    parts = list(prompt.parts)
    tokens = parts[culprit.position].tokens
    parts[culprit.position] = PromptPart(culprit.part, tokens)
    return structs.replace(prompt, parts=tuple(parts))


def _draw_prompt(
    name: str, kind: RequestKind, number: int, rng: random.Random
) -> Prompt:
    size = rng.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
    # Squaring makes the sessions with low numbers send more requests than the others.
    session = int(kind.sessions * rng.random() ** 2)
    template = int(kind.shared * kind.template_share)
    own = max(1, int(kind.own * size))
    parts = (
        PromptPart(f"{name}-template", template),
        PromptPart(f"{name}-{session}", kind.shared - template),
        PromptPart(f"own-{number}", min(own, kind.max_own or own)),
    )
    output_tokens = max(1, int(kind.out * rng.lognormvariate(-0.08, 0.4)))
    return Prompt(parts, sum(part.tokens for part in parts), output_tokens)
