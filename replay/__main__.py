"""Command line of the replays."""

import fire

from replay._figures import Figures, compute_figures
from replay._fleet import FleetSimulation
from replay._load import read_deployments, read_patterns

DURATION_S = 45.0
"""Seconds of load in a replay; about as long as one run of the users' benchmark."""


def play(deployment: str, pattern: str, load: float = 1.0, seed: int = 1) -> Figures:
    """Play a pattern on a deployment and return the figures.

    Parameters
    ----------
    deployment, pattern : str
        Names in the data files.
    load : float
        Factor on the request rates of the deployment.
    seed : int
        Seed of all random draws.
    """
    fleet_data, pattern_data = read_deployments()[deployment], read_patterns()[pattern]
    simulation = FleetSimulation(fleet_data, pattern_data, seed)
    return compute_figures(simulation.run(load, DURATION_S, seed), fleet_data)


class ReplayCommands:
    """Play load patterns against the placement decisions of the entries."""

    def run(
        self, pattern: str, on: str = "tisza", load: float = 1.0, seed: int = 1
    ) -> str:
        """Play one pattern on a deployment and show the figures by request kind."""
        return show(play(on, pattern, load, seed))

    def loads(self, pattern: str = "steady", on: str = "tisza", seed: int = 1) -> str:
        """Play one pattern on a deployment at 1, 1.5, 2, 3 and 4 times its load."""
        lines = []
        for load in (1.0, 1.5, 2.0, 3.0, 4.0):
            figures = play(on, pattern, load, seed)
            lines.append(
                f"load {load}: credit {figures.credit / DURATION_S:.1f} per second, "
                f"{figures.credit_share:.3f} of the maximum, "
                f"served {figures.served:.3f}"
            )
            lines.extend(f"  {line}" for line in show(figures).splitlines()[1:])
        return "\n".join(lines)

    def patterns(self, on: str = "tisza", seed: int = 1) -> str:
        """Play every pattern at a load factor of 1; show the share of credit earned."""
        names = read_patterns()
        return "\n".join(
            f"{name}: {play(on, name, 1.0, seed).credit_share:.3f}" for name in names
        )


def show(figures: Figures) -> str:
    """Return figures as lines of text."""
    lines = [
        f"share of the credit {figures.credit_share:.3f}, served {figures.served:.3f}"
    ]
    for name, kind in figures.kinds.items():
        lines.append(
            f"{name}: {kind.requests} requests, served {kind.served:.3f}, on time "
            f"{kind.on_time:.3f}, refused {kind.refused:.3f}, "
            f"abandoned {kind.abandoned:.3f}, "
            f"largest served {kind.largest_served:.3f}, on time "
            f"{kind.largest_on_time:.3f}, median first response "
            f"{kind.median_response_s * 1000:.0f} ms, 99th percentile "
            f"{kind.p99_response_s * 1000:.0f} ms"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    fire.Fire(ReplayCommands, name="replay")
