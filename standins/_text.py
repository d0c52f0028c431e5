"""Deterministic tokens and text of the stand-in engine."""

import hashlib

PIECE_TOKENS = 16
"""Tokens in one piece (block) of KV memory."""


def split_tokens(prompt: str) -> list[str]:
    """Return the tokens of a prompt: its words."""
    return prompt.split()


def answer_token(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt.

    It depends only on prompt and position, so tests can predict complete and resumed
    answers.
    """
    digest = hashlib.sha256(f"{position}\n{prompt}".encode()).hexdigest()
    return f" {digest[:6]}"


def answer_text(prompt: str, count: int, start: int = 0) -> str:
    """Return the text of the answer from ``start`` up to, not including, ``count``."""
    return "".join(answer_token(prompt, position) for position in range(start, count))


def prefix_hashes(tokens: list[str]) -> list[tuple[str, int]]:
    """Return hash and length in tokens of each prefix that ends at a piece boundary."""
    digest = hashlib.sha256()
    prefixes = []
    for position, token in enumerate(tokens):
        digest.update(token.encode() if position == 0 else f" {token}".encode())
        if (position + 1) % PIECE_TOKENS == 0:
            prefixes.append((digest.copy().hexdigest(), position + 1))
    return prefixes
