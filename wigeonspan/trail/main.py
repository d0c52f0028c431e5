"""Command that reads log files: the way of a request, or why requests failed."""

import re
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import fire
import msgspec

from wigeonspan.trail._render import REQUEST_ID, describe_line

_JSON = re.compile(r"\{.*\}\s*$")


def read_lines(paths: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return the lines of log files in the order of their time.

    Text before a line's JSON object is skipped, so that collected logs with a prefix
    can be read; lines without an object are left out.

    Raises
    ------
    OSError
        When a file cannot be read.
    """
    lines = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            found = _JSON.search(text)
            if found is None:
                continue
            try:
                line = msgspec.json.decode(found.group())
            except msgspec.DecodeError:
                # A line that was cut when its process ended.
                continue
            if isinstance(line, dict) and "event" in line:
                lines.append(line)
    return sorted(lines, key=lambda line: line.get("wall_ms", 0))


class LogCommands:
    """Reads the log files of gateways and coordinators."""

    def way(self, request: str, *files: str) -> str:
        """Show every decision on one request, in order, from all processes."""
        lines = [x for x in read_lines(files) if str(x.get(REQUEST_ID)) == str(request)]
        if not lines:
            return f"no line names the request {request}"
        return "\n".join(_show(line, lines[0]["wall_ms"]) for line in lines)

    def failures(self, *files: str) -> str:
        """Count what ended requests without an answer, by event and reason."""
        ends = ("refused", "broken_off", "caller_left")
        counts: Counter[str] = Counter()
        for line in read_lines(files):
            if line["event"] in ends and line["part"] == "serve":
                why = re.sub(r"\d+", "N", str(line.get("why", "")))
                counts[f"{line['event']} {line.get('kind', '')} {why}".strip()] += 1
        return "\n".join(f"{n:7d} {what}" for what, n in counts.most_common())

    def around(self, wall_ms: int, *files: str, within_ms: int = 2000) -> str:
        """Show what processes learned around a time, apart from single requests."""
        lines = [
            line
            for line in read_lines(files)
            if REQUEST_ID not in line and abs(line["wall_ms"] - wall_ms) <= within_ms
        ]
        return "\n".join(_show(line, wall_ms) for line in lines)


def _show(line: dict[str, Any], start_ms: int) -> str:
    return f"{line['wall_ms'] - start_ms:+6d} ms {describe_line(line)}"


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(LogCommands, name="wigeonspan-logs")
    except OSError as error:
        sys.exit(f"wigeonspan-logs: {error}")


if __name__ == "__main__":
    main()
