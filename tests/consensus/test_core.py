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
    Found,
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
    core = make_node()
    ready = core.handle(message(Vote(False, 1, 1), term=2), VOTE_GUARD_END)
    assert ready.send == []
    assert ready.persist.state == HardState("group", 2, "b")
    ready = core.persisted(ready.persist.sequence, VOTE_GUARD_END)
    assert bodies(ready) == [VoteReply(False, True)]


def test_candidate_asks_only_after_its_own_vote_is_synced():
    """A candidate that loses its own vote in a crash could vote again in the term."""
    core = make_node()
    now, _ = tick_until_campaign(core, START)
    ready = core.handle(message(VoteReply(True, True), term=2), now)
    assert (core.role, ready.send) == (LogRole.CANDIDATE, [])
    ready = core.persisted(ready.persist.sequence, now)
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
def test_vote_rules(state, vote, term, now, granted):
    """Two votes in a term, or a vote during a lease, would allow two leaders."""
    core = make_node(state)
    sent = sync_all(core, core.handle(message(vote, term=term), now), now)
    replies = [m.body.granted for m in sent]
    assert replies == ([] if granted is None else [granted])


def test_follower_acknowledges_only_what_is_synced():
    """An entry acknowledged before it is synced can be lost when two voters crash."""
    core = make_node()
    body = Append(1, 1, [Entry(2, 1, b"x")], 0, 7)
    ready = core.handle(message(body), START)
    assert bodies(ready) == [AppendReply(True, 1, 7)]
    ready = core.persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 2, 7)]


def test_heartbeat_during_a_sync_does_not_hide_the_entry():
    """An entry must be acknowledged once it is synced.

    Otherwise the leader sends it again after 0.5 s.
    """
    core = make_node()
    ready = core.handle(message(Append(1, 1, [Entry(2, 1, b"x")], 0, 7)), START)
    core.handle(message(Append(1, 1, [], 0, 8)), START)
    ready = core.persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 2, 8)]


def test_snapshot_counts_only_after_it_is_synced():
    """Committed entries are lost with a snapshot acknowledged before it is synced."""
    core = make_node()
    meta = SnapshotMeta(9, 1, MEMBERS, 4)
    core.handle(message(InstallSnapshot(meta, 0, 1, b"st")), START)
    ready = core.handle(message(InstallSnapshot(meta, 2, 1, b"at")), START)
    assert bodies(ready) == [SnapshotReply(9, 4, 1)]
    assert (core.commit, core.last_index, ready.snapshot) == (0, 1, None)
    assert ready.persist.snapshot.data == b"stat"
    ready = core.persisted(ready.persist.sequence, START)
    assert bodies(ready) == [AppendReply(True, 9, 1)]
    assert (core.commit, core.last_index, ready.snapshot.data) == (9, 9, b"stat")


def test_leader_sends_only_what_it_has_synced():
    """An entry rejected for lack of space must not have reached another voter."""
    core = make_node()
    now = make_leader(core, START)
    sync_all(core, acknowledge(core, now, 2), now)
    _, ready = core.propose(b"x", now)
    assert ready.send == []
    last, ready = core.storage_full(now)
    assert (last, core.last_index) == (2, 2)
    sent = [b for b in bodies(core.tick(now + 1)) if isinstance(b, Append)]
    assert all(entry.index <= 2 for body in sent for entry in body.entries)


def test_entries_of_an_earlier_term_commit_only_with_one_of_the_leaders():
    """An entry of an earlier term can still be replaced (Raft paper, figure 8)."""
    core = make_node(HardState("group", 4, ""), [FIRST_ENTRY, Entry(2, 2, b"old")])
    now = make_leader(core, START)
    ready = acknowledge(core, now, 2)
    assert (core.commit, core.leads) == (0, False)
    ready = acknowledge(core, now, 3)
    assert (core.commit, core.leads) == (3, True)
    assert [e.index for e in ready.committed] == [1, 2, 3]


