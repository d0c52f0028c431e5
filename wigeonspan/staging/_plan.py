"""Number of decode engines that a service needs, and the next engines to change."""

import math
from collections.abc import Sequence
from statistics import median_low

from wigeonspan.staging._messages import EngineDemand
from wigeonspan.targets import Phase, Target

GROW_LOAD = 0.9
"""Share of the decode engines' slots in use above which engines are added. It is high
so that a burst does not exceed it, because a changing engine is unavailable for
seconds."""

SHRINK_LOAD = 0.4
"""Share of the slots in use after the change below which a decode engine may change to
prefill; well below ``GROW_LOAD`` so that phases do not flap."""

PLANNED_LOAD = 0.7
"""Planned share of the slots in use after decode engines are added."""

MAX_PREFILL_LOAD = 0.6
"""Load of the prefill engines above which another one is worth the seconds during which
the changing engine is unavailable."""

SHORTAGE_LOAD = 1.0
"""Recent streams per slot above which requests wait for slots. Such a shortage is
corrected at once: the requests are lost before the next change would help."""

SHORTAGE_CHANGE_SHARE = 0.25
"""Maximum share of the prefill engines that change together in a shortage of slots; the
others have to take over their prompts for seconds."""

CHANGE_INTERVAL_S = 10.0
"""Minimum seconds between two changes of a service without a shortage, so that the
phases follow the traffic mix and not its noise."""

MAX_CONCURRENT_CHANGES = 1
"""Maximum number of engines of a service that change together without a shortage."""

MAX_INITIAL_CHANGES = 64
"""Maximum number of engines of a service that change together before there is
traffic."""

MIN_DECODE_ENGINES = 2
"""Minimum number of decode engines, so that a service survives the loss of one."""

INITIAL_DECODE_SHARE = 0.4
"""Maximum share of decode engines before any demand is known. Prefill takes more engine
time, but streams that share too few engines become slow."""

STREAM_TIME_RATIO = 9.0
"""Ratio of the time that streams take slots to the time of their prefills before any
demand is known; an engine has many slots but runs one prefill at a time."""


MIN_IMBALANCE_SHARE = 8
"""One in this number of engines may be in the wrong phase before phases of an elastic
service are balanced; smaller differences are noise."""


def initial_decode_engines(engines: int, slots: int) -> int:
    """Return the number of decode engines before any demand is known.

    The share of decode engines gives both phases the same load. The reserve for losses,
    ``MIN_DECODE_ENGINES``, does not have to grow with the fleet.

    Parameters
    ----------
    engines : int
        Number of engines.
    slots : int
        Maximum number of concurrent streams of an engine.
    """
    share = STREAM_TIME_RATIO / (STREAM_TIME_RATIO + PLANNED_LOAD * slots)
    balanced = MIN_DECODE_ENGINES + round(engines * share)
    return min(round(engines * INITIAL_DECODE_SHARE), balanced)


def desired_decode_engines(
    engines: int, decoding: int, slots: int, demand: EngineDemand | None
) -> int:
    """Return the desired number of decode engines of a service.

    Parameters
    ----------
    engines : int
        Number of engines that may get new work.
    decoding : int
        Number of them that are decode engines now.
    slots : int
        Maximum number of concurrent streams of an engine.
    demand : EngineDemand or None
        Demand of the service; None before it is known.
    """
    if engines < 2:
        return engines
    max_decode, min_decode = engines - 1, min(MIN_DECODE_ENGINES, engines - 1)
    if demand is None:
        initial = initial_decode_engines(engines, slots)
        return min(max_decode, max(min_decode, initial))
    needed_engines = demand.streams / slots
    prefill_engines = engines - decoding
    desired = decoding
    if needed_engines > GROW_LOAD * decoding:
        desired = math.ceil(needed_engines / PLANNED_LOAD)
    elif _is_short(decoding, slots, demand):
        desired = math.ceil(demand.recent_streams / slots / GROW_LOAD)
    elif demand.busy_prefill_engines > MAX_PREFILL_LOAD * prefill_engines:
        while needed_engines < SHRINK_LOAD * (desired - 1):
            desired -= 1
    if desired > decoding:
        # With too few engines for both phases, neither is served at the other's cost.
        needed_engines = max(demand.streams, demand.recent_streams) / slots
        busy_engines = needed_engines + demand.busy_prefill_engines
        balanced = round(engines * needed_engines / busy_engines)
        desired = max(decoding, min(desired, balanced))
    return min(max_decode, max(1, min_decode if desired < decoding else 1, desired))


