"""Internal HTTP routes of the control daemon."""

import msgspec

from wigeonspan.calls import CloseCall, OpenCall
from wigeonspan.common import Clock, encode
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.controld._access import LeaderAccess
from wigeonspan.http import JsonHandler

OPEN_CALL_PATH = "/internal/v1/calls/open"
"""Path at which the leader takes intents of at-most-once calls."""

CLOSE_CALL_PATH = "/internal/v1/calls/close"
"""Path at which the leader takes their outcomes."""


class CallHandler(JsonHandler):
    """Commits the opening or closing of an at-most-once call."""

    def initialize(
        self,
        kind: type[OpenCall] | type[CloseCall],
        log: ReplicatedLog,
        clock: Clock,
    ) -> None:
        """Take the parts that the handler needs.

        Parameters
        ----------
        kind : type
            Command that this path takes.
        log : ReplicatedLog
            Log to commit to.
        clock : Clock
            Source of time.
        """
        self._kind = kind
        self._replicated = log
        self._clock = clock

    async def post(self) -> None:
        """Commit the command and answer with its result."""
        command: OpenCall | CloseCall = self.read_message(self._kind)
        LeaderAccess(self._replicated, self._clock).check_leader()
        # All times in the replicated state come from the leader's clock.
        stamped = msgspec.structs.replace(command, wall_ms=self._clock.wall_ms())
        _, reply = await self._replicated.propose(encode(stamped))
        self.send_message(reply)
