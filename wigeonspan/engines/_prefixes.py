"""Hashes of prompt prefixes, as engines name them in cache events."""

import hashlib

PIECE_TOKENS = 16
"""Tokens in one piece of KV memory; prefixes are cached in whole pieces."""

MAX_PREFIXES = 256
"""Prefixes computed for one prompt. Routing looks each of them up for each sampled
engine, and 4,096 tokens tell prompts of the same template apart."""


def count_tokens(prompt: str) -> int:
    """Return the number of prompt tokens: words separated by white space."""
    return len(prompt.split())


def prefix_hashes(prompt: str) -> list[tuple[str, int]]:
    """Return hash and length of the prompt's prefixes, shortest first.

    Parameters
    ----------
    prompt : str
        Whole prompt.

    Returns
    -------
    list of (str, int)
        SHA-256 in hexadecimal of the prefix's tokens joined by one space, and their
        number.
    """
    tokens = prompt.split(None, PIECE_TOKENS * MAX_PREFIXES)
    tokens = tokens[: PIECE_TOKENS * MAX_PREFIXES]
    digest = hashlib.sha256()
    prefixes = []
    for start in range(0, len(tokens) - PIECE_TOKENS + 1, PIECE_TOKENS):
        piece = " ".join(tokens[start : start + PIECE_TOKENS])
        digest.update(f" {piece}".encode() if start else piece.encode())
        prefixes.append((digest.copy().hexdigest(), start + PIECE_TOKENS))
    return prefixes
