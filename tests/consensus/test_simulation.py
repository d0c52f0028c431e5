"""Invariants of the replicated log under random faults and in specific scenarios."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.consensus.simulation import STEP_S, Simulation
from wigeonspan.consensus import LogRole
from wigeonspan.consensus._timing import ELECTION_MIN_S

HOSTS = st.sampled_from("abcde")


class GroupUnderFaults(RuleBasedStateMachine):
    """Applies random faults; the simulation checks the invariants at every step."""

    @initialize(seed=st.integers(0, 2**32), names=st.sampled_from(["abc", "abcde"]))
    def begin(self, seed, names):
        self.sim = Simulation(seed, names)
        self.sim.run(seed % 4)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0]))
    def run(self, seconds):
        self.sim.run(seconds)

    @rule(count=st.sampled_from([3, 15]), pause=st.sampled_from([0.0, 0.05]))
    def propose(self, count, pause):
        for _ in range(count):
            self.sim.propose()
            self.sim.run(pause)
        self.sim.run(1.0)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        repeat=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.005, 0.05, 0.4]),
    )
    def set_network(self, loss, repeat, delay):
        self.sim.loss, self.sim.repeat, self.sim.delay = loss, repeat, delay

    @rule(cut=st.sets(HOSTS, max_size=3))
    def partition(self, cut):
        self.sim.cut = cut

    @rule(sender=HOSTS, receiver=HOSTS)
    def block(self, sender, receiver):
        self.sim.blocked ^= {(sender, receiver)}

    @rule()
    def partition_leader(self):
        leader = self.sim.leader()
        self.sim.cut = {leader.name} if leader else set()

    @rule(name=HOSTS)
    def crash(self, name):
        if self.sim.hosts[name].node is not None:
            self.sim.hosts[name].crash()

    @rule()
    def crash_leader(self):
        if self.sim.leader() is not None:
            self.sim.leader().crash()

    @rule()
    def restart_all(self):
        for host in self.sim.hosts.values():
            if host.node is not None:
                host.crash()
            host.start()

    @rule(name=HOSTS)
    def start(self, name):
        if self.sim.hosts[name].node is None:
            self.sim.hosts[name].start()

    @rule(name=HOSTS)
    def freeze(self, name):
        self.sim.hosts[name].frozen = not self.sim.hosts[name].frozen

    @rule(name=HOSTS)
    def slow_disk(self, name):
        self.sim.hosts[name].slow_disk = not self.sim.hosts[name].slow_disk

    @rule(name=HOSTS, space=st.sampled_from([None, 0, 100]))
    def fill_disk(self, name, space):
        self.sim.hosts[name].disk.space = space

    @rule(name=HOSTS, pause=st.sampled_from([0.0, 1.0]))
    def add_or_promote(self, name, pause):
        host = self.sim.hosts[name]
        self.sim.run(pause)
        self.sim.change(name, voter=self.sim.is_registered(host))
        self.sim.run(pause)

    @rule(name=HOSTS, stays=st.booleans())
    def remove_or_demote(self, name, stays):
        self.sim.change(name, voter=False, present=stays)

    @rule(name=HOSTS)
    def hand_over(self, name):
        host = self.sim.hosts[name]
        if host in self.sim.running():
            host.step(host.node.hand_over(host.now()))

    @precondition(lambda self: not any(h.wiped for h in self.sim.hosts.values()))
    @rule(name=HOSTS)
    def wipe(self, name):
        self.sim.hosts[name].wipe()
        self.sim.hosts[name].start()

    @rule()
    def heal(self):
        self.sim.heal()

    def teardown(self):
        if not hasattr(self, "sim"):
            return
        self.sim.heal()
        self.sim.run(5.0)
        if self.sim.can_progress():
            self.sim.check_progress()


GroupUnderFaults.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
TestGroupUnderFaults = GroupUnderFaults.TestCase


@pytest.mark.parametrize("seed", range(10))
def test_disk_loss_right_after_a_repair_loses_no_committed_entry(seed):
    """A voter promoted without the complete log counts towards a quorum.

    The loss of a second disk would then erase committed entries.
    """
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    for _ in range(30):
        sim.propose()
        sim.run(0.05)
    first, second, third = sim.rng.sample("abc", 3)
    sim.hosts[first].wipe()
    sim.run(1.0)
    sim.repair(first)
    sim.hosts[second].wipe()
    sim.check_progress()
    assert sim.leader().name in (first, third)


@pytest.mark.parametrize("seed", range(10))
def test_wiped_voters_do_not_vote_or_rejoin_the_group(seed):
    """Wiped voters must not vote: two of them could undo a commit."""
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    sim.propose()
    sim.run(1.0)
    last = max(sim.committed)
    for name in "ab":
        sim.hosts[name].wipe()
        sim.hosts[name].start()
    sim.run(20.0)
    assert sim.leader() is None
    assert max(sim.committed) == last
    assert not any(sim.hosts[name].node.group for name in "ab")


@pytest.mark.parametrize("seed", range(10))
def test_wiped_founder_does_not_create_a_second_group(seed):
    """A second bootstrap would create an empty group beside the existing one."""
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    group = sim.leader().node.group
    sim.hosts["a"].wipe()
    sim.hosts["a"].start()
    sim.run(10.0)
    assert sim.hosts["a"].node.group == ""
    sim.repair("a")
    assert {h.node.group for h in sim.hosts.values()} <= {group, ""}
    sim.check_progress()


@pytest.mark.parametrize("seed", range(5))
def test_reconnected_host_does_not_depose_the_leader(seed):
    """A host that returns after a long partition must not depose a working leader."""
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    old = sim.leader()
    sim.cut = {old.name}
    sim.run(100.0)
    leader = sim.leader()
    assert leader is not old
    term = leader.node.term
    sim.cut = set()
    for _ in range(20):
        sim.propose()
        sim.run(0.2)
    assert (sim.leader(), sim.leader().node.term) == (leader, term)
    sim.run(1.0)
    assert old.applied == leader.applied
    follower = next(h for h in sim.running() if h not in (leader, old))
    sim.cut = {follower.name}
    sim.run(100.0)
    sim.cut = set()
    sim.run(5.0)
    assert (sim.leader(), sim.leader().node.term) == (leader, term)


def start_with_leader(seed):
    """Start a simulation; return it with its leader and the two other voters."""
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    leader = sim.leader()
    others = [sim.hosts[name] for name in "abc" if name != leader.name]
    return sim, leader, *others


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("both_ways", [True, False])
def test_voter_cut_off_only_from_the_leader_does_not_depose_it(seed, both_ways):
    """A voter that reaches the others, but not the leader, must get no vote."""
    sim, leader, _, isolated = start_with_leader(seed)
    term = leader.node.term
    sim.blocked = {(leader.name, isolated.name)}
    if both_ways:
        sim.blocked.add((isolated.name, leader.name))
    sim.run(30.0)
    assert (sim.leader(), leader.node.term) == (leader, term)


@pytest.mark.parametrize("seed", range(10))
def test_restarted_voter_does_not_vote_during_the_leaders_lease(seed):
    """A restarted voter does not know that it answered the leader.

    The leader's lease still runs, so a vote now would allow two leaders.
    """
    sim, _, _, _ = start_with_leader(seed)
    for _ in range(10):
        sim.heal()
        sim.run(1.0)
        sim.run_until(sim.leader)
        leader = sim.leader()
        connected, isolated = (
            h for h in sim.running() if h.name in "abc" and h is not leader
        )
        sim.blocked = {(leader.name, isolated.name), (isolated.name, leader.name)}
        sim.run(3.0)
        connected.crash()
        connected.start()
        sim.run(3.0)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("delay", [0.0005, 0.2])
def test_old_lease_ends_before_a_new_leader_has_one(seed, delay):
    """A cut-off leader's lease must end before the next leader is elected.

    This is the worst case: the leader's clock is slow, the others' clocks are fast,
    late answers renewed the lease, and the others start elections as early as allowed.
    """
    sim, _, _, _ = start_with_leader(seed)
    for _ in range(3):
        sim.heal()
        sim.run(3.0)
        sim.run_until(sim.leader)
        leader = sim.leader()
        for host in sim.hosts.values():
            host.set_drift(0.99 if host is leader else 1.01)
        sim.delay = delay
        sim.run(3.0)
        sim.cut, sim.delay, sim.step_s = {leader.name}, 0.0005, 0.005
        challenger = next(
            h for h in sim.running() if h is not leader and h.name in "abc"
        )
        end = sim.time + 1.5
        while sim.time < end:
            if challenger.node.role in (LogRole.FOLLOWER, LogRole.PRE_CANDIDATE):
                state = challenger.node._state
                state.election_deadline = state.last_leader_contact + ELECTION_MIN_S
            sim.run(sim.step_s)
        assert challenger.node.role is LogRole.LEADER
        sim.step_s = STEP_S


@pytest.mark.parametrize("seed", range(10))
def test_lease_ends_before_the_handover_target_leads(seed):
    """A leader that hands over must not keep its lease while its successor has one."""
    sim, _, _, _ = start_with_leader(seed)
    for _ in range(10):
        sim.run_until(sim.leader)
        leader = sim.leader()
        leader.step(leader.node.hand_over(leader.now()))
        sim.run_until(lambda leader=leader: sim.leader() not in (None, leader), 1.5)


@pytest.mark.parametrize("seed", range(10))
def test_snapshot_transfer_survives_a_restart_of_the_receiver(seed):
    """A receiver that restarts during a transfer loses the chunks received so far.

    The transfer must start over instead of waiting for the remaining chunks forever.
    """
    sim, leader, follower, _ = start_with_leader(seed)
    follower.crash()
    for _ in range(600):
        sim.propose()
        sim.run(STEP_S)
    follower.start()
    sim.run_until(lambda: follower.node._state.incoming_snapshot is not None)
    follower.crash()
    follower.start()
    sim.check_progress()


@pytest.mark.parametrize("seed", range(5))
def test_entries_discarded_on_a_full_disk_are_accepted_later(seed):
    """A voter must accept a committed entry again that a full disk made it discard.

    An earlier version skipped such an entry forever.
    """
    sim, leader, follower, _ = start_with_leader(seed)
    for host in (follower, leader):
        sim.run_until(sim.leader)
        host.disk.space = 0
        for _ in range(5):
            sim.propose()
            sim.run(1.0)
        sim.heal()
        sim.check_progress()


def commit_within(sim, seconds):
    """Propose until an entry is committed; return the seconds that it took."""
    began, before = sim.time, max(sim.committed)
    while max(sim.committed) == before:
        assert sim.time < began + seconds, f"no change committed in {seconds} s"
        sim.propose()
        sim.run(0.1)
    return sim.time - began


@pytest.mark.parametrize("seed", range(10))
def test_changes_are_committed_while_the_disk_of_any_voter_is_full(seed):
    """All changes were once refused as long as the leader's disk was full.

    The disks fill in turn, the leader's first, for 4 s each.
    """
    sim, *_ = start_with_leader(seed)
    for turn in range(6):
        host = sim.leader() if turn % 2 == 0 else sim.rng.choice(sim.running())
        host.disk.full = True
        end = sim.time + 4.0
        commit_within(sim, 3.0)
        while sim.time < end:
            commit_within(sim, 2.0)
        sim.heal()
        commit_within(sim, 2.0)
    sim.check_progress()


@pytest.mark.parametrize("seed", range(10))
def test_leader_stays_when_a_full_disk_has_space_again(seed):
    """A voter must not depose the leader with a term that it could not store before."""
    sim, leader, follower, _ = start_with_leader(seed)
    follower.disk.full = True
    sim.cut = {leader.name}
    sim.run(8.0)
    sim.cut = set()
    sim.run_until(sim.leader)
    sim.run(3.0)
    leader = sim.leader()
    term = leader.node.term
    follower.disk.full = False
    sim.run(5.0)
    assert (sim.leader(), leader.node.term) == (leader, term)
    sim.check_progress()


@pytest.mark.parametrize("seed", range(10))
def test_leader_with_a_full_disk_stays_when_no_other_can_lead(seed):
    """Reads need a leader, so one with a full disk must not step down in vain."""
    sim, leader, follower, _ = start_with_leader(seed)
    follower.crash()
    leader.disk.full = True
    sim.run(1.5)
    for _ in range(20):
        sim.propose()
        sim.run(0.2)
        assert sim.leader() is leader
    sim.heal()
    sim.check_progress()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("beside", ["cut", "crash", "election", "snapshot", "learner"])
def test_group_recovers_from_disks_that_fill_in_turn(seed, beside):
    """Changes must be committed again once the last disk has room.

    The disks fill beside a host that is cut off, a restart, an election, snapshots and
    a member that has lost its disk and joins again.
    """
    sim, *_ = start_with_leader(seed)
    for name in "abc":
        host = sim.hosts[name]
        host.disk.full = True
        for step in range(20):
            sim.propose()
            sim.run(0.1 if beside != "snapshot" else 0.03)
            if step == 5 and beside == "cut":
                sim.cut = {name}
            if step == 5 and beside == "crash":
                host.crash()
                host.disk.full = False
                host.start()
                host.disk.full = True
            if step == 5 and beside == "election" and sim.leader():
                sim.cut = {sim.leader().name}
            if step == 5 and beside == "learner" and name == "a":
                sim.hosts["d"].wipe()
                sim.hosts["d"].start()
                sim.change("d", voter=False)
        sim.heal()
    commit_within(sim, 6.0)
    sim.check_progress()


@pytest.mark.parametrize("seed", range(10))
def test_change_after_full_disks_survives_a_loss_of_power_and_of_one_disk(seed):
    """What was committed beside full disks must outlast the end of the day.

    All hosts lose power right after a commit, and one loses its disk.
    """
    sim, *_ = start_with_leader(seed)
    for name in sim.rng.sample("abc", 3):
        sim.hosts[name].disk.full = True
        for _ in range(20):
            sim.propose()
            sim.run(0.1)
        sim.hosts[name].disk.full = False
    commit_within(sim, 6.0)
    last = max(sim.committed)
    wiped = sim.rng.choice("abc")
    for name in "abc":
        host = sim.hosts[name]
        host.wipe() if name == wiped else host.crash()
    sim.heal()
    sim.run_until(sim.leader)
    assert sim.leader().applied >= last
    sim.repair(wiped)
    sim.check_progress()


@pytest.mark.parametrize("seed", range(10))
def test_learner_that_needs_compacted_entries_is_promoted_after_a_snapshot(seed):
    """A learner that needs compacted entries must still catch up and be promoted."""
    sim = Simulation(seed)
    sim.run_until(sim.leader)
    for _ in range(60):
        sim.propose()
        sim.run(0.05)
    sim.loss, sim.repeat, sim.delay = 0.2, 0.2, 0.05
    sim.repair("d")
    assert sim.hosts["d"].node.snapshot_index > 0
    sim.heal()
    sim.check_progress()
