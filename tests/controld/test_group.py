"""Groups of control daemons: failover, record and membership changes."""

import shutil
import signal
from functools import partial

import pytest

from tests.controld.processes import Group
from wigeonspan.catalog import (
    AddLearner,
    ModelVersion,
    OutcomeKind,
    PromoteLearner,
    PutObject,
    RemoveMember,
    Tenant,
)
from wigeonspan.common import Version, WigeonspanError
from wigeonspan.record import (
    RecordFilter,
    RecordKind,
    find_entries,
    record_files,
    verify,
)

NEW = Version(0)


def entries(group, name):
    files = record_files(group.data_folder(name) / "record")
    return find_entries(files, RecordFilter(limit=10_000))[0]


def promote(group, name):
    """Retry the promotion of a learner until it is accepted."""
    session = group.session()

    def probe():
        base = session.version_of("member", name)
        outcome = session.apply(PromoteLearner(name), base, "replace a disk")
        return True if outcome.kind is OutcomeKind.ACCEPTED else None

    group.wait("a promotion", probe)


def add_learner(group, name):
    host = group.hosts[name]
    disk_id = group.wait(f"{name} to start", lambda: group.status(name)).disk_id
    session = group.session()
    outcome = session.apply(
        AddLearner(name, host["address"], host["domain"], disk_id, host["operators"]),
        session.version_of("member", name),
        "replace a disk",
    )
    assert outcome.kind is OutcomeKind.ACCEPTED, outcome


@pytest.mark.parametrize("graceful", [False, True])
def test_resent_change_returns_the_first_outcome_after_a_leader_change(
    tmp_path, graceful
):
    """A change that is resent after a change of leader is not applied twice.

    A new leader once repeated a change when the old leader's response was lost.
    """
    with Group(tmp_path, 3) as group:
        session = group.session()
        change = PutObject(Tenant("archive"))
        first = session.apply(change, NEW, "first", "op-1")
        assert first.kind is OutcomeKind.ACCEPTED
        old = group.leader()
        if graceful:
            assert group.terminate(old) == 0
        else:
            group.kill(old)
        assert session.apply(change, Version(77), "again", "op-1") == first
        other = session.apply(PutObject(Tenant("x")), NEW, "other", "op-1")
        assert other.kind is OutcomeKind.INVALID
        assert group.leader() != old
        group.start(old)
        seq, _ = group.wait_equal_records(group.hosts)
        for name in group.hosts:
            # A second SIGTERM must not interrupt the shutdown.
            group.processes[name].send_signal(signal.SIGTERM)
            assert group.terminate(name) == 0
            result = verify(group.data_folder(name) / "record")
            assert result.head.seq >= seq and result.faults == []
            # While the hosts stop, another one may lead and record that it does.
            later = [e.kind for e in entries(group, name) if e.seq > seq]
            assert set(later) <= {RecordKind.AUTHORITY}
            done = [e.summary for e in entries(group, name) if e.actor == "ana"]
            assert [text.split(",")[0] for text in done] == [
                "put tenant/archive",
                "put tenant/x",
            ]


def test_changes_are_recorded_exactly_once_after_kills(tmp_path):
    """Each change is in the record exactly once after restarts.

    Commands that are applied again after a restart once wrote duplicate entries.
    """
    with Group(tmp_path, 1) as group:

        def on_disk(number):
            done = [entry.detail.get("op_id") for entry in entries(group, "control-1")]
            return True if f"op-{number}" in done else None

        for number in range(12):
            change = PutObject(ModelVersion("m", f"v{number}"))
            group.session().apply(change, NEW, "fill", f"op-{number}")
            if number % 4 == 3:
                group.wait("a write", partial(on_disk, number))
                group.kill("control-1")
                group.start("control-1")
        group.leader()
        group.terminate("control-1")
        found = entries(group, "control-1")
        assert verify(group.data_folder("control-1") / "record").faults == []
        done = [e.detail["op_id"] for e in found if e.actor == "ana"]
        assert done == [f"op-{number}" for number in range(12)]


def test_wiped_voter_rejoins_as_a_learner_and_fetches_the_record(tmp_path):
    """A voter that lost its disk rejoins as a learner and fetches the record.

    Such a host once counted as a voter although it lacked earlier record entries.
    """
    with Group(tmp_path, 3) as group:
        session = group.session()
        # Enough changes for a snapshot, from which the learner gets its state.
        for number in range(1_050):
            change = PutObject(ModelVersion("m", f"v{number}"))
            session.apply(change, NEW, "fill")
        leader = group.leader()
        assert list((group.data_folder(leader) / "log").glob("snapshot-*"))
        lost = next(name for name in group.hosts if name != leader)
        group.kill(lost)
        shutil.rmtree(group.data_folder(lost))
        session.apply(PutObject(Tenant("firm")), NEW, "second")
        group.start(lost)
        add_learner(group, lost)
        promote(group, lost)
        group.wait_equal_records(group.hosts)
        members = {m.name: m for m in session.status().members}
        assert [members[name].voter for name in sorted(members)] == [True] * 3
        assert group.terminate(lost) == 0
        result = verify(group.data_folder(lost) / "record")
        assert (result.faults, result.entries) == ([], result.head.seq)
        assert len(entries(group, lost)) == result.entries > 1_050


def test_members_are_added_and_removed_by_operators(tmp_path):
    """A control host can be replaced through the operators' API.

    Operators' clients once didn't learn of the replacement.
    """
    with Group(tmp_path, 1) as group:
        group.leader()
        group.add_host("control-2")
        group.start("control-2")
        add_learner(group, "control-2")
        promote(group, "control-2")
        session = group.session()
        outcome = session.apply(
            PromoteLearner("control-2"),
            session.version_of("member", "control-2"),
            "again",
        )
        assert "already a voter" in outcome.message
        base = session.version_of("member", "control-1")
        while True:
            try:
                outcome = session.apply(RemoveMember("control-1"), base, "replace")
                break
            except WigeonspanError as error:
                assert error.kind.value == "not_leader"
        assert outcome.kind is OutcomeKind.ACCEPTED, outcome
        group.kill("control-1")
        session = group.session("control-2")
        assert [m.name for m in session.objects("member")] == ["control-2"]
        outcome = session.apply(PutObject(Tenant("t")), NEW, "alone")
        assert outcome.kind is OutcomeKind.ACCEPTED
