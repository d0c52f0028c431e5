"""Stop of a gateway: announcement, end of open requests, and close."""

import asyncio
from collections.abc import Iterable

from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._heartbeats import HeartbeatTask
from wigeonspan.gateway._serve import Server
from wigeonspan.presence import ADDRESS_KEEP_S
from wigeonspan.serving import RequestServer
from wigeonspan.sharing import EntryStopping

DRAIN_S = 3.0 * ADDRESS_KEEP_S + 0.2
"""Seconds after the stop signal during which connections are still accepted: some
callers keep a response of the directory for three times ``ADDRESS_KEEP_S``."""

FINAL_RESPONSES_S = 0.5
"""Seconds before the process is killed at which open requests are ended, so that their
final responses are sent in time."""


class StopSequence:
    """Announce a stop, finish open requests, and close.

    Parameters
    ----------
    context : GatewayContext
        State of the gateway.
    server : Server
        Handler of callers' requests.
    front_server : RequestServer
        Server that accepts them.
    heartbeats : HeartbeatTask
        Heartbeats, which tell the control hosts that the entry is stopping.
    """

    def __init__(
        self,
        context: GatewayContext,
        server: Server,
        front_server: RequestServer,
        heartbeats: HeartbeatTask,
    ) -> None:
        self._context = context
        self._server = server
        self._front_server = front_server
        self._heartbeats = heartbeats

    async def run(
        self,
        signalled_at: float,
        stop_timeout_s: float,
        directory_server: RequestServer | None,
        tasks: Iterable[asyncio.Task[None]],
    ) -> None:
        """Stop; heartbeats must report the new state of the entry already.

        Parameters
        ----------
        signalled_at : float
            Monotonic time in seconds of the stop signal.
        stop_timeout_s : float
            Seconds from the signal until the process is killed.
        directory_server : RequestServer or None
            Server of look-ups; None when there is none.
        tasks : iterable of Task
            Background tasks, which are cancelled after the last requests.
        """
        end_at = signalled_at + max(0.0, stop_timeout_s - FINAL_RESPONSES_S)
        drain_until = min(signalled_at + DRAIN_S, end_at)
        now = self._context.clock.now()
        self._context.event_log.write(
            "process",
            "stopping",
            open=self._front_server.open_requests,
            ends_in_ms=round((end_at - now) * 1000),
            handled_after_ms=round((now - signalled_at) * 1000),
        )
        self._context.link.publish_alone(EntryStopping(max(0.0, drain_until - now)))
        self._context.stop.begin(signalled_at, end_at)
        self._front_server.close_after_responses()
        self._front_server.refuse_early(self._server.check_head)
        if directory_server is not None:
            directory_server.close_after_responses()
        await self._heartbeats.send_now()
        await asyncio.sleep(max(0.0, drain_until - self._context.clock.now()))
        remaining_s = max(0.0, end_at - self._context.clock.now())
        drains = [
            self._front_server.drain(
                remaining_s, lambda: self._server.log_open_requests(signalled_at)
            )
        ]
        if directory_server is not None:
            drains.append(directory_server.drain(remaining_s))
        await asyncio.gather(*drains)
        if self._context.meter is not None:
            # The counts of the last requests are not in any heartbeat yet.
            await self._heartbeats.send_now()
        # A request that came later would wait unread until the process has ended.
        await self._front_server.close()
        if directory_server is not None:
            await directory_server.close()
        for task in tasks:
            task.cancel()
        self._heartbeats.close()
        self._context.link.close()
        self._context.event_log.write(
            "process", "stopped", open=self._front_server.open_requests
        )
        self._context.event_log.flush()
