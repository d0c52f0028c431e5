"""Explanation of an object's state at a past time, in sentences."""

from datetime import UTC, datetime
from typing import Any

from wigeonspan.record._messages import RecordEntry, RecordKind


def explain(subject: str, at_ms: int, entries: list[RecordEntry]) -> list[str]:
    """Explain why an object was as it was.

    Parameters
    ----------
    subject : str
        Object such as ``engine/e7``.
    at_ms : int
        Wall-clock time in milliseconds.
    entries : list of RecordEntry
        Entries up to that time that name the object or an authority, oldest first.

    Returns
    -------
    list of str
        Sentences for a person.
    """
    own = [entry for entry in entries if subject in entry.subjects]
    if not own:
        return [f"The record has nothing on {subject} before {show_time(at_ms)}."]
    sentences = [_state(subject, at_ms, own)]
    sentences += _orders(own)
    sentences += _last(own, RecordKind.CHANGE, "The last operator's change was")
    sentences += _decision(own)
    sentences += _last(own, RecordKind.ENGINE, "The last step by the system was")
    sentences += _authority(entries)
    return sentences


def show_time(wall_ms: int) -> str:
    """Return a wall-clock time in UTC to the second."""
    at = datetime.fromtimestamp(wall_ms // 1000, UTC)
    return f"{at:%Y-%m-%dT%H:%M:%SZ}"


def _state(subject: str, at_ms: int, own: list[RecordEntry]) -> str:
    """Describe the object as the last change left it."""
    # The first subject is the object that changed; the others are concerned by it.
    known = [e for e in own if "after" in e.detail and e.subjects[0] == subject]
    if not known:
        return f"At {show_time(at_ms)} the state of {subject} is not in the record."
    entry = known[-1]
    after = entry.detail["after"]
    since = f"since {show_time(entry.wall_ms)} (entry {entry.seq})"
    if after is None:
        return f"At {show_time(at_ms)} {subject} did not exist, {since}."
    if after.get("type") != "engine":
        return f"At {show_time(at_ms)} {subject} was {_fields(after)}, {since}."
    wanted = "" if after["role"] == after["wanted_role"] else _wanted(after)
    model = f" with model {after['model']}@{after['model_version']}"
    loaded = model if after["model"] else " without a model"
    return (
        f"At {show_time(at_ms)} {subject} was in phase {after['phase']}, role "
        f"{after['role']}{wanted},{loaded}, {since}."
    )


def _wanted(after: dict[str, Any]) -> str:
    return f" (role {after['wanted_role']} was wanted)"


def _fields(after: dict[str, Any]) -> str:
    hidden = ("type", "name", "version")
    told = {k: v for k, v in after.items() if k not in hidden and v not in (None, [])}
    return ", ".join(f"{key} {value}" for key, value in told.items())


def _orders(own: list[RecordEntry]) -> list[str]:
    """Tell of the last order and whether it was still open."""
    orders = [entry for entry in own if entry.kind is RecordKind.ORDER]
    if not orders:
        return []
    last = orders[-1]
    open_now = last.detail.get("type") == "open_order" and last.detail["accepted"]
    state = "It was still open then." if open_now else ""
    return [_sentence("The last order step was", last, state)]


def _last(own: list[RecordEntry], kind: RecordKind, lead: str) -> list[str]:
    entries = [entry for entry in own if entry.kind is kind]
    return [_sentence(lead, entries[-1])] if entries else []


def _decision(own: list[RecordEntry]) -> list[str]:
    """Tell of the last decision, its reason and what else was considered."""
    decisions = [entry for entry in own if entry.kind is RecordKind.DECISION]
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
    return [_sentence("The last decision was", entry, f"{reason} {considered}")]


def _authority(entries: list[RecordEntry]) -> list[str]:
    notes = [entry for entry in entries if entry.kind is RecordKind.AUTHORITY]
    return [_sentence("Authority", notes[-1])] if notes else []


def _sentence(lead: str, entry: RecordEntry, more: str = "") -> str:
    text = (
        f"{lead}: {entry.summary} ({entry.actor}, {show_time(entry.wall_ms)}, "
        f"entry {entry.seq})."
    )
    return f"{text} {more}".rstrip()
