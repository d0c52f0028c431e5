"""Simulated group of nodes and stores with a manual clock, network and disk faults.

Every step checks the invariants: at most one leader per term, at most one valid lease
at a time, and committed entries that are the same on all hosts and are never lost.
"""

import random

import msgspec
from msgspec import structs

from tests.consensus.fake_disk import FakeDisk
from wigeonspan.catalog import Member
from wigeonspan.common import WigeonspanError
from wigeonspan.consensus import (
    BootstrapMember,
    LocalMember,
    LogRole,
    LogStore,
    RaftNode,
    Snapshot,
    StorageFull,
)
from wigeonspan.consensus._messages import InstallSnapshot

STEP_S = 0.025
SNAPSHOT_ENTRIES = 12
CHUNK_BYTES = 40


class SimHost:
    """One host with its disk, clock and node; ``node`` is None when the host is down.

    The clock runs at ``drift`` times the rate of the simulation's time.
    """

    def __init__(self, name, sim, drift):
        self.name = name
        self.sim = sim
        self.drift = drift
        self.offset = sim.rng.uniform(0, 1000)
        self.disk = FakeDisk()
        self.node = None
        self.frozen = False
        self.slow_disk = False
        self.wiped = False

    def now(self):
        return self.offset + self.sim.time * self.drift

    def set_drift(self, drift):
        self.offset += self.sim.time * (self.drift - drift)
        self.drift = drift

    def start(self):
        self.store = LogStore(self.disk, lambda: f"{self.sim.rng.getrandbits(64):x}")
        stored = self.store.open()
        self.applied, self.state, self.writes = 0, [], []
        snapshot = self.store.read_snapshot()
        if snapshot is not None:
            self.restore(snapshot)
        local = LocalMember(self.name, self.name, "szolnok", self.store.disk_id)
        rng = random.Random(self.sim.rng.random())
        bootstrap = self.sim.bootstrap if self.name in self.sim.initial_voters else []
        self.node = RaftNode(local, bootstrap, stored, rng, self.now())

    def crash(self):
        self.node = None
        self.frozen = False
        self.disk.crash(self.sim.rng)

    def wipe(self):
        self.node = None
        self.frozen = False
        self.wiped = True
        self.disk = FakeDisk()

    def member(self, voter):
        return Member(self.name, self.name, "szolnok", self.store.disk_id, voter)

    def step(self, ready):
        if ready.persist is not None:
            self.writes.append(ready.persist)
        for message in ready.send:
            self.sim.post(message)
        if ready.snapshot is not None:
            self.restore(ready.snapshot)
        for entry in ready.committed:
            self.sim.check_committed(self, entry)
            self.applied = entry.index
            self.state.append((entry.index, entry.term, entry.command))

    def restore(self, snapshot):
        self.applied = snapshot.meta.index
        self.state = msgspec.json.decode(
            snapshot.data, type=list[tuple[int, int, bytes]]
        )
        self.sim.check_state(self)

    def sync(self):
        """Save pending data; take a snapshot if enough entries were applied."""
        if self.writes:
            batch, self.writes = self.writes, []
            try:
                self.store.save(batch)
            except StorageFull:
                self.writes = []
                self.step(self.node.on_storage_full(self.now())[1])
            else:
                self.step(self.node.on_persisted(batch[-1].sequence, self.now()))
        if self.applied - self.node.snapshot_index >= SNAPSHOT_ENTRIES:
            data = msgspec.json.encode(self.state)
            meta = self.node.snapshot_meta(self.applied, len(data))
            try:
                self.store.save_snapshot(Snapshot(meta, data))
            except StorageFull:
                return
            self.node.compact(meta)


