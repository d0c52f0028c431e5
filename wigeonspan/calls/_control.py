"""Client that sends messages of an entry to the leading control host."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.common import Clock, ErrorKind, WigeonspanError
from wigeonspan.http import post_message

T = TypeVar("T")

POST_TIMEOUT_S = 1.0
"""Timeout in seconds of a request to one control host; when the leader is frozen,
time must remain to try the next host."""

RETRY_PAUSE_S = 0.1
"""Mean pause in seconds before a message is sent again, such as during an election."""

_RETRYABLE_KINDS = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM})


class LeaderClient:
    """Sends messages to the leader and follows leader changes.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client that sends the requests.
    addresses : sequence of str
        Internal addresses of the control hosts.
    leader : callable
        Returns the last known address of the leader, or an empty string.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of the jitter of pauses.
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
        self._address_index = 0

    async def post(self, path: str, message: Any, reply: type[T], deadline: float) -> T:
        """Send a message repeatedly until a leader replies or the time is up.

        Parameters
        ----------
        path : str
            URL path of the request.
        message : Any
            Message; applying it more than once must be safe.
        reply : type
            Type of the reply.
        deadline : float
            Monotonic time in seconds at which to give up.

        Raises
        ------
        WigeonspanError
            The last error of the control hosts, once the time is up; errors other
            than ``NOT_LEADER`` and ``NO_QUORUM`` immediately.
        """
        address = self._leader() or self._next_address()
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
                pause_s = RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5)
                out_of_time = self._clock.now() + pause_s >= deadline
                if error.kind not in _RETRYABLE_KINDS or out_of_time:
                    raise
                address = error.leader or self._next_address()
            await asyncio.sleep(pause_s)

    def _next_address(self) -> str:
        self._address_index += 1
        return self._addresses[self._address_index % len(self._addresses)]
