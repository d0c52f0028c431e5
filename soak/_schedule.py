"""Schedule of a soak run: sizes, traffic and faults, all drawn from one seed."""

import random
from enum import Enum

from msgspec import Struct, structs

FAULT_WINDOW_S = 15.0
"""Seconds after the start of traffic until which faults may begin."""

MAX_RECOVERY_S = 12.0
"""Seconds after the last fault within which service must recover; this is the limit of
the first deployments."""

EVALUATION_S = 3.0
"""Seconds of traffic after the recovery in which the service level is checked."""

SERIES_PROBABILITY = 0.25
"""Probability that a fault is repeated twice, shortly after the first time."""

LARGE_PROBABILITY = 0.1
"""Probability of a large fleet: five control hosts and five to eight entries, about as
much as one machine can run."""

FINAL_FAULT_PROBABILITY = 0.5
"""Probability that a run ends with a kill of all control hosts or of all hosts."""

MAX_LAST_DRAWN_FAULTS = 3
"""Largest number of faults of ``LAST_DRAWN_KINDS`` in a run, not counting repeats."""


class FaultKind(Enum):
    """Kind of a fault; the value names the victim and what happens to it."""

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
    LIST_STALE = "list answers with old contents"
    TARGET_CRASH = "target crashed"
    TARGET_RESTART = "target restarted under its name"
    TARGET_DRAIN = "target drained"
    TARGET_FAILS = "target fails"
    TARGET_SLOW = "target slow"
    TARGET_UNRESPONSIVE = "target dark"
    TARGET_GARBLES = "target garbles"
    TARGET_LOSES = "target loses answers"
    TARGET_CUTS = "target cuts streams"
    TARGET_REFUSES = "target refuses"
    TARGET_ENDLESS = "target sends bytes without end"
    TARGET_REPEATS = "target repeats answers late"
    TARGET_STALLS = "target stalls streams but sends bytes"
    TARGET_LIMITS = "target limits its requests"
    ZONE_CRASH = "targets of a zone crashed together"
    TARGET_SILENT = "sound target silent"
    TARGET_RESUME_ERRORS = "target cuts streams and answers resumed ones with errors"
    TARGET_REFUSES_TWICE = "target repeats refusals late"
    PROMPT_CRASH = "prompts with a part crash targets"
    ORDERS_LATE = "orders carried out late"
    BURST = "burst of streams"
    ENTRY_ROLL = "entries stopped in turn under long streams"
    LATE_ROLL = "entries stopped in turn under late requests"
    CONTROL_CUT = "control cut off from its group under a series of versions"
    CONFIG_CHANGE = "configuration changed"
    CONFIG_STORM = "configurations in quick succession"
    CONFIG_RACE = "two operators"
    CONFIG_INVALID = "invalid configuration"
    KEY_REVOKE = "key of a tenant revoked"
    DUTY_SLOW = "calls of duties slow"
    DUTY_REFUSED = "calls of duties refused"
    DUTY_LATE = "calls of duties carried out late"
    DUTY_SILENT = "calls of duties neither answered nor carried out"
    RECLAIM = "reclaimable replicas reclaimed"
    UNEVEN_SPEEDS = "engines of uneven speed"
    BRIEF_SLOWDOWN = "engine slow for half a second"
    SLOW_READERS = "callers read slowly"


LAST_DRAWN_KINDS = (
    FaultKind.TARGET_ENDLESS,
    FaultKind.TARGET_REPEATS,
    FaultKind.TARGET_STALLS,
)
"""Kinds that are drawn after all others: they were added later, and seeds from before
must still give the same other faults."""

NEWEST_KINDS = (
    FaultKind.TARGET_SILENT,
    FaultKind.TARGET_RESUME_ERRORS,
    FaultKind.TARGET_REFUSES_TWICE,
    FaultKind.ZONE_CRASH,
)
"""Kinds that are drawn after the limits of targets, for the same reason."""

NEWEST_KIND_WEIGHTS = (4, 1, 1, 1)

