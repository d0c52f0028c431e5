"""HTTP handler for consensus messages."""

from collections.abc import Callable

from wigeonspan.consensus._messages import BatchReply, Message, MessageBatch
from wigeonspan.http import JsonHandler


class RaftHandler(JsonHandler):
    """Receives batches of consensus messages from other members."""

    def initialize(self, receive: Callable[[list[Message]], None]) -> None:
        """Store the callback that processes messages."""
        self._receive = receive

    def post(self) -> None:
        """Pass the messages to the callback and reply with their count."""
        batch = self.read_message(MessageBatch)
        self._receive(batch.messages)
        self.send_message(BatchReply(len(batch.messages)))
