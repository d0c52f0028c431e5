"""Limits that engines and plain services set on the requests of all entries."""

import math
from collections.abc import Iterable, Mapping

from wigeonspan.common import (
    Clock,
    HostId,
    Metrics,
    ServiceName,
    parse_positive,
    part_logger,
)
from wigeonspan.ratelimits import ReturnSchedule, SharedRateLimits

LIMIT_HEADER = "X-Request-Limit"
"""Header field in which a target names the completions or calls a second that it takes
from all entries together."""

_log = part_logger("limits")


class TargetLimits:
    """Limits of the targets, by address, and the turns of this entry.

    Entries do not tell each other of a limit: each learns it from its own answers and
    then sends its part.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : Metrics
        Sink of metrics.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._limits = SharedRateLimits()
        self._returns = ReturnSchedule()

    def update_entries(self, own: HostId, live: Iterable[HostId]) -> None:
        """Set the entries that share the limits."""
        hosts = sorted({own, *live})
        self._limits.set_entries(hosts.index(own), len(hosts), self._clock.now())

    def observe(self, address: str, headers: Mapping[str, str], sent_at: float) -> None:
        """Apply the limit that an answer names, or lift it when it names none.

        Parameters
        ----------
        sent_at : float
            Time at which the answered request was sent.
        """
        value = headers.get(LIMIT_HEADER, "")
        rate, now = parse_positive(value), self._clock.now()
        if rate:
            self._metrics.count("target_limits")
            if self._limits.learn(address, rate, now):
                _log.info("Target {} takes {} requests a second.", address, rate)
        elif value:
            # The target still limits its requests, so a limit that is known holds on.
            _log.warning("Target {} names the limit {!r}.", address, value[:80])
        elif self._limits.lift(address, sent_at):
            _log.info("Target {} no longer limits its requests.", address)

    def may_send(self, address: str) -> bool:
        """Return whether this entry may send a request to a target now."""
        return not self._limits.wait_s(address, self._clock.now())

    def record_sent(self, address: str) -> None:
        """Record a request to a target."""
        self._limits.take(address, self._clock.now())

    def return_after_s(
        self, service: ServiceName, addresses: Iterable[str]
    ) -> float | None:
        """Return the seconds after which one more refused caller of a service returns.

        None when the targets do not limit their requests.
        """
        now = self._clock.now()
        limited = [a for a in addresses if a in self._limits.rates]
        if not limited:
            return None
        first_s = min(self._limits.wait_s(address, now) for address in limited)
        rate = math.fsum(self._limits.own_rate(address) for address in limited)
        return self._returns.next_return_s(service, first_s, rate, now)
