"""Membership of the control group without an operator, one step at a time.

Each step is one change of the replicated log's membership, so that any two majorities
before and after it overlap. A host votes only after it holds everything committed.
"""

from msgspec import Struct

from wigeonspan.catalog import Member
from wigeonspan.common import DomainName, HostId

REPLACE_AFTER_S = 2.5
"""Seconds of silence after which a voter is replaced if another host is ready to vote;
longer than an election, shorter than the time in which a replacement must count."""

DROP_AFTER_S = 8.0
"""Seconds of silence after which a host that does not vote is dropped."""

MOST_LEARNERS = 2
"""Hosts that follow the log without a vote; each costs the leader its messages."""


class Candidate(Struct, frozen=True):
    """Host that asks to be a member."""

    name: HostId
    address: str
    domain: DomainName
    disk_id: str


class MembershipView(Struct, frozen=True):
    """What the leader knows.

    Parameters
    ----------
    caught_up : set of HostId
        Members that hold everything committed.
    silence_s : dict
        Seconds since each other member's last answer.
    candidates : list of Candidate
        Hosts that asked lately.
    wanted_voters : int
        Voters that survive the losses to be tolerated.
    """

    leader: HostId
    members: list[Member]
    caught_up: set[HostId]
    silence_s: dict[HostId, float]
    candidates: list[Candidate]
    wanted_voters: int


class MembershipStep(Struct, frozen=True):
    """One change: a member to add, promote, demote or remove, and why."""

    member: Member
    present: bool
    why: str


def next_step(view: MembershipView) -> MembershipStep | None:
    """Return the next change of the membership, or None when nothing is due."""
    for rule in (_readmit, _promote, _replace, _admit, _drop):
        step = rule(view)
        if step is not None:
            return step
    return None


def _readmit(view: MembershipView) -> MembershipStep | None:
    """Take the vote from a host whose disk is not the registered one.

    What its lost disk had acknowledged must not count towards a majority any more.
    """
    members = {member.name: member for member in view.members}
    for candidate in view.candidates:
        member = members.get(candidate.name)
        if member is not None and member.disk_id != candidate.disk_id:
            return MembershipStep(_learner(candidate), True, "its disk was replaced")
    return None


def _promote(view: MembershipView) -> MembershipStep | None:
    if len(_voters(view)) >= view.wanted_voters:
        return None
    learner = _ready_learner(view)
    if learner is None:
        return None
    voter = Member(learner.name, learner.address, learner.domain, learner.disk_id, True)
    return MembershipStep(voter, True, "a vote is free and it is caught up")


def _replace(view: MembershipView) -> MembershipStep | None:
    """Remove a silent voter when another host can take its vote."""
    if len(_voters(view)) < view.wanted_voters:
        return None
    silent = [m for m in _voters(view) if _silence(view, m) >= REPLACE_AFTER_S]
    if not silent or _ready_learner(view) is None:
        return None
    longest = max(silent, key=lambda m: _silence(view, m))
    return MembershipStep(longest, False, "it is silent and another host is ready")


def _admit(view: MembershipView) -> MembershipStep | None:
    learners = [m for m in view.members if not m.voter]
    if len(learners) >= MOST_LEARNERS:
        return None
    names = {member.name for member in view.members}
    for candidate in view.candidates:
        if candidate.name not in names:
            return MembershipStep(_learner(candidate), True, "it asked to join")
    return None


def _drop(view: MembershipView) -> MembershipStep | None:
    for member in view.members:
        if not member.voter and _silence(view, member) >= DROP_AFTER_S:
            return MembershipStep(member, False, "it is silent and has no vote")
    return None


def _voters(view: MembershipView) -> list[Member]:
    return [member for member in view.members if member.voter]


def _silence(view: MembershipView, member: Member) -> float:
    return 0.0 if member.name == view.leader else view.silence_s.get(member.name, 0.0)


def _ready_learner(view: MembershipView) -> Member | None:
    for member in view.members:
        silent = _silence(view, member) >= REPLACE_AFTER_S
        if not member.voter and member.name in view.caught_up and not silent:
            return member
    return None


def _learner(candidate: Candidate) -> Member:
    return Member(
        candidate.name,
        candidate.address,
        candidate.domain,
        candidate.disk_id,
        False,
    )
