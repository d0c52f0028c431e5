"""Keys of parts, and the parts on which answers were written recently."""

from hashlib import blake2s

MAX_KEY_CHARS = 32
"""Maximum length of a part's id that is kept as it is; longer ones are replaced by a
digest, so that memory is bounded, and so are those that are not ASCII, since a lone
surrogate cannot be sent to other entries."""

MAX_WRITTEN_PARTS = 4096
"""Number of parts after which a new generation of written parts begins."""

WRITTEN_GENERATION_S = 600.0
"""Seconds after which a new generation of written parts begins. Parts are remembered
for one to two generations."""


def part_key(part: str) -> str:
    """Return the key by which a part is kept."""
    if len(part) <= MAX_KEY_CHARS and part.isascii():
        return part
    return (
        "#" + blake2s(part.encode(errors="surrogatepass"), digest_size=15).hexdigest()
    )


class WrittenParts:
    """Parts on which this entry has recently seen an answer."""

    def __init__(self) -> None:
        self._current: set[str] = set()
        self._previous: set[str] = set()
        self._began_at = 0.0

    def __contains__(self, part: str) -> bool:
        return part in self._current or part in self._previous

    def add(self, part: str, now: float) -> None:
        """Record an answer on a part."""
        if part in self._current:
            return
        if (
            len(self._current) >= MAX_WRITTEN_PARTS
            or now - self._began_at > WRITTEN_GENERATION_S
        ):
            self._previous, self._current = self._current, set()
            self._began_at = now
        self._current.add(part)
