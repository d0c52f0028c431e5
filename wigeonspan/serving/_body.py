"""Buffer of a body that arrives in parts."""

BLOCK_BYTES = 64 * 1024
"""Bytes that are joined to one object. An object costs about 40 bytes, which is more
than the content of a very small chunk."""

MAX_LENGTH_DIGITS = 18
"""Digits of an announced length that are read; no machine has more bytes, and Python
reads no number of thousands of digits."""


def announced_bytes(content_length: str) -> int:
    """Return the length that the ``Content-Length`` field of a head announces.

    It is 0 when the field names none.
    """
    if not (content_length.isascii() and content_length.isdigit()):
        return 0
    if len(content_length.lstrip("0")) > MAX_LENGTH_DIGITS:
        return 10**MAX_LENGTH_DIGITS
    return int(content_length)


class BodyBuffer:
    """Bytes of a body; they cost little more than their number in any division."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, part: bytes) -> None:
        """Add the next part."""
        self._size += len(part)
        if not self._tail and len(part) >= BLOCK_BYTES:
            self._blocks.append(part)
            return
        self._tail += part
        if len(self._tail) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail = bytearray()

    def take(self) -> bytes:
        """Return all bytes and forget them."""
        if self._tail:
            self._blocks.append(bytes(self._tail))
        blocks = self._blocks
        self.clear()
        return blocks[0] if len(blocks) == 1 else b"".join(blocks)

    def clear(self) -> None:
        """Forget all bytes."""
        self._blocks, self._tail, self._size = [], bytearray(), 0
