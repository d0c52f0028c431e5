"""Connections of callers: what each holds, and the bounds over all of a process."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler

from wigeonspan.common import (
    Clock,
    ErrorKind,
    SystemClock,
    TrafficCounter,
    WigeonspanError,
)
from wigeonspan.serving._bounds import (
    CallerRules,
    ProcessLimits,
    held_bytes_limit,
    process_limits,
)
from wigeonspan.serving._shedding import (
    PROGRESS_BYTES,
    CloseReason,
    ConnectionPhase,
    Holding,
    choose_for_connections,
    order_for_memory,
    overdue,
)

CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of all connections; a quarter of the shortest margin."""

CLOSED_TOGETHER = 16
"""Part of the connections, as a divisor, that are closed together while none of them is
of use; comparing all for each new connection would take the time of a core at a few
hundred new ones a second."""

PAUSE_S = 2.0
"""Seconds between two checks that show a pause of the process, in which no caller
could progress."""

MEMORY_RETRY_S = 1.0
"""Seconds after which a request that was refused for memory may come again; stalled
callers are gone by then."""

RecordLimit = Callable[[CloseReason, Holding], None]
"""Function that is told which connection was refused or closed, and why."""


def memory_error() -> WigeonspanError:
    """Return the error of a request that is refused for lack of memory."""
    return WigeonspanError(
        ErrorKind.OVERLOADED,
        "no memory is left for the body of the request",
        retry_after_s=MEMORY_RETRY_S,
    )