MAX_NEWEST_FAULTS = 5
"""Largest number of faults of ``NEWEST_KINDS`` in a run, not counting repeats."""

MIN_SILENCE_S = 0.6
MAX_SILENCE_S = 1.6
"""Bounds of the duration in seconds for which a sound target is silent."""

PLANNED_KINDS = (
    FaultKind.ENTRY_STOP,
    FaultKind.ENTRY_RELOAD,
    FaultKind.CONFIG_CHANGE,
)
"""Planned work, one of which begins at most ``MAX_SILENCE_S`` after half of the
silences: neither may end a request without an answer, nor both together."""

PROMPT_CRASH_PROBABILITY = 0.4
SECOND_PROMPT_CRASH_PROBABILITY = 0.2
"""Probabilities that prompts with a part crash targets, and that another such fault
runs beside it."""

MAX_PROMPT_CRASH_START_S = 5.0
MIN_PROMPT_CRASH_S = 20.0
MAX_PROMPT_CRASH_S = 25.0
"""Latest start in seconds, and bounds of the duration, of prompts that crash targets:
five crashes come first, and what follows is checked from 6 s after them."""

ENTRY_ROLL_PROBABILITY = 0.35
CONTROL_CUT_PROBABILITY = 0.35
"""Probabilities of these faults, which are drawn last."""

MIN_ROLL_START_S = 8.0
MAX_ROLL_START_S = 13.0
"""Bounds of the start of stops in turn in seconds. Before, most streams are refused,
since engines are still changing to the decode phase."""

MIN_CUT_S = 6.0
MAX_CUT_S = 10.0
"""Bounds of the duration of a cut in seconds; hosts are not checked in the first and
last three seconds of it."""

LATE_ROLL_PROBABILITY = 0.5
"""Probability of stops in turn under late requests, in runs without stops in turn under
long streams: those would take longer than their deadline on slow engines."""

MIN_LATE_ROLL_DELAY_S = 4.0
MAX_LATE_ROLL_DELAY_S = 6.0
"""Bounds of the seconds from the end of all other faults to these stops. The rule on
planned stops holds only three seconds after an unplanned disturbance."""

LATE_ROLL_S = 18.0
"""Seconds that such stops of two or three entries take."""

TENANT_DIGITS = (3, 6, 9)
"""Last digits of the seeds whose runs have tenants and duties. No seed that failed
before they were added ends with one of them, so that each still gives the same run."""

TENANT_KINDS = (
    FaultKind.KEY_REVOKE,
    FaultKind.DUTY_SLOW,
    FaultKind.DUTY_REFUSED,
    FaultKind.DUTY_LATE,
    FaultKind.DUTY_SILENT,
    FaultKind.RECLAIM,
)
"""Kinds that are drawn only in these runs."""

TENANT_KIND_WEIGHTS = (4, 1, 1, 1, 1, 1)

MIN_TENANT_FAULTS = 2
MAX_TENANT_FAULTS = 6
"""Bounds of the number of such faults in a run."""

UNEVEN_SPEEDS_PROBABILITY = 0.5
"""Probability that engines have uneven speeds for most of a run."""

MAX_UNEVEN_SPEEDS_START_S = 3.0
MIN_UNEVEN_SPEEDS_S = 10.0
MAX_UNEVEN_SPEEDS_S = 15.0
"""Latest start in seconds, and bounds of the duration, of uneven speeds."""

MAX_BRIEF_SLOWDOWNS = 4
"""Largest number of brief slowdowns in a run, not counting repeats."""

MIN_BRIEF_SLOWDOWN_S = 0.4
MAX_BRIEF_SLOWDOWN_S = 0.6
"""Bounds of the duration of a brief slowdown in seconds."""

ENGINE_MEMORY_PROBABILITY = 0.4
"""Probability that the engines of a run have limited memory."""

MIN_ENGINE_TOKENS = 14_000
MAX_ENGINE_TOKENS = 28_000
"""Bounds of this memory in tokens. Six streams of the longest prompts need 36,000, so
that memory is short before slots are, as with the long requests of the deployments."""