def test_vote_guard_exceeds_the_lease_with_clocks_1_percent_off():
    """The vote guard on a fast clock must outlast the lease on a slow clock."""
    assert VOTE_GUARD_S / 1.01 > LEASE_S / 0.99
    assert ELECTION_MIN_S >= VOTE_GUARD_S


def test_lease_counts_from_the_sending_of_an_answered_round():
    """A lease counted from the answer would outlast the voters' vote guard."""
    core = make_node()
    sent_at = make_leader(core, START)
    assert core.lease_valid_until < sent_at
    acknowledge(core, sent_at + 0.2, 2)
    assert core.lease_valid_until == pytest.approx(sent_at + LEASE_S)


@pytest.mark.parametrize("disk", ["disk-b", "wiped"])
def test_answers_of_an_unregistered_disk_do_not_count(disk):
    """Answers of a wiped voter must not renew the lease or commit entries."""
    core = make_node()
    now = make_leader(core, START)
    source = Peer("b", "b", disk)
    reply = message(AppendReply(True, 2, core._state.round), term=core.term)
    core.handle(structs.replace(reply, source=source), now)
    counted = disk == "disk-b"
    assert (core.commit == 2) == counted
    assert (core.lease_valid_until > now) == counted


@pytest.mark.parametrize("removed", [None, "b"])
def test_leader_that_steps_down_keeps_its_published_lease(removed):
    """A leader that steps down must not vote before its published lease ends.

    Removing the member that renewed the lease must not shorten it; an earlier version
    did so without notice.
    """
    core = make_node()
    now = make_leader(core, START)
    acknowledge(core, now, 2)
    published = core.lease_valid_until
    if removed:
        sync_all(core, core.change_member(member(removed), False, b"", now)[1], now)
    assert core.lease_valid_until == published
    vote = message(Vote(False, 9, 9), "c", term=core.term + 1)
    assert core.handle(vote, now + 0.1).persist is None
    rejected = message(AppendReply(False, 0, 1), "c", term=core.term + 1)
    sync_all(core, core.handle(rejected, now + 0.1), now)
    assert core.role is LogRole.FOLLOWER
    vote = message(Vote(False, 9, 9), "c", term=core.term + 1)
    assert core.handle(vote, published - 0.01).persist is None


@pytest.mark.parametrize("disk", ["disk-b", "wiped"])
def test_votes_of_an_unregistered_disk_do_not_count(disk):
    """Votes of unregistered disks could elect a leader without a committed entry."""
    core = make_node()
    now, _ = tick_until_campaign(core, START)
    reply = message(VoteReply(True, True), term=2)
    core.handle(structs.replace(reply, source=Peer("b", "b", disk)), now)
    assert (core.role is LogRole.CANDIDATE) == (disk == "disk-b")


def test_leader_without_a_quorum_steps_down():
    """A partitioned leader must not keep proposals that it cannot commit."""
    core = make_node()
    now = make_leader(core, START)
    acknowledge(core, now, 2)
    core.tick(now + ELECTION_MAX_S - 0.1)
    assert core.role is LogRole.LEADER
    core.tick(now + ELECTION_MAX_S + 0.1)
    assert core.role is LogRole.FOLLOWER


def test_leader_whose_disk_hangs_steps_down():
    """Heartbeats do not need the disk, so no other voter would start an election."""
    core = make_node()
    now = make_leader(core, START)
    acknowledge(core, now, 2)
    core.propose(b"x", now)
    for step in range(1, 40):
        core.tick(now + step / 10)
        acknowledge(core, now + step / 10, 2)
        assert (core.role is LogRole.LEADER) == (step / 10 <= DISK_STALL_S)


def test_leader_with_a_quorum_ignores_votes():
    """A host that misses heartbeats must not depose a working leader."""
    core = make_node()
    now = make_leader(core, START)
    acknowledge(core, now, 2)
    for pre in (True, False):
        vote = message(Vote(pre, 9, 9), "c", term=core.term + 1)
        assert core.handle(vote, now + 0.1).send == []
    assert core.role is LogRole.LEADER


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
    """Messages that involve another disk identity or group must have no effect."""
    core = make_node()
    ready = core.handle(message(body, term=5, **fields), VOTE_GUARD_END)
    assert (ready.persist, ready.send, core.term) == (None, [], 1)


