"""Explanation of an object's state at a past time in plain sentences."""

from datetime import UTC, datetime
from typing import Any

from wigeonspan.record._messages import RecordEntry, RecordKind


def explain(subject: str, at_ms: int, entries: list[RecordEntry]) -> list[str]:
    """Explain the state of an object at a past time.

    Parameters
    ----------
    subject : str
        Object as ``kind/name``, for example ``engine/e7``.
    at_ms : int
        Wall-clock time in milliseconds.
    entries : list of RecordEntry
        Entries up to that time that name the object, and entries of the kind
        ``AUTHORITY``; oldest first.

    Returns
    -------
    list of str
        Sentences that describe the state and the last events that led to it.
    """
    subject_entries = [entry for entry in entries if subject in entry.subjects]
    if not subject_entries:
        return [f"The record has nothing on {subject} before {show_time(at_ms)}."]
    sentences = [_describe_state(subject, at_ms, subject_entries)]
    sentences += _describe_last_order(subject_entries)
    sentences += _describe_last_entry(
        subject_entries, RecordKind.CHANGE, "The last operator's change was"
    )
    sentences += _describe_last_decision(subject_entries)
    sentences += _describe_last_entry(
        subject_entries, RecordKind.ENGINE, "The last step by the system was"
    )
    sentences += _describe_authority(entries)
    return sentences


def show_time(wall_ms: int) -> str:
    """Format a wall-clock time in UTC with a resolution of a second."""
    moment = datetime.fromtimestamp(wall_ms // 1000, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%SZ}"


def _describe_state(
    subject: str, at_ms: int, subject_entries: list[RecordEntry]
) -> str:
    """Describe the object after its last recorded change."""
    # The first subject is the changed object; the others are only affected.
    changes = [
        e for e in subject_entries if "after" in e.detail and e.subjects[0] == subject
    ]
    if not changes:
        return f"At {show_time(at_ms)} the state of {subject} is not in the record."
    entry = changes[-1]
    after = entry.detail["after"]
    since = f"since {show_time(entry.wall_ms)} (entry {entry.seq})"
    if after is None:
        return f"At {show_time(at_ms)} {subject} did not exist, {since}."
    if after.get("type") != "engine":
        return f"At {show_time(at_ms)} {subject} was {_format_fields(after)}, {since}."
    wanted = "" if after["role"] == after["wanted_role"] else _format_wanted_role(after)
    model = f" with model {after['model']}@{after['model_version']}"
    loaded = model if after["model"] else " without a model"
    return (
        f"At {show_time(at_ms)} {subject} was in phase {after['phase']}, role "
        f"{after['role']}{wanted},{loaded}, {since}."
    )


def _format_wanted_role(after: dict[str, Any]) -> str:
    return f" (role {after['wanted_role']} was wanted)"


def _format_fields(after: dict[str, Any]) -> str:
    hidden = ("type", "name", "version")
    shown = {k: v for k, v in after.items() if k not in hidden and v not in (None, [])}
    return ", ".join(f"{key} {value}" for key, value in shown.items())


def _describe_last_order(subject_entries: list[RecordEntry]) -> list[str]:
    """Describe the last order and whether it was still open."""
    orders = [entry for entry in subject_entries if entry.kind is RecordKind.ORDER]
    if not orders:
        return []
    last = orders[-1]
    is_open = last.detail.get("type") == "open_order" and last.detail["accepted"]
    state = "It was still open then." if is_open else ""
    return [_format_sentence("The last order step was", last, state)]


def _describe_last_entry(
    subject_entries: list[RecordEntry], kind: RecordKind, introduction: str
) -> list[str]:
    entries = [entry for entry in subject_entries if entry.kind is kind]
    return [_format_sentence(introduction, entries[-1])] if entries else []


def _describe_last_decision(subject_entries: list[RecordEntry]) -> list[str]:
    """Describe the last decision, its reason and the number of alternatives."""
    decisions = [
        entry for entry in subject_entries if entry.kind is RecordKind.DECISION
    ]
    if not decisions:
        return []
    entry = decisions[-1]
    alternatives = entry.detail.get("alternatives", [])
    considered = (
        f"{len(alternatives)} alternatives were considered."
        if alternatives
        else "No alternative was considered."
    )
    reason = f"Its reason: {entry.detail.get('reason', '')}."
    return [_format_sentence("The last decision was", entry, f"{reason} {considered}")]


def _describe_authority(entries: list[RecordEntry]) -> list[str]:
    authority_entries = [
        entry for entry in entries if entry.kind is RecordKind.AUTHORITY
    ]
    return (
        [_format_sentence("Authority", authority_entries[-1])]
        if authority_entries
        else []
    )


def _format_sentence(introduction: str, entry: RecordEntry, suffix: str = "") -> str:
    text = (
        f"{introduction}: {entry.summary} ({entry.actor}, {show_time(entry.wall_ms)}, "
        f"entry {entry.seq})."
    )
    return f"{text} {suffix}".rstrip()
