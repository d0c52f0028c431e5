"""Messages from an entry to whichever control host leads."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.http import post_message

T = TypeVar("T")

POST_TIMEOUT_S = 1.0
"""Longest wait for one control host; a frozen leader must leave time for the next."""

RETRY_S = 0.1
"""Mean pause after an answer that names no leader, while an election runs."""

_OTHER_HOST = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM})


class ControlLink:
    """Sends messages to the leader and follows its changes.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client to use.
    addresses : sequence of str
        Internal addresses of the control hosts.
    leader : callable
        Returns the leader's address as last seen, or an empty text.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        addresses: Sequence[str],
        leader: Callable[[], str],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._addresses = list(addresses)
        self._leader = leader
        self._clock = clock
        self._rng = rng
        self._next = 0

    async def post(self, path: str, message: Any, reply: type[T], deadline: float) -> T:
        """Send a message until a leader answers it.

        Parameters
        ----------
        path : str
            Path at the control host.
        message : Any
            Message that may be applied more than once.
        reply : type
            Type of the reply.
        deadline : float
            Monotonic time in seconds at which to give up.

        Raises
        ------
        WigeonspanError
            The last error of the control hosts, once the time is up; any other kind
            than ``NOT_LEADER`` and ``NO_QUORUM`` at once.
        """
        address = self._leader() or self._rotate()
        while True:
            remaining = deadline - self._clock.now()
            try:
                return await post_message(
                    self._client,
                    f"http://{address}{path}",
                    message,
                    reply,
                    max(0.05, min(POST_TIMEOUT_S, remaining)),
                )
            except WigeonspanError as error:
                pause_s = RETRY_S * self._rng.uniform(0.5, 1.5)
                late = self._clock.now() + pause_s >= deadline
                if error.kind not in _OTHER_HOST or late:
                    raise
                address = error.leader or self._rotate()
            await asyncio.sleep(pause_s)

    def _rotate(self) -> str:
        self._next += 1
        return self._addresses[self._next % len(self._addresses)]
