"""Internal HTTP routes of a control host."""

from collections.abc import Callable

from wigeonspan.coordinator._group import JoinReply
from wigeonspan.coordinator._membership import Candidate
from wigeonspan.http import JsonHandler
from wigeonspan.presence import Beat, BeatReply


class BeatHandler(JsonHandler):
    """Receives heartbeats of entries."""

    def initialize(self, take: Callable[[Beat], BeatReply]) -> None:
        """Set the function that processes a heartbeat."""
        self._receive_beat = take

    def post(self) -> None:
        """Process a heartbeat and send the reply."""
        self.send_message(self._receive_beat(self.read_message(Beat)))


class JoinHandler(JsonHandler):
    """Receives requests of hosts to join the control group."""

    def initialize(self, ask: Callable[[Candidate], JoinReply]) -> None:
        """Set the function that processes a request to join."""
        self._receive_join_request = ask

    def post(self) -> None:
        """Process a request to join and send the reply."""
        self.send_message(self._receive_join_request(self.read_message(Candidate)))


class MetricsHandler(JsonHandler):
    """Serves the metrics in the Prometheus text format."""

    def initialize(self, text: Callable[[], bytes]) -> None:
        """Set the function that renders the metrics."""
        self._render_metrics = text

    def get(self) -> None:
        """Send all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._render_metrics())
