"""Tests of the weights of entries and of the answers that follow them."""

import random
from collections import Counter

import pytest

from wigeonspan.common import DomainName, HostId, decode, encode
from wigeonspan.presence import (
    Beat,
    EntryHeartbeats,
    EntryInfo,
    EntryLoad,
    EntryState,
    Resources,
    caller_addresses,
)
from wigeonspan.presence._weights import EntryWeights

A, B = DomainName("a"), DomainName("b")


def load(cores, use, **used):
    """Return the load of an entry with a part of its cores in use."""
    capacity = Resources(cores, 250 * cores, 10 * cores, 4000 * cores)
    amounts = {"memory_mb": 20 * cores, "link_mbps": 0.1, "descriptors": 100, **used}
    return EntryLoad(capacity, Resources(cores=cores * use, **amounts))


def beat(name, one=None, domain=A):
    host = HostId(name)
    entry = EntryInfo(host, domain, name, f"{name}:81", EntryState.READY)
    return Beat(entry, 1, "") if one is None else Beat(entry, 1, "", load=one)


def play(beats_at, until=30.0, heartbeats=None):
    """Record heartbeats each half second; return the recorder."""
    heartbeats = heartbeats or EntryHeartbeats()
    for step in range(int(until * 2) + 1):
        for one in beats_at(step / 2):
            heartbeats.record(one, step / 2)
    return heartbeats


def shares(heartbeats, now=30.0, domain=A, answers=400):
    """Return the share of each address over many answers."""
    rng, counts = random.Random(7), Counter()
    for _ in range(answers):
        addresses = heartbeats.addresses(domain, 64, rng, now)
        assert len(addresses) <= 64
        counts.update(addresses)
    return {name: count / counts.total() for name, count in counts.items()}


def test_callers_follow_uneven_capacities():
    """The smallest entry got as many connections as one three times its size."""
    loads = {"a1": load(0.4, 0.5), "a2": load(0.8, 0.5), "a3": load(1.2, 0.5)}
    heartbeats = play(lambda at: [beat(n, one) for n, one in loads.items()])
    found = shares(heartbeats)
    for name, share in (("a1", 1 / 6), ("a2", 2 / 6), ("a3", 3 / 6)):
        assert found[name] == pytest.approx(share, rel=0.15)


def test_feedback_evens_out_the_use_of_uneven_entries():
    """Weights that only follow use would send callers back and forth."""
    cores = {"a1": 0.4, "a2": 0.8, "a3": 1.2}
    weights, use, seen = EntryWeights(), dict.fromkeys(cores, 0.0), []
    for second in range(60):
        for name, size in cores.items():
            weights.record(HostId(name), load(size, min(1.0, use[name])), second)
        weights.update(cores, cores, second)
        found = {n: weights.weights.get(n, 100) for n in cores}
        for name, size in cores.items():
            demand = 1.6 * found[name] / sum(found.values()) / size
            use[name] += (demand - use[name]) / 3
        seen.append(max(use.values()))
    assert max(seen[20:]) < 0.75


def test_scarcest_resource_decides():
    """An entry with a full link and an idle processor took connections as others."""
    loads = {"a1": load(1.0, 0.3, link_mbps=9.5), "a2": load(1.0, 0.3)}
    found = shares(play(lambda at: [beat(n, one) for n, one in loads.items()]))
    assert found["a1"] < 0.2


def test_every_ready_entry_is_named_in_each_answer():
    """Callers close connections to entries that an answer leaves out."""
    loads = {
        f"a{n}": load(1.0 if n else 0.1, 0.99 if n < 20 else 0.1) for n in range(40)
    }
    heartbeats = play(lambda at: [beat(n, one) for n, one in loads.items()])
    for seed in range(200):
        found = heartbeats.addresses(A, 64, random.Random(seed), 30.0)
        assert len(found) == 64 and set(found) == set(loads)


@pytest.mark.parametrize("use", [0.0, 0.5, 0.8])
def test_equal_entries_are_answered_with_the_same_draws_as_without_reports(use):
    """Deployments with equal entries must be served exactly as before."""
    names = [f"a{n}" for n in range(9)]
    plain = play(lambda at: [beat(n) for n in names])
    reporting = play(lambda at: [beat(n, load(0.5, use)) for n in names])
    first, second = random.Random(3), random.Random(3)
    for _ in range(20):
        assert plain.addresses(A, 64, first, 30.0) == reporting.addresses(
            A, 64, second, 30.0
        )
    assert first.getstate() == second.getstate()
    assert encode(plain.live(30.0)) == encode(reporting.live(30.0))


def test_overloaded_one_of_equal_entries_is_relieved():
    """Long streams may fill one entry although all have the same size."""
    uses = {"a1": 0.95, "a2": 0.4, "a3": 0.4}
    found = shares(play(lambda at: [beat(n, load(1.0, u)) for n, u in uses.items()]))
    assert found["a1"] < 0.15


def test_entry_without_capacity_counts_as_the_median():
    """An entry of an older build got no callers, or all of them."""
    loads = {"a1": load(0.4, 0.5), "a2": load(0.8, 0.5), "a3": load(1.2, 0.5)}
    heartbeats = play(
        lambda at: [beat("old"), *(beat(n, one) for n, one in loads.items())]
    )
    found = shares(heartbeats)
    assert found["old"] == pytest.approx(found["a2"], rel=0.1)


