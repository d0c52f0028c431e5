"""Entry daemon: HTTP server, configuration sync and background tasks."""

import asyncio
import random
import socket
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonspan.calls.tasks import LeaderClient, PostToLeader
from wigeonspan.common import (
    Clock,
    Metrics,
    describe_error,
    keep_running,
    make_metrics,
    part_logger,
)
from wigeonspan.distribution import Follower
from wigeonspan.distribution.tasks import SyncTask
from wigeonspan.entryd._completions import CompletionHandler
from wigeonspan.entryd._entry import Entry
from wigeonspan.entryd._http import DirectoryHandler, UnknownPathHandler
from wigeonspan.entryd._services import ServiceHandler
from wigeonspan.entryd._settings import EntrySettings, split_address
from wigeonspan.http import make_client
from wigeonspan.serving import (
    DELIVERY_S,
    FINAL_RESPONSE_TIMEOUT_S,
    LAST_REQUESTS_S,
    CallerGuard,
    CallerRules,
    CloseReason,
    Holding,
    accept_pending,
    process_limits,
)

MAX_CONTROL_REQUESTS = 64
"""Largest number of concurrent messages to control hosts. Each non-idempotent call
needs one."""

MAX_HEADER_BYTES = 32_768
"""Largest size of the header fields of a request."""

IDLE_CONNECTION_S = 75.0
"""Seconds after which an idle connection of a caller is closed."""

BODY_TIMEOUT_S = 30.0
"""Timeout in seconds for receiving a body, so that slow callers cannot occupy
connections for long."""

SEND_BUFFER_BYTES = 131_072
"""Kernel send buffer of a caller's connection. Without a limit, the kernel buffers
megabytes for each slow reader before the daemon notices it."""

UNLIMITED_BODY_BYTES = 1 << 40
"""Body limit of the HTTP server. The handlers enforce the lower limit in the
settings."""

_log = part_logger("entryd")


def make_application(entry: Entry) -> Application:
    """Return the web application that serves callers."""
    context = {"entry": entry}
    return Application(
        [
            (r"/v1/completions", CompletionHandler, context),
            (r"/v1/services/[^/]+/.*", ServiceHandler, context),
            (r"/v1/directory", DirectoryHandler, context),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=context,
        log_function=lambda handler: None,
    )


class EntryDaemon:
    """Entry daemon, which runs in the current event loop.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the daemon.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    post : PostToLeader or None
        Function that sends messages to the leader; None sends them over HTTP.
    metrics : Metrics or None
        Sink of metrics; None uses the one in the settings.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        post: PostToLeader | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.follower = Follower(settings.host, uuid.uuid4().hex)
        self._client: CurlAsyncHTTPClient = make_client(MAX_CONTROL_REQUESTS)
        self._sync: SyncTask | None = None
        leader_client = LeaderClient(
            self._client, settings.control, self._leader_address, clock, rng
        )
        self.entry = Entry(
            settings,
            self.follower,
            post or leader_client.post,
            clock,
            rng,
            metrics or make_metrics(settings.metrics),
        )
        self._guard = CallerGuard(
            process_limits(settings.memory_mb, settings.max_fds),
            lambda: CallerRules(
                body_bytes=settings.relay.max_body_bytes,
                header_timeout_s=IDLE_CONNECTION_S,
                idle_timeout_s=IDLE_CONNECTION_S,
            ),
            self._record_limited,
            clock,
        )
        self._server: HTTPServer | None = None
        self._stop_listening: Callable[[], None] | None = None
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.address = settings.address

    def start(self) -> None:
        """Start to listen for callers and to sync the configuration."""
        host, port = split_address(self._settings.address)
        self._sockets = sockets = bind_sockets(port, host, backlog=1024)
        for item in sockets:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"
        self._server = HTTPServer(
            make_application(self.entry),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=UNLIMITED_BODY_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._stop_listening = self._guard.listen(self._server, sockets)
        self._run_in_background(self.entry.poller.run)
        if self._settings.control:
            self._sync = self._make_sync()
            self._run_in_background(self._sync.run)
        _log.info("Entry {} serves at {}.", self._settings.host, self.address)

    def request_stop(self, signalled_at: float | None = None) -> None:
        """Start a graceful stop.

        After a second call, the daemon no longer waits for cached directory responses
        to expire.

        Parameters
        ----------
        signalled_at : float or None
            Monotonic time in seconds of the stop signal; None for now.
        """
        self.entry.start_drain(signalled_at)
        if self._sync is not None:
            self._sync.sync_soon()

    async def serve(self) -> None:
        """Wait until a graceful stop is complete."""
        await self.entry.wait_drained(LAST_REQUESTS_S)
        await self._serve_last_connections()
        await self.close()
        _log.info("Entry {} has stopped.", self._settings.host)

    async def _serve_last_connections(self) -> None:
        """Stop accepting, and respond to callers that connected until then.

        What is open at the end is ended, and its callers learn whether it may have run.
        """
        server = self._server
        if server is None:
            return
        for item in self._sockets:
            accept_pending(
                lambda accepted, address: self._guard.accept(server, accepted, address),
                item,
                self._record_error,
            )
        self._close_sockets()
        await asyncio.sleep(LAST_REQUESTS_S)
        if await self.entry.wait_drained(DELIVERY_S):
            return
        for response in list(self.entry.open_responses):
            response.enlarge_send_buffer()
        if await self.entry.wait_drained():
            return
        _log.warning("Ending {} open requests.", self.entry.in_flight)
        for response in list(self.entry.open_responses):
            response.refuse_incomplete()
        # The requests that are ended send their last responses.
        await self.entry.wait_drained(-FINAL_RESPONSE_TIMEOUT_S)

    async def close(self) -> None:
        """Stop the server, the background tasks and all connections immediately."""
        self._close_sockets()
        if self._server is not None:
            await self._server.close_all_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.entry.close()
        self._client.close()

    def _close_sockets(self) -> None:
        """Close the listening sockets."""
        if self._stop_listening is not None:
            self._stop_listening()
            self._stop_listening = None
        for item in self._sockets:
            item.close()
        self._sockets = []

    def _record_limited(self, reason: CloseReason, holding: Holding) -> None:
        """Log and count a caller that is refused or closed for the limits."""
        self.entry.metrics.count(f"callers_limited.{reason.value}")
        if reason not in (CloseReason.IDLE, CloseReason.AFTER_REFUSAL):
            _log.warning(
                "Limited a caller ({}): {}, {} bytes held.",
                reason.value,
                holding.phase.value,
                holding.held_bytes,
            )

    def _make_sync(self) -> SyncTask:
        return SyncTask(
            follower=self.follower,
            address=self.address,
            domain=self._settings.domain,
            control_addresses=self._settings.control,
            observe=self.entry.observe,
            client=self._client,
            clock=self._clock,
            rng=self._rng,
            on_reply=self.entry.on_sync,
        )

    def _leader_address(self) -> str:
        return self._sync.leader_address if self._sync is not None else ""

    def _run_in_background(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task in the background and restart it after an unexpected error."""
        running = keep_running(work, self._record_error)
        self._tasks.append(asyncio.create_task(running))

    def _record_error(self, error: Exception) -> None:
        _log.error(
            "Unexpected error; restarting the background task: {}.",
            describe_error(error),
        )
        self.entry.metrics.count("unexpected_errors")
