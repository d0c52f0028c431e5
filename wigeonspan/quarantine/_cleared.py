"""Parts on which an answer was written after they had been suspected."""

from collections import OrderedDict

from msgspec import Struct

MAX_CLEARED = 1000
"""Maximum number of cleared parts that are remembered."""


class _Cleared(Struct, eq=False):
    """Time of the answer, and the time to repeat it to an entry that missed it."""

    at: float
    answer_at: float | None = None


class ClearedParts:
    """Cleared parts, which verdicts from before the answer must not bring back."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, _Cleared] = OrderedDict()

    def __contains__(self, part: str) -> bool:
        return part in self._parts

    def record(self, part: str, written_at: float) -> None:
        """Record an answer on a part; the oldest parts are forgotten first."""
        known = self._parts.pop(part, None)
        at = written_at if known is None else max(known.at, written_at)
        self._parts[part] = _Cleared(at)
        while len(self._parts) > MAX_CLEARED:
            self._parts.popitem(last=False)

    def is_cleared_since(self, part: str, since: float) -> bool:
        """Return whether an answer on a part was written at a time or later."""
        known = self._parts.get(part)
        return known is not None and known.at >= since

    def schedule_answer(self, part: str, answer_at: float) -> None:
        """Repeat that a part is cleared to an entry that still announces a verdict."""
        known = self._parts[part]
        if known.answer_at is None:
            known.answer_at = answer_at

    def due_answers(self, now: float) -> list[tuple[str, float]]:
        """Return the parts of which to repeat that they are cleared, with the ages."""
        due = []
        for part, known in self._parts.items():
            if known.answer_at is not None and known.answer_at <= now:
                known.answer_at = None
                due.append((part, max(0.0, now - known.at)))
        return due
