"""Engines that a service needs, from its measured demand.

It answers waves of demand: the need follows a rise at once, and a fall only when it has
lasted for about two waves.
"""

import math
from collections import deque

from wigeonspan.scaling._messages import FleetNeed
from wigeonspan.staging import EngineDemand

PLANNED_PREFILL_LOAD = 0.4
"""Planned share of the time in which a prefill engine is busy. A short prompt then
finds an idle engine among five with a probability of 0.99, and with 0.92 when demand
rises to 1.5 times its mean while a new replica boots."""

PLANNED_SLOT_LOAD = 0.4
"""Planned share of the slots of decode engines in use. Streams take their slots for
seconds, so that a burst to 2.5 times the demand needs as many slots at once; changing
the phase of an engine takes longer than the burst has time."""

URGENT_SHARE = 0.6
"""Share of the demand that counts as urgent until the demand of the most urgent
requests is known."""

FULL_LOAD = 0.8
"""Planned load of engines without a reserve, such as those that remain for the most
urgent requests when others are reclaimed; a boot time later there are more."""

MIN_ENGINES_OF_PHASE = 2
"""Minimum number of engines for prefill, and for decoding, so that a service survives
the loss of one."""

UNKNOWN_DEMAND_FACTOR = 1.5
"""Multiple of the replicas found that is planned before the demand is known, if
reclaimable ones cost less than ``CHEAP_PRICE``. The first demand is measured after
seconds, and the leader may be lost in them."""

CHEAP_PRICE = 0.5
"""Relative price of a reclaimable replica up to which a fleet of 1.5 times the size
costs less than the one found, with a third of it as ordinary replicas."""

HOLD_S = 30.0
"""Seconds for which a lower need must hold, about two waves of demand."""


def needed_engines(
    demand: EngineDemand, slots: int, urgent: EngineDemand | None = None
) -> FleetNeed:
    """Return the engines that a demand needs.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent streams of an engine.
    urgent : EngineDemand or None
        Demand of the most urgent requests; None before it is known.
    """

    def engines(
        part: EngineDemand, share: float, prefill_load: float, slot_load: float
    ) -> int:
        streams = max(part.streams, part.recent_streams)
        prefill = math.ceil(share * part.busy_prefill_engines / prefill_load)
        decode = math.ceil(share * streams / slots / slot_load)
        return max(prefill, MIN_ENGINES_OF_PHASE) + max(decode, MIN_ENGINES_OF_PHASE)

    return FleetNeed(
        engines(demand, 1.0, PLANNED_PREFILL_LOAD, PLANNED_SLOT_LOAD),
        engines(demand, URGENT_SHARE, 1.0, 1.0)
        if urgent is None
        else engines(urgent, 1.0, FULL_LOAD, FULL_LOAD),
        engines(demand, 1.0, FULL_LOAD, FULL_LOAD),
    )


def assumed_need(found_total: int, reclaimable_price: float) -> FleetNeed:
    """Return the engines to plan before the demand is known.

    Parameters
    ----------
    found_total : int
        Replicas that the service had before the first order.
    reclaimable_price : float
        Price of a reclaimable replica relative to an ordinary one.
    """
    urgent = round(found_total * URGENT_SHARE * PLANNED_PREFILL_LOAD)
    urgent = max(2 * MIN_ENGINES_OF_PHASE, urgent)
    if reclaimable_price > CHEAP_PRICE:
        return FleetNeed(found_total, urgent, found_total)
    total = math.ceil(found_total * UNKNOWN_DEMAND_FACTOR)
    return FleetNeed(total, urgent, found_total)


class PeakDemand:
    """Largest need of the last ``HOLD_S`` seconds, in each respect."""

    def __init__(self) -> None:
        self._needs: deque[tuple[float, FleetNeed]] = deque()

    def record(self, need: FleetNeed, now: float) -> FleetNeed:
        """Record a need and return the largest recent one."""
        self._needs.append((now, need))
        while self._needs[0][0] < now - HOLD_S:
            self._needs.popleft()
        return FleetNeed(
            max(n.total for _, n in self._needs),
            max(n.urgent for _, n in self._needs),
            max(n.required for _, n in self._needs),
        )
