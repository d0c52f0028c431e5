"""Internal HTTP routes of a control host."""

from collections.abc import Callable

from wigeonspan.coordinator._group import Joined
from wigeonspan.coordinator._membership import Candidate
from wigeonspan.http import JsonHandler
from wigeonspan.presence import Beat, BeatReply


class BeatHandler(JsonHandler):
    """Takes heartbeats of entries."""

    def initialize(self, take: Callable[[Beat], BeatReply]) -> None:
        """Note where heartbeats go."""
        self._take = take

    def post(self) -> None:
        """Answer a heartbeat."""
        self.send_message(self._take(self.read_message(Beat)))


class JoinHandler(JsonHandler):
    """Takes requests of hosts to be members."""

    def initialize(self, ask: Callable[[Candidate], Joined]) -> None:
        """Note where requests go."""
        self._ask = ask

    def post(self) -> None:
        """Answer a request to join."""
        self.send_message(self._ask(self.read_message(Candidate)))


class MetricsHandler(JsonHandler):
    """Serves metrics as text."""

    def initialize(self, text: Callable[[], bytes]) -> None:
        """Note where metrics come from."""
        self._text = text

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._text())