def balanced_decode_engines(
    engines: int, decoding: int, demand: EngineDemand, slots: int
) -> int:
    """Return the number of decode engines that gives both phases the same reserve.

    It answers bursts at a service whose engines are ordered for them: a phase change
    takes longer than a burst has time, so the reserve must be in place before.

    Parameters
    ----------
    engines, decoding : int
        Number of engines, and of those that are decode engines now.
    slots : int
        Maximum number of concurrent streams of an engine.
    """
    if engines < 2 * MIN_DECODE_ENGINES:
        return desired_decode_engines(engines, decoding, slots, demand)
    for_streams = max(demand.streams, demand.recent_streams) / slots
    busy = for_streams + demand.busy_prefill_engines
    balanced = round(engines * for_streams / busy) if busy else decoding
    limit = engines - MIN_DECODE_ENGINES
    balanced = max(MIN_DECODE_ENGINES, min(limit, balanced))
    if abs(balanced - decoding) <= engines // MIN_IMBALANCE_SHARE:
        return decoding
    return balanced


def _is_short(decoding: int, slots: int, demand: EngineDemand) -> bool:
    return demand.recent_streams > SHORTAGE_LOAD * decoding * slots


def allowed_changes(
    targets: Sequence[Target],
    demand: EngineDemand | None,
    idle_s: float,
    *,
    elastic: bool = False,
) -> int:
    """Return how many engines of a service may change their phase together.

    Parameters
    ----------
    targets : sequence of Target
        Engines that may get new work.
    demand : EngineDemand or None
        Demand of the service; None before there is traffic.
    idle_s : float
        Seconds since the last change of the service began.
    elastic : bool
        Whether engines are ordered with the demand, so that there is a reserve that may
        change.
    """
    if demand is None:
        return MAX_INITIAL_CHANGES if idle_s >= CHANGE_INTERVAL_S else 0
    decoding = sum(1 for t in targets if t.phase is Phase.DECODE)
    prefill = sum(1 for t in targets if t.phase is Phase.PREFILL)
    if _is_short(decoding, _slots(targets), demand):
        return max(1, int(prefill * SHORTAGE_CHANGE_SHARE))
    if not demand.is_settled or idle_s < CHANGE_INTERVAL_S:
        return 0
    return len(targets) // MIN_IMBALANCE_SHARE if elastic else MAX_CONCURRENT_CHANGES


def _slots(targets: Sequence[Target]) -> int:
    """Return the slots of an engine, the median if they differ.

    One entry of the list with a wrong number of slots must not replan all engines.
    """
    slots = [t.slots for t in targets if t.phase is not Phase.NONE]
    return max(1, median_low(slots)) if slots else 1


def next_changes(
    targets: Sequence[Target],
    demand: EngineDemand | None,
    max_changes: int,
    *,
    elastic: bool = False,
) -> list[tuple[Target, Phase]]:
    """Return the phase changes that are due, at most ``max_changes``.

    Engines are taken from the failure domain with the most engines of the old phase, so
    that both phases stay spread over the domains.

    Parameters
    ----------
    elastic : bool
        Whether engines are ordered with the demand.
    """
    engines = [t for t in targets if t.phase is not Phase.NONE]
    slots = _slots(engines)
    decoding = sum(1 for t in engines if t.phase is Phase.DECODE)
    if elastic and demand is not None:
        desired = balanced_decode_engines(len(engines), decoding, demand, slots)
    else:
        desired = desired_decode_engines(len(engines), decoding, slots, demand)
    phases = {t.target: t.phase for t in engines}
    changes: list[tuple[Target, Phase]] = []
    while len(changes) < max_changes:
        decoding = sum(1 for phase in phases.values() if phase is Phase.DECODE)
        if decoding == desired:
            break
        old, new = (
            (Phase.DECODE, Phase.PREFILL)
            if decoding > desired
            else (Phase.PREFILL, Phase.DECODE)
        )
        movable = [t for t in engines if phases[t.target] is old]
        if not movable:
            break

        def engines_in_domain(target: Target, phase: Phase = old) -> tuple[int, str]:
            same = (t for t in engines if t.domain == target.domain)
            return (sum(1 for t in same if phases[t.target] is phase), target.target)

        chosen = max(movable, key=engines_in_domain)
        phases[chosen.target] = new
        changes.append((chosen, new))
    return changes
