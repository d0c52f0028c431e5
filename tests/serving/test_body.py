"""Tests of the buffer of a body that arrives in parts."""

import tracemalloc

import pytest

from wigeonspan.serving import BodyBuffer


@pytest.mark.parametrize("part_bytes", [1, 2, 100, 65536, 200_000])
def test_bytes_are_the_same_in_any_division(part_bytes):
    """Joining parts to blocks lost, repeated or exchanged bytes."""
    data = bytes(n * n % 251 for n in range(300_000))
    buffer = BodyBuffer()
    for start in range(0, len(data), part_bytes):
        buffer.append(data[start : start + part_bytes])
    assert len(buffer) == len(data)
    assert buffer.take() == data
    assert len(buffer) == 0 and buffer.take() == b""


@pytest.mark.parametrize("part_bytes", [2, 16])
def test_small_parts_cost_little_more_than_their_bytes(part_bytes):
    """Each part was an object of its own, with twenty times the memory of its bytes."""
    size = 400_000
    tracemalloc.start()
    try:
        buffer = BodyBuffer()
        for number in range(size // part_bytes):
            buffer.append(b"%02d" % (number % 100) * (part_bytes // 2))
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 1.25 * size