SLOW_READERS_PROBABILITY = 0.4
"""Probability that some callers read their streams slowly."""

MIN_SLOW_READERS_S = 4.0
MAX_SLOW_READERS_S = 8.0
"""Bounds of the seconds in which such callers send requests."""

UNEVEN_ENTRIES_PROBABILITY = 0.5
"""Probability that the entries of a run have uneven sizes."""

MIN_ENTRY_SIZE = 0.3
DRAWN_ENTRY_SIZES = 8
"""Smallest size of an entry relative to the largest possible one, as in the
deployments, and number of sizes that are drawn: the most entries of a first start.
Entries that are added take them in turn again."""

LATER_KINDS = (
    *LAST_DRAWN_KINDS,
    FaultKind.TARGET_LIMITS,
    *NEWEST_KINDS,
    FaultKind.PROMPT_CRASH,
    FaultKind.ENTRY_ROLL,
    FaultKind.CONTROL_CUT,
    FaultKind.LATE_ROLL,
    *TENANT_KINDS,
    FaultKind.UNEVEN_SPEEDS,
    FaultKind.BRIEF_SLOWDOWN,
    FaultKind.SLOW_READERS,
)
"""Kinds that the first draws leave out."""

LIMIT_PROBABILITY = 0.4
"""Probability that a target limits its requests. This fault is drawn after those, and
lasts longer than others because entries have seconds to learn of the limit."""

MIN_LIMIT_S = 6.0
MAX_LIMIT_S = 12.0
"""Bounds of the duration of such a limit in seconds."""

LINK_GROUPS = ("entry", "control", "target", "list")
"""Groups of links that a fault of a link may affect."""


class Fault(Struct, frozen=True):
    """Fault of a schedule.

    Parameters
    ----------
    at : float
        Seconds after the start of traffic.
    victim : int
        Number of the host, target or link; taken modulo how many there are.
    link : str
        Group of links, one of ``LINK_GROUPS``; only used by faults of links.
    lasts_s : float
        Duration in seconds, or the time until a killed process is started again.
    strength : float
        Severity between 0 and 1; the effect depends on the kind.
    """

    at: float
    kind: FaultKind
    victim: int
    link: str
    lasts_s: float
    strength: float


class EngineMemory(Struct, frozen=True):
    """Memory of all engines of a run.

    Parameters
    ----------
    tokens : int
        Tokens of requests that fit.
    crashes : bool
        Whether an engine that holds more crashes, or preempts requests.
    """

    tokens: int
    crashes: bool


class Schedule(Struct, frozen=True):
    """Everything that the seed decides about a run.

    Parameters
    ----------
    losses : int
        Number of control hosts that may be lost without losing the configuration.
    engines, apps : int
        Number of targets of each service.
    final : FaultKind or None
        Kind of the final fault, if any.
    engine_memory : EngineMemory or None
        Memory of engines; None for no limit.
    entry_sizes : tuple of float
        Sizes of the entries, relative to the largest possible one; empty if their
        settings name no limits.
    """

    seed: int
    controls: int
    losses: int
    entries: int
    engines: int
    apps: int
    requests_per_s: float
    faults: tuple[Fault, ...]
    final: FaultKind | None
    engine_memory: EngineMemory | None = None
    entry_sizes: tuple[float, ...] = ()

    @property
    def has_tenants(self) -> bool:
        """Whether the configuration has tenants, and the control hosts have duties."""
        return self.seed % 10 in TENANT_DIGITS

    @property
    def faults_end_s(self) -> float:
        """Seconds from the start of traffic to the end of the last fault."""
        return max(
            (fault.at + fault.lasts_s for fault in self.faults),
            default=FAULT_WINDOW_S,
        )


