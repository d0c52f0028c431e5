"""Weights of entries from what they report, so that callers follow what is left.

It answers entries whose processors, memory, links and descriptors differ threefold,
under waves of demand that pass through the failure domains. See
docs/design/entry-weights.md.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from statistics import fmean, median

from wigeonspan.common import DomainName, HostId
from wigeonspan.presence._messages import EntryLoad, Resources

WEIGH_INTERVAL_S = 1.0
"""Minimum seconds between two changes of the weights; callers ask for addresses once a
second."""

HIGH_USE = 0.8
"""Use of a resource from which an entry has too little left. With equal entries below
it there is nothing to even out."""

MAX_CHANGE = 0.25
"""Largest relative change of a weight in ``WEIGH_INTERVAL_S``. Callers follow an answer
after up to three seconds, so faster changes would overshoot."""

MIN_CHANGE = 0.1
"""Smallest relative difference for which a weight changes; smaller ones are noise."""

MIN_TREND_S = 1.0
"""Minimum seconds between two reports for a trend. Two heartbeats in quick succession
would otherwise give a steep one."""

TREND_S = 1.0
"""Seconds by which use is extrapolated, after which the next answer is due."""

MIN_MEAN_USE = 0.05
"""Mean use of a resource, as a part of its mean capacity, below which it counts as
this. Otherwise the noise of an idle fleet would decide."""

MIN_WEIGHT = 0.1
"""Smallest weight, as a part of the mean: an entry without callers could not show that
it has recovered."""

MAX_WEIGHT = 10.0
"""Largest weight, as a multiple of the mean; a wrong report must not draw all
callers."""

LISTED_STEP = 1.5
"""Ratio between two steps of the weights in the list of entries."""

LISTED_MARGIN = 0.75
"""Distance in steps at which a listed weight changes; half a step would let a weight
between two steps change back and forth."""

LISTED_INTERVAL_S = 5.0
"""Minimum seconds between two changes of listed values, because the list is sent to all
entries whenever it changes."""

AVERAGE_S = 10.0
"""Time constant in seconds of the weights in the list: twice its interval, so that
callers have followed a change before the next."""

SPILL_GAIN = 0.35
"""Change in a second of the share of a domain's callers that go to other domains, for
each unit of use above ``HIGH_USE``. In the model of the tests the share of a steady
demand of 1.1 settles with it and swings at 0.5, and waves are followed too late at
0.15."""

MAX_SPILL = 0.75
"""Largest such share; the rest of the callers shows when the domain has recovered."""

SPILL_KEEP_S = 3.0
"""Seconds for which an entry holds the shares of a reply. Without replies for longer it
does not know whether other domains still have room."""

NEUTRAL = 1.0


class _Reports:
    """Last report of an entry, and earlier ones for the trend."""

    def __init__(self) -> None:
        self._reports: deque[tuple[float, EntryLoad | None]] = deque()

    @property
    def last(self) -> EntryLoad | None:
        return self._reports[-1][1]

    def record(self, load: EntryLoad | None, at: float) -> None:
        reports = self._reports
        reports.append((at, load))
        while len(reports) > 2 and at - reports[1][0] >= MIN_TREND_S:
            reports.popleft()

    def forecast(self, is_late: bool) -> EntryLoad | None:
        """Return the load in the next second: the last use plus its trend."""
        (earlier_at, earlier), (at, load) = self._reports[0], self._reports[-1]
        span_s = at - earlier_at
        if load is None or earlier is None or is_late or span_s < MIN_TREND_S:
            return load
        used = [
            u if u is None or e is None else max(0.0, u + (u - e) * TREND_S / span_s)
            for u, e in zip(_amounts(load.used), _amounts(earlier.used), strict=True)
        ]
        return EntryLoad(load.capacity, Resources(*used))


class EntryWeights:
    """Weights of the ready entries at one control host.

    A weight is relative to the mean over the entries. Without a need for weights all of
    them are neutral.
    """

    def __init__(self) -> None:
        self._reports: dict[HostId, _Reports] = {}
        self._weights: dict[HostId, float] = {}
        self._averages: dict[HostId, float] = {}
        self._listed: dict[HostId, int] = {}
        self._listed_at = -math.inf
        self._spills: dict[DomainName, float] = {}
        self._updated_at = -math.inf
        self._neutral = True

    @property
    def weights(self) -> Mapping[HostId, int]:
        """Weights in percent of the mean; empty when all are neutral."""
        if self._neutral:
            return {}
        return {host: max(1, round(100 * w)) for host, w in self._weights.items()}

    @property
    def listed(self) -> Mapping[HostId, int]:
        """Weights in percent, in coarse steps, of the entries with another than 100."""
        return self._listed

    @property
    def spills(self) -> Mapping[DomainName, float]:
        """Share of each domain's callers for other domains, where there is any."""
        return self._spills

    def record(self, host: HostId, load: EntryLoad | None, now: float) -> None:
        """Record what an entry reports; None when it reports no capacity."""
        if host not in self._reports:
            self._reports[host] = _Reports()
        self._reports[host].record(load, now)

    def update(
        self, ready: Mapping[HostId, DomainName], alive: Iterable[HostId], now: float
    ) -> None:
        """Compute the weights of the ready entries, at most once in a second.

        Parameters
        ----------
        ready : mapping
            Failure domain of each entry that callers may be sent to; other entries are
            forgotten.
        alive : iterable of HostId
            Those whose last heartbeat is recent, so that its trend still holds.
        """
        if now - self._updated_at < WEIGH_INTERVAL_S:
            return
        self._updated_at = now
        recent = set(alive)
        self._reports = {h: r for h, r in self._reports.items() if h in ready}
        reports = self._reports
        self._neutral = _needs_no_weights([r.last for r in reports.values()])
        if self._neutral:
            self._weights = dict.fromkeys(reports, NEUTRAL)
            self._averages = dict.fromkeys(reports, NEUTRAL)
            self._spills = {}
        else:
            loads = {h: r.forecast(h not in recent) for h, r in reports.items()}
            targets = target_weights(loads)
            self._weights = _approach(self._weights, targets)
            self._averages = _average(self._averages, self._weights, ready)
            self._spills = _next_spills(self._spills, loads, targets, ready)
        self._update_listed(now)

    def _update_listed(self, now: float) -> None:
        listed = {h: w for h, w in self._listed.items() if h in self._weights}
        self._listed = dict(listed)
        if now - self._listed_at < LISTED_INTERVAL_S:
            return
        for host, weight in self._averages.items():
            steps = math.log(100 * weight / listed.get(host, 100), LISTED_STEP)
            if abs(steps) >= LISTED_MARGIN:
                listed[host] = _nearest_step(weight)
        listed = {host: weight for host, weight in listed.items() if weight != 100}
        if listed != self._listed:
            self._listed = listed
            self._listed_at = now


