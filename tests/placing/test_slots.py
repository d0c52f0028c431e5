"""Tests of the forecast of the wait for a stream's slot."""

from collections import Counter

import pytest

from wigeonspan.placing._slots import INITIAL_STREAM_S, SlotForecast


@pytest.mark.parametrize("slots", [12, 64])
def test_stream_does_not_wait_for_a_free_slot(slots):
    """A wait before the slots are taken would refuse requests at idle engines."""
    forecast = SlotForecast()
    assert forecast.wait_ms(slots, Counter({0: slots - 1}), 0) == 0.0
    assert forecast.wait_ms(slots, Counter({0: slots}), 0) > 0.0


def test_wait_depends_on_the_slots_of_the_engine():
    """With 20 ms for each waiting stream, which fits 64 slots, engines with 12 slots
    got streams that they could not start in time."""
    forecast = SlotForecast()
    few, many = (
        forecast.wait_ms(slots, Counter({0: slots + 5}), 0) for slots in (12, 64)
    )
    assert few == pytest.approx(6 * INITIAL_STREAM_S * 1000.0 / 12)
    assert many == pytest.approx(6 * INITIAL_STREAM_S * 1000.0 / 64)


def test_less_urgent_streams_without_a_slot_are_no_wait():
    """Engines give the next slot to the most urgent stream."""
    forecast = SlotForecast()
    assert forecast.wait_ms(12, Counter({0: 4, 3: 40}), 0) == 0.0
    assert forecast.wait_ms(12, Counter({0: 4, 3: 40}), 3) > 0.0


def test_more_urgent_streams_extend_the_wait():
    """Streams that are overtaken were expected in time, then abandoned."""
    forecast = SlotForecast()
    alone = forecast.wait_ms(12, Counter({3: 20}), 3)
    overtaken = forecast.wait_ms(12, Counter({0: 8, 3: 12}), 3)
    assert overtaken > 2.0 * alone


def test_durations_are_learned_by_urgency():
    """Short streams would otherwise count like the long ones behind them."""
    forecast = SlotForecast()
    for _ in range(200):
        forecast.record_stream(0, 0.05)
        forecast.record_stream(3, 1.6)
    short, long = (forecast.wait_ms(12, Counter({rank: 24}), rank) for rank in (0, 3))
    assert long > 20.0 * short
    assert 0.05 < forecast.stream_s < 1.6


def test_prompts_in_prefill_keep_no_slots():
    """A long queue for prefill was taken for slots in use by more urgent streams."""
    forecast = SlotForecast()
    coming = Counter({0: 80})
    wait = forecast.wait_ms(64, Counter({0: 10}), 3, coming)
    assert wait < 2.0 * forecast.wait_ms(64, Counter(), 3, Counter({0: 90}))
