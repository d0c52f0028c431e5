"""Prompts that share parts, some of which crash the targets that answer them."""

import random

from msgspec import Struct

from soak._schedule import Fault

CRASHING_SHARE = 0.4
"""Share of the requests of a mix whose prompts have a crashing part."""

MIDDLE_PARTS = 4
"""Middle parts that follow the shared first part of a mix."""


class PromptMix(Struct, frozen=True):
    """First and middle parts of prompts, with and without a crashing part.

    Parameters
    ----------
    culprits : frozenset of str
        Parts that crash targets.
    crashing, sound : tuple of (str, str)
        First and middle part of prompts with and without a culprit. Sound ones have
        the first part of crashing ones unless that part is the culprit, and share their
        middle parts with prompts whose first part is.
    """

    culprits: frozenset[str]
    crashing: tuple[tuple[str, str], ...]
    sound: tuple[tuple[str, str], ...]

    def draw(self, rng: random.Random) -> tuple[str, str]:
        """Draw the first and the middle part of a prompt."""
        is_crashing = rng.random() < CRASHING_SHARE
        return rng.choice(self.crashing if is_crashing else self.sound)


def draw_prompt_mix(fault: Fault, rng: random.Random) -> PromptMix:
    """Draw one or two culprits: middle parts mostly, or first parts."""
    first, other = f"c{fault.victim}", f"f{fault.victim}"
    middles = [f"d{fault.victim}-{number}" for number in range(MIDDLE_PARTS)]
    pairs = [(first, middle) for middle in middles]
    pairs += [(other, middle) for middle in middles]
    culprits = rng.choice(
        (
            {middles[0]},
            {middles[0]},
            {middles[0]},
            {middles[0], middles[1]},
            {other},
            {other, middles[0]},
        )
    )
    return PromptMix(
        frozenset(culprits),
        tuple(pair for pair in pairs if culprits.intersection(pair)),
        tuple(pair for pair in pairs if not culprits.intersection(pair)),
    )
