"""Totals of the entries' samples over the last minute."""

from collections import deque

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import EngineId, ServiceName
from wigeonspan.distribution._messages import DemandSample, EngineSample, SyncRequest

BUCKET_S = 1.0
"""Length of a bucket in seconds; it covers two syncs of an entry."""

RETENTION_S = 60.0
"""Time in seconds for which buckets are kept; the planner uses shorter windows."""

DemandKey = tuple[ServiceName, PriorityClass]


class _Bucket:
    """Totals over one time bucket."""

    def __init__(self, start: float) -> None:
        self.start = start
        self.demand: dict[DemandKey, DemandSample] = {}
        self.engines: dict[EngineId, EngineSample] = {}


class SampleWindow:
    """Aggregate demand and engine work in time buckets.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which sampling starts.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._buckets: deque[_Bucket] = deque()

    def add(self, request: SyncRequest, now: float) -> None:
        """Add the samples of one sync to the current bucket."""
        if not request.demand and not request.engines:
            return
        bucket = self._bucket(now)
        for sample in request.demand:
            key = (sample.service, sample.priority)
            previous = bucket.demand.get(key)
            bucket.demand[key] = (
                sample if previous is None else _add_demand(previous, sample)
            )
        for work in request.engines:
            previous_work = bucket.engines.get(work.engine)
            bucket.engines[work.engine] = (
                work if previous_work is None else _add_work(previous_work, work)
            )

    def covered_s(self, now: float, window_s: float) -> float:
        """Return how many of the last ``window_s`` seconds were sampled."""
        return max(0.0, min(window_s, now - self._started_at))

    def demand(self, now: float, window_s: float) -> list[DemandSample]:
        """Return the demand of the last ``window_s`` seconds by service and class."""
        sums: dict[DemandKey, DemandSample] = {}
        for bucket in self._buckets_in_window(now, window_s):
            for key, sample in bucket.demand.items():
                previous = sums.get(key)
                sums[key] = (
                    sample if previous is None else _add_demand(previous, sample)
                )
        return [sums[key] for key in sorted(sums, key=lambda k: (k[0], k[1].value))]

    def engine_work(self, now: float, window_s: float) -> list[EngineSample]:
        """Return the work of the last ``window_s`` seconds by engine."""
        sums: dict[EngineId, EngineSample] = {}
        for bucket in self._buckets_in_window(now, window_s):
            for engine, work in bucket.engines.items():
                previous = sums.get(engine)
                sums[engine] = work if previous is None else _add_work(previous, work)
        return [sums[engine] for engine in sorted(sums)]

    def _bucket(self, now: float) -> _Bucket:
        while self._buckets and self._buckets[0].start < now - RETENTION_S:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].start >= BUCKET_S:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _buckets_in_window(self, now: float, window_s: float) -> list[_Bucket]:
        return [b for b in self._buckets if b.start + BUCKET_S > now - window_s]


def _add_demand(a: DemandSample, b: DemandSample) -> DemandSample:
    return DemandSample(
        service=a.service,
        priority=a.priority,
        arrivals=a.arrivals + b.arrivals,
        prompt_tokens=a.prompt_tokens + b.prompt_tokens,
        output_tokens=a.output_tokens + b.output_tokens,
        finished=a.finished + b.finished,
        late=a.late + b.late,
        refused=a.refused + b.refused,
    )


def _add_work(a: EngineSample, b: EngineSample) -> EngineSample:
    return EngineSample(
        engine=a.engine,
        prefill_tokens=a.prefill_tokens + b.prefill_tokens,
        decode_tokens=a.decode_tokens + b.decode_tokens,
        prefill_s=a.prefill_s + b.prefill_s,
        decode_s=a.decode_s + b.decode_s,
    )
