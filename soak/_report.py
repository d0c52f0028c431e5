"""What a day did, what it broke, and where the logs are."""

from pathlib import Path

import msgspec

from soak._day import Result
from soak._schedule import Schedule
from wigeonspan.trail.main import LogCommands

RESULT_FILE = "result.json"

MOST_SHOWN = 6
"""Broken promises that are shown with the way of their request."""


def describe(schedule: Schedule) -> str:
    """Return a day in words."""
    lines = [
        f"seed {schedule.seed}: {schedule.controls} control hosts, "
        f"{schedule.entries} entries, {schedule.engines} engines, "
        f"{schedule.apps} apps, {schedule.requests_per_s:.0f} requests/s"
    ]
    for fault in schedule.faults:
        where = f" ({fault.link})" if fault.kind.name.startswith("LINK") else ""
        lines.append(
            f"  {fault.at:5.1f} s for {fault.lasts_s:.1f} s: {fault.kind.value}{where}"
            f" victim {fault.victim} strength {fault.strength:.2f}"
        )
    if schedule.final is not None:
        lines.append(f"  at the end: {schedule.final.value}, all at once")
    return "\n".join(lines)


def save_result(result: Result) -> None:
    """Write the outcome of a day into its folder."""
    (result.folder / RESULT_FILE).write_bytes(msgspec.json.encode(result, enc_hook=str))


def write_report(folder: Path) -> Result:
    """Print the outcome of a day and return it.

    Raises
    ------
    FileNotFoundError
        When the day ended without an outcome.
    """
    result = msgspec.json.decode(
        (folder / RESULT_FILE).read_bytes(),
        type=Result,
        dec_hook=lambda kind, value: kind(value),
    )
    print(
        f"seed {result.schedule.seed}: {result.served} of {result.requests} requests "
        f"served, {len(result.breaks)} broken promises, "
        f"largest delay of the soak {result.largest_lag_s:.2f} s",
        flush=True,
    )
    if result.breaks:
        print(describe(result.schedule))
        print(f"  logs: {folder}")
        for found in result.breaks[:MOST_SHOWN]:
            print(f"  {found.rule}: {found.subject}: {found.text}")
            print(_way(folder, found.subject))
    return result


def _way(folder: Path, subject: str) -> str:
    """Return the log lines of a request, when the subject is one."""
    files = [str(path) for path in folder.glob("127*/log")]
    if not files or not subject.startswith(("r", "p")):
        return ""
    way = LogCommands().way(subject, *files)
    return "\n".join(f"      {line}" for line in way.splitlines())
