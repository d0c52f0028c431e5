"""Construction of the parts that a gateway consists of."""

import random
from collections.abc import Callable

from msgspec.structs import replace

from wigeonspan.common import Clock, HostId
from wigeonspan.fleetconfig import FleetConfig
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._loans import RetryLoans
from wigeonspan.gateway._messages import TargetProtocol
from wigeonspan.gateway._settings import GatewaySettings
from wigeonspan.placing import Placer, RetryBudget, RetryLending
from wigeonspan.pool import ConnectionPool
from wigeonspan.serving import (
    CallerGuard,
    CallerRules,
    ProcessLimits,
    make_limit_recorder,
    process_limits,
)
from wigeonspan.sharing import Event, PeerLink
from wigeonspan.targets import TargetTable
from wigeonspan.trail import ProcessMetrics, open_event_log
from wigeonspan.usage import UsageMeter

DIRECTORY_DIVISOR = 8
"""Part of the limits on callers, as a divisor, that callers of the directory may use in
addition. The limits on callers leave 15% of the memory and half of the descriptors."""

DIRECTORY_BODY_BYTES = 16 * 1024
"""Largest request body of the directory in bytes; look-ups have none."""


def make_context(
    settings: GatewaySettings,
    protocol: TargetProtocol,
    read_config: Callable[[bytes], FleetConfig],
    clock: Clock,
    rng: random.Random,
    boot_clock: Clock,
    receive_event: Callable[[HostId, Event], None],
) -> GatewayContext:
    """Return the state that the parts of a gateway share; see :class:`Gateway`.

    Parameters
    ----------
    receive_event : callable
        Called with the sender and the event for each event of another entry.
    """
    event_log = open_event_log(settings.host, clock)
    pool = ConnectionPool(clock)

    def record_bad_datagram(why: str) -> None:
        event_log.write("sharing", "bad_datagram", why=why)

    context = GatewayContext(
        host=settings.host,
        clock=clock,
        protocol=protocol,
        config=ConfigHolder(read_config, event_log),
        target_table=TargetTable(),
        placer=Placer(
            settings.domain, rng, limits_memory=settings.limits_engine_memory
        ),
        budget=RetryBudget(
            settings.retry_ratio,
            settings.retry_minimum,
            settings.retry_window_s,
            entries=0,
        ),
        pool=pool,
        link=PeerLink(settings.host, receive_event, record_bad_datagram),
        event_log=event_log,
        metrics=ProcessMetrics(),
        boot_clock=boot_clock,
        max_key_age_s=settings.max_key_age_s,
        meter=_make_meter(settings, boot_clock, rng),
    )
    context.loans = RetryLoans(
        settings.host,
        RetryLending(context.budget, rng),
        context.config.has_service,
        context.link,
        event_log,
        context.metrics,
        context.boot_clock,
    )
    return context


def make_guards(
    settings: GatewaySettings, context: GatewayContext
) -> tuple[CallerGuard, CallerGuard]:
    """Return the guards of callers that send requests and of those of the directory."""

    def caller_rules() -> CallerRules:
        """Return the limits of callers that the configuration in force sets."""
        config = context.config.config
        if config is None:
            return CallerRules()
        limits = config.limits
        return CallerRules(
            limits.body_bytes, limits.header_timeout_s, limits.idle_timeout_s
        )

    limits = process_limits(settings.memory_mb, settings.max_fds)
    record_limit = make_limit_recorder(context.event_log.write, context.metrics.count)
    guard = CallerGuard(limits, caller_rules, record_limit, context.clock)
    # With a common guard, look-ups would close connections of requests.
    directory_guard = CallerGuard(
        ProcessLimits(
            limits.held_bytes // DIRECTORY_DIVISOR,
            max(1, limits.connections // DIRECTORY_DIVISOR),
        ),
        lambda: replace(caller_rules(), body_bytes=DIRECTORY_BODY_BYTES),
        record_limit,
        context.clock,
    )
    return guard, directory_guard


def _make_meter(
    settings: GatewaySettings, clock: Clock, rng: random.Random
) -> UsageMeter | None:
    """Return the meter of use, or None when use is not metered."""
    if settings.usage_window_s is None:
        return None
    incarnation = f"{rng.getrandbits(64):016x}"
    return UsageMeter(incarnation, settings.usage_window_s, settings.usage_due_s, clock)
