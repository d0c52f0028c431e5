"""Report of a run: its schedule, the violations, and where the logs are."""

from pathlib import Path

import msgspec

from soak._run import Result
from soak._schedule import Schedule
from wigeonspan.trail.main import LogCommands

RESULT_FILE = "result.json"

MAX_SHOWN_VIOLATIONS = 6
"""Largest number of violations that are printed, with log lines of their request."""


def describe(schedule: Schedule) -> str:
    """Describe a schedule in plain text."""
    lines = [
        f"seed {schedule.seed}: {schedule.controls} control hosts, "
        f"{schedule.entries} entries, {schedule.engines} engines, "
        f"{schedule.apps} apps, {schedule.requests_per_s:.0f} requests/s"
    ]
    if (memory := schedule.engine_memory) is not None:
        rule = "crash" if memory.crashes else "preempt"
        lines.append(f"  engines have {memory.tokens} tokens and {rule} over them")
    if schedule.entry_sizes:
        sizes = ", ".join(f"{size:.2f}" for size in schedule.entry_sizes)
        lines.append(f"  entries have sizes {sizes}")
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
    """Write the result of a run into its folder."""
    (result.folder / RESULT_FILE).write_bytes(msgspec.json.encode(result, enc_hook=str))


def print_report(folder: Path) -> Result:
    """Print the result of a run and return it.

    Raises
    ------
    FileNotFoundError
        If the run ended without saving a result.
    """
    result = msgspec.json.decode(
        (folder / RESULT_FILE).read_bytes(),
        type=Result,
        dec_hook=lambda kind, value: kind(value),
    )
    print(
        f"seed {result.schedule.seed}: {result.served} of {result.requests} requests "
        f"served, {result.silences} silences, {len(result.prompt_crashes)} crashes by "
        f"prompts, {result.preemptions} preemptions, {len(result.breaks)} violations, "
        f"largest timer delay of the soak test {result.largest_lag_s:.2f} s",
        flush=True,
    )
    if result.breaks:
        print(describe(result.schedule))
        if result.prompt_crashes:
            print(f"  crashes by prompts: {', '.join(result.prompt_crashes)}")
        print(f"  logs: {folder}")
        for found in result.breaks[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {found.rule}: {found.subject}: {found.text}")
            print(_request_log_lines(folder, found.subject))
    return result


def _request_log_lines(folder: Path, subject: str) -> str:
    """Return the log lines of a request, or nothing if the subject is not a request."""
    files = [str(path) for path in folder.glob("127*/log")]
    if not files or not subject.startswith(("r", "p")):
        return ""
    log_lines = LogCommands().way(subject, *files)
    return "\n".join(f"      {line}" for line in log_lines.splitlines())