class CallerStream(IOStream):
    """Connection of a caller, which counts what it holds and when it progressed.

    Parameters
    ----------
    accepted : socket.socket
        Socket of the connection.
    guard : CallerGuard
        Bounds over all connections.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, accepted: socket.socket, guard: "CallerGuard", clock: Clock
    ) -> None:
        super().__init__(accepted)
        self._guard = guard
        self._clock = clock
        self._phase = ConnectionPhase.IDLE
        self._held = 0
        self._requests = 0
        self._started = 0
        self._announced = 0
        self._read = 0
        self._read_at_phase = 0
        self._moved = 0
        self._moved_at_mark = 0
        self._phase_at = self._moved_at = self._marked_at = clock.now()
        self._refuse: Callable[[WigeonspanError], None] | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of bodies and responses that were counted with ``hold``."""
        return self._held

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and count the bytes."""
        number = super().read_from_fd(buf)
        if number:
            self._read += number
            self._guard.traffic.received += number
            self._record_moved(number)
            if self._phase is ConnectionPhase.IDLE:
                self._begin(ConnectionPhase.HEAD)
        return number

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and count the bytes."""
        number = super().write_to_fd(data)
        self._guard.traffic.sent += number
        self._record_moved(number)
        return number

    def close_fd(self) -> None:
        """Close the socket, which frees what the connection held."""
        self._guard.remove(self)
        self._refuse = None
        super().close_fd()

    def begin_body(
        self, announced: int, refuse: Callable[[WigeonspanError], None]
    ) -> int:
        """Record that a head has arrived; return the number of the request.

        Parameters
        ----------
        announced : int
            Length of the body in bytes; 0 when it is not known.
        refuse : callable
            Refuses the request and discards its body.
        """
        self._guard.set_held(self, 0)
        self._refuse, self._announced = refuse, announced
        self._started += 1
        self._begin(ConnectionPhase.BODY)
        return self._started

    def begin_run(self) -> int:
        """Record that the request is complete; return its number.

        It can no longer be refused by the guard.
        """
        self._refuse = None
        self._begin(ConnectionPhase.RUNNING)
        return self._started

    def record_refused(self) -> None:
        """Record that the request was refused while it arrived."""
        self._refuse = None
        self._guard.set_held(self, 0)
        self._begin(ConnectionPhase.REFUSED)

    def end_request(self, number: int) -> None:
        """Record that the response is complete, and free what the request held.

        The next request of the connection may have begun already.
        """
        self._requests += 1
        if self.closed() or number != self._started:
            return
        self._guard.set_held(self, 0)
        self._begin(ConnectionPhase.IDLE)

    def hold(self, size: int) -> bool:
        """Count bytes that are held from now on; others may be closed for them.

        Returns
        -------
        bool
            False when this caller was refused or closed for them.
        """
        return self._guard.hold(self, size)

    def release(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self._guard.set_held(self, max(0, self._held - size))

    def set_held(self, size: int) -> None:
        """Set the bytes that are held; called by the guard."""
        self._held = size

    def give_up(self) -> None:
        """Refuse the request if it can still be refused, or close the connection."""
        refuse = self._refuse
        if refuse is None:
            self.close()
            return
        refuse(memory_error())

    def restart_times(self) -> None:
        """Count all times from now, since the process was paused."""
        self._phase_at = self._moved_at = self._marked_at = self._clock.now()

    def holding(self) -> Holding:
        """Return what the connection holds and how it progresses."""
        now = self._clock.now()
        unsent = 0 if self._write_buffer is None else len(self._write_buffer)
        if self._phase is ConnectionPhase.RUNNING and not unsent:
            # The caller has nothing to take, so it does not stall.
            self._moved_at = self._marked_at = now
        return Holding(
            phase=self._phase,
            held_bytes=self._held + self._read_buffer_size + unsent,
            phase_s=now - self._phase_at,
            silent_s=now - self._moved_at,
            slow_s=now - self._marked_at,
            reads_response=unsent > 0,
            announced_bytes=(
                self._announced if self._phase is ConnectionPhase.BODY else 0
            ),
            requests=self._requests,
            discarded_bytes=self._read - self._read_at_phase,
        )

    def _begin(self, phase: ConnectionPhase) -> None:
        self._phase = phase
        self._read_at_phase = self._read
        self.restart_times()

    def _record_moved(self, number: int) -> None:
        now = self._clock.now()
        self._moved += number
        self._moved_at = now
        if self._moved - self._moved_at_mark >= PROGRESS_BYTES:
            self._moved_at_mark, self._marked_at = self._moved, now


class CallerGuard:
    """Bounds over all connections of callers of a process.

    Parameters
    ----------
    limits : ProcessLimits or None
        Limits over all callers; None for those of a process with default settings.
    rules : callable or None
        Returns the limits of each caller that are in force; None for the defaults.
    record : callable or None
        Told which connection was refused or closed, and why.
    clock : Clock or None
        Source of time; None for the system's clock.

    Attributes
    ----------
    record : callable
        Told which connection was refused or closed, and why.
    traffic : TrafficCounter
        Bytes that the connections of callers have carried.
    """

    def __init__(
        self,
        limits: ProcessLimits | None = None,
        rules: Callable[[], CallerRules] | None = None,
        record: RecordLimit | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._limits = limits or process_limits()
        self._rules = rules or CallerRules
        self.record = record or (lambda reason, holding: None)
        self.traffic = TrafficCounter()
        self._clock = clock or SystemClock()
        self._streams: set[CallerStream] = set()
        self._held = 0
        self._in_sockets = 0
        self._check: asyncio.TimerHandle | None = None
        self._checked_at = self._clock.now()

    @property
    def rules(self) -> CallerRules:
        """Limits of each caller that are in force."""
        return self._rules()

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._streams)

    @property
    def held_bytes(self) -> int:
        """Bytes that callers make the process hold."""
        return self._held + self._in_sockets

    @property
    def held_limit(self) -> int:
        """Largest number of such bytes."""
        return held_bytes_limit(self._limits, self._rules())

    @property
    def connections_limit(self) -> int:
        """Largest number of connections."""
        return self._limits.connections

    def listen(
        self, server: HTTPServer, sockets: list[socket.socket]
    ) -> Callable[[], None]:
        """Accept connections for a server; return the function that ends that."""
        removals = [
            add_accept_handler(item, lambda s, a: self.accept(server, s, a))
            for item in sockets
        ]

        def stop() -> None:
            for remove in removals:
                remove()

        return stop

    def accept(
        self, server: HTTPServer, accepted: socket.socket, address: object
    ) -> None:
        """Serve a new connection, or close it when none makes room for it."""
        if len(self._streams) >= self._limits.connections:
            self._close_for_connection()
        if len(self._streams) >= self._limits.connections:
            self.record(CloseReason.CONNECTIONS, Holding(phase=ConnectionPhase.IDLE))
            accepted.close()
            return
        accepted.setblocking(False)
        stream = CallerStream(accepted, self, self._clock)
        self._streams.add(stream)
        if self._check is None:
            self._checked_at = self._clock.now()
            self._schedule_check()
        server.handle_stream(stream, address)  # type: ignore[arg-type]

    def hold(self, stream: CallerStream, size: int) -> bool:
        """Count bytes for a connection; give up others, or this one, for them.

        Returns
        -------
        bool
            False when this one was refused or closed.
        """
        self.set_held(stream, stream.held_bytes + size)
        self._make_room()
        return not stream.closed() and stream.held_bytes >= size

    def set_held(self, stream: CallerStream, size: int) -> None:
        """Set how many bytes a connection holds."""
        if stream not in self._streams:
            return
        self._held += size - stream.held_bytes
        stream.set_held(size)

    def remove(self, stream: CallerStream) -> None:
        """Forget a connection that is closed."""
        self.set_held(stream, 0)
        self._streams.discard(stream)

    def _close_for_connection(self) -> None:
        """Close connections that make room for a new one, if there are any."""
        holdings = {stream: stream.holding() for stream in self._streams}
        at_most = 1 + self._limits.connections // CLOSED_TOGETHER
        for chosen in choose_for_connections(holdings, at_most):
            self.record(CloseReason.CONNECTIONS, holdings[chosen])
            chosen.close()

    def _make_room(self) -> None:
        """Give up callers until the others hold no more than the limit."""
        limit = self.held_limit
        if self.held_bytes <= limit:
            return
        holdings = {stream: stream.holding() for stream in self._streams}
        for chosen in order_for_memory(holdings):
            self.record(CloseReason.MEMORY, holdings[chosen])
            in_socket = holdings[chosen].held_bytes - chosen.held_bytes
            chosen.give_up()
            if chosen.closed():
                self._in_sockets = max(0, self._in_sockets - in_socket)
            if self.held_bytes <= limit:
                return

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(CHECK_INTERVAL_S, self._check_all)

    def _check_all(self) -> None:
        """Close overdue connections, and count what is in the buffers of sockets."""
        self._check = None
        if not self._streams:
            self._in_sockets = 0
            return
        self._schedule_check()
        now = self._clock.now()
        paused, self._checked_at = now - self._checked_at > PAUSE_S, now
        in_sockets = 0
        rules = self._rules()
        for stream in list(self._streams):
            if paused:
                stream.restart_times()
            holding = stream.holding()
            reason = overdue(holding, rules)
            if reason is None:
                in_sockets += holding.held_bytes - stream.held_bytes
                continue
            self.record(reason, holding)
            with contextlib.suppress(OSError):
                stream.close()
        self._in_sockets = in_sockets
        self._make_room()