class HeldSpills:
    """Shares of the domains' callers for other domains, as an entry received them."""

    def __init__(self) -> None:
        self._spills: Mapping[DomainName, float] = {}
        self._at = -math.inf

    def receive(self, spills: Mapping[DomainName, float], now: float) -> None:
        """Store the shares of a reply."""
        self._spills, self._at = spills, now

    def held(self, now: float) -> Mapping[DomainName, float]:
        """Return the last shares, or none when they are too old."""
        return self._spills if now - self._at <= SPILL_KEEP_S else {}


def target_weights(loads: Mapping[HostId, EntryLoad | None]) -> dict[HostId, float]:
    """Return weights in proportion to what is left of each entry's scarcest resource.

    What is left of a resource is divided by its mean use over the entries, which
    compares resources: the quotient is the demand, as a multiple of that of a mean
    entry, that the entry can still take.

    Parameters
    ----------
    loads : mapping
        Capacities and expected use; None for an entry that reports no capacity, which
        counts as the median.
    """
    known = {host: load for host, load in loads.items() if load is not None}
    units = _mean_use(list(known.values()))
    amounts = {host: _left(load, units) for host, load in known.items()}
    left = {host: amount for host, amount in amounts.items() if amount is not None}
    middle = median(left.values()) if left else 0.0
    every = {host: left.get(host, middle) for host in loads}
    mean = fmean(every.values())
    if mean <= 0.0:
        return dict.fromkeys(loads, NEUTRAL)
    return {
        host: min(max(amount / mean, MIN_WEIGHT), MAX_WEIGHT)
        for host, amount in every.items()
    }


def highest_use(load: EntryLoad) -> float:
    """Return the use of an entry's scarcest resource as a part of its capacity."""
    return max(
        (
            used / capacity
            for capacity, used in zip(
                _amounts(load.capacity), _amounts(load.used), strict=True
            )
            if capacity and used is not None
        ),
        default=0.0,
    )


def _needs_no_weights(loads: list[EntryLoad | None]) -> bool:
    """Return whether capacities are equal and nobody has too little left."""
    known = [load for load in loads if load is not None]
    return all(
        load.capacity == known[0].capacity and highest_use(load) <= HIGH_USE
        for load in known
    )


