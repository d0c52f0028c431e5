"""Day of a soak: sizes, traffic and faults, all from one seed."""

import random
from enum import Enum

from msgspec import Struct

FAULTS_UNTIL_S = 15.0
"""Seconds of traffic in which faults begin."""

RECOVERY_S = 12.0
"""Seconds after the last fault in which service must be back; bound of the first
deployments."""

JUDGED_S = 3.0
"""Seconds of traffic after the recovery in which service is judged."""

SERIES_SHARE = 0.25
"""Probability that a fault comes again twice, shortly after the first time."""

LARGE_SHARE = 0.1
"""Probability of five control hosts and more entries, up to what one machine bears."""

FINAL_SHARE = 0.5
"""Probability that faults end with one that takes all processes."""


MOST_LATER_FAULTS = 3
"""Largest number of faults of ``LATER_KINDS`` in a day, before series."""


class FaultKind(Enum):
    """Kinds of faults; the value names the victim and what happens to it."""

    ENTRY_KILL = "entry killed"
    ENTRY_FREEZE = "entry frozen"
    ENTRY_STOP = "entry stopped"
    ENTRY_RELOAD = "entry settings changed"
    ENTRY_ADD = "entry added"
    CONTROL_KILL = "control killed"
    CONTROL_FREEZE = "control frozen"
    CONTROL_STOP = "control stopped"
    CONTROL_RELOAD = "control settings changed"
    CONTROL_WIPE = "control loses its disk"
    CONTROL_REPLACE = "control replaced"
    CORE_KILL = "all control hosts killed"
    DISK_SLOW = "control disk slow"
    DISK_FULL = "control disk full"
    CLOCK_STEP = "wall clock stepped"
    LINK_DELAY = "link delayed"
    LINK_RESET = "link reset"
    LINK_CUT_IN = "link cut towards the host"
    LINK_CUT_OUT = "link cut from the host"
    LINK_SILENT = "open connections silent"
    LIST_SILENT = "list silent"
    LIST_UNSTEADY = "list answers with old contents"
    TARGET_CRASH = "target crashed"
    TARGET_RESTART = "target restarted under its name"
    TARGET_DRAIN = "target drained"
    TARGET_FAILS = "target fails"
    TARGET_SLOW = "target slow"
    TARGET_DARK = "target dark"
    TARGET_GARBLES = "target garbles"
    TARGET_LOSES = "target loses answers"
    TARGET_CUTS = "target cuts streams"
    TARGET_REFUSES = "target refuses"
    TARGET_ENDLESS = "target sends bytes without end"
    TARGET_REPEATS = "target repeats answers late"
    TARGET_STALLS = "target stalls streams but sends bytes"
    ORDERS_LATE = "orders carried out late"
    BURST = "burst of streams"
    CONFIG_CHANGE = "configuration changed"
    CONFIG_STORM = "configurations in quick succession"
    CONFIG_RACE = "two operators"
    CONFIG_INVALID = "invalid configuration"


LATER_KINDS = (
    FaultKind.TARGET_ENDLESS,
    FaultKind.TARGET_REPEATS,
    FaultKind.TARGET_STALLS,
)
"""Kinds that are drawn after all others, so that the days of earlier seeds keep the
faults that they had."""

# Kinds that carry a victim's number; it is taken modulo the hosts or targets there are.
LINKS = ("entry", "control", "target", "list")


class Fault(Struct, frozen=True):
    """One fault.

    Parameters
    ----------
    at : float
        Seconds after the start of traffic.
    victim : int
        Which host or target.
    link : str
        Whose link, for faults of links.
    lasts_s : float
        How long it lasts, or how long until a killed process is started again.
    strength : float
        Between 0 and 1; what it means depends on the kind.
    """

    at: float
    kind: FaultKind
    victim: int
    link: str
    lasts_s: float
    strength: float


class Schedule(Struct, frozen=True):
    """One day."""

    seed: int
    controls: int
    losses: int
    entries: int
    engines: int
    apps: int
    requests_per_s: float
    faults: tuple[Fault, ...]
    final: FaultKind | None

    @property
    def faults_end_s(self) -> float:
        """Seconds after the start of traffic at which the last fault is over."""
        return max(
            (fault.at + fault.lasts_s for fault in self.faults),
            default=FAULTS_UNTIL_S,
        )


def make_schedule(seed: int, *, most_faults: int = 14) -> Schedule:
    """Return the day of a seed.

    Parameters
    ----------
    most_faults : int
        Largest number of faults that are drawn, before series.
    """
    rng = random.Random(seed)
    large = rng.random() < LARGE_SHARE
    losses = 2 if large else 1
    sizes = {
        "controls": 2 * losses + 1,
        "losses": losses,
        "entries": rng.randint(5, 8) if large else rng.randint(2, 4),
        "engines": rng.randint(4, 7),
        "apps": rng.randint(2, 3),
        "requests_per_s": rng.uniform(12.0, 25.0),
    }
    faults: list[Fault] = []
    disks_lost = 0
    for _ in range(rng.randint(4, most_faults)):
        kind = rng.choice([k for k in FaultKind if k not in LATER_KINDS])
        if kind in (FaultKind.CONTROL_WIPE, FaultKind.CONTROL_REPLACE):
            # More lost disks than the deployment is built for lose the configuration.
            disks_lost += 1
            if disks_lost > losses:
                continue
        faults.extend(_draw_fault(rng, kind, repeats=disks_lost == 0))
    final = rng.choice([FaultKind.CORE_KILL, FaultKind.ENTRY_KILL])
    ends_with_final = rng.random() < FINAL_SHARE
    for _ in range(rng.randint(0, MOST_LATER_FAULTS)):
        kind = rng.choice(LATER_KINDS)
        faults.extend(_draw_fault(rng, kind, repeats=True))
    return Schedule(
        seed=seed,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        final=final if ends_with_final else None,
        **sizes,
    )


def _draw_fault(rng: random.Random, kind: FaultKind, *, repeats: bool) -> list[Fault]:
    at = rng.uniform(0.5, FAULTS_UNTIL_S)
    victim = rng.randrange(64)
    link = rng.choice(LINKS)
    lasts_s = rng.uniform(0.3, 4.0)
    strength = rng.random()
    times = 3 if repeats and rng.random() < SERIES_SHARE else 1
    pause_s = rng.uniform(0.5, 2.5)
    return [
        Fault(at + n * (lasts_s + pause_s), kind, victim, link, lasts_s, strength)
        for n in range(times)
    ]
