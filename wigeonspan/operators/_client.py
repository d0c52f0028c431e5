"""Operators' client: finds the leader and resends safely."""

import time
from collections.abc import Callable
from typing import Any

import grpc

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.operators._status import read_error, read_leader
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc

ATTEMPT_TIMEOUT_S = 3.0
"""Longest wait for one answer; an election takes about 2.5 s."""

RETRY_PAUSE_S = 0.2
"""Pause after all known addresses failed, before they are tried again."""

MAX_HINTS = 3
"""Hints followed in a row without a pause; stale hints can form a circle."""

_PASSING = frozenset(
    {
        ErrorKind.NOT_LEADER,
        ErrorKind.NO_QUORUM,
        ErrorKind.LEASE_EXPIRED,
        ErrorKind.DRAINING,
        ErrorKind.INTERNAL,
    }
)
"""Errors after which another host or a later try may succeed."""

_NO_ANSWER = frozenset(
    {
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED,
        grpc.StatusCode.CANCELLED,
        grpc.StatusCode.UNKNOWN,
    }
)


class Unreachable(Exception):
    """No control host gave a final answer; a change may or may not have happened.

    Parameters
    ----------
    message : str
        Last failure.
    op_id : str
        Operation id of the change; empty for a query.
    """

    def __init__(self, message: str, op_id: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.op_id = op_id


class OperatorClient:
    """Client of the operators' service over several control hosts.

    A call goes to one host after another until one answers. Changes carry an
    operation id, so sending one again after a lost answer is safe.

    Parameters
    ----------
    addresses : list of str
        Operators' addresses of the control hosts.
    timeout_s : float
        Longest time for one call with all its retries, in seconds.
    now : callable
        Monotonic time in seconds.
    pause : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        addresses: list[str],
        timeout_s: float,
        now: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._now = now
        self._pause = pause
        self._channels: dict[str, grpc.Channel] = {}
        self._preferred = ""

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def call(self, method: str, request: Any) -> Any:
        """Call a method of the service on the leader.

        Parameters
        ----------
        method : str
            Name of the method, for example ``Apply``.
        request : Message
            Request; sent unchanged on every try.

        Returns
        -------
        Message
            The reply.

        Raises
        ------
        WigeonspanError
            Final error of a control host.
        Unreachable
            When no host gave a final answer in time.
        """
        deadline = self._now() + self._timeout_s
        failure = "no control address is known"
        while True:
            for address in self._order():
                reply, failure = self._try(method, request, address, deadline)
                if reply is not None:
                    return reply
                if self._now() >= deadline:
                    raise Unreachable(failure)
            if self._now() + RETRY_PAUSE_S >= deadline:
                raise Unreachable(failure)
            self._pause(RETRY_PAUSE_S)

    def _order(self) -> list[str]:
        """Return the addresses, the one that answered last first."""
        rest = [a for a in self._addresses if a != self._preferred]
        return [self._preferred, *rest] if self._preferred else rest

    def _try(
        self, method: str, request: Any, address: str, deadline: float
    ) -> tuple[Any, str]:
        """Call one host and follow its hints; return a reply or the failure."""
        failure = ""
        for _ in range(MAX_HINTS):
            timeout_s = min(ATTEMPT_TIMEOUT_S, deadline - self._now())
            if timeout_s <= 0:
                break
            try:
                reply = self._method(address, method)(request, timeout=timeout_s)
            except grpc.RpcError as error:
                hint = read_leader(error)
                failure = _failure(address, error)
                self._preferred = ""
                if not hint or hint == address:
                    break
                address = hint
                continue
            self._preferred = address
            return reply, ""
        return None, failure or "the time is over"

    def _method(self, address: str, method: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = grpc.insecure_channel(
                address, options=[("grpc.enable_http_proxy", 0)]
            )
        return getattr(pb_grpc.OperatorsStub(channel), method)


def _failure(address: str, error: Any) -> str:
    """Return what went wrong, or raise when another try cannot help."""
    known = read_error(error)
    if known is not None:
        if known.kind not in _PASSING:
            raise known
        return f"{address}: {known}"
    if error.code() not in _NO_ANSWER:
        raise WigeonspanError(
            ErrorKind.BAD_REQUEST, f"{address}: {error.code().name}: {error.details()}"
        )
    return f"{address}: {error.code().name.lower()}: {error.details()}"
