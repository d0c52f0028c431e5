"""Proposals that wait for their entry to be committed."""

import asyncio
from typing import Any

from wigeonspan.common import ErrorKind, LogIndex, Term, WigeonspanError
from wigeonspan.consensus._messages import Entry


class Waiting:
    """Futures of the proposals of this host, by index and term."""

    def __init__(self) -> None:
        self._futures: dict[LogIndex, tuple[Term, asyncio.Future[Any]]] = {}

    def add(self, entry: Entry) -> "asyncio.Future[Any]":
        """Return the future for an entry that was just appended.

        An older proposal at the same index was replaced in the log of a leader, so it
        can no longer be committed.
        """
        self._refuse(entry.index, ErrorKind.NOT_LEADER, "another entry took its place")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[entry.index] = (entry.term, future)
        return future

    def resolve(self, entry: Entry, result: Any) -> None:
        """Answer the proposal whose index is committed."""
        term, future = self._futures.get(entry.index, (None, None))
        if future is None:
            return
        if term != entry.term:
            self._refuse(entry.index, ErrorKind.NOT_LEADER, "another entry was chosen")
            return
        del self._futures[entry.index]
        if not future.done():
            future.set_result(result)

    def forget(self, entry: Entry) -> None:
        """Drop a proposal that no one waits for any more."""
        if self._futures.get(entry.index, (None,))[0] == entry.term:
            del self._futures[entry.index]

    def refuse_after(self, index: LogIndex, kind: ErrorKind, message: str) -> None:
        """Refuse the proposals after an index; they are in no log."""
        for later in [i for i in self._futures if i > index]:
            self._refuse(later, kind, message)

    def refuse_up_to(self, index: LogIndex) -> None:
        """Answer that the fate of proposals is unknown: a snapshot covers them."""
        for earlier in [i for i in self._futures if i <= index]:
            self._refuse(earlier, ErrorKind.NO_QUORUM, "the outcome is not known here")

    def refuse_all(self, message: str) -> None:
        """Answer that the fate of all proposals is unknown."""
        for index in list(self._futures):
            self._refuse(index, ErrorKind.NO_QUORUM, message)

    def _refuse(self, index: LogIndex, kind: ErrorKind, message: str) -> None:
        _, future = self._futures.pop(index, (None, None))
        if future is not None and not future.done():
            future.set_exception(WigeonspanError(kind, message))
