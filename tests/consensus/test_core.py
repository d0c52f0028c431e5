"""Rules of the protocol, each tested on one voter with hand-written messages."""

import pytest
from msgspec import structs

from tests.consensus.one_voter import (
    FIRST_ENTRY,
    MEMBERS,
    START,
    VOTE_GUARD_END,
    acknowledge,
    bodies,
    make_leader,
    make_node,
    member,
    message,
    sync_all,
    tick_until_campaign,
)
from wigeonspan.catalog import Member
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.consensus import (
    Entry,
    HardState,
    LogRole,
    Peer,
)
from wigeonspan.consensus._messages import (
    Append,
    AppendReply,
    GroupCreated,
    Hello,
    HelloReply,
    InstallSnapshot,
    SnapshotMeta,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from wigeonspan.consensus._timing import (
    DISK_STALL_S,
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    LEASE_S,
    VOTE_GUARD_S,
)


def test_vote_is_sent_only_after_it_is_synced():
    """A vote that is sent before it is synced can be lost in a crash.

    The voter could then vote a second time in the same term.
    """
    node = make_node()
    ready = node.handle(message(Vote(False, 1, 1), term=2), VOTE_GUARD_END)
    assert ready.send == []
    assert ready.persist.state == HardState("group", 2, "b")
    ready = node.on_persisted(ready.persist.sequence, VOTE_GUARD_END)
    assert bodies(ready) == [VoteReply(False, True)]


def test_candidate_requests_votes_only_after_its_own_vote_is_synced():
    """A candidate that loses its own vote in a crash could vote again in the term."""
    node = make_node()
    now, _ = tick_until_campaign(node, START)
    ready = node.handle(message(VoteReply(True, True), term=2), now)
    assert (node.role, ready.send) == (LogRole.CANDIDATE, [])
    ready = node.on_persisted(ready.persist.sequence, now)
    assert [body.pre for body in bodies(ready)] == [False, False]


@pytest.mark.parametrize(
    ("state", "vote", "term", "now", "granted"),
    [
        (HardState("group", 1, ""), Vote(False, 1, 1), 2, VOTE_GUARD_END, True),
        (HardState("group", 2, "b"), Vote(False, 1, 1), 2, VOTE_GUARD_END, True),
        (HardState("group", 2, "c"), Vote(False, 1, 1), 2, VOTE_GUARD_END, False),
        (HardState("group", 3, ""), Vote(False, 1, 1), 2, VOTE_GUARD_END, False),
        (HardState("group", 1, ""), Vote(False, 0, 0), 2, VOTE_GUARD_END, False),
        (HardState("group", 1, ""), Vote(True, 1, 1), 2, VOTE_GUARD_END, True),
        (HardState("group", 1, ""), Vote(False, 1, 1), 2, VOTE_GUARD_END - 0.1, None),
        (HardState("group", 1, ""), Vote(True, 1, 1), 2, VOTE_GUARD_END - 0.1, None),
        (HardState("group", 1, ""), Vote(False, 1, 1, True), 2, START, True),
    ],
)
def test_vote_is_granted_once_per_term_and_outside_the_vote_guard(
    state, vote, term, now, granted
):
    """Two votes in a term, or a vote during a lease, would allow two leaders."""
    node = make_node(state)
    sent = sync_all(node, node.handle(message(vote, term=term), now), now)
    replies = [m.body.granted for m in sent]
    assert replies == ([] if granted is None else [granted])


def test_follower_acknowledges_only_what_is_synced():
    """An entry acknowledged before it is synced can be lost when two voters crash."""
    node = make_node()
    body = Append(1, 1, [Entry(2, 1, b"x")], 0, 7)
    ready = node.handle(message(body), START)
    assert bodies(ready) == [AppendReply(True, 1, 7)]
    ready = node.on_persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 2, 7)]


def test_entry_is_acknowledged_despite_a_heartbeat_during_its_sync():
    """An entry must be acknowledged once it is synced.

    Otherwise the leader sends it again after 0.5 s.
    """
    node = make_node()
    ready = node.handle(message(Append(1, 1, [Entry(2, 1, b"x")], 0, 7)), START)
    node.handle(message(Append(1, 1, [], 0, 8)), START)
    ready = node.on_persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 2, 8)]


def test_snapshot_is_acknowledged_only_after_it_is_synced():
    """Committed entries are lost with a snapshot acknowledged before it is synced."""
    node = make_node()
    meta = SnapshotMeta(9, 1, MEMBERS, 4)
    node.handle(message(InstallSnapshot(meta, 0, 1, b"st")), START)
    ready = node.handle(message(InstallSnapshot(meta, 2, 1, b"at")), START)
    assert bodies(ready) == [SnapshotReply(9, 4, 1)]
    assert (node.commit, node.last_index, ready.snapshot) == (0, 1, None)
    assert ready.persist.snapshot.data == b"stat"
    ready = node.on_persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 9, 1)]
    assert (node.commit, node.last_index, ready.snapshot.data) == (9, 9, b"stat")


