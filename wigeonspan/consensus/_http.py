"""Route for consensus messages."""

from collections.abc import Callable

from wigeonspan.consensus._messages import Message, MessageBatch, Received
from wigeonspan.http import JsonHandler


class RaftHandler(JsonHandler):
    """Takes consensus messages."""

    def initialize(self, receive: Callable[[list[Message]], None]) -> None:
        """Note where messages go."""
        self._receive = receive

    def post(self) -> None:
        """Hand the messages to the core."""
        batch = self.read_message(MessageBatch)
        self._receive(batch.messages)
        self.send_message(Received(len(batch.messages)))
