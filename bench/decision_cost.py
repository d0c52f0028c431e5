"""Measure the time of a routing choice and of a plan by fleet size.

``python -m bench.decision_cost`` prints microseconds per choice and milliseconds per
plan at 9, 500 and 4,800 replicas, and the slopes between them.
"""

import time
from random import Random

import fire

from wigeonspan.catalog import Engine, EnginePhase, Policy, PriorityClass, Role
from wigeonspan.common import AttemptId, DomainName, EngineId, ModelName, ServiceName
from wigeonspan.distribution import DemandSample
from wigeonspan.engines import LoadReport
from wigeonspan.planning import PlanInputs, Planner
from wigeonspan.routing import (
    AttemptEnd,
    AttemptResult,
    PromptPrefix,
    Router,
    RouteRequest,
)

FLEETS = ((9, 1, 3), (500, 4, 6), (4_800, 9, 14))
"""Replicas, models and failure domains; the last is the size expected in two years."""

ROLES = (Role.MIXED, Role.PREFILL, Role.DECODE)


def fleet(replicas: int, services: int, domains: int) -> list[Engine]:
    """Return engines spread over services, roles and failure domains."""
    return [
        Engine(
            name=EngineId(f"e{number}"),
            address="127.0.0.1:1",
            domain=DomainName(f"d{number % domains}"),
            service=ServiceName(f"s{number % services}"),
            phase=EnginePhase.SERVING,
            role=ROLES[number // services % 3],
            wanted_role=ROLES[number // services % 3],
            model=ModelName("m"),
            model_version="1",
        )
        for number in range(replicas)
    ]


def choice_us(engines: list[Engine], services: int, rounds: int) -> float:
    """Return microseconds per choice, with load reports and up to 200 open requests."""
    router = Router(Random(1))
    router.update_engines(engines, 0.0)
    router.update_live_entries(8)
    for engine in engines:
        router.record_load(_report(engine), 0.0)
    rng = Random(2)
    requests = [_request(rng, services) for _ in range(rounds)]
    now, spent, running = 0.0, 0.0, []
    for number, request in enumerate(requests):
        now += 0.001
        started = time.perf_counter()
        route = router.choose(request, now)
        spent += time.perf_counter() - started
        assert route is not None
        attempt = AttemptId(str(number))
        router.record_start(attempt, route.engine, request, now)
        running.append(attempt)
        if len(running) > 200:
            router.record_end(running.pop(0), AttemptEnd(AttemptResult.CANCELLED), now)
    return spent / rounds * 1e6


def plan_ms(engines: list[Engine], services: int, rounds: int) -> float:
    """Return milliseconds per plan of all services after 200 demand samples."""
    planner = Planner()
    inputs = PlanInputs(engines, Policy())
    per_service = len(engines) / services
    rng = Random(3)
    now = 0.0
    for _ in range(200):
        now += 5.0
        planner.record_demand(_demand(rng, services, per_service), 5.0, now)
    started = time.perf_counter()
    for _ in range(rounds):
        planner.plan(inputs, now)
    return (time.perf_counter() - started) / rounds * 1e3


def main(choices: int = 5_000, plans: int = 3) -> None:
    """Run the measurements and print the table and the slopes.

    Parameters
    ----------
    choices, plans : int
        Numbers of choices and of plans at each size.
    """
    print("| replicas | models | us per choice | ms per plan |\n|---|---|---|---|")
    points = []
    for replicas, services, domains in FLEETS:
        engines = fleet(replicas, services, domains)
        choice = choice_us(engines, services, choices)
        plan = plan_ms(engines, services, plans)
        points.append((replicas, choice, plan))
        print(f"| {replicas} | {services} | {choice:.0f} | {plan:.1f} |", flush=True)
    first, last = points[1], points[2]
    span = (last[0] - first[0]) / 1_000
    print(f"\nslope from {first[0]} to {last[0]} replicas, per 1,000 replicas:")
    print(f"choice {(last[1] - first[1]) / span:+.1f} us", end=", ")
    print(f"plan {(last[2] - first[2]) / span:+.1f} ms")


def _report(engine: Engine) -> LoadReport:
    return LoadReport(
        engine=engine.name,
        incarnation="i",
        age_s=0.2,
        role=engine.role,
        queued_prefill_tokens=1_000,
        running=10,
        batch_limit=32,
        pieces_total=4_000,
        pieces_free=2_000,
        prefill_tokens_per_s=6_000.0,
        decode_tokens_per_s=300.0,
    )


def _request(rng: Random, services: int) -> RouteRequest:
    return RouteRequest(
        service=ServiceName(f"s{rng.randrange(services)}"),
        model=ModelName("m"),
        model_version="1",
        priority=PriorityClass.DESK,
        prompt_tokens=rng.randrange(100, 3_000),
        output_tokens=100,
        deadline=1e9,
        prefixes=(PromptPrefix(f"p{rng.randrange(50)}", 100),),
    )


def _demand(rng: Random, services: int, engines: float) -> list[DemandSample]:
    arrivals = [round(engines * 5 * rng.uniform(0.8, 1.2)) for _ in range(services)]
    return [
        DemandSample(
            service=ServiceName(f"s{number}"),
            priority=PriorityClass.DESK,
            arrivals=count,
            prompt_tokens=count * 3_000,
            output_tokens=count * 150,
            finished=count,
            late=0,
            refused=0,
        )
        for number, count in enumerate(arrivals)
    ]


if __name__ == "__main__":
    fire.Fire(main)
