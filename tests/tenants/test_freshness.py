"""Tests of when the known keys may be used."""

from wigeonspan.tenants import ConfigFreshness


def run_until(freshness, start, end):
    """Record a turn every 0.1 s, as the housekeeping of a gateway does."""
    for step in range(round((end - start) * 10) + 1):
        freshness.record_turn(start + step / 10)


def test_paused_process_waits_for_a_heartbeat_of_its_own_after_the_pause():
    """Keys that were revoked during a pause were accepted after it.

    A reply that was waiting in a socket buffer confirms nothing: it is as old as the
    pause.
    """
    freshness = ConfigFreshness()
    run_until(freshness, 10.0, 12.0)
    assert freshness.is_fresh(12.0, None)
    assert not freshness.is_fresh(16.0, None)
    freshness.record_confirmation(sent_at=11.9)
    assert not freshness.is_fresh(16.1, None)
    freshness.record_confirmation(sent_at=16.0)
    assert freshness.is_fresh(16.2, None)


def test_busy_process_goes_on():
    """Turns that are late by less than a second must not cause refusals."""
    freshness = ConfigFreshness()
    for now in (1.0, 1.9, 2.8, 3.7):
        assert freshness.is_fresh(now, None)


def test_strict_entry_refuses_after_the_longest_time_without_contact():
    """With a limit, an entry that was cut off must not accept revoked keys for ever."""
    freshness = ConfigFreshness()
    run_until(freshness, 0.0, 1.0)
    assert not freshness.is_fresh(1.0, 5.0)
    freshness.record_confirmation(sent_at=1.0)
    run_until(freshness, 1.0, 6.0)
    assert freshness.is_fresh(6.0, 5.0)
    run_until(freshness, 6.0, 6.5)
    assert not freshness.is_fresh(6.5, 5.0)
    assert freshness.is_fresh(6.5, None)


def test_pause_that_a_request_noticed_is_still_reported():
    """Housekeeping asked no control host when a request came first after a pause."""
    freshness = ConfigFreshness()
    run_until(freshness, 10.0, 12.0)
    assert not freshness.is_fresh(16.0, None)
    assert freshness.record_turn(16.05)
    assert not freshness.record_turn(16.15)
