"""Tests of the weights of entries and of the answers that follow them."""

import math
import random
from collections import Counter

import pytest
from msgspec import UNSET

from wigeonspan.common import DomainName, HostId, decode, encode
from wigeonspan.presence import (
    Beat,
    EntryHeartbeats,
    EntryInfo,
    EntryLoad,
    EntryState,
    HeldSpills,
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
        weights.update(dict.fromkeys(cores, A), cores, second)
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
        weights.update(dict.fromkeys(before, A), before, second)
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
        weights.update(
            dict.fromkeys(["rising", "steady"], A), ["rising", "steady"], second
        )
    steady = EntryWeights()
    for second in range(8):
        steady.record(HostId("rising"), load(1.0, 0.7), second)
        steady.record(HostId("steady"), load(1.2, 0.7), second)
        steady.update(
            dict.fromkeys(["rising", "steady"], A), ["rising", "steady"], second
        )
    assert weights.weights["rising"] < 0.9 * steady.weights["rising"]


def test_heartbeats_in_quick_succession_give_no_steep_trend():
    """A late heartbeat arrives just before the next one."""
    weights = EntryWeights()
    for second in range(10):
        for name, size in (("a1", 0.8), ("a2", 1.2)):
            weights.record(HostId(name), load(size, 0.5), second)
        weights.update(dict.fromkeys(["a1", "a2"], A), ["a1", "a2"], second)
    before = weights.weights["a1"]
    weights.record(HostId("a1"), load(0.8, 0.52), 9.99)
    weights.record(HostId("a1"), load(0.8, 0.56), 10.0)
    weights.record(HostId("a2"), load(1.2, 0.5), 10.0)
    weights.update(dict.fromkeys(["a1", "a2"], A), ["a1", "a2"], 10.0)
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
        weights.update(dict.fromkeys(sizes, A), sizes, second)
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


class Wave:
    """Three domains of four equal entries under a wave that passes through them.

    Callers follow an answer with a delay, and entries report an average of their use.
    """

    def __init__(self, swing, mean=0.7, period_s=17.0, *, listed=False):
        self.listed = listed
        self.held = HeldSpills()
        self.swing, self.period_s, self.mean = swing, period_s, mean
        self.domains = {HostId(f"{d}{n}"): DomainName(d) for d in "abc" for n in "1234"}
        self.split = {d: dict.fromkeys(self.domains, 0.0) for d in "abc"}
        self.reported = dict.fromkeys(self.domains, mean)
        self.heartbeats = EntryHeartbeats()
        self.spills = []
        self.rng = random.Random(5)

    def demand(self, domain, at):
        phase = at / self.period_s + "abc".index(domain) / 3
        return 4 * self.mean * (1 + self.swing * math.sin(2 * math.pi * phase))

    def receive_spills(self):
        return {d: round(share, 2) for d, share in self.heartbeats.spills.items()}

    def answer(self, domain, at, asked):
        """Answer as a control host does, or as entries do from their list."""
        if self.listed:
            entries, spills = self.heartbeats.live(at), self.held.held(at)
            return caller_addresses(entries, domain, 64, self.rng, spills, asked)
        return self.heartbeats.addresses(domain, 64, self.rng, at, asked)

    def step(self, at):
        """Play half a second; return the demand beyond capacity and the demand."""
        for host, domain in self.domains.items():
            one = load(1.0, min(1.0, self.reported[host]))
            self.heartbeats.record(beat(host, one, domain), at)
        self.held.receive(self.receive_spills(), at)
        use = dict.fromkeys(self.domains, 0.0)
        for domain, split in self.split.items():
            named = Counter()
            for asked in range(12):
                named.update(self.answer(domain, at, str(asked)))
            for host in split:
                share = named[host] / named.total()
                split[host] += (share - split[host]) * (0.5 / 1.5 if at else 1.0)
                use[host] += split[host] * self.demand(domain, at)
            away = sum(n for h, n in named.items() if self.domains[h] != domain)
            self.spills.append(away / named.total())
        for host in use:
            self.reported[host] += (min(1.0, use[host]) - self.reported[host]) / 3
        return sum(max(0.0, u - 1.0) for u in use.values()), sum(use.values())

    def play(self, seconds=85):
        """Return the part of the demand that finds no capacity."""
        steps = [self.step(n / 2) for n in range(seconds * 2)]
        return sum(lost for lost, _ in steps) / sum(asked for _, asked in steps)


@pytest.mark.parametrize("listed", [False, True])
def test_wave_in_one_domain_is_carried_by_the_others(monkeypatch, listed):
    """Entries at the top of the wave were full while those of other domains idled."""
    lost = Wave(0.55, listed=listed).play()
    monkeypatch.setattr("wigeonspan.presence._weights.MAX_SPILL", 0.0)
    alone = Wave(0.55, listed=listed).play()
    assert alone > 0.015
    assert lost < 0.6 * alone


def test_demand_that_fits_stays_in_its_domain():
    """Traffic between domains is slow and expensive."""
    wave = Wave(0.1)
    assert wave.play() == 0.0
    assert max(wave.spills) == 0.0


def test_steady_demand_beyond_a_domain_settles():
    """Callers that all leave a domain at once would come back, and leave again."""
    wave = Wave(0.0, mean=0.5)
    wave.demand = lambda domain, at: 4 * (1.1 if domain == "a" else 0.4)
    wave.play(60)
    settled = wave.spills[-60::3]
    assert 0.15 < min(settled) and max(settled) - min(settled) < 0.15


def domains(names):
    """Return the list of twenty entries in each of some domains."""
    return [
        EntryInfo(HostId(f"{d}{n}"), DomainName(d), f"{d}{n}", "", EntryState.READY)
        for d in names
        for n in range(20)
    ]


def test_own_entries_stay_named_beside_those_of_other_domains():
    """Callers close connections to entries that an answer leaves out."""
    entries, rng, spills = domains("abc"), random.Random(2), {"a": 0.5, "c": 0.5}
    for _ in range(50):
        found = caller_addresses(entries, A, 64, rng, spills, "host")
        assert {f"a{n}" for n in range(20)} < set(found)
        assert sum(name.startswith("b") for name in found) in (31, 32, 33)
        assert not any(name.startswith("c") for name in found)
        assert sorted(caller_addresses(entries, B, 64, rng, spills)) == sorted(
            f"b{n}" for n in range(20)
        )


def test_a_host_always_names_the_same_entries_of_other_domains():
    """Another choice each second closed the connections to the former one."""
    entries, rng = domains("ab"), random.Random(2)

    def others(asked):
        found = caller_addresses(entries, A, 64, rng, {"a": 0.2}, asked)
        return {name for name in found if name.startswith("b")}

    assert others("h1") == others("h1")
    assert len(others("h1")) == 6
    assert set.union(*(others(f"h{n}") for n in range(30))) == {
        f"b{n}" for n in range(20)
    }


def test_wave_does_not_move_the_weights_that_entries_hold():
    """The list is 5 s old: with momentary weights in it, 0.031 of the demand found no
    capacity, and 0.017 without weights."""
    wave = Wave(0.55, listed=True)
    lost = wave.play()
    assert lost < 0.02
    assert {e.weight for e in wave.heartbeats.live(84.5)} == {UNSET}


def test_short_swings_of_one_entry_leave_the_list_as_it_is():
    """The list is sent to all entries when a weight in it changes."""
    weights, seen, ready = EntryWeights(), [], {"a1": A, "a2": A}
    for second in range(60):
        use = 0.95 if second % 10 < 5 else 0.1
        weights.record(HostId("a1"), load(1.0, use), second)
        weights.record(HostId("a2"), load(1.2, 0.5), second)
        weights.update(ready, ready, second)
        seen.append(dict(weights.listed))
    changes = sum(a != b for a, b in zip(seen[20:], seen[21:], strict=False))
    assert changes <= 1


def test_nobody_is_sent_away_when_all_domains_are_full():
    """Traffic between domains would cost more and find no capacity."""
    weights, ready = EntryWeights(), {"a1": A, "a2": A, "b1": B, "b2": B}
    for second in range(20):
        for name, domain in ready.items():
            weights.record(
                HostId(name), load(1.0, 0.98 if domain == A else 0.9), second
            )
        weights.update(ready, ready, second)
        assert weights.spills == {}


def test_entry_without_replies_stops_naming_other_domains():
    """Entries cut off from the control hosts do not know whether others have room."""
    held = HeldSpills()
    held.receive({A: 0.3}, 10.0)
    assert held.held(12.9) == {A: 0.3}
    assert held.held(13.1) == {}


def test_weights_in_the_list_change_together():
    """Each entry had its own 5 s, so the list of a large fleet changed each second."""
    weights, seen = EntryWeights(), [{}]
    ready = {HostId(f"a{n}"): A for n in range(12)}
    for second in range(80):
        for number, name in enumerate(ready):
            use = 0.2 if second < 10 + 4 * number else 0.95
            weights.record(name, load(1.0 + 0.01 * number, use), second)
        weights.update(ready, ready, second)
        seen.append(dict(weights.listed))
    changed_at = [n for n in range(1, len(seen)) if seen[n] != seen[n - 1]]
    gaps = [b - a for a, b in zip(changed_at, changed_at[1:], strict=False)]
    assert len(gaps) > 3
    assert min(gaps) >= 5


def test_wrong_report_in_a_large_domain_leaves_the_list_readable():
    """Entries refuse a list with a weight out of bounds, and keep their old one."""
    names = [f"a{n}" for n in range(300)]

    def beats_at(at):
        size = 1e8 if at > 2 else 1.0
        return [
            beat("odd", load(size, 0.0)),
            *(beat(name, load(1.0, 0.5)) for name in names),
        ]

    heartbeats = play(beats_at, until=40.0)
    listed = decode(encode(heartbeats.live(40.0)), list[EntryInfo])
    weights = {e.host: e.weight for e in listed}
    assert weights["odd"] == max(w for w in weights.values() if w is not UNSET)
    assert 100 < weights["odd"] <= 1200
