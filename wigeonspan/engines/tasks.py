"""Client, connections and poller of the engine protocol.

They are separate from the messages in :mod:`wigeonspan.engines` because they import
curl.
"""

from wigeonspan.engines._client import EngineClient, EngineStream, StreamListener
from wigeonspan.engines._connections import (
    MAX_IDLE_S,
    Exchange,
    ExchangeEnd,
    TargetConnections,
)
from wigeonspan.engines._frames import END_MARKER, FrameError, parse_frame
from wigeonspan.engines._poller import EnginePoller, PollSettings, PollSink

__all__ = [
    "END_MARKER",
    "MAX_IDLE_S",
    "EngineClient",
    "EnginePoller",
    "EngineStream",
    "Exchange",
    "ExchangeEnd",
    "FrameError",
    "PollSettings",
    "PollSink",
    "StreamListener",
    "TargetConnections",
    "parse_frame",
]