def test_leader_sends_only_what_it_has_synced():
    """An entry rejected for lack of space must not have reached another voter."""
    node = make_node()
    now = make_leader(node, START)
    sync_all(node, acknowledge(node, now, 2), now)
    _, ready = node.propose(b"x", now)
    assert ready.send == []
    last, ready = node.on_storage_full(now)
    assert (last, node.last_index) == (2, 2)
    sent = [b for b in bodies(node.tick(now + 1)) if isinstance(b, Append)]
    assert all(entry.index <= 2 for body in sent for entry in body.entries)


def test_vote_that_found_no_space_is_not_given():
    """A vote that is sent but not stored could be given again after a restart.

    It must be held back, and written again, as long as the disk is full.
    """
    node = make_node(HardState("group", 3, ""))
    now = VOTE_GUARD_END + 0.01
    ready = node.handle(message(Vote(False, 1, 1), term=4), now)
    for _ in range(3):
        assert ready.send == []
        assert ready.persist.state == HardState("group", 4, "b")
        _, ready = node.on_storage_full(now)
    other = node.handle(message(Vote(False, 1, 1), source="c", term=4), now)
    assert (other.send, other.persist) == ([], None)
    ready = node.on_persisted(ready.persist.sequence, now)
    assert [(m.target.name, m.body) for m in ready.send] == [
        ("b", VoteReply(False, True)),
        ("c", VoteReply(False, False)),
    ]


def test_candidate_on_a_full_disk_does_not_raise_its_term_again():
    """Each further term in memory would depose a leader once the disk has space.

    The candidate must only ask again when it could write its first vote.
    """
    node = make_node(HardState("group", 3, ""))
    now, _ = tick_until_campaign(node, START)
    ready = node.handle(message(VoteReply(True, True), term=4), now)
    for _ in range(200):
        now += 0.05
        if ready.persist is not None:
            _, ready = node.on_storage_full(now)
        node.handle(message(VoteReply(True, True), term=node.term + 1), now)
        assert node.tick(now).persist is None
    assert node.term == 4
    ready = node.on_persisted(ready.persist.sequence, now)
    assert {(m.term, type(m.body)) for m in ready.send} == {(4, Vote)}
    for _ in range(100):
        now += 0.05
        node.tick(now)
        node.handle(message(VoteReply(True, True), term=5), now)
    assert node.term == 5


def test_leader_on_a_full_disk_hands_over_to_a_voter_that_answers():
    """All changes were once refused until the leader's disk had space again.

    Its lease must end before the other voter is told to start an election.
    """
    node = make_node()
    now = make_leader(node, START)
    node.start_round(now)
    acknowledge(node, now, 2, "c")
    sync_all(node, acknowledge(node, now, 2), now)
    lease_end = node.lease_valid_until
    node.propose(b"x", now)
    node.on_storage_full(now)
    told_at = None
    while told_at is None and now < lease_end + 2.0:
        now += 0.05
        ready = node.tick(now)
        for name in "bc":
            more = acknowledge(node, now, 2, name) if node.leads else ready
            ready.send.extend(m for m in more.send if m not in ready.send)
        if any(isinstance(body, TimeoutNow) for body in bodies(ready)):
            told_at = now
    assert told_at is not None
    assert lease_end <= told_at <= lease_end + 0.1
    assert node.role is LogRole.FOLLOWER


def test_leader_on_a_full_disk_stays_when_only_one_other_voter_answers():
    """One voter cannot be elected without the vote that a full disk cannot store."""
    node = make_node()
    now = make_leader(node, START)
    node.start_round(now)
    sync_all(node, acknowledge(node, now, 2), now)
    for _ in range(40):
        now += 0.05
        node.tick(now)
        acknowledge(node, now, 2)
        node.propose(b"x", now)
        node.on_storage_full(now)
    assert node.leads


def test_entries_of_earlier_terms_commit_only_with_an_entry_of_the_leaders_term():
    """An entry of an earlier term can still be replaced (Raft paper, figure 8)."""
    node = make_node(HardState("group", 4, ""), [FIRST_ENTRY, Entry(2, 2, b"old")])
    now = make_leader(node, START)
    ready = acknowledge(node, now, 2)
    assert (node.commit, node.leads) == (0, False)
    ready = acknowledge(node, now, 3)
    assert (node.commit, node.leads) == (3, True)
    assert [e.index for e in ready.committed] == [1, 2, 3]


def test_vote_guard_exceeds_the_lease_with_clocks_1_percent_off():
    """The vote guard on a fast clock must outlast the lease on a slow clock."""
    assert VOTE_GUARD_S / 1.01 > LEASE_S / 0.99
    assert ELECTION_MIN_S >= VOTE_GUARD_S


