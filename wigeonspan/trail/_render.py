"""Log lines as JSON, or as text for a terminal."""

import os
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec

REQUEST_ID = "request"
"""Field of a line that names its request."""

Line = dict[str, Any]
Render = Callable[[Line], bytes]

_encode = msgspec.json.Encoder().encode


def choose_render(descriptor: int) -> Render:
    """Return text for a terminal and JSON for everything else."""
    return render_text if os.isatty(descriptor) else render_json


def render_json(line: Line) -> bytes:
    """Return a line as JSON."""
    return _encode(line) + b"\n"


def render_text(line: Line) -> bytes:
    """Return a line as text that starts with the time of day."""
    time = datetime.fromtimestamp(line["wall_ms"] / 1000.0, UTC)
    request = f" [{line[REQUEST_ID]}]" if REQUEST_ID in line else ""
    clock = time.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock}{request} {describe_line(line)}\n".encode()


def describe_line(line: Line) -> str:
    """Return what a line says, without its time and request."""
    hidden = {"wall_ms", "host", "part", "event", REQUEST_ID}
    fields = " ".join(f"{n}={_text(v)}" for n, v in line.items() if n not in hidden)
    return f"{line['host']} {line['part']}: {line['event']} {fields}"


def _text(value: Any) -> str:
    return value if isinstance(value, str) else _encode(value).decode()
