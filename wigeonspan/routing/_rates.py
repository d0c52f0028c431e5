"""Rates of the requests that an entry sends, as a sign of what others send."""

import math

from wigeonspan.routing._load import Unseen

WINDOW_S = 5.0
"""Time constant of the rates; long against single prompts, short against a turn of
the mix."""


class SentRate:
    """Decaying mean of what this entry sent of one service."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._requests = 0.0
        self._at = 0.0

    def note(self, prompt_tokens: float, now: float) -> None:
        """Note that a request was sent."""
        self._decay(now)
        self._tokens += prompt_tokens
        self._requests += 1

    def for_others(self, others: int, engines: int, now: float) -> Unseen:
        """Return what other entries probably send to each of the engines.

        Callers spread over the entries, so each other entry sends about as much as
        this one. Single requests of this entry say nothing about the engine that others
        chose, so their work is assumed to spread evenly.
        """
        self._decay(now)
        factor = others / max(1, engines) / WINDOW_S
        return Unseen(self._tokens * factor, self._requests * factor, others)

    def _decay(self, now: float) -> None:
        part = math.exp(-max(0.0, now - self._at) / WINDOW_S)
        self._tokens *= part
        self._requests *= part
        self._at = now
