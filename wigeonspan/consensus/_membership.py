"""Membership changes, one member at a time."""

from wigeonspan.catalog import Member
from wigeonspan.common import ErrorKind, WigeonspanError


def changed_members(
    members: tuple[Member, ...], member: Member, present: bool
) -> tuple[Member, ...]:
    """Return the membership after a change.

    Parameters
    ----------
    members : tuple of Member
        Current membership.
    member : Member
        Member to add as a learner, promote, demote or remove.
    present : bool
        False to remove the member.

    Raises
    ------
    WigeonspanError
        ``NOT_FOUND`` or ``VERSION_CONFLICT`` when the change is not allowed.
    """
    before = next((m for m in members if m.name == member.name), None)
    others = tuple(m for m in members if m.name != member.name)
    if not present:
        if before is None:
            raise WigeonspanError(ErrorKind.NOT_FOUND, f"{member.name} is no member")
        after = others
    else:
        _check_promotion(before, member)
        after = (*others, member)
    if not any(m.voter for m in after):
        raise WigeonspanError(
            ErrorKind.VERSION_CONFLICT, "the group must keep at least one voter"
        )
    return tuple(sorted(after, key=lambda m: m.name))


def _check_promotion(before: Member | None, member: Member) -> None:
    """Require that a new voter was a learner with the same disk identity before."""
    if not member.disk_id:
        raise WigeonspanError(
            ErrorKind.VERSION_CONFLICT, f"{member.name} has no disk identity"
        )
    if member.voter and (before is None or before.disk_id != member.disk_id):
        raise WigeonspanError(
            ErrorKind.VERSION_CONFLICT,
            f"{member.name} must be a learner with this disk identity first",
        )
