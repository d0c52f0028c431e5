"""How many engines of a service read prompts, and which engine changes next."""

import math
from collections.abc import Sequence

from wigeonspan.staging._messages import Demand
from wigeonspan.targets import Phase, Target

GROW_LOAD = 0.9
"""Share of the decode engines' slots in use at which another one is wanted. An engine
that changes is away for seconds, so a burst must not be enough."""

SHRINK_LOAD = 0.4
"""Share of the slots in use after the change below which a decode engine may read
prompts instead; well under the share for growing, so that phases do not flap."""

GROWN_LOAD = 0.7
"""Share of the slots in use that is aimed at when decode engines are added."""

READ_LOAD = 0.6
"""Load of the prefill engines above which another one pays for the seconds without the
engine that changes."""

LEAST_DECODE = 2
"""Decode engines wanted at least, so that the loss of one stops no service."""

DECODE_SHARE = 0.4
"""Largest share of the engines that decode before any demand is known. Prompts take
more engine time, but streams that share too few engines become slow."""

LARGE_SHARE = 1.0 / 6.0
"""Share that decodes in large fleets, beside ``LEAST_DECODE`` that may be lost: what is
kept for a loss does not grow with the fleet."""


def first_decode(engines: int) -> int:
    """Return how many engines of a service decode before any demand is known."""
    large = LEAST_DECODE + round(engines * LARGE_SHARE)
    return min(round(engines * DECODE_SHARE), large)


def wanted_decode(
    engines: int, decoding: int, slots: int, demand: Demand | None
) -> int:
    """Return how many of a service's engines should decode.

    Parameters
    ----------
    engines : int
        Engines that may get new work.
    decoding : int
        Engines of them that decode now.
    slots : int
        Streams that an engine can run at once.
    demand : Demand or None
        None before it is known.
    """
    if engines < 2:
        return engines
    most, least = engines - 1, min(LEAST_DECODE, engines - 1)
    if demand is None:
        return min(most, max(least, first_decode(engines)))
    needed = demand.streams / slots
    readers = engines - decoding
    wanted = decoding
    if needed > GROW_LOAD * decoding:
        wanted = math.ceil(needed / GROWN_LOAD)
    elif demand.read_engines > READ_LOAD * readers:
        while needed < SHRINK_LOAD * (wanted - 1):
            wanted -= 1
    return min(most, max(1, least if wanted < decoding else 1, wanted))


def next_changes(
    targets: Sequence[Target], demand: Demand | None, most: int
) -> list[tuple[Target, Phase]]:
    """Return the changes of phase that are due, at most a given number.

    The engine that changes comes from the failure domain that has most engines of its
    phase, so that both phases stay spread.
    """
    engines = [t for t in targets if t.phase is not Phase.NONE]
    slots = max(1, min((t.slots for t in engines), default=1))
    decoding = sum(1 for t in engines if t.phase is Phase.DECODE)
    wanted = wanted_decode(len(engines), decoding, slots, demand)
    phases = {t.target: t.phase for t in engines}
    changes: list[tuple[Target, Phase]] = []
    while len(changes) < most:
        decoding = sum(1 for phase in phases.values() if phase is Phase.DECODE)
        if decoding == wanted:
            break
        old, new = (
            (Phase.DECODE, Phase.PREFILL)
            if decoding > wanted
            else (Phase.PREFILL, Phase.DECODE)
        )
        movable = [t for t in engines if phases[t.target] is old]
        if not movable:
            break

        def crowding(target: Target, phase: Phase = old) -> tuple[int, str]:
            same = (t for t in engines if t.domain == target.domain)
            return (sum(1 for t in same if phases[t.target] is phase), target.target)

        chosen = max(movable, key=crowding)
        phases[chosen.target] = new
        changes.append((chosen, new))
    return changes
