"""Client of the operators' service that finds the leader and retries calls."""

import time
from collections.abc import Callable
from typing import Any

import grpc

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.operators._status import read_error, read_leader_address
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc

ATTEMPT_TIMEOUT_S = 3.0
"""Timeout of one attempt, in seconds; a leader election takes about 2.5 s."""

RETRY_PAUSE_S = 0.2
"""Pause in seconds after a call has failed on all hosts, before the next round."""

MAX_REDIRECT_CHAIN = 3
"""Maximum number of hosts in a chain of redirects; stale redirects can form a loop."""

_RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.NOT_LEADER,
        ErrorKind.NO_QUORUM,
        ErrorKind.LEASE_EXPIRED,
        ErrorKind.DRAINING,
        ErrorKind.INTERNAL,
    }
)
"""Error kinds after which another host or a later attempt may succeed."""

_RETRYABLE_CODES = frozenset(
    {
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED,
        grpc.StatusCode.CANCELLED,
        grpc.StatusCode.UNKNOWN,
    }
)
"""gRPC status codes of calls that may have ended without a service response."""


class ControlUnreachable(Exception):
    """No control host gave a final response, so the outcome of a change is unknown.

    Parameters
    ----------
    message : str
        Description of the last failed attempt.
    op_id : str
        Operation id of the change; empty for a query.
    """

    def __init__(self, message: str, op_id: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.op_id = op_id


class OperatorClient:
    """Client that calls the operators' service on the leading control host.

    A call tries one host after another until one gives a final response. Changes carry
    an operation id, so resending one after a lost response is safe.

    Parameters
    ----------
    addresses : list of str
        Operators' addresses of the control hosts.
    timeout_s : float
        Time limit of one call including its retries, in seconds.
    now : callable
        Returns the monotonic time in seconds.
    pause : callable
        Sleeps for a number of seconds.
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
            Request; sent unchanged on every attempt.

        Returns
        -------
        Message
            Response of a control host.

        Raises
        ------
        WigeonspanError
            When a control host rejects the call with an error that a retry cannot
            resolve.
        ControlUnreachable
            When no host gave a final response within the time limit.
        """
        deadline = self._now() + self._timeout_s
        failure = "no control address is configured"
        while True:
            for address in self._addresses_to_try():
                reply, failure = self._call_host(method, request, address, deadline)
                if reply is not None:
                    return reply
                if self._now() >= deadline:
                    raise ControlUnreachable(failure)
            if self._now() + RETRY_PAUSE_S >= deadline:
                raise ControlUnreachable(failure)
            self._pause(RETRY_PAUSE_S)

    def _addresses_to_try(self) -> list[str]:
        """Return all addresses, starting with the host that answered the last call."""
        others = [a for a in self._addresses if a != self._preferred]
        return [self._preferred, *others] if self._preferred else others

    def _call_host(
        self, method: str, request: Any, address: str, deadline: float
    ) -> tuple[Any, str]:
        """Call one host and follow its redirects to the leader.

        Returns the response and an empty string, or None and the last failure.
        """
        failure = ""
        for _ in range(MAX_REDIRECT_CHAIN):
            timeout_s = min(ATTEMPT_TIMEOUT_S, deadline - self._now())
            if timeout_s <= 0:
                break
            try:
                reply = self._stub_method(address, method)(request, timeout=timeout_s)
            except grpc.RpcError as error:
                leader_address = read_leader_address(error)
                failure = _describe_failure(address, error)
                self._preferred = ""
                if not leader_address or leader_address == address:
                    break
                address = leader_address
                continue
            self._preferred = address
            return reply, ""
        return None, failure or "the call timed out"

    def _stub_method(self, address: str, method: str) -> Any:
        """Return the stub of a method on one host; connections are reused."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = grpc.insecure_channel(
                address, options=[("grpc.enable_http_proxy", 0)]
            )
        return getattr(pb_grpc.OperatorsStub(channel), method)


def _describe_failure(address: str, error: Any) -> str:
    """Return a description of a failed attempt; raise if a retry cannot help."""
    service_error = read_error(error)
    if service_error is not None:
        if service_error.kind not in _RETRYABLE_KINDS:
            raise service_error
        return f"{address}: {service_error}"
    if error.code() not in _RETRYABLE_CODES:
        raise WigeonspanError(
            ErrorKind.BAD_REQUEST, f"{address}: {error.code().name}: {error.details()}"
        )
    return f"{address}: {error.code().name.lower()}: {error.details()}"