def make_schedule(seed: int, *, max_faults: int = 14) -> Schedule:
    """Draw the schedule of a seed.

    Parameters
    ----------
    max_faults : int
        Largest number of faults that are drawn at first, not counting repeats.
    """
    rng = random.Random(seed)
    large = rng.random() < LARGE_PROBABILITY
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
    for _ in range(rng.randint(4, max_faults)):
        kind = rng.choice([k for k in FaultKind if k not in LATER_KINDS])
        if kind in (FaultKind.CONTROL_WIPE, FaultKind.CONTROL_REPLACE):
            # Losing more disks than the deployment tolerates would lose the
            # configuration by design.
            disks_lost += 1
            if disks_lost > losses:
                continue
        faults.extend(_draw_fault(rng, kind, repeats=disks_lost == 0))
    final = rng.choice([FaultKind.CORE_KILL, FaultKind.ENTRY_KILL])
    ends_with_final = rng.random() < FINAL_FAULT_PROBABILITY
    for _ in range(rng.randint(0, MAX_LAST_DRAWN_FAULTS)):
        kind = rng.choice(LAST_DRAWN_KINDS)
        faults.extend(_draw_fault(rng, kind, repeats=True))
    if rng.random() < LIMIT_PROBABILITY:
        limit = _draw_fault(rng, FaultKind.TARGET_LIMITS, repeats=False)[0]
        lasts_s = rng.uniform(MIN_LIMIT_S, MAX_LIMIT_S)
        faults.append(structs.replace(limit, lasts_s=lasts_s))
    faults.extend(_draw_newest_faults(rng))
    faults.extend(_draw_rolls_and_cuts(rng))
    faults.extend(_draw_late_roll(rng, faults))
    if seed % 10 in TENANT_DIGITS:
        for _ in range(rng.randint(MIN_TENANT_FAULTS, MAX_TENANT_FAULTS)):
            kind = rng.choices(TENANT_KINDS, TENANT_KIND_WEIGHTS)[0]
            faults.extend(_draw_fault(rng, kind, repeats=False))
    faults.extend(_draw_speeds(rng))
    engine_memory = _draw_engine_memory(rng)
    faults.extend(_draw_slow_readers(rng))
    return Schedule(
        seed=seed,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        final=final if ends_with_final else None,
        engine_memory=engine_memory,
        entry_sizes=_draw_entry_sizes(rng),
        **sizes,
    )


def _draw_newest_faults(rng: random.Random) -> list[Fault]:
    """Draw the kinds that were added last; see ``NEWEST_KINDS``."""
    faults: list[Fault] = []
    for _ in range(rng.randint(0, MAX_NEWEST_FAULTS)):
        kind = rng.choices(NEWEST_KINDS, NEWEST_KIND_WEIGHTS)[0]
        drawn = _draw_fault(rng, kind, repeats=True)
        if kind is FaultKind.TARGET_SILENT:
            lasts_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            drawn = [structs.replace(fault, lasts_s=lasts_s) for fault in drawn]
            if rng.random() < 0.5:
                planned = _draw_fault(rng, rng.choice(PLANNED_KINDS), repeats=False)[0]
                at = drawn[0].at + rng.uniform(-0.5, MAX_SILENCE_S)
                drawn.append(structs.replace(planned, at=max(0.0, at)))
        faults.extend(drawn)
    for probability in (PROMPT_CRASH_PROBABILITY, SECOND_PROMPT_CRASH_PROBABILITY):
        if rng.random() >= probability:
            break
        fault = _draw_fault(rng, FaultKind.PROMPT_CRASH, repeats=False)[0]
        at = rng.uniform(0.5, MAX_PROMPT_CRASH_START_S)
        lasts_s = rng.uniform(MIN_PROMPT_CRASH_S, MAX_PROMPT_CRASH_S)
        faults.append(structs.replace(fault, at=at, lasts_s=lasts_s))
    return faults


