"""Draws one morning: goodput and roles over time, as docs/morning.png.

``python -m bench.morning [FILE]``. The load turns from long prompts to short questions
between 240 s and 360 s.
"""

from random import Random

import fire
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.policies import CONTENDERS  # noqa: E402
from bench.simulation import Result, Simulation  # noqa: E402
from bench.workload import SHAPES, TISZA, arrivals  # noqa: E402

SHOWN = ("wigeonspan", "static, round robin", "greedy", "oracle")

WINDOW = 4
"""Plans over which goodput is averaged: 20 s."""


def draw(file: str, seed: int, results: dict[str, Result]) -> None:
    """Draw goodput of all contenders, and the roles that ours gave the engines."""
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for name, result in results.items():
        above.plot(*_goodput(result), label=name, linewidth=1.4)
    above.set_ylabel("useful answers per second\n(arrived after 60 s)")
    above.legend(loc="upper left", fontsize=8)
    timeline = results[SHOWN[0]].timeline
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
    """Run the morning turn and draw it.

    Parameters
    ----------
    file : str
        Picture to write.
    seed : int
        Seed of the load and the decisions.
    duration_s : float
        Length of the load in seconds of the model.
    """
    shape = next(s for s in SHAPES if s.name == "morning turn")
    load = arrivals(TISZA, shape, duration_s, Random(seed))
    results = {
        contender.name: Simulation(TISZA, shape, contender, load, seed).run(duration_s)
        for contender in CONTENDERS
        if contender.name in SHOWN
    }
    draw(file, seed, results)


def _goodput(result: Result) -> tuple[list[float], list[float]]:
    timeline = result.timeline
    times, rates = [], []
    for (start, before, _), (end, after, _) in zip(
        timeline, timeline[WINDOW:], strict=False
    ):
        times.append(end)
        rates.append((after - before) / (end - start))
    return times, rates


if __name__ == "__main__":
    fire.Fire(main)