def test_lease_counts_from_the_sending_of_an_answered_round():
    """A lease counted from the answer would outlast the voters' vote guard."""
    node = make_node()
    sent_at = make_leader(node, START)
    assert node.lease_valid_until < sent_at
    acknowledge(node, sent_at + 0.2, 2)
    assert node.lease_valid_until == pytest.approx(sent_at + LEASE_S)


@pytest.mark.parametrize("disk", ["disk-b", "wiped"])
def test_answers_of_an_unregistered_disk_do_not_count(disk):
    """Answers of a wiped voter must not renew the lease or commit entries."""
    node = make_node()
    now = make_leader(node, START)
    source = Peer("b", "b", disk)
    reply = message(AppendReply(True, 2, node._state.round), term=node.term)
    node.handle(structs.replace(reply, source=source), now)
    counted = disk == "disk-b"
    assert (node.commit == 2) == counted
    assert (node.lease_valid_until > now) == counted


@pytest.mark.parametrize("removed", [None, "b"])
def test_leader_that_steps_down_keeps_its_published_lease(removed):
    """A leader that steps down must not vote before its published lease ends.

    Removing the member whose answer renewed the lease must not shorten it, as in an
    earlier version.
    """
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 2)
    published = node.lease_valid_until
    if removed:
        sync_all(node, node.change_member(member(removed), False, b"", now)[1], now)
    assert node.lease_valid_until == published
    vote = message(Vote(False, 9, 9), "c", term=node.term + 1)
    assert node.handle(vote, now + 0.1).persist is None
    rejected = message(AppendReply(False, 0, 1), "c", term=node.term + 1)
    sync_all(node, node.handle(rejected, now + 0.1), now)
    assert node.role is LogRole.FOLLOWER
    vote = message(Vote(False, 9, 9), "c", term=node.term + 1)
    assert node.handle(vote, published - 0.01).persist is None


@pytest.mark.parametrize("disk", ["disk-b", "wiped"])
def test_votes_of_an_unregistered_disk_do_not_count(disk):
    """Votes of unregistered disks could elect a leader without a committed entry."""
    node = make_node()
    now, _ = tick_until_campaign(node, START)
    reply = message(VoteReply(True, True), term=2)
    node.handle(structs.replace(reply, source=Peer("b", "b", disk)), now)
    assert (node.role is LogRole.CANDIDATE) == (disk == "disk-b")


def test_leader_without_a_quorum_steps_down():
    """A partitioned leader must not keep proposals that it cannot commit."""
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 2)
    node.tick(now + ELECTION_MAX_S - 0.1)
    assert node.role is LogRole.LEADER
    node.tick(now + ELECTION_MAX_S + 0.1)
    assert node.role is LogRole.FOLLOWER


def test_leader_whose_disk_hangs_steps_down():
    """Heartbeats do not need the disk, so no other voter would start an election."""
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 2)
    node.propose(b"x", now)
    for step in range(1, 40):
        node.tick(now + step / 10)
        acknowledge(node, now + step / 10, 2)
        assert (node.role is LogRole.LEADER) == (step / 10 <= DISK_STALL_S)


def test_leader_with_a_quorum_ignores_vote_requests():
    """A host that misses heartbeats must not depose a working leader."""
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 2)
    for pre in (True, False):
        vote = message(Vote(pre, 9, 9), "c", term=node.term + 1)
        assert node.handle(vote, now + 0.1).send == []
    assert node.role is LogRole.LEADER


@pytest.mark.parametrize(
    "fields",
    [
        {"group": "other"},
        {"group": ""},
        {"target": Peer("a", "a", "disk-lost")},
        {"target": Peer("c", "c", "disk-a")},
    ],
)
@pytest.mark.parametrize(
    "body", [Vote(False, 9, 9), Append(0, 0, [FIRST_ENTRY], 1, 1), TimeoutNow()]
)
def test_messages_for_another_disk_or_group_are_ignored(fields, body):
    """Messages for another host, disk identity or group must have no effect."""
    node = make_node()
    ready = node.handle(message(body, term=5, **fields), VOTE_GUARD_END)
    assert (ready.persist, ready.send, node.term) == (None, [], 1)


@pytest.mark.parametrize(
    ("body", "replies"),
    [
        (Vote(False, 9, 9), []),
        (Vote(True, 9, 9), []),
        (VoteReply(False, True), []),
        (TimeoutNow(), []),
        (Hello(()), [HelloReply("")]),
        (Hello(("a", "b")), []),
    ],
)
def test_disk_without_a_group_answers_only_hello(body, replies):
    """A wiped voter must not vote, but must report its new disk identity."""
    node = make_node(HardState(), [])
    ready = node.handle(message(body, term=5), VOTE_GUARD_END)
    assert (ready.persist, bodies(ready), node.term) == (None, replies, 0)


