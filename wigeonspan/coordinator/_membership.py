"""Rules for the membership of the control group, which needs no operator.

Members change one at a time, so that any majority before a change and any majority
after it overlap. A host gets a vote only after it has all committed log entries.
"""

from msgspec import Struct

from wigeonspan.catalog import Member
from wigeonspan.common import DomainName, HostId

REPLACE_VOTER_AFTER_S = 2.5
"""Seconds without an answer after which a voter is replaced if another host is ready
to vote. It is longer than an election and shorter than the time within which a
replacement must have its vote."""

REMOVE_LEARNER_AFTER_S = 8.0
"""Seconds without an answer after which a learner is removed."""

MAX_LEARNERS = 2
"""Maximum number of learners, the members that follow the log without a vote. The
leader must send messages to each of them."""


class Candidate(Struct, frozen=True):
    """Host that asks to join the group."""

    name: HostId
    address: str
    domain: DomainName
    disk_id: str


class MembershipView(Struct, frozen=True):
    """State of the group as the leader sees it.

    Parameters
    ----------
    leader : HostId
        Name of the leader.
    members : list of Member
        Voters and learners.
    caught_up : set of HostId
        Members that have all committed log entries.
    seconds_since_answer : dict
        Seconds since each other member's last answer.
    candidates : list of Candidate
        Hosts that recently asked to join.
    wanted_voters : int
        Number of voters to maintain, which limits how many hosts may be lost.
    """

    leader: HostId
    members: list[Member]
    caught_up: set[HostId]
    seconds_since_answer: dict[HostId, float]
    candidates: list[Candidate]
    wanted_voters: int


class MembershipStep(Struct, frozen=True):
    """One change of the membership, with its reason.

    Parameters
    ----------
    member : Member
        Member to remove, or new state of a member to add, promote or demote.
    present : bool
        False to remove the member.
    reason : str
        Reason for the log.
    """

    member: Member
    present: bool
    reason: str


def next_step(view: MembershipView) -> MembershipStep | None:
    """Return the next change of the membership, or None if none is due.

    The rules are tried in order of priority.
    """
    for rule in (
        _register_replaced_disk,
        _promote_learner,
        _remove_silent_voter,
        _add_learner,
        _remove_silent_learner,
    ):
        step = rule(view)
        if step is not None:
            return step
    return None


def _register_replaced_disk(view: MembershipView) -> MembershipStep | None:
    """Register the new disk of a member, which loses its vote.

    Log entries that the lost disk acknowledged must no longer count towards a majority.
    """
    members = {member.name: member for member in view.members}
    for candidate in view.candidates:
        member = members.get(candidate.name)
        if member is not None and member.disk_id != candidate.disk_id:
            return MembershipStep(
                _learner_from(candidate), True, "its disk was replaced"
            )
    return None


def _promote_learner(view: MembershipView) -> MembershipStep | None:
    """Promote a caught-up learner if there are fewer voters than wanted."""
    if len(_voters(view)) >= view.wanted_voters:
        return None
    learner = _find_ready_learner(view)
    if learner is None:
        return None
    voter = Member(learner.name, learner.address, learner.domain, learner.disk_id, True)
    return MembershipStep(voter, True, "a vote is free and it is caught up")


def _remove_silent_voter(view: MembershipView) -> MembershipStep | None:
    """Remove the voter that has been silent longest if a learner can replace it."""
    if len(_voters(view)) < view.wanted_voters:
        return None
    silent = [
        m for m in _voters(view) if _silent_for_s(view, m) >= REPLACE_VOTER_AFTER_S
    ]
    if not silent or _find_ready_learner(view) is None:
        return None
    longest = max(silent, key=lambda m: _silent_for_s(view, m))
    return MembershipStep(longest, False, "it is silent and another host is ready")


def _add_learner(view: MembershipView) -> MembershipStep | None:
    """Add a host that asked to join as a learner."""
    learners = [m for m in view.members if not m.voter]
    if len(learners) >= MAX_LEARNERS:
        return None
    names = {member.name for member in view.members}
    for candidate in view.candidates:
        if candidate.name not in names:
            return MembershipStep(_learner_from(candidate), True, "it asked to join")
    return None


def _remove_silent_learner(view: MembershipView) -> MembershipStep | None:
    """Remove a learner that has not answered for too long."""
    for member in view.members:
        if not member.voter and _silent_for_s(view, member) >= REMOVE_LEARNER_AFTER_S:
            return MembershipStep(member, False, "it is silent and has no vote")
    return None


def _voters(view: MembershipView) -> list[Member]:
    return [member for member in view.members if member.voter]


def _silent_for_s(view: MembershipView, member: Member) -> float:
    """Return the seconds since a member's last answer; 0 for the leader itself."""
    return (
        0.0
        if member.name == view.leader
        else view.seconds_since_answer.get(member.name, 0.0)
    )


def _find_ready_learner(view: MembershipView) -> Member | None:
    """Return the first learner that is caught up and not silent."""
    for member in view.members:
        silent = _silent_for_s(view, member) >= REPLACE_VOTER_AFTER_S
        if not member.voter and member.name in view.caught_up and not silent:
            return member
    return None


def _learner_from(candidate: Candidate) -> Member:
    """Return a candidate as a member without a vote."""
    return Member(
        candidate.name,
        candidate.address,
        candidate.domain,
        candidate.disk_id,
        False,
    )
