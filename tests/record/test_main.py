"""Tests of the command line ``wigeonspan-audit``."""

import json
import sys

import pytest

from wigeonspan.catalog import (
    ApplyChange,
    Engine,
    EnginePhase,
    ModelService,
    ModelVersion,
    PinRole,
    PutObject,
    RemoveObject,
    Role,
    SetEngineState,
    Tenant,
)
from wigeonspan.common import encode
from wigeonspan.controld._state import ControlState
from wigeonspan.engines import OrderAction, OrderRequest
from wigeonspan.orders import CloseOrder, OpenOrder, OrderResult
from wigeonspan.record import RecordAuthority, RecordDecision, parse_time
from wigeonspan.record.main import main


def wall_ms_at(time_of_day):
    return parse_time(f"2026-12-03T{time_of_day}")


def change(op_id, catalog_change, base, time_of_day, operator="ana"):
    return ApplyChange(
        op_id,
        operator,
        "the night shift",
        base,
        catalog_change,
        wall_ms_at(time_of_day),
    )


def set_engine_state(version, time_of_day, phase, **fields):
    return SetEngineState(
        "e7", version, "the order ended", wall_ms_at(time_of_day), phase, **fields
    )


HISTORY = [
    RecordAuthority("control-1", 2, "control-1 leads in term 2", wall_ms_at("03:50")),
    change("op1", PutObject(ModelVersion("granite", "v1")), 0, "04:00"),
    change("op2", PutObject(ModelService("quote", "granite", "v1")), 0, "04:01"),
    change(
        "op3", PutObject(Engine("e7", "10.0.0.7:80", "d", service="quote")), 0, "04:02"
    ),
    set_engine_state(
        4, "04:03", EnginePhase.SERVING, model="granite", model_version="v1"
    ),
    RecordDecision(
        "planning",
        ("model_service/quote", "engine/e7"),
        "e7 changes from mixed to decode",
        {"demand": 3},
        [{"role": "mixed"}, {"role": "prefill"}],
        "quotes wait for output",
        wall_ms_at("04:05"),
    ),
    set_engine_state(5, "04:05", None, wanted_role=Role.DECODE),
    OpenOrder(
        "e7",
        OrderRequest("", OrderAction.CHANGE_ROLE, role=Role.DECODE),
        "change role to decode",
        wall_ms_at("04:06"),
    ),
    CloseOrder("e7", "e7-8", OrderResult.APPLIED, "answer", wall_ms_at("04:07")),
    set_engine_state(7, "04:08", EnginePhase.SERVING, role=Role.DECODE),
    change("op4", PinRole("e7", Role.MIXED), 3, "04:09", "bo"),
    change("op5", PinRole("e7", Role.MIXED), 10, "04:20", "bo"),
    change("op6", PutObject(Tenant("archive")), 0, "23:59:59.999"),
    change("op7", RemoveObject("tenant", "archive"), 13, "23:59:59.999"),
]


@pytest.fixture
def audit(tmp_path, monkeypatch, capsys):
    """Return a function that runs one command on the record of ``HISTORY``.

    The function returns the exit code and the printed text.
    """
    folder = tmp_path / "record"
    state = ControlState(folder)
    for index, command in enumerate(HISTORY, start=1):
        state.apply(index, encode(command))
    state.flush()

    def run(*arguments):
        monkeypatch.setattr(
            sys, "argv", ["wigeonspan-audit", *arguments, f"--folder={folder}"]
        )
        code = 0
        try:
            main()
        except SystemExit as end:
            code = end.code
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    run.folder = folder
    return run


@pytest.mark.parametrize(
    ("arguments", "entries"),
    [
        (["--day=2026-12-03"], 14),
        (["--day=2026-12-04"], 0),
        (["--since=2026-12-03T04:09"], 4),
        (["--until=2026-12-03T04:00"], 2),
        (["--engine=e7"], 9),
        (["--service=quote"], 10),
        (["--operator=bo"], 2),
        (["--operator=bo", "--until=2026-12-03T04:10"], 1),
        (["--subject=tenant/archive"], 2),
        (["--kind=order"], 2),
        (["--limit=3"], 3),
    ],
)
def test_query_by_day_time_engine_service_and_operator(audit, arguments, entries):
    """Each filter must select exactly the matching entries."""
    code, text = audit("query", *arguments, "--output=json")
    assert code == (0 if entries else 1)
    assert len(json.loads(text)["entries"]) == entries


@pytest.mark.parametrize(
    ("subject", "time", "sentences"),
    [
        (
            "engine/e7",
            "2026-12-03T04:10",
            [
                "engine/e7 was in phase serving, role decode, with model granite@v1, "
                "since 2026-12-03T04:08:00Z (entry 10).",
                "The last order step was: order e7-8 closed: applied by answer",
                "The last operator's change was: pin the role of engine/e7 to mixed, "
                "because 'the night shift': conflict",
                "The last decision was: e7 changes from mixed to decode (planning, "
                "2026-12-03T04:05:00Z, entry 6). Its reason: quotes wait for output. "
                "2 alternatives were considered.",
                "Authority: control-1 leads in term 2",
            ],
        ),
        (
            "engine/e7",
            "2026-12-03T04:06:30",
            ["role mixed (role decode was wanted)", "It was still open then."],
        ),
        ("engine/e7", "2026-12-03T04:01", ["nothing on engine/e7 before"]),
        ("engine/e7", "2026-12-03", ["role decode (role mixed was wanted)"]),
        ("tenant/archive", "2026-12-03", ["tenant/archive did not exist, since"]),
        (
            "model_service/quote",
            "2026-12-03T04:02",
            ["model granite, model_version v1, since"],
        ),
    ],
)
def test_why_explains_a_past_time(audit, subject, time, sentences):
    """Entries after the given time must not be used in the explanation."""
    code, text = audit("why", subject, time)
    assert code == 0
    for sentence in sentences:
        assert sentence in text


def test_verify_reports_head_and_damage(audit):
    """Damage is reported with file and offset and by the exit code."""
    code, text = audit("verify")
    assert (code, text.splitlines()[0][:36]) == (
        0,
        "14 entries are good, the last is 14 ",
    )
    head_hash = text.split()[-1]
    assert audit("verify", "--seq=14", f"--hash={head_hash}")[0] == 0
    code, text = audit("verify", "--seq=14", f"--hash={'0' * 64}")
    assert (code, "entry 14 with hash 000" in text) == (1, True)
    path = next(audit.folder.glob("record-*.jsonl"))
    path.write_text(path.read_text().replace("'the night shift'", "'the day shift'", 1))
    code, text = audit("verify")
    assert code == 1
    assert "fault: record-000000000001.jsonl: offset " in text
    assert "entry 2 does not have its hash" in text
    assert audit("query", "--day=2026-12-03")[0] == 1


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["why", "engine/e7", "yesterday"], "is not a day or time"),
        (["why", "engine/e7"], "no value for the required argument: time"),
        (["query", "--kind=cow"], "kind 'cow' is not one of"),
        (["query", "--limit=x"], "limit 'x' is not a whole number"),
        (["verify", "--seq=3"], "give --seq, a whole number, and --hash"),
        (["verify", "--output=xml"], "output 'xml' is not text or json"),
    ],
)
def test_wrong_usage_exits_with_2(audit, arguments, message):
    """Scripts must be able to distinguish invalid usage from a damaged record."""
    code, text = audit(*arguments)
    assert (code, message in text) == (2, True), text
