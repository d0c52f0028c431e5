"""Command line of the replays."""

import fire

from replay._figures import Figures, sum_up
from replay._fleet import Fleet
from replay._load import read_deployments, read_patterns

SECONDS = 45.0
"""Seconds of load in a replay; a day of the users' bench has about as many."""


def play(deployment: str, pattern: str, load: float = 1.0, seed: int = 1) -> Figures:
    """Play a pattern on a deployment."""
    fleet_of, load_of = read_deployments()[deployment], read_patterns()[pattern]
    fleet = Fleet(fleet_of, load_of, seed)
    return sum_up(fleet.run(load, SECONDS, seed), fleet_of)


class ReplayCommands:
    """Plays load patterns against the decisions of the entries."""

    def run(
        self, pattern: str, on: str = "tisza", load: float = 1.0, seed: int = 1
    ) -> str:
        """Play one pattern and show what became of the requests."""
        return show(play(on, pattern, load, seed))

    def loads(self, pattern: str = "steady", on: str = "tisza", seed: int = 1) -> str:
        """Play one pattern at 1, 1.5, 2, 3 and 4 times the load."""
        lines = []
        for load in (1.0, 1.5, 2.0, 3.0, 4.0):
            figures = play(on, pattern, load, seed)
            lines.append(
                f"load {load}: value {figures.value / SECONDS:.1f} a second, "
                f"{figures.share:.3f} of what is owed, served {figures.served:.3f}"
            )
            lines.extend(f"  {line}" for line in show(figures).splitlines()[1:])
        return "\n".join(lines)

    def patterns(self, on: str = "tisza", seed: int = 1) -> str:
        """Play every pattern at single load."""
        names = read_patterns()
        return "\n".join(
            f"{name}: {play(on, name, 1.0, seed).share:.3f}" for name in names
        )


def show(figures: Figures) -> str:
    """Return figures as lines."""
    lines = [f"share of the value {figures.share:.3f}, served {figures.served:.3f}"]
    for name, kind in figures.kinds.items():
        lines.append(
            f"{name}: {kind.asked} asked, served {kind.served:.3f}, on time "
            f"{kind.on_time:.3f}, refused {kind.refused:.3f}, left {kind.left:.3f}, "
            f"largest served {kind.largest_served:.3f}, on time "
            f"{kind.largest_on_time:.3f}, decided after "
            f"{kind.decided_s * 1000:.0f} ms"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    fire.Fire(ReplayCommands, name="replay")