@pytest.mark.parametrize(
    "body",
    [
        Append(0, 0, [FIRST_ENTRY], 1, 1),
        InstallSnapshot(SnapshotMeta(9, 4, MEMBERS, 0), 0, 1),
    ],
)
def test_disk_without_a_group_joins_the_group_of_a_leader_that_contacts_it(body):
    """A learner joins the group with the first message for its disk identity."""
    node = make_node(HardState(), [])
    ready = node.handle(message(body, term=5), VOTE_GUARD_END)
    assert ready.persist.state == HardState("group", 5, "")
    sync_all(node, ready, VOTE_GUARD_END)
    assert node.members == MEMBERS


@pytest.mark.parametrize("reported_group", ["group", ""])
def test_founder_creates_a_group_only_if_no_initial_voter_has_one(reported_group):
    """A wiped founder must not create a second group beside the existing one."""
    node = make_node(HardState(), [], "abc")
    assert bodies(node.tick(START)) == [Hello(("a", "b", "c"))] * 2
    node.handle(message(HelloReply(""), "b", group=""), START)
    assert node.group == ""
    node.handle(message(HelloReply(reported_group), "c", group=reported_group), START)
    assert (node.group != "") == (reported_group == "")


@pytest.mark.parametrize(
    ("initial_voters", "joins"),
    [("abc", True), ("ab", False), ("abcd", False), ("", False)],
)
def test_host_joins_only_a_group_with_its_configured_initial_voters(
    initial_voters, joins
):
    """Two founders with different settings could each get a majority."""
    node = make_node(HardState(), [], initial_voters)
    created = message(GroupCreated(MEMBERS), "c", group="group")
    ready = node.handle(message(Hello(("a", "b", "c")), "c", group=""), START)
    assert bool(ready.send) == joins
    node.handle(created, START)
    assert node.members == (MEMBERS if joins else ())


@pytest.mark.parametrize(
    ("changed", "present", "kind"),
    [
        (member("d", voter=False), True, None),
        (member("b"), False, None),
        (member("b", voter=False, disk="new"), True, None),
        (member("d"), True, ErrorKind.VERSION_CONFLICT),
        (member("b", disk="new"), True, ErrorKind.VERSION_CONFLICT),
        (
            Member("d", "d", "szeged", "", False),
            True,
            ErrorKind.VERSION_CONFLICT,
        ),
        (member("d"), False, ErrorKind.NOT_FOUND),
        (member("a"), False, ErrorKind.NOT_LEADER),
        (member("a", voter=False), True, ErrorKind.NOT_LEADER),
    ],
)
def test_members_change_one_at_a_time_and_become_learners_first(changed, present, kind):
    """Concurrent changes, or a voter without the log, could lose committed entries."""
    node = make_node()
    now = make_leader(node, START)
    with pytest.raises(WigeonspanError) as caught:
        node.change_member(changed, present, b"", now)
    expected = (ErrorKind.VERSION_CONFLICT, ErrorKind.NOT_FOUND)
    assert caught.value.kind in expected
    acknowledge(node, now, 2)
    if kind is None:
        sync_all(node, node.change_member(changed, present, b"", now)[1], now)
        with pytest.raises(WigeonspanError, match="is not committed yet"):
            node.change_member(member("e", voter=False), True, b"", now)
    else:
        with pytest.raises(WigeonspanError) as caught:
            node.change_member(changed, present, b"", now)
        assert caught.value.kind is kind


def test_learner_is_promoted_only_when_it_stores_all_committed_entries():
    """A voter without the log could complete a quorum without a committed entry."""
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 2)
    learner = member("d", voter=False)
    sync_all(node, node.change_member(learner, True, b"", now)[1], now)
    acknowledge(node, now, 3)
    with pytest.raises(WigeonspanError, match="does not hold"):
        node.change_member(member("d"), True, b"", now)
    acknowledge(node, now, 3, source="d")
    node.change_member(member("d"), True, b"", now)
    assert member("d") in node.members


def test_voter_that_hears_no_leader_is_not_in_contact():
    """A host that is cut off must not tell entries that it has the newest state."""
    node = make_node()
    assert not node.in_contact(START)
    node.handle(message(Append(1, 1, [], 1, 1), term=2), START)
    assert node.in_contact(START + 1.0)
    assert not node.in_contact(START + VOTE_GUARD_S)


def test_leader_without_answers_is_not_in_contact():
    """It leads for two seconds more, and cannot commit anything."""
    node = make_node()
    now = make_leader(node, START)
    acknowledge(node, now, 1)
    assert node.in_contact(now + LEASE_S - 0.1)
    assert not node.in_contact(now + LEASE_S)