def test_weights_change_gradually():
    """Callers follow after up to three seconds; a jump would be followed by another."""
    weights, before = EntryWeights(), {"a1": 100, "a2": 100}
    for second in range(40):
        for name in before:
            use = 0.95 if name == "a1" and second >= 10 else 0.3
            weights.record(HostId(name), load(1.0, use), second)
        weights.update(before, before, second)
        after = {n: weights.weights.get(n, 100) for n in before}
        for name in before:
            assert abs(after[name] - before[name]) <= 0.26 * before[name] + 1
        before = after
    assert before["a1"] < 30


def test_trend_lowers_a_weight_before_the_entry_is_full():
    """A wave is at its top by the time when callers follow the use of now."""
    weights = EntryWeights()
    for second in range(8):
        weights.record(HostId("rising"), load(1.0, 0.1 * second), second)
        weights.record(HostId("steady"), load(1.2, 0.7), second)
        weights.update(["rising", "steady"], ["rising", "steady"], second)
    steady = EntryWeights()
    for second in range(8):
        steady.record(HostId("rising"), load(1.0, 0.7), second)
        steady.record(HostId("steady"), load(1.2, 0.7), second)
        steady.update(["rising", "steady"], ["rising", "steady"], second)
    assert weights.weights["rising"] < 0.9 * steady.weights["rising"]


def test_heartbeats_in_quick_succession_give_no_steep_trend():
    """A late heartbeat arrives just before the next one."""
    weights = EntryWeights()
    for second in range(10):
        for name, size in (("a1", 0.8), ("a2", 1.2)):
            weights.record(HostId(name), load(size, 0.5), second)
        weights.update(["a1", "a2"], ["a1", "a2"], second)
    before = weights.weights["a1"]
    weights.record(HostId("a1"), load(0.8, 0.52), 9.99)
    weights.record(HostId("a1"), load(0.8, 0.56), 10.0)
    weights.record(HostId("a2"), load(1.2, 0.5), 10.0)
    weights.update(["a1", "a2"], ["a1", "a2"], 10.0)
    assert weights.weights["a1"] >= 0.8 * before


def test_lost_heartbeats_freeze_the_use_without_its_trend():
    """The trend of an entry that is silent would be followed for ever."""
    heartbeats = play(
        lambda at: [
            beat("a2", load(1.2, 0.4)),
            beat("a3", load(1.2, 0.4)),
            *([beat("a1", load(0.6, 0.1 * at))] if at <= 6 else []),
        ],
        until=7.5,
    )
    rising = heartbeats._weights.weights["a1"]
    silent = play(
        lambda at: [beat("a2", load(1.2, 0.4)), beat("a3", load(1.2, 0.4))],
        until=12.0,
        heartbeats=heartbeats,
    )
    assert silent._weights.weights["a1"] > rising
    assert "a1" not in shares(silent, 12.0)


def test_isolated_control_host_answers_from_the_last_weights():
    """It would give the smallest entries too much exactly when it knows nothing new."""
    loads = {"a1": load(0.4, 0.5), "a2": load(1.2, 0.5)}
    heartbeats = play(lambda at: [beat(n, one) for n, one in loads.items()])
    assert shares(heartbeats, 40.0) == shares(heartbeats, 30.0)


def test_new_entry_keeps_the_ratios_of_the_others():
    """The mean changes with the entries, which must not move their callers."""
    weights, sizes = EntryWeights(), {"a1": 0.4, "a2": 0.8}
    for second in range(12):
        if second == 10:
            sizes = {**sizes, "a3": 4.0}
        for name, size in sizes.items():
            weights.record(HostId(name), load(size, 0.5), second)
        weights.update(sizes, sizes, second)
        found = weights.weights
        assert found["a2"] == pytest.approx(2 * found["a1"], rel=0.25)
    assert found["a3"] == pytest.approx(10 * found["a1"], rel=0.25)


def test_entries_answer_with_the_listed_weights():
    """Entries answer most look-ups, from the list that they receive."""
    loads = {"a1": load(0.4, 0.5), "a2": load(1.2, 0.5)}
    heartbeats = play(lambda at: [beat(n, one) for n, one in loads.items()])
    listed = decode(encode(heartbeats.live(30.0)), list[EntryInfo])
    counts, rng = Counter(), random.Random(1)
    for _ in range(200):
        counts.update(caller_addresses(listed, A, 64, rng))
    assert 2.0 < counts["a2"] / counts["a1"] < 4.5


def test_report_of_nothing_counts_as_the_median():
    """A report in which nothing is known must not count as an entry without room."""
    loads = {"a1": load(0.4, 0.5), "a2": load(1.2, 0.5)}
    odd = EntryLoad(Resources(), Resources())
    found = shares(
        play(lambda at: [beat("odd", odd), *(beat(n, o) for n, o in loads.items())])
    )
    assert found["a1"] < found["odd"] < found["a2"]


def test_messages_without_capacities_are_byte_for_byte_as_before():
    """Builds of two versions run side by side, and replays compare bytes."""
    entry = (
        b'{"host":"a1","domain":"a","caller_address":"a1","peer_address":"a1:81",'
        b'"state":"ready"}'
    )
    assert encode(beat("a1").entry) == entry
    assert encode(beat("a1")) == (
        b'{"entry":' + entry + b',"config_version":1,"entries_digest":"",'
        b'"wants_changes":true,"read_ms":{},"stream_s":{},"relay":"","limited":[],'
        b'"quarantined":[],"usage":null,"urgent_read_ms":{},"urgent_stream_s":{}}'
    )
