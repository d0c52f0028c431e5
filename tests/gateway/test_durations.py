"""Tests of the forecast of the time that requests take."""

import math

import pytest

from wigeonspan.gateway._durations import (
    MARGIN_FACTOR,
    MARGIN_S,
    MIN_EVENTS,
    MIN_SAMPLES,
    DurationForecast,
)


def add_stream(forecast, *, at, start_s, stream_s, tokens=40, planned_s=0.1):
    timer = forecast.begin("r", tokens, at)
    timer.planned_s = planned_s
    timer.record_event(at + start_s)
    forecast.end(timer, at + start_s + stream_s, completed=True)


def with_margin(seconds):
    return pytest.approx(seconds * MARGIN_FACTOR + MARGIN_S)


def test_unknown_requests_have_no_bound():
    """Only its deadline bounds a request of a service that was never called."""
    forecast = DurationForecast()
    assert forecast.call_s("r", 0.0) == math.inf
    assert forecast.stream_s("r", 0.1, 40, 0.0) == math.inf


def test_forecast_follows_size_and_plan():
    """A long answer must not count as long as the average one."""
    forecast = DurationForecast()
    for n in range(MIN_SAMPLES):
        add_stream(forecast, at=float(n), start_s=0.1, stream_s=0.4)
    assert forecast.stream_s("r", 0.1, 40, 9.0) == with_margin(0.5)
    assert forecast.stream_s("r", 0.3, 80, 9.0) == with_margin(1.1)


def test_late_first_events_count():
    """Placement may expect the first event too early while engines are slow."""
    forecast = DurationForecast()
    for n in range(MIN_SAMPLES):
        add_stream(forecast, at=float(n), start_s=0.4, stream_s=0.4)
    assert forecast.stream_s("r", 0.1, 40, 9.0) == with_margin(0.8)


def test_streams_in_progress_give_the_pace_before_any_has_ended():
    """An entry that stops soon after its start has not seen a stream end."""
    forecast = DurationForecast()
    timer = forecast.begin("r", 40, 0.0)
    timer.planned_s = 0.1
    for n in range(MIN_EVENTS):
        timer.record_event(0.1 + 0.1 * n)
    now = 0.1 + 0.1 * (MIN_EVENTS - 1)
    assert forecast.stream_s("r", 0.1, 40, now) == with_margin(0.1 + 4.0)


def test_streams_that_take_longer_than_earlier_ones_raise_the_forecast():
    """Engines turn slow while an entry stops; completed streams do not show it yet."""
    forecast = DurationForecast()
    for n in range(MIN_SAMPLES):
        add_stream(forecast, at=float(n), start_s=0.1, stream_s=0.4)
    timer = forecast.begin("r", 40, 10.0)
    for n in range(MIN_EVENTS):
        timer.record_event(10.1 + n)
    assert forecast.stream_s("r", 0.1, 40, 13.1) == with_margin(0.1 + 3.0)
    forecast.end(timer, 13.1, completed=False)
    assert forecast.stream_s("r", 0.1, 40, 13.1) == with_margin(0.5)


def test_slow_calls_in_progress_raise_the_forecast():
    """A call that may not be repeated must not begin if it may be cut."""
    forecast = DurationForecast()
    for n in range(MIN_SAMPLES):
        forecast.end(forecast.begin("r", 0, float(n)), n + 0.1, completed=True)
    assert forecast.call_s("r", 9.0) == with_margin(0.1)
    forecast.begin("r", 0, 9.0)
    assert forecast.call_s("r", 9.9) == with_margin(0.9)


def test_failed_requests_are_no_samples():
    """Failures are fast and would make the forecast too low."""
    forecast = DurationForecast()
    for n in range(MIN_SAMPLES):
        forecast.end(forecast.begin("r", 0, float(n)), n + 0.01, completed=False)
    assert forecast.call_s("r", 9.0) == math.inf
