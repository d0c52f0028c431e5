"""Runs the benchmarks of the decisions: ``python -m bench [mix|decision_cost]``."""

import fire

from bench import decision_cost, mix

BENCHMARKS = {"mix": mix.main, "decision_cost": decision_cost.main}


def main(name: str = "all") -> None:
    """Run one benchmark with its usual settings, or all of them.

    Parameters
    ----------
    name : str
        ``mix``, ``decision_cost`` or ``all``.
    """
    for known, run in BENCHMARKS.items():
        if name in ("all", known):
            run()


if __name__ == "__main__":
    fire.Fire(main)
