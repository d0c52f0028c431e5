"""Tests of fleets whose engines crash under parts of prompts, or by themselves."""

import pytest

from tests.quarantine.fleet import Fleet, Scenario

BAD, WORSE = "bad", "worse"
BEFORE_S = 3.0
"""Seconds in which the fleet has only sound requests."""


def draw_sound(rng, now):
    """Return a template, one of 40 sessions and a part of the request's own."""
    return ("template", f"s{int(40 * rng.random() ** 2)}", f"c{rng.randrange(10**9)}")


def draw_with(*culprits, position=1, share=0.25, since=BEFORE_S):
    """Return a function that replaces a part of some requests by a culprit."""

    def draw(rng, now):
        parts = list(draw_sound(rng, now))
        if now >= since and rng.random() < share:
            parts[position] = rng.choice(culprits)
        return tuple(parts)

    return draw


def draw_pair(rng, now):
    """Return the parts of a request that may have two culprits."""
    parts = draw_sound(rng, now)
    return ("template", BAD, WORSE) if rng.random() < 0.25 else parts


SIZES = [(1, 6, 16.0), (8, 3, 16.0), (8, 6, 16.0), (83, 24, 60.0), (195, 30, 100.0)]
DRAWS = {
    "first": (draw_with(BAD, position=0), {BAD}),
    "middle": (draw_with(BAD), {BAD}),
    "at once": (draw_with(BAD, since=0.0), {BAD}),
    "pair": (draw_pair, {BAD, WORSE}),
    "side by side": (draw_with(BAD, WORSE), {BAD, WORSE}),
}


def run(scenario, seeds):
    return [Fleet(scenario, seed).run() for seed in range(seeds)]


def false_verdicts(results, culprits=frozenset()):
    return [part for r in results for part in r.verdicts if part not in culprits]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", DRAWS)
def test_all_entries_hold_back_after_the_fifth_crash(size, name):
    """Each request with the part crashed one engine more, at every entry."""
    draw, culprits = DRAWS[name]
    entries, engines, rate = size
    scenario = Scenario(
        draw, entries, engines, rate, seconds=11.0, culprits=frozenset(culprits)
    )
    for result in run(scenario, 3 if entries < 80 else 1):
        assert culprits & result.held.keys()
        for culprit in culprits:
            assert result.late_sends_of(culprit) <= 3


@pytest.mark.parametrize("name", ["middle", "pair", "side by side"])
def test_sound_parts_of_the_requests_are_not_quarantined(name):
    """The common first part was refused with the culprit, and with it all requests."""
    draw, culprits = DRAWS[name]
    scenario = Scenario(draw, seconds=15.0, culprits=frozenset(culprits))
    results = run(scenario, 10)
    assert not false_verdicts(results, culprits)
    assert sum(r.refused for r in results) == 0


@pytest.mark.parametrize("size", [(1, 6, 16.0), (8, 6, 16.0), (8, 6, 2.0)])
def test_flapping_engines_quarantine_hardly_any_part(size):
    """Parts were quarantined that were in requests without an event by chance."""
    entries, engines, rate = size
    scenario = Scenario(
        draw_sound, entries, engines, rate, 25.0, flapping=tuple(range(engines))
    )
    results = run(scenario, 8)
    requests = sum(r.requests for r in results)
    assert len(false_verdicts(results)) <= 3e-4 * requests
    assert sum(r.not_repeated for r in results) <= 5e-3 * requests


def test_plain_crashes_quarantine_no_part():
    """A rack that is lost three times in 18 s, then a release engine by engine."""
    rack = [(2.0 + 6.0 * n, engine, 4.0) for n in range(3) for engine in range(3)]
    release = [(20.0 + 1.5 * engine, engine, 2.0) for engine in range(6)]
    scenario = Scenario(draw_sound, seconds=32.0, outages=(*rack, *release))
    results = run(scenario, 8)
    assert not false_verdicts(results)
    # A request that two engines of the rack broke off looks like a culprit.
    assert sum(r.not_repeated_once for r in results) == 0
    requests = sum(r.requests for r in results)
    assert sum(r.not_repeated for r in results) <= 2e-3 * requests


def test_culprit_is_found_during_a_release():
    """The restarts of a release looked like engines that crash by themselves."""
    release = tuple((2.0 + 1.5 * engine, engine, 2.0) for engine in range(6))
    scenario = Scenario(
        draw_with(BAD), seconds=15.0, culprits=frozenset({BAD}), outages=release
    )
    results = run(scenario, 10)
    assert all(BAD in r.held and r.late_sends_of(BAD) <= 3 for r in results)
    assert not false_verdicts(results, {BAD})


@pytest.mark.parametrize("entries", [8, 83])
def test_restarted_entries_know_the_verdict_within_seconds(entries):
    """Entries that started again let requests with the part through."""
    restarts = tuple((12.0, rank) for rank in range(entries // 2))
    scenario = Scenario(
        draw_with(BAD),
        entries,
        seconds=15.0,
        culprits=frozenset({BAD}),
        restarts=restarts,
    )
    for seed in range(2):
        fleet = Fleet(scenario, seed)
        result = fleet.run()
        assert result.held and result.held[BAD] < 110.0
        assert all(entry.quarantined == (BAD,) for entry in fleet.entries)


def test_one_announcement_a_second_for_all_entries():
    """With 195 entries, each of them announced the verdict every second."""
    scenario = Scenario(
        draw_with(BAD), 83, 24, 20.0, 40.0, culprits=frozenset({BAD}), stream=(0.1, 0.3)
    )
    fleet = Fleet(scenario, 1)
    fleet.run()
    assert fleet.result.held
    sent = [at for at, part in fleet.result.announcements if at > 120.0]
    assert 0.6 * 20.0 <= len(sent) <= 2.0 * 20.0
    assert all(later - at < 2.0 for at, later in zip(sent, sent[1:], strict=False))


@pytest.mark.parametrize(("entries", "seconds"), [(1, 3600.0), (8, 1200.0)])
def test_trials_are_two_and_no_more(entries, seconds):
    """Trials every few minutes would crash an engine each, over the whole life."""
    scenario = Scenario(
        lambda rng, now: ("template", BAD, f"c{rng.random()}"),
        entries,
        rate=2.0,
        seconds=seconds,
        culprits=frozenset({BAD}),
    )
    result = Fleet(scenario, 1).run()
    assert len(result.trials) == 2
    assert result.late_sends_of(BAD) <= 3
    first, second = result.trials
    assert 59.0 <= first - result.verdicts[BAD] < 140.0
    assert second - first >= 240.0
