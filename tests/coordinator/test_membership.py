"""Tests of the rules for the membership of the control group."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspan.catalog import Member
from wigeonspan.common import DomainName, HostId
from wigeonspan.consensus._membership import changed_members
from wigeonspan.coordinator import Candidate, MembershipView, next_step


def member(name, voter=True, disk=None):
    return Member(
        HostId(name), f"{name}:1", DomainName("d"), disk or f"{name}-d", voter
    )


def candidate(name, disk=None):
    return Candidate(HostId(name), f"{name}:1", DomainName("d"), disk or f"{name}-d")


def view(members, *, silence=None, candidates=(), caught_up=None, wanted=3):
    names = {m.name for m in members}
    return MembershipView(
        leader=HostId("a"),
        members=list(members),
        caught_up=names if caught_up is None else set(caught_up),
        seconds_since_answer=silence or {},
        candidates=list(candidates),
        wanted_voters=wanted,
    )


THREE = [member("a"), member("b"), member("c")]

STEPS = [
    ("nothing is due", view(THREE), None),
    (
        "a wiped voter loses its vote",
        view(THREE, candidates=[candidate("c", "new")]),
        ("c", False, True),
    ),
    (
        "a caught-up learner is promoted if a voter is missing",
        view([*THREE[:2], member("c", voter=False)]),
        ("c", True, True),
    ),
    (
        "a learner that is behind does not vote",
        view([*THREE[:2], member("c", voter=False)], caught_up="ab"),
        None,
    ),
    (
        "a new host becomes a learner first",
        view(THREE, candidates=[candidate("d")]),
        ("d", False, True),
    ),
    (
        "a silent voter stays while nobody can replace it",
        view(THREE, silence={"c": 60.0}),
        None,
    ),
    (
        "a silent voter is replaced when another host is ready",
        view([*THREE, member("d", voter=False)], silence={"c": 3.0}),
        ("c", True, False),
    ),
    (
        "a short silence replaces nobody",
        view([*THREE, member("d", voter=False)], silence={"c": 1.0}),
        None,
    ),
    (
        "a silent learner is removed",
        view([*THREE, member("d", voter=False)], silence={"d": 9.0}),
        ("d", False, False),
    ),
    (
        "a known host that asks again changes nothing",
        view(THREE, candidates=[candidate("b")]),
        None,
    ),
]


@pytest.mark.parametrize(("case", "given_view", "expected"), STEPS)
def test_next_step(case, given_view, expected):
    """Each rule applies by itself, since no operator manages the members by hand."""
    step = next_step(given_view)
    found = (
        None if step is None else (step.member.name, step.member.voter, step.present)
    )
    assert found == expected, case


@given(
    voters=st.sets(st.sampled_from("abcde"), min_size=1).map(lambda s: s | {"a"}),
    learners=st.sets(st.sampled_from("fghi"), max_size=2),
    silent=st.sets(st.sampled_from("bcdefghi")),
    asking=st.sets(st.sampled_from("bcdefghi")),
    wiped=st.booleans(),
    wanted=st.sampled_from([3, 5]),
)
def test_each_step_is_one_allowed_change(
    voters, learners, silent, asking, wiped, wanted
):
    """A step changes at most one vote.

    Otherwise a majority before it and a majority after it might not overlap.
    """
    members = tuple(
        [member(n) for n in sorted(voters)]
        + [member(n, voter=False) for n in sorted(learners)]
    )
    step = next_step(
        view(
            members,
            silence={HostId(n): 30.0 for n in silent},
            candidates=[candidate(n, "new" if wiped else None) for n in sorted(asking)],
            wanted=wanted,
        )
    )
    if step is None:
        return
    after = changed_members(members, step.member, step.present)
    before_votes = {m.name for m in members if m.voter}
    after_votes = {m.name for m in after if m.voter}
    assert len(before_votes ^ after_votes) <= 1
    assert "a" in after_votes
