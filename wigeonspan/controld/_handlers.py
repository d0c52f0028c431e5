"""Internal HTTP routes of the control daemon."""

import msgspec

from wigeonspan.calls import CloseCall, OpenCall
from wigeonspan.common import Clock, encode
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.controld._access import LeaderAccess
from wigeonspan.http import JsonHandler

OPEN_CALL_PATH = "/internal/v1/calls/open"
"""Path where the leader receives requests to open an at-most-once call."""

CLOSE_CALL_PATH = "/internal/v1/calls/close"
"""Path where the leader receives the outcome of an at-most-once call."""


class CallHandler(JsonHandler):
    """Commits the opening or closing of an at-most-once call."""

    def initialize(
        self,
        kind: type[OpenCall] | type[CloseCall],
        log: ReplicatedLog,
        clock: Clock,
    ) -> None:
        """Set the dependencies of the handler.

        Parameters
        ----------
        kind : type
            Type of the command that this path accepts.
        log : ReplicatedLog
            Log to commit to.
        clock : Clock
            Source of time.
        """
        self._kind = kind
        self._replicated_log = log
        self._clock = clock

    async def post(self) -> None:
        """Commit the command and respond with its result."""
        command: OpenCall | CloseCall = self.read_message(self._kind)
        LeaderAccess(self._replicated_log, self._clock).check_leader()
        # All times in the replicated state come from the leader's clock, so an entry's
        # clock can't decide when a key expires.
        stamped = msgspec.structs.replace(command, wall_ms=self._clock.wall_ms())
        _, reply = await self._replicated_log.propose(encode(stamped))
        self.send_message(reply)
