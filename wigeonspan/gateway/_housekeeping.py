"""Regular work of a gateway beside its requests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from wigeonspan.gateway._context import GatewayContext

HOUSEKEEPING_INTERVAL_S = 0.1
"""Seconds between two rounds of housekeeping, which flushes the log, closes idle
connections and removes expired ledger entries."""


class Housekeeping:
    """Remove what has expired, flush the log, and notice pauses of the process.

    Parameters
    ----------
    context : GatewayContext
        State of the gateway.
    send_heartbeats : callable
        Sends a heartbeat to all control hosts.
    """

    def __init__(
        self,
        context: GatewayContext,
        send_heartbeats: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        self._context = context
        self._send_heartbeats = send_heartbeats

    async def run(self) -> None:
        """Do the work at regular intervals."""
        context = self._context
        while True:
            now = context.clock.now()
            context.renew_work()
            context.placer.expire(now)
            context.update_quarantine()
            context.update_pace()
            if context.loans is not None:
                context.loans.record_lapsed()
            self._check_for_pause()
            context.pool.close_expired()
            context.event_log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _check_for_pause(self) -> None:
        """Ask the control hosts at once for changes when this process was paused."""
        context = self._context
        if context.freshness.record_turn(context.boot_clock.now()):
            context.event_log.write("process", "resumed_after_pause")
            context.run_in_background(self._send_heartbeats())
