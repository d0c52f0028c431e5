"""Run the routing and planning benchmarks.

Usage: ``python -m bench [mix|decision_cost]``.
"""

import fire

from bench import decision_cost, mix

BENCHMARKS = {"mix": mix.main, "decision_cost": decision_cost.main}


def main(name: str = "all") -> None:
    """Run one benchmark, or all of them, with default settings.

    Parameters
    ----------
    name : str
        ``mix``, ``decision_cost`` or ``all``.
    """
    for benchmark, run in BENCHMARKS.items():
        if name in ("all", benchmark):
            run()


if __name__ == "__main__":
    fire.Fire(main)
