"""Rendering of log lines as JSON, or as text for a terminal."""

import os
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec

REQUEST_ID = "request"
"""Name of the field with the id of the request."""

LogLine = dict[str, Any]
Renderer = Callable[[LogLine], bytes]

_encode = msgspec.json.Encoder().encode


def choose_renderer(descriptor: int) -> Renderer:
    """Return the text renderer for a terminal, and the JSON renderer otherwise."""
    return render_text if os.isatty(descriptor) else render_json


def render_json(line: LogLine) -> bytes:
    """Render a line as JSON."""
    return _encode(line) + b"\n"


def render_text(line: LogLine) -> bytes:
    """Render a line as text that starts with the time of day in UTC."""
    logged_at = datetime.fromtimestamp(line["wall_ms"] / 1000.0, UTC)
    request = f" [{line[REQUEST_ID]}]" if REQUEST_ID in line else ""
    time_of_day = logged_at.strftime("%H:%M:%S.%f")[:-3]
    return f"{time_of_day}{request} {describe_line(line)}\n".encode()


def describe_line(line: LogLine) -> str:
    """Format a line without its time and request."""
    hidden = {"wall_ms", "host", "part", "event", REQUEST_ID}
    fields = " ".join(
        f"{n}={_format_value(v)}" for n, v in line.items() if n not in hidden
    )
    return f"{line['host']} {line['part']}: {line['event']} {fields}"


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else _encode(value).decode()
