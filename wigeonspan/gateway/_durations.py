"""Forecast of the time that requests take until their response is complete."""

import math
from collections import deque
from collections.abc import Iterable

from wigeonspan.common import ServiceName

SAMPLE_COUNT = 128
"""Number of completed requests of a service that a forecast considers."""

MIN_SAMPLES = 4
"""Completed requests of a service from which their times count as known."""

MIN_EVENTS = 4
"""Events of a stream in progress from which its pace is measured."""

UPPER_SHARE = 0.95
"""Share of the samples that a forecast covers, so that a single slow request does not
decide it."""

MARGIN_FACTOR = 1.25
"""Factor on a forecast, for requests that are slower than those before."""

MARGIN_S = 0.2
"""Seconds that are added to a forecast, for the transfer of the response."""

MIN_TOKENS = 8
"""Output tokens that a stream counts as at least, because the time of shorter ones does
not depend on their number."""

MAX_SERVICES = 256
"""Largest number of services whose samples are kept; the oldest is dropped first."""


class RequestTimer:
    """Times of one request in progress.

    Parameters
    ----------
    service : ServiceName
        Service that the request is for.
    output_tokens : int
        Maximum number of tokens of the response; 0 for a plain call.
    begun_at : float
        Monotonic time in seconds at which serving began.
    """

    def __init__(
        self, service: ServiceName, output_tokens: int, begun_at: float
    ) -> None:
        self.service = service
        self.output_tokens = max(MIN_TOKENS, output_tokens)
        self.begun_at = begun_at
        # Seconds to the first event that the placement expected; 0 before it.
        self.planned_s = 0.0
        self.first_event_at: float | None = None
        self.event_count = 0

    def record_event(self, now: float) -> None:
        """Record an event of the stream."""
        if self.first_event_at is None:
            self.first_event_at = now
        self.event_count += 1

    def start_ratio(self, now: float) -> float | None:
        """Return the ratio of the time to the first event to the planned one.

        Before the first event it is a lower bound; before the placement it is None.
        """
        if not self.planned_s:
            return None
        until = now if self.first_event_at is None else self.first_event_at
        return (until - self.begun_at) / self.planned_s


class _ServiceSamples:
    """Times of the recent requests of one service.

    Attributes
    ----------
    start_ratios : deque of float
        Ratio of the time to the first event to the planned one.
    paces : deque of float
        Seconds of a stream after its first event, by output token.
    call_s : deque of float
        Seconds of a plain call.
    """

    def __init__(self) -> None:
        self.start_ratios: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self.paces: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self.call_s: deque[float] = deque(maxlen=SAMPLE_COUNT)


class DurationForecast:
    """Upper bounds of the time that requests take, from recent ones of their service.

    Requests in progress count with the time that they have taken until now, so that
    the bounds also hold when requests become slower or none has been completed yet.
    """

    def __init__(self) -> None:
        self._samples: dict[ServiceName, _ServiceSamples] = {}
        self._open: dict[ServiceName, set[RequestTimer]] = {}

    def begin(
        self, service: ServiceName, output_tokens: int, now: float
    ) -> RequestTimer:
        """Begin to time a request; see :class:`RequestTimer` for the parameters."""
        timer = RequestTimer(service, output_tokens, now)
        self._open.setdefault(service, set()).add(timer)
        return timer

    def end(self, timer: RequestTimer, now: float, *, completed: bool) -> None:
        """End the timing of a request; only a complete response is a sample."""
        still_open = self._open[timer.service]
        still_open.discard(timer)
        if not still_open:
            del self._open[timer.service]
        if not completed:
            return
        samples = self._service_samples(timer.service)
        if timer.first_event_at is None:
            samples.call_s.append(now - timer.begun_at)
            return
        samples.paces.append((now - timer.first_event_at) / timer.output_tokens)
        if (ratio := timer.start_ratio(now)) is not None:
            samples.start_ratios.append(ratio)

    def call_s(self, service: ServiceName, now: float) -> float:
        """Return the seconds within which a plain call ends; infinity if unknown."""
        samples = self._samples.get(service)
        if samples is None or len(samples.call_s) < MIN_SAMPLES:
            return math.inf
        taken = [now - timer.begun_at for timer in self._open.get(service, ())]
        return _with_margin(_upper([*samples.call_s, *taken]))

    def stream_s(
        self, service: ServiceName, planned_s: float, output_tokens: int, now: float
    ) -> float:
        """Return the seconds within which a stream ends; infinity if unknown.

        Parameters
        ----------
        planned_s : float
            Seconds to the first event that the placement expects.
        output_tokens : int
            Maximum number of tokens of the response.
        """
        samples = self._samples.get(service) or _ServiceSamples()
        timers = self._open.get(service, set())
        pace = self._pace(samples, timers, now)
        if pace is None:
            return math.inf
        open_ratios = (timer.start_ratio(now) for timer in timers)
        ratios = [*samples.start_ratios, *(r for r in open_ratios if r is not None)]
        start_s = planned_s * max(1.0, _upper(ratios) if ratios else 1.0)
        return _with_margin(start_s + pace * max(MIN_TOKENS, output_tokens))

    def _pace(
        self, samples: _ServiceSamples, timers: Iterable[RequestTimer], now: float
    ) -> float | None:
        """Return the seconds by output token after the first event, if known."""
        known = len(samples.paces) >= MIN_SAMPLES
        paces = list(samples.paces)
        for timer in timers:
            if timer.first_event_at is None or timer.event_count < MIN_EVENTS:
                continue
            # Until complete streams show how many tokens an event has, assume one.
            tokens = timer.output_tokens if known else timer.event_count - 1
            paces.append((now - timer.first_event_at) / tokens)
        return _upper(paces) if paces else None

    def _service_samples(self, service: ServiceName) -> _ServiceSamples:
        samples = self._samples.get(service)
        if samples is None:
            if len(self._samples) >= MAX_SERVICES:
                del self._samples[next(iter(self._samples))]
            samples = self._samples[service] = _ServiceSamples()
        return samples


def _upper(values: list[float]) -> float:
    """Return the value that ``UPPER_SHARE`` of the values do not exceed."""
    return sorted(values)[min(len(values) - 1, int(len(values) * UPPER_SHARE))]


def _with_margin(seconds: float) -> float:
    return seconds * MARGIN_FACTOR + MARGIN_S
