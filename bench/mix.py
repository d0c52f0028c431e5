"""Compare goodput and role changes of the decision modules while the load mix shifts.

The routers and admissions of 8 entries and one planner run against the engine model on
a simulated clock. Baselines and an oracle run on the same arrivals. ``python -m
bench.mix`` prints the tables of docs/measurements.md.
"""

from collections.abc import Callable, Iterable
from multiprocessing import Pool
from random import Random
from statistics import mean

import fire

from bench.policies import CONTENDERS
from bench.simulation import RunResult, Simulation
from bench.workload import IPOH, SHAPES, TISZA, LoadShape, ModelDeployment, arrivals

DEPLOYMENTS = {"ipoh": IPOH, "tisza": TISZA}

WIGEONSPAN, GREEDY, ORACLE = "wigeonspan", "greedy", "oracle"

Key = tuple[str, str, str, int]
"""Names of the deployment, load shape and contender, and the seed."""


def run_one(task: tuple[str, str, str, int, float]) -> tuple[Key, RunResult]:
    """Simulate one contender under one load shape with one seed."""
    deployment_name, shape_name, contender_name, seed, duration_s = task
    deployment = DEPLOYMENTS[deployment_name]
    shape = next(s for s in SHAPES if s.name == shape_name)
    contender = next(c for c in CONTENDERS if c.name == contender_name)
    load = arrivals(deployment, shape, duration_s, Random(seed))
    simulation = Simulation(deployment, shape, contender, load, seed)
    return task[:4], simulation.run(duration_s)


def run_all(
    deployments: Iterable[str],
    shapes: Iterable[str],
    seeds: int,
    duration_s: float,
    processes: int,
) -> dict[Key, RunResult]:
    """Simulate every combination and return the results by key."""
    tasks = [
        (deployment, shape, contender.name, seed, duration_s)
        for deployment in deployments
        for shape in shapes
        for contender in CONTENDERS
        for seed in range(1, seeds + 1)
    ]
    with Pool(processes) as pool:
        return dict(pool.imap_unordered(run_one, tasks))


def detail_table(
    results: dict[Key, RunResult],
    deployment: ModelDeployment,
    shapes: list[LoadShape],
    seeds: int,
) -> list[str]:
    """Return a table of request outcomes and role changes, as means over the seeds."""
    names = [kind.name for kind in deployment.kinds]
    head = ["shape", "decisions", "arrived", *(f"{n} on time" for n in names)]
    head += ["late", "refused", "cut", "role changes"]
    lines = _header(head)
    for shape in shapes:
        for contender in CONTENDERS:
            runs = [
                results[deployment.name, shape.name, contender.name, seed]
                for seed in range(1, seeds + 1)
            ]
            row = [shape.name, contender.name]
            row.append(_mean(runs, lambda r: sum(r.arrived.values())))
            row += [_mean(runs, lambda r, n=n: r.on_time[n]) for n in names]
            row.append(_mean(runs, lambda r: sum(r.late.values())))
            row.append(_mean(runs, lambda r: sum(r.refused.values())))
            row.append(_mean(runs, lambda r: sum(r.unfinished.values())))
            row.append(_mean(runs, lambda r: r.role_changes))
            lines.append(_row(row))
    return lines


def ratio_table(
    results: dict[Key, RunResult],
    deployment: ModelDeployment,
    shapes: list[LoadShape],
    seeds: int,
) -> list[str]:
    """Return a table of wigeonspan's goodput and role changes relative to the others.

    Goodput ratios are shown as the mean over the seeds with the range.
    """
    head = ["shape", "of the oracle", "of the best static", "of greedy"]
    head += ["role changes", "of greedy's changes"]
    lines = _header(head)
    statics = [c.name for c in CONTENDERS if c.name.startswith("static")]

    def goodput(shape: LoadShape, contender: str, seed: int) -> float:
        result = results[deployment.name, shape.name, contender, seed]
        return float(sum(result.on_time.values()))

    def changes(shape: LoadShape, contender: str, seed: int) -> int:
        return results[deployment.name, shape.name, contender, seed].role_changes

    all_seeds = range(1, seeds + 1)
    for shape in shapes:
        own_goodput = {seed: goodput(shape, WIGEONSPAN, seed) for seed in all_seeds}
        best_static = {
            seed: max(goodput(shape, c, seed) for c in statics) for seed in all_seeds
        }
        own_changes = [changes(shape, WIGEONSPAN, seed) for seed in all_seeds]
        greedy_changes = [changes(shape, GREEDY, seed) for seed in all_seeds]
        lines.append(
            _row(
                [
                    shape.name,
                    _spread(
                        [own_goodput[s] / goodput(shape, ORACLE, s) for s in all_seeds]
                    ),
                    _spread([own_goodput[s] / best_static[s] for s in all_seeds]),
                    _spread(
                        [own_goodput[s] / goodput(shape, GREEDY, s) for s in all_seeds]
                    ),
                    f"{min(own_changes)} to {max(own_changes)}",
                    f"{sum(own_changes) / max(1, sum(greedy_changes)):.2f}",
                ]
            )
        )
    return lines


def main(
    deployment: str = "",
    shape: str = "",
    seeds: int = 3,
    duration_s: float = 600.0,
    processes: int = 4,
    detail: bool = True,
) -> None:
    """Run the benchmark and print its tables.

    Parameters
    ----------
    deployment, shape : str
        Name of the deployment or load shape to run; all when empty.
    seeds : int
        Number of seeds; they are 1, 2, ...
    duration_s : float
        Length of the load in simulated seconds.
    processes : int
        Number of simulations that run in parallel.
    detail : bool
        Whether to print the table of request outcomes in addition to the ratios.
    """
    names = [n for n in DEPLOYMENTS if deployment in ("", n)]
    shapes = [s for s in SHAPES if shape in ("", s.name)]
    results = run_all(names, [s.name for s in shapes], seeds, duration_s, processes)
    for name in names:
        print(f"\n{name}: goodput and role changes as ratios, mean (least to most)\n")
        print("\n".join(ratio_table(results, DEPLOYMENTS[name], shapes, seeds)))
        if detail:
            print(f"\n{name}: requests, means over {seeds} seeds\n")
            print("\n".join(detail_table(results, DEPLOYMENTS[name], shapes, seeds)))


def _mean(runs: list[RunResult], value: Callable[[RunResult], float]) -> str:
    return f"{mean(value(run) for run in runs):.0f}"


def _spread(values: list[float]) -> str:
    return f"{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def _row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _header(cells: list[str]) -> list[str]:
    return [_row(cells), "|" + "---|" * len(cells)]


if __name__ == "__main__":
    fire.Fire(main)
