"""Prompts that prefill engines keep until another engine fetches them.

It answers seconds in which prompts are prefilled faster than they are fetched: links
between engines are slow, or many decode engines have crashed. Stored prompts do not
yield, so they take the memory of the prompts that come next.
"""

from collections import Counter

from msgspec import Struct

from wigeonspan.targets import TargetId

INITIAL_STAY_S = 1.0
"""Assumed seconds that a prompt is stored before any has been fetched; the assumed
duration of a stream, whose end shows that its prompt was fetched."""

STAY_WEIGHT = 0.05
"""Weight of a new prompt in the moving average of the time that prompts are stored."""


class _Stored(Struct):
    target: TargetId
    tokens: int
    stored_at: float


class StoredPrompts:
    """Tokens of prefilled prompts at each engine.

    Prompts are known by the name of the work that prefilled them. Those of an entry
    that is gone stay: their engine keeps them until their time to live ends.
    """

    def __init__(self) -> None:
        self._stay_s = INITIAL_STAY_S
        self._prompts: dict[str, _Stored] = {}
        # Prompt that each stream fetches.
        self._fetched_by: dict[str, str] = {}
        self._tokens: Counter[TargetId] = Counter()

    @property
    def stay_s(self) -> float:
        """Mean seconds for which prompts are stored."""
        return self._stay_s

    @property
    def open_fetches(self) -> int:
        """Number of streams that are known to fetch a prompt."""
        return len(self._fetched_by)

    def tokens(self, target: TargetId) -> int:
        """Return the tokens of the prompts that are stored at an engine."""
        return self._tokens[target]

    def add(self, prompt: str, target: TargetId, tokens: int, now: float) -> None:
        """Record a prompt that an engine has prefilled."""
        self._remove(prompt)
        self._prompts[prompt] = _Stored(target, tokens, now)
        self._tokens[target] += tokens

    def begin_fetch(self, stream: str, prompt: str) -> None:
        """Record that a stream fetches a prompt."""
        if prompt in self._prompts:
            self._fetched_by[stream] = prompt

    def end_fetch(self, stream: str, now: float, *, completed: bool) -> None:
        """Record the end of a stream.

        When it is not complete, its engine may not have fetched the prompt.
        """
        prompt = self._fetched_by.pop(stream, None)
        if not completed or prompt is None:
            return
        stored = self._remove(prompt)
        if stored is not None:
            self._stay_s += STAY_WEIGHT * (now - stored.stored_at - self._stay_s)

    def drop_fetch(self, stream: str) -> None:
        """Remove a stream whose end is not reported; its prompt may still be stored."""
        self._fetched_by.pop(stream, None)

    def discard(self, prompt: str) -> None:
        """Remove a prompt whose engine is told to discard it."""
        self._remove(prompt)

    def expire(self, now: float, ttl_s: float) -> None:
        """Remove prompts that are stored for longer than their time to live."""
        expired = []
        # The oldest prompt comes first.
        for prompt, stored in self._prompts.items():
            if now - stored.stored_at <= ttl_s:
                break
            expired.append(prompt)
        self._remove_all(expired)

    def forget(self, target: TargetId) -> None:
        """Remove the prompts of an engine that is gone or has restarted."""
        self._remove_all([p for p, s in self._prompts.items() if s.target == target])

    def _remove_all(self, prompts: list[str]) -> None:
        removed = set(prompts)
        for prompt in prompts:
            self._remove(prompt)
        if removed:
            self._fetched_by = {
                stream: prompt
                for stream, prompt in self._fetched_by.items()
                if prompt not in removed
            }

    def _remove(self, prompt: str) -> _Stored | None:
        stored = self._prompts.pop(prompt, None)
        if stored is not None:
            self._tokens[stored.target] -= stored.tokens
            if not self._tokens[stored.target]:
                del self._tokens[stored.target]
        return stored