@pytest.mark.parametrize(
    ("body", "answers"),
    [
        (Vote(False, 9, 9), []),
        (Vote(True, 9, 9), []),
        (VoteReply(False, True), []),
        (TimeoutNow(), []),
        (Hello(()), [HelloReply("")]),
        (Hello(("a", "b")), []),
    ],
)
def test_disk_without_a_group_takes_no_part(body, answers):
    """A wiped voter must not vote, but must report its new disk identity."""
    core = make_node(HardState(), [])
    ready = core.handle(message(body, term=5), VOTE_GUARD_END)
    assert (ready.persist, bodies(ready), core.term) == (None, answers, 0)


@pytest.mark.parametrize(
    "body",
    [
        Append(0, 0, [FIRST_ENTRY], 1, 1),
        InstallSnapshot(SnapshotMeta(9, 4, MEMBERS, 0), 0, 1),
    ],
)
def test_disk_without_a_group_joins_a_leader_that_knows_it(body):
    """A learner joins the group with the first message for its disk identity."""
    core = make_node(HardState(), [])
    ready = core.handle(message(body, term=5), VOTE_GUARD_END)
    assert ready.persist.state == HardState("group", 5, "")
    sync_all(core, ready, VOTE_GUARD_END)
    assert core.members == MEMBERS


@pytest.mark.parametrize("reported_group", ["group", ""])
def test_founder_needs_every_first_voter_without_a_group(reported_group):
    """A wiped founder must not create a second group beside the existing one."""
    core = make_node(HardState(), [], "abc")
    assert bodies(core.tick(START)) == [Hello(("a", "b", "c"))] * 2
    core.handle(message(HelloReply(""), "b", group=""), START)
    assert core.group == ""
    core.handle(message(HelloReply(reported_group), "c", group=reported_group), START)
    assert (core.group != "") == (reported_group == "")


@pytest.mark.parametrize(
    ("first", "joins"), [("abc", True), ("ab", False), ("abcd", False), ("", False)]
)
def test_host_joins_only_the_first_voters_of_its_own_settings(first, joins):
    """Two founders with different settings could each get a majority."""
    core = make_node(HardState(), [], first)
    found = message(Found(MEMBERS), "c", group="group")
    ready = core.handle(message(Hello(("a", "b", "c")), "c", group=""), START)
    assert bool(ready.send) == joins
    core.handle(found, START)
    assert core.members == (MEMBERS if joins else ())


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
def test_one_member_changes_at_a_time_and_learns_first(changed, present, kind):
    """Concurrent changes, or a voter without the log, could lose committed entries."""
    core = make_node()
    now = make_leader(core, START)
    with pytest.raises(WigeonspanError) as caught:
        core.change_member(changed, present, b"", now)
    early = (ErrorKind.VERSION_CONFLICT, ErrorKind.NOT_FOUND)
    assert caught.value.kind in early
    acknowledge(core, now, 2)
    if kind is None:
        sync_all(core, core.change_member(changed, present, b"", now)[1], now)
        with pytest.raises(WigeonspanError, match="is not committed yet"):
            core.change_member(member("e", voter=False), True, b"", now)
    else:
        with pytest.raises(WigeonspanError) as caught:
            core.change_member(changed, present, b"", now)
        assert caught.value.kind is kind


def test_learner_is_promoted_only_when_it_holds_the_committed_log():
    """A voter without the log could complete a quorum without a committed entry."""
    core = make_node()
    now = make_leader(core, START)
    acknowledge(core, now, 2)
    learner = member("d", voter=False)
    sync_all(core, core.change_member(learner, True, b"", now)[1], now)
    acknowledge(core, now, 3)
    with pytest.raises(WigeonspanError, match="does not hold"):
        core.change_member(member("d"), True, b"", now)
    acknowledge(core, now, 3, source="d")
    core.change_member(member("d"), True, b"", now)
    assert member("d") in core.members
