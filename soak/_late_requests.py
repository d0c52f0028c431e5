"""Requests around a planned stop, on connections that were opened before it."""

import random

from msgspec import Struct

REQUESTS = 120
"""Number of connections that are opened to an entry before its stop. Each carries one
request. With 80, an entry ended 3.6 s after the signal because no request was open."""

EARLY_REQUESTS = 15
"""Requests among them that are sent shortly before the stop signal."""

MIN_EARLY_S = 0.1
MAX_EARLY_S = 0.4
"""Bounds of the seconds from such a request to the stop signal."""

MAX_LATE_S = 7.5
"""Largest time in seconds from the stop signal to a request."""

STREAM_SHARE = 0.75
LARGE_SHARE = 0.1
SLOW_BODY_SHARE = 0.2
"""Shares of the streams among the requests, of the streams with large events, whose
callers read slowly, and of the requests whose body is sent in parts."""

EVENTS = (10, 45)
"""Bounds of the number of events. Streams take 0.4 to 1.8 s, and slow ones up to 7.2 s,
which is longer than their deadline."""

BODY_S = (1.0, 3.0)
"""Bounds of the seconds over which the parts of a body are sent."""

PLAIN_PATHS = ("/book/", "/read/")
STREAM_PATHS = ("/single/", "/resumable/")


class LateRequest(Struct, frozen=True):
    """Request on a connection that was opened before a planned stop.

    Parameters
    ----------
    after_s : float
        Seconds from the stop signal to the request; negative for one before it.
    route : str
        Path of its route.
    events : int
        Events of the stream; 0 for a plain call.
    large : bool
        Whether its events are large and its caller reads them slowly.
    body_s : float
        Seconds over which the body is sent.
    """

    after_s: float
    route: str
    events: int
    large: bool
    body_s: float


def draw_late_requests(rng: random.Random) -> list[LateRequest]:
    """Draw the requests around one stop."""
    requests = []
    for number in range(REQUESTS):
        early = number < EARLY_REQUESTS
        is_stream = rng.random() < STREAM_SHARE
        slow_body = rng.random() < SLOW_BODY_SHARE
        request = LateRequest(
            -rng.uniform(MIN_EARLY_S, MAX_EARLY_S)
            if early
            else rng.uniform(0.0, MAX_LATE_S),
            rng.choice(STREAM_PATHS if is_stream else PLAIN_PATHS),
            rng.randint(*EVENTS) if is_stream else 0,
            is_stream and rng.random() < LARGE_SHARE,
            rng.uniform(*BODY_S) if slow_body else 0.0,
        )
        requests.append(request)
    return requests
