"""Command line ``wigeonspan-logs``, which evaluates decision logs."""

import re
import sys
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import fire
import msgspec

from wigeonspan.common import WigeonspanError, decode
from wigeonspan.trail._render import REQUEST_ID, describe_line

_JSON_OBJECT = re.compile(r"\{.*\}\s*$")


class _LineHead(msgspec.Struct):
    """Fields that each line of the log has."""

    wall_ms: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    host: str
    part: str
    event: str


def read_lines(paths: tuple[str, ...]) -> list[dict[str, Any]]:
    """Read the lines of log files, sorted by time.

    Text before a line's JSON object is skipped, so that collected logs with a prefix
    can be read; lines without a JSON object are ignored.

    Raises
    ------
    OSError
        When a file cannot be read.
    """
    lines = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            match = _JSON_OBJECT.search(text)
            if match is None:
                continue
            try:
                line: dict[str, Any] = decode(match.group().encode(), dict[str, Any])
                # What describes each line must be there and have the usual types.
                msgspec.convert(line, _LineHead)
            except (WigeonspanError, msgspec.ValidationError):
                # Incomplete line of a process that was killed while writing it, or a
                # line of another program.
                continue
            lines.append(line)
    return sorted(lines, key=lambda line: line["wall_ms"])


class LogCommands:
    """Evaluate the log files of gateways and coordinators."""

    def way(self, request: str, *files: str) -> str:
        """Show the lines of all processes about one request, in order of time."""
        lines = [x for x in read_lines(files) if str(x.get(REQUEST_ID)) == str(request)]
        if not lines:
            return f"no line names the request {request}"
        return "\n".join(_format_line(line, lines[0]["wall_ms"]) for line in lines)

    def failures(self, *files: str) -> str:
        """Count the requests that ended without a response, by event and reason."""
        failure_events = ("refused", "broken_off", "caller_left", "unanswered")
        counts: Counter[str] = Counter()
        for line in read_lines(files):
            if line["event"] in failure_events and line["part"] == "serve":
                reason = re.sub(
                    r"\d+", "N", str(line.get("why", line.get("cause", "")))
                )
                counts[f"{line['event']} {line.get('kind', '')} {reason}".strip()] += 1
        return "\n".join(
            f"{count:7d} {failure}" for failure, count in counts.most_common()
        )

    def around(self, wall_ms: int, *files: str, within_ms: int = 2000) -> str:
        """Show the lines logged around a time, except those about a single request."""
        lines = [
            line
            for line in read_lines(files)
            if REQUEST_ID not in line and abs(line["wall_ms"] - wall_ms) <= within_ms
        ]
        return "\n".join(_format_line(line, wall_ms) for line in lines)


def _format_line(line: dict[str, Any], start_ms: int) -> str:
    return f"{line['wall_ms'] - start_ms:+6d} ms {describe_line(line)}"


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(LogCommands, name="wigeonspan-logs")
    except OSError as error:
        sys.exit(f"wigeonspan-logs: {error}")


if __name__ == "__main__":
    main()
