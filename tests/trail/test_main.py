"""Tests of the command line ``wigeonspan-logs``."""

import json

from wigeonspan.trail.main import LogCommands


def write(tmp_path, name, *lines, prefix=""):
    path = tmp_path / name
    path.write_text("".join(prefix + json.dumps(line) + "\n" for line in lines))
    return str(path)


def line(wall_ms, event, **fields):
    return {"wall_ms": wall_ms, "host": "e1", "part": "serve", "event": event} | fields


def test_way_joins_the_files_of_all_processes_in_order(tmp_path):
    """The lines of one request come from the log files of several processes."""
    one = write(tmp_path, "one", line(105, "answered", request="r1", took_ms=5))
    two = write(
        tmp_path,
        "two",
        line(100, "admitted", request="r1", route="x"),
        line(101, "admitted", request="r2"),
        prefix="  12.5 edge-1 ",
    )
    text = LogCommands().way("r1", one, two)
    assert text.splitlines() == [
        "    +0 ms e1 serve: admitted route=x",
        "    +5 ms e1 serve: answered took_ms=5",
    ]


def test_unknown_request_is_reported(tmp_path):
    """Empty output would look like a failure of the command."""
    assert "no line names" in LogCommands().way("r9", write(tmp_path, "one"))


def test_incomplete_line_is_ignored(tmp_path):
    """A killed process may leave an incomplete line."""
    path = tmp_path / "one"
    path.write_text('{"wall_ms":1,"host":"e1","part":"serve","event":"refu')
    assert "no line names" in LogCommands().way("r1", str(path))


def test_failures_are_counted_by_reason(tmp_path):
    """Reasons that differ only in their numbers are counted together."""
    path = write(
        tmp_path,
        "one",
        line(1, "refused", kind="overloaded", why="first event expected in 1200 ms"),
        line(2, "refused", kind="overloaded", why="first event expected in 900 ms"),
        line(3, "answered"),
    )
    assert LogCommands().failures(path).split() == (
        "2 refused overloaded first event expected in N ms".split()
    )


def test_around_shows_events_but_no_requests(tmp_path):
    """An event shortly before a failure often shows its cause."""
    path = write(
        tmp_path,
        "one",
        line(1000, "targets_changed", leaving=["t1"]),
        line(1100, "admitted", request="r1"),
        line(9000, "control_lost"),
    )
    text = LogCommands().around(1500, path)
    assert "targets_changed" in text and "r1" not in text
    assert "control_lost" not in text


def test_odd_lines_do_not_hide_the_others(tmp_path):
    """A log may hold lines of other programs, whose fields have other types."""
    deep = "[" * 5000 + "]" * 5000
    odd = [
        '{"event":"refused","wall_ms":2,"host":"e","note":' + deep + "}",
        '{"event":"refused","wall_ms":"soon","host":"e","part":"serve"}',
        '{"event":"refused","wall_ms":1e999,"host":"e","part":"serve"}',
        '{"event":"refused","wall_ms":' + "9" * 5000 + ',"host":"e","part":"serve"}',
        '{"event":["refused"],"wall_ms":2,"host":"e","part":"serve"}',
        '{"event":"refused","wall_ms":2,"host":"e"}',
        '{"event":"refused","host":"e","part":"serve"}',
        '{"event":"refused","wall_ms":2,"host":"\\ud800","part":"serve"}',
    ]
    path = write(tmp_path, "one", line(1, "refused", kind="no_target", request="r1"))
    with open(path, "a") as file:
        file.write("\n".join(odd))
    commands = LogCommands()
    assert commands.failures(path).split() == ["1", "refused", "no_target"]
    assert len(commands.way("r1", path).splitlines()) == 1
    assert commands.around(1, path) == ""
