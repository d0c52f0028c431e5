"""Hashes of prompt prefixes, as used in the cache events of engines."""

import hashlib

PIECE_TOKENS = 16
"""Tokens in one block of KV cache memory; engines cache prefixes of complete blocks."""

MAX_PREFIXES = 256
"""Largest number of prefixes that are hashed for one prompt. Routing looks each of them
up for each sampled engine, and 4,096 tokens are enough to distinguish prompts that have
a common template."""


def count_tokens(prompt: str) -> int:
    """Return the number of prompt tokens: words separated by white space."""
    return len(prompt.split())


def prefix_hashes(prompt: str) -> list[tuple[str, int]]:
    """Return the hash and length of each prefix of a prompt, shortest first.

    Parameters
    ----------
    prompt : str
        Complete prompt.

    Returns
    -------
    list of (str, int)
        SHA-256 in hexadecimal of the prefix's tokens, joined by one space, and the
        number of these tokens.
    """
    tokens = prompt.split(None, PIECE_TOKENS * MAX_PREFIXES)
    tokens = tokens[: PIECE_TOKENS * MAX_PREFIXES]
    digest = hashlib.sha256()
    prefixes = []
    for start in range(0, len(tokens) - PIECE_TOKENS + 1, PIECE_TOKENS):
        block = " ".join(tokens[start : start + PIECE_TOKENS])
        digest.update(f" {block}".encode() if start else block.encode())
        prefixes.append((digest.copy().hexdigest(), start + PIECE_TOKENS))
    return prefixes
