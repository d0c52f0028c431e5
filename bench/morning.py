"""Plot goodput and roles over time for one load shift, as docs/morning.png.

Run with ``python -m bench.morning [FILE]``. The load shifts from long prompts to short
questions between 240 s and 360 s.
"""

from random import Random

import fire
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.policies import CONTENDERS  # noqa: E402
from bench.simulation import RunResult, Simulation  # noqa: E402
from bench.workload import SHAPES, TISZA, arrivals  # noqa: E402

PLOTTED = ("wigeonspan", "static, round robin", "greedy", "oracle")

WINDOW_PLANS = 4
"""Number of planning intervals over which goodput is averaged: 4 of 5 s each, 20 s."""


def draw(file: str, seed: int, results: dict[str, RunResult]) -> None:
    """Plot goodput of all contenders, and the engine roles of wigeonspan."""
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for name, result in results.items():
        above.plot(*_goodput(result), label=name, linewidth=1.4)
    above.set_ylabel("useful answers per second\n(arrived after 60 s)")
    above.legend(loc="upper left", fontsize=8)
    timeline = results[PLOTTED[0]].timeline
    times = [now for now, _, _ in timeline]
    rows = [[counts[role] for _, _, counts in timeline] for role in range(3)]
    below.stackplot(times, rows, labels=("prefill", "decode", "mixed"), step="post")
    below.set_ylabel("engines in service, wigeonspan")
    below.set_xlabel("seconds")
    below.legend(loc="lower left", fontsize=8)
    figure.suptitle(f"tisza, morning turn, seed {seed}", fontsize=10)
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main(
    file: str = "docs/morning.png", seed: int = 1, duration_s: float = 600.0
) -> None:
    """Simulate the "morning turn" load shape and plot the results.

    Parameters
    ----------
    file : str
        Image file to write.
    seed : int
        Seed of the load and of the simulation.
    duration_s : float
        Length of the load in simulated seconds.
    """
    shape = next(s for s in SHAPES if s.name == "morning turn")
    load = arrivals(TISZA, shape, duration_s, Random(seed))
    results = {
        contender.name: Simulation(TISZA, shape, contender, load, seed).run(duration_s)
        for contender in CONTENDERS
        if contender.name in PLOTTED
    }
    draw(file, seed, results)


def _goodput(result: RunResult) -> tuple[list[float], list[float]]:
    timeline = result.timeline
    times, rates = [], []
    for (start, before, _), (end, after, _) in zip(
        timeline, timeline[WINDOW_PLANS:], strict=False
    ):
        times.append(end)
        rates.append((after - before) / (end - start))
    return times, rates


if __name__ == "__main__":
    fire.Fire(main)
