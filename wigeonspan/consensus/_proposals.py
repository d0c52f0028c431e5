"""Proposals whose entry is not committed yet."""

import asyncio
from typing import Any

from wigeonspan.common import ErrorKind, LogIndex, Term, WigeonspanError
from wigeonspan.consensus._messages import Entry


class PendingProposals:
    """Futures of the proposals made on this host, by index and term."""

    def __init__(self) -> None:
        self._futures: dict[LogIndex, tuple[Term, asyncio.Future[Any]]] = {}

    def add(self, entry: Entry) -> "asyncio.Future[Any]":
        """Return a new future for an entry that was just appended.

        An older proposal at the same index was replaced in a leader's log and can no
        longer be committed, so it fails.
        """
        self._fail(entry.index, ErrorKind.NOT_LEADER, "another entry took its place")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[entry.index] = (entry.term, future)
        return future

    def resolve(self, entry: Entry, result: Any) -> None:
        """Complete the proposal at the index of a committed entry."""
        term, future = self._futures.get(entry.index, (None, None))
        if future is None:
            return
        if term != entry.term:
            self._fail(entry.index, ErrorKind.NOT_LEADER, "another entry was chosen")
            return
        del self._futures[entry.index]
        if not future.done():
            future.set_result(result)

    def forget(self, entry: Entry) -> None:
        """Remove a proposal that no caller waits for any more."""
        if self._futures.get(entry.index, (None,))[0] == entry.term:
            del self._futures[entry.index]

    def fail_after(self, index: LogIndex, kind: ErrorKind, message: str) -> None:
        """Fail the proposals after an index; they are in no log."""
        for later in [i for i in self._futures if i > index]:
            self._fail(later, kind, message)

    def fail_up_to(self, index: LogIndex) -> None:
        """Fail the proposals that a snapshot covers; their outcome is unknown."""
        for earlier in [i for i in self._futures if i <= index]:
            self._fail(
                earlier,
                ErrorKind.NO_QUORUM,
                "the outcome is not known here",
            )

    def fail_all(self, message: str) -> None:
        """Fail all proposals with an unknown outcome."""
        for index in list(self._futures):
            self._fail(index, ErrorKind.NO_QUORUM, message)

    def _fail(self, index: LogIndex, kind: ErrorKind, message: str) -> None:
        _, future = self._futures.pop(index, (None, None))
        if future is not None and not future.done():
            future.set_exception(WigeonspanError(kind, message))