class Simulation:
    """Group of hosts and the messages between them.

    ``loss`` and ``repeat`` are the probabilities that a message is lost or duplicated,
    ``delay`` its mean delay in seconds. Hosts in ``cut`` are partitioned from all
    others; ``blocked`` contains blocked links as pairs of sender and receiver.
    """

    def __init__(self, seed, names="abc"):
        self.rng = random.Random(seed)
        self.time = 0.0
        self.initial_voters = names
        self.bootstrap = [BootstrapMember(name, name, "szolnok") for name in names]
        drifts = [0.99, 1.01, 1.0, 0.99, 1.01]
        self.rng.shuffle(drifts)
        self.hosts = {
            name: SimHost(name, self, drift)
            for name, drift in zip("abcde", drifts, strict=True)
        }
        self.in_flight = []
        self.cut = set()
        self.blocked = set()
        self.loss = self.repeat = 0.0
        self.delay = 0.01
        self.step_s = STEP_S
        self.committed = {}
        self.leaders = {}
        self.leases = {}
        self.count = 0
        for host in self.hosts.values():
            host.start()

    def post(self, message):
        copies = 2 if self.rng.random() < self.repeat else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                due = self.time + self.rng.expovariate(1 / self.delay)
                self.in_flight.append((due, self.with_chunk(message)))

    def with_chunk(self, message):
        body = message.body
        if not isinstance(body, InstallSnapshot):
            return message
        store = self.hosts[message.source.name].store
        data = store.read_chunk(body.meta, body.offset, CHUNK_BYTES)
        if data is None:
            return None
        return structs.replace(message, body=structs.replace(body, data=data))

    def run(self, seconds):
        """Advance the time in steps, with deliveries, ticks, disk writes and checks."""
        for _ in range(round(seconds / self.step_s)):
            self.time += self.step_s
            self.deliver()
            for host in self.running():
                host.step(host.node.tick(host.now()))
                self.check_leaders()
                if not host.slow_disk or self.rng.random() < 0.05:
                    host.sync()
            self.check_leaders()

    def run_until(self, condition, seconds=30.0):
        end = self.time + seconds
        while not condition():
            assert self.time < end, "the condition was not reached in time"
            self.run(self.step_s)

    def deliver(self):
        due = sorted(
            (m for m in self.in_flight if m[0] <= self.time), key=lambda m: m[0]
        )
        self.in_flight = [m for m in self.in_flight if m[0] > self.time]
        for _, message in due:
            if message is None or self.is_cut(message.source.name, message.target.name):
                continue
            host = self.hosts[message.target.name]
            if host.node is not None and not host.frozen:
                host.step(host.node.handle(message, host.now()))
                self.check_leaders()

    def is_cut(self, one, other):
        """Whether hosts are partitioned, or their link is blocked in this direction."""
        is_partitioned = (one in self.cut) != (other in self.cut)
        return is_partitioned or (one, other) in self.blocked

    def running(self):
        return [h for h in self.hosts.values() if h.node is not None and not h.frozen]

    def leader(self):
        """Return the leader of the highest term that has committed an entry in it."""
        leading = [h for h in self.running() if h.node.leads]
        return max(leading, key=lambda h: h.node.term, default=None)

    def propose(self):
        host = self.leader()
        if host is not None:
            self.count += 1
            self.try_proposal(host.node.propose, f"command {self.count}".encode())

    def change(self, name, voter, present=True):
        """Add, promote, demote or remove a host, if the leader accepts it now."""
        host, leader = self.hosts[name], self.leader()
        if leader is None or (host.node is None and present):
            return
        member = host.member(voter)
        self.try_proposal(leader.node.change_member, member, present, b"change")

    def try_proposal(self, propose, *arguments):
        host = self.leader()
        try:
            _, ready = propose(*arguments, host.now())
        except WigeonspanError:
            return
        host.step(ready)

    def is_registered(self, host):
        """Whether the leader's membership contains this host with its current disk."""
        leader = self.leader()
        disks = {m.disk_id for m in leader.node.members} if leader else set()
        return host.node is not None and host.store.disk_id in disks

    def repair(self, name):
        """Restore a wiped voter: add it as a learner, then promote it."""
        host = self.hosts[name]
        if host.node is None:
            host.start()
        self.run_until(self.leader)
        for condition, voter in ((self.is_registered, False), (self.is_voter, True)):
            end = self.time + 30.0
            while not condition(host):
                assert self.time < end, f"{name} was not repaired in time"
                self.change(name, voter)
                self.run(0.5)
        host.wiped = False

    def is_voter(self, host):
        leader = self.leader()
        voters = [m.disk_id for m in leader.node.members if m.voter] if leader else []
        return host.store.disk_id in voters

    def check_committed(self, host, entry):
        assert entry.index == host.applied + 1, "an entry was skipped or repeated"
        expected = self.committed.setdefault(entry.index, entry)
        assert expected == entry, "a committed entry was changed"

    def check_state(self, host):
        for index, term, command in host.state:
            expected = self.committed[index]
            assert (expected.term, expected.command) == (term, command)

    def check_leaders(self):
        for host in self.hosts.values():
            node = host.node
            if node is None or node.role is not LogRole.LEADER:
                continue
            disk = host.store.disk_id
            expected = self.leaders.setdefault(node.term, disk)
            assert expected == disk, "two leaders in one term"
            end = (node.lease_valid_until - host.offset) / host.drift
            self.leases[disk] = max(self.leases.get(disk, 0.0), end)
        # A published lease stays valid even when its owner steps down or crashes.
        valid = [disk for disk, end in self.leases.items() if end > self.time]
        assert len(valid) <= 1, f"{len(valid)} valid leases"

    def heal(self):
        """End all faults and start every host that is down."""
        self.cut, self.blocked = set(), set()
        self.loss = self.repeat = 0.0
        self.delay = 0.01
        for host in self.hosts.values():
            host.frozen = host.slow_disk = False
            host.disk.space, host.disk.full = None, False
            if host.node is None:
                host.start()

    def can_progress(self):
        """Whether a majority of voters is running in every host's membership."""
        disks = {host.store.disk_id for host in self.running()}
        grouped_nodes = [host.node for host in self.running() if host.node.group]
        for node in grouped_nodes:
            voters = [m.disk_id for m in node.members if m.voter]
            if 2 * len(disks.intersection(voters)) <= len(voters):
                return False
        return bool(grouped_nodes)

    def check_progress(self):
        """Check that a healed group elects a leader, commits and catches up."""
        self.run_until(self.leader)
        before = max(self.committed)
        self.propose()
        self.run_until(lambda: max(self.committed) > before)
        last = max(self.committed)
        self.run_until(
            lambda: all(h.applied >= last for h in self.running() if self.is_voter(h))
        )