def _draw_rolls_and_cuts(rng: random.Random) -> list[Fault]:
    faults: list[Fault] = []
    if rng.random() < ENTRY_ROLL_PROBABILITY:
        fault = _draw_fault(rng, FaultKind.ENTRY_ROLL, repeats=False)[0]
        at = rng.uniform(MIN_ROLL_START_S, MAX_ROLL_START_S)
        faults.append(structs.replace(fault, at=at))
    if rng.random() < CONTROL_CUT_PROBABILITY:
        fault = _draw_fault(rng, FaultKind.CONTROL_CUT, repeats=False)[0]
        lasts_s = rng.uniform(MIN_CUT_S, MAX_CUT_S)
        faults.append(structs.replace(fault, lasts_s=lasts_s))
    return faults


def _draw_late_roll(rng: random.Random, earlier: list[Fault]) -> list[Fault]:
    has_roll = any(fault.kind is FaultKind.ENTRY_ROLL for fault in earlier)
    if rng.random() >= LATE_ROLL_PROBABILITY or has_roll:
        return []
    fault = _draw_fault(rng, FaultKind.LATE_ROLL, repeats=False)[0]
    ends_at = max((fault.at + fault.lasts_s for fault in earlier), default=0.0)
    at = ends_at + rng.uniform(MIN_LATE_ROLL_DELAY_S, MAX_LATE_ROLL_DELAY_S)
    return [structs.replace(fault, at=at, lasts_s=LATE_ROLL_S)]


def _draw_speeds(rng: random.Random) -> list[Fault]:
    """Draw speeds of engines, after all kinds that were added earlier."""
    faults: list[Fault] = []
    if rng.random() < UNEVEN_SPEEDS_PROBABILITY:
        fault = _draw_fault(rng, FaultKind.UNEVEN_SPEEDS, repeats=False)[0]
        at = rng.uniform(0.0, MAX_UNEVEN_SPEEDS_START_S)
        lasts_s = rng.uniform(MIN_UNEVEN_SPEEDS_S, MAX_UNEVEN_SPEEDS_S)
        faults.append(structs.replace(fault, at=at, lasts_s=lasts_s))
    for _ in range(rng.randint(0, MAX_BRIEF_SLOWDOWNS)):
        lasts_s = rng.uniform(MIN_BRIEF_SLOWDOWN_S, MAX_BRIEF_SLOWDOWN_S)
        drawn = _draw_fault(rng, FaultKind.BRIEF_SLOWDOWN, repeats=True)
        faults.extend(structs.replace(fault, lasts_s=lasts_s) for fault in drawn)
    return faults


def _draw_engine_memory(rng: random.Random) -> EngineMemory | None:
    if rng.random() >= ENGINE_MEMORY_PROBABILITY:
        return None
    tokens = rng.randint(MIN_ENGINE_TOKENS, MAX_ENGINE_TOKENS)
    return EngineMemory(tokens, rng.random() < 0.5)


def _draw_slow_readers(rng: random.Random) -> list[Fault]:
    if rng.random() >= SLOW_READERS_PROBABILITY:
        return []
    fault = _draw_fault(rng, FaultKind.SLOW_READERS, repeats=False)[0]
    lasts_s = rng.uniform(MIN_SLOW_READERS_S, MAX_SLOW_READERS_S)
    return [structs.replace(fault, lasts_s=lasts_s)]


def _draw_entry_sizes(rng: random.Random) -> tuple[float, ...]:
    if rng.random() >= UNEVEN_ENTRIES_PROBABILITY:
        return ()
    return tuple(rng.uniform(MIN_ENTRY_SIZE, 1.0) for _ in range(DRAWN_ENTRY_SIZES))


def _draw_fault(rng: random.Random, kind: FaultKind, *, repeats: bool) -> list[Fault]:
    at = rng.uniform(0.5, FAULT_WINDOW_S)
    victim = rng.randrange(64)
    link = rng.choice(LINK_GROUPS)
    lasts_s = rng.uniform(0.3, 4.0)
    strength = rng.random()
    times = 3 if repeats and rng.random() < SERIES_PROBABILITY else 1
    pause_s = rng.uniform(0.5, 2.5)
    return [
        Fault(at + n * (lasts_s + pause_s), kind, victim, link, lasts_s, strength)
        for n in range(times)
    ]