def _mean_use(loads: list[EntryLoad]) -> list[float]:
    """Return the mean use of each resource; 0 for one that nobody reports."""
    means = []
    for column in range(len(_amounts(Resources()))):
        pairs = [
            (_amounts(load.capacity)[column], _amounts(load.used)[column])
            for load in loads
        ]
        reported = [(c, u) for c, u in pairs if c and u is not None]
        if not reported:
            means.append(0.0)
            continue
        capacity = fmean(c for c, _ in reported)
        means.append(max(fmean(u for _, u in reported), MIN_MEAN_USE * capacity))
    return means


def _left(load: EntryLoad, units: list[float]) -> float | None:
    """Return what is left of the scarcest resource, in units of the mean use.

    None when no resource is reported.
    """
    columns = zip(_amounts(load.capacity), _amounts(load.used), units, strict=True)
    return min(
        (
            max(0.0, capacity - used) / unit
            for capacity, used, unit in columns
            if capacity and used is not None and unit
        ),
        default=None,
    )


def _approach(
    before: Mapping[HostId, float], targets: dict[HostId, float]
) -> dict[HostId, float]:
    """Return the weights on their way to the targets.

    When entries have come or gone, the mean is that of others; the former weights are
    then scaled to it, so that their ratios stay.
    """
    common = before.keys() & targets.keys()
    scale = 1.0
    if common and before.keys() != targets.keys():
        scale = fmean(targets[h] for h in common) / fmean(before[h] for h in common)
    weights = {}
    for host, target in targets.items():
        weight = before[host] * scale if host in before else target
        if abs(target - weight) > MIN_CHANGE * weight:
            lowest, highest = weight * (1 - MAX_CHANGE), weight * (1 + MAX_CHANGE)
            weight = min(max(target, lowest), highest)
        weights[host] = weight
    return weights


def _average(
    before: Mapping[HostId, float],
    weights: Mapping[HostId, float],
    domains: Mapping[HostId, DomainName],
) -> dict[HostId, float]:
    """Return averages over time of weights relative to the mean of their domain.

    The list reaches entries up to ``LISTED_INTERVAL_S`` late. Momentary weights in it,
    or a change of the whole domain, would move callers when the cause is over.
    """
    groups: dict[DomainName, list[float]] = {}
    for host, weight in weights.items():
        groups.setdefault(domains[host], []).append(weight)
    means = {domain: fmean(group) for domain, group in groups.items()}
    averages = {}
    for host, weight in weights.items():
        relative = min(max(weight / means[domains[host]], MIN_WEIGHT), MAX_WEIGHT)
        average = before.get(host, relative)
        averages[host] = average + (relative - average) * WEIGH_INTERVAL_S / AVERAGE_S
    return averages


def _next_spills(
    before: Mapping[DomainName, float],
    loads: Mapping[HostId, EntryLoad | None],
    targets: Mapping[HostId, float],
    domains: Mapping[HostId, DomainName],
) -> dict[DomainName, float]:
    """Return the share of each domain's callers that go to other domains.

    It rises while the mean use of the scarcest resources is above ``HIGH_USE`` and
    falls below it, so that it settles where the domain keeps a fifth of its capacity.
    What other domains have left bounds it.
    """
    uses: dict[DomainName, list[float]] = {}
    room: dict[DomainName, float] = {}
    for host, load in loads.items():
        if load is not None:
            domain = domains[host]
            uses.setdefault(domain, []).append(min(1.0, highest_use(load)))
            room[domain] = room.get(domain, 0.0) + targets[host]
    has_room = {d: fmean(own) < HIGH_USE for d, own in uses.items()}
    spills = {}
    for domain, own in uses.items():
        share = before.get(domain, 0.0) + SPILL_GAIN * (fmean(own) - HIGH_USE)
        elsewhere = sum(room[d] for d in uses if d != domain and has_room[d])
        bound = elsewhere / (elsewhere + room[domain]) if elsewhere else 0.0
        spills[domain] = min(max(0.0, share), bound, MAX_SPILL)
    return {domain: share for domain, share in spills.items() if share > 0.0}


def _nearest_step(weight: float) -> int:
    return round(100 * LISTED_STEP ** round(math.log(weight, LISTED_STEP)))


def _amounts(resources: Resources) -> tuple[float | None, ...]:
    return (
        resources.cores,
        resources.memory_mb,
        resources.link_mbps,
        resources.descriptors,
    )
