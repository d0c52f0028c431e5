"""Text and JSON output of the operators' command line."""

from datetime import UTC, datetime
from typing import Any

import msgspec

from wigeonspan.catalog import CatalogObject, ChangeOutcome, object_key
from wigeonspan.operators._backend import ControlStatus, InForceReport, RecordEntryView


def format_json(value: Any) -> str:
    """Format a value as indented JSON."""
    data = msgspec.json.encode(value, order="deterministic")
    return msgspec.json.format(data, indent=2).decode("utf-8")


def format_object(value: CatalogObject) -> str:
    """Format an object with one field per line."""
    kind, name = object_key(value)
    data = msgspec.to_builtins(value)
    lines = [f"{kind}/{name}"]
    for field, content in data.items():
        if field not in ("type", "name"):
            lines.append(f"  {field}: {_format_value(content)}")
    return "\n".join(lines)


def format_table(values: list[CatalogObject]) -> str:
    """Format objects, one per line, with the fields that differ from the defaults."""
    lines = []
    for value in values:
        kind, name = object_key(value)
        parts = [
            f"{f}={_format_value(v)}" for f, v in _non_default_fields(value).items()
        ]
        lines.append(f"{kind}/{name}  v{value.version}  {' '.join(parts)}".rstrip())
    return "\n".join(lines) if lines else "no objects"


def format_outcome(outcome: ChangeOutcome) -> str:
    """Format the outcome of a change."""
    text = f"{outcome.kind.value}: {outcome.message}"
    return f"{text}\nwinner: {outcome.winner}" if outcome.winner else text


def format_in_force(report: InForceReport) -> str:
    """Format a report on the state of a version on the entry hosts."""
    state = "in force" if report.in_force else "not yet in force"
    return "\n".join(
        [
            f"version {report.version} is {state}",
            f"  confirmed: {_format_value(report.confirmed)}",
            f"  pending: {_format_value(report.pending)}",
            f"  lease ended: {_format_value(report.lease_ended)}",
        ]
    )


def format_record(entries: list[RecordEntryView], truncated: bool) -> str:
    """Format entries of the audit record, one per line."""
    rows = [
        f"{entry.seq}  {format_time(entry.wall_ms)}  {entry.kind}  {entry.actor}  "
        f"{', '.join(entry.subjects)}: {entry.summary}"
        for entry in entries
    ]
    if truncated:
        rows.insert(0, "(older entries match too; raise --limit to see them)")
    return "\n".join(rows) if rows else "no entries"


def format_status(address: str, status: ControlStatus | str) -> str:
    """Format the status of a control host, or the error that was returned instead."""
    if isinstance(status, str):
        return f"{address}: {status}"
    role = "leader" if status.is_leader else "follower"
    lease = " with a valid lease" if status.lease_valid else ""
    lines = [
        f"{address}: {status.host} is {role}{lease}, term {status.term}, "
        f"version {status.version}",
        f"  leader: {status.leader or 'unknown'}",
        f"  record: {status.record_seq} {status.record_hash[:16]}",
        f"  disk: {status.disk_id}",
    ]
    for member in status.members:
        kind = "voter" if member.voter else "learner"
        lines.append(f"  {kind} {member.name} {member.address} {member.domain}")
    for stranger in status.strangers:
        lines.append(f"  stranger {stranger.host} with disk {stranger.disk_id}")
    return "\n".join(lines)


def format_time(wall_ms: int) -> str:
    """Format a wall-clock time, in milliseconds since the epoch, in UTC."""
    moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{wall_ms % 1000:03d}Z"


def _non_default_fields(value: CatalogObject) -> dict[str, Any]:
    """Return the required fields and those that differ from their default."""
    data = msgspec.to_builtins(value)
    shown_fields = {}
    for field in msgspec.structs.fields(type(value)):
        if field.name in ("name", "version"):
            continue
        default = msgspec.to_builtins(field.default) if not field.required else None
        if field.required or data[field.name] != default:
            shown_fields[field.name] = data[field.name]
    return shown_fields


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + " ".join(f"{k}={_format_value(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list | tuple):
        return ",".join(_format_value(item) for item in value) or "-"
    return "-" if value is None or value == "" else str(value)
