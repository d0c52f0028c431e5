import json
import sys

import pytest

from tests.operators.serving import serving
from wigeonspan.operators.main import main

CHANGE = ["--operator=ana", "--reason=why"]


@pytest.fixture
def service(tmp_path):
    with serving(tmp_path) as running:
        yield running


@pytest.fixture
def ctl(service, monkeypatch, capsys):
    """Return a function that runs a command and returns its code, stdout and stderr."""

    def run(*arguments):
        monkeypatch.setenv("WIGEONSPAN_CONTROL", service.address)
        monkeypatch.setattr(sys, "argv", ["wigeonspan-ctl", *arguments])
        code = 0
        try:
            main()
        except SystemExit as end:
            code = end.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


SETUP = [
    ["put", "model-version", "granite@v1", "--weight-bytes=5"],
    ["put", "adapter", "7", "--model=granite"],
    ["put", "model-service", "quote", "--model=granite", "--model-version=v1"],
    ["put", "engine", "e1", "--address=10.0.0.1:80", "--domain=a", "--service=quote"],
    ["put", "entry-host", "entry-1", "--address=10.0.0.2:80", "--domain=a"],
]

# Arguments, exit code, text in standard output, text in standard error.
COMMANDS = [
    (["put", "tenant", "t", "--weight=2.5", *CHANGE], 0, "accepted: tenant/t", ""),
    (
        ["put", "model-service", "quote", "--adapters=['7']", *CHANGE],
        0,
        "accepted",
        "",
    ),
    (["pin-role", "e1", "decode", *CHANGE], 0, "accepted: engine/e1", ""),
    (["pin-role", "e1", "planner", *CHANGE], 0, "accepted: engine/e1", ""),
    (["pin-role", "e1", "cook", *CHANGE], 2, "", "role 'cook' is not one of"),
    (["drain-engine", "e1", *CHANGE], 0, "accepted", ""),
    (["undrain-engine", "e1", *CHANGE], 0, "accepted", ""),
    (["withdraw-engine", "e1", *CHANGE], 0, "accepted", ""),
    (["drain-engine", "e9", *CHANGE], 1, "invalid: engine/e9 does not exist", ""),
    (["drain-entry", "entry-1", *CHANGE], 0, "accepted", ""),
    (["remove", "engine", "e1", *CHANGE], 0, "is removed in version", ""),
    (["remove", "model-service", "quote", *CHANGE], 1, "used by engine/e1", ""),
    (["drain-engine", "e1", "--base-version=1", *CHANGE], 1, "winner: ana", ""),
    (["drain-engine", "e1", "--base-version=x", *CHANGE], 2, "", "version 'x' is not"),
    (["drain-engine", "e1"], 2, "", "needs --operator and --reason"),
    (["put", "cow", "x", *CHANGE], 2, "", "kind 'cow' is not one of"),
    (["put", "tenant", "t", "--wait=1", *CHANGE], 2, "", "no field 'wait'; fields:"),
    (["put", "tenant", "t", "--weight=x", *CHANGE], 2, "", "tenant.weight: 'x'"),
    (["put", "engine", "e2", *CHANGE], 2, "", "missing required field `address`"),
    (["put", "engine", "e1", "--phase=new", *CHANGE], 2, "", "phase are state"),
    (["put", "tenant", *CHANGE], 2, "", "no value for the required argument"),
    (["get", "engine/e1"], 0, "  address: 10.0.0.1:80", ""),
    (["get", "adapter/7"], 0, "adapter/7", ""),
    (["get", "engine/e9"], 1, "engine/e9 does not exist", ""),
    (["get", "engine"], 2, "", "not of the form kind/name"),
    (["list"], 0, "model_version/granite@v1  v1  model=granite", ""),
    (["list", "tenant"], 0, "no objects", ""),
    (["list", "cow"], 2, "", "kind 'cow' is not one of"),
    (["in-force"], 0, "version 5 is in force", ""),
    (["in-force", "3"], 0, "lease ended: entry-1", ""),
    (["in-force", "77"], 1, "", "version 77 is after the newest"),
    (["record", "--subject=engine/e1"], 0, "ana  engine/e1, model_service/quote", ""),
    (["record", "--since=tomorrow"], 2, "", "is not a day or time"),
    (["record", "--until=2001-01-01"], 0, "no entries", ""),
    (["status"], 0, "control-1 is leader with a valid lease", ""),
    (["status"], 0, "stranger control-9 with disk d9", ""),
    (["list", "--output=xml"], 2, "", "output 'xml' is not text or json"),
    (["list", "--timeout-s=0"], 2, "", "is not a number of seconds"),
    (["list", "--control=127.0.0.1:1", "--timeout-s=0.5"], 3, "", "unreachable: no"),
    (["frobnicate"], 2, "", "Could not consume arg: frobnicate"),
    (["--help"], 0, "", "withdraw_engine"),
    (["put", "--help"], 0, "", "Fields that are not given keep"),
]


@pytest.mark.parametrize(("arguments", "code", "out", "err"), COMMANDS)
def test_command_prints_and_exits(ctl, arguments, code, out, err):
    """Guard against an exit code that lets a script take a refusal for success."""
    for command in SETUP:
        assert ctl(*command, *CHANGE)[0] == 0
    exit_code, output, error_output = ctl(*arguments)
    assert exit_code == code, (output, error_output)
    assert out in output
    assert err in error_output


def test_json_output_is_one_document(ctl):
    """Guard against readable lines around the JSON output, which scripts parse."""
    for command in SETUP:
        outcome = json.loads(ctl(*command, *CHANGE, "--output=json")[1])
        assert outcome["kind"] == "accepted"
    for command in (["list"], ["get", "engine/e1"], ["in-force"], ["record"]):
        assert json.loads(ctl(*command, "--output=json")[1])
    code, out, err = ctl("drain-engine", "e1", "--output=json")
    assert (code, out, json.loads(err)["error"]["kind"]) == (2, "", "usage")


def test_unknown_outcome_names_the_operation_id_for_the_resend(ctl, service):
    """Guard against a lost response that leaves the operator without a safe retry.

    The error must name the operation id, with which the change is made at most once.
    """
    service.log.lose_answers = 1_000
    code, _, err = ctl("put", "tenant", "t", *CHANGE, "--timeout-s=0.5")
    assert code == 3
    service.log.lose_answers = 0
    op_id = err.rpartition("--op-id=")[2].strip()
    code, out, _ = ctl("put", "tenant", "t", *CHANGE, f"--op-id={op_id}")
    assert (code, out) == (0, "accepted: tenant/t is changed in version 1\n")
    assert ctl("get", "tenant/t")[1].endswith("version: 1\n")


OBJECTS = """
- {kind: model_version, model: granite, label: v1}
- {kind: model_service, name: quote, model: granite, model_version: v1}
- {kind: engine, name: e1, address: "10.0.0.1:80", domain: a, service: quote}
"""


def test_apply_file_puts_only_objects_that_differ(ctl, tmp_path):
    """Guard against a second run of the same file changing every object again."""
    path = tmp_path / "objects.yaml"
    path.write_text(OBJECTS)
    assert ctl("apply-file", str(path), *CHANGE)[1].count("accepted") == 3
    assert ctl("apply-file", str(path), *CHANGE)[1] == "nothing to change\n"
    path.write_text(OBJECTS.replace("domain: a", "domain: b"))
    assert ctl("apply-file", str(path), *CHANGE)[1].count("accepted") == 1
    assert "domain: b" in ctl("get", "engine/e1")[1]
    path.write_text(OBJECTS.replace("domain: a", "domain: b, pinned_role: prefill"))
    assert ctl("apply-file", str(path), *CHANGE)[1].count("accepted") == 1
    assert ctl("apply-file", str(path), *CHANGE)[1] == "nothing to change\n"
    assert "pinned_role: prefill" in ctl("get", "engine/e1")[1]


@pytest.mark.parametrize(
    ("text", "code", "message"),
    [
        ("{}", 2, "expected a list of objects"),
        ("[1, {kind: cow}]", 2, "item 2: kind 'cow' is not one of"),
        ("[{kind: tenant, name: t, wait: 1}]", 2, "tenant has no field wait"),
        ("[{kind: tenant, name: t, weight: x}]", 2, "Expected `float`, got `str`"),
        ("[{kind: engine, pinned_role: cook}]", 2, "missing required field `name`"),
        (
            OBJECTS.replace("domain: a", "domain: a, pinned_role: cook"),
            2,
            "Invalid enum value 'cook'",
        ),
        ("[{kind: engine, name: e, phase: new}]", 2, "engine fields phase are state"),
        ("[", 2, "objects.yaml"),
        (OBJECTS.replace("v1}", "v2}", 1), 1, "granite@v1 does not exist"),
    ],
)
def test_apply_file_refuses_an_invalid_file(ctl, tmp_path, text, code, message):
    """Guard against applying an invalid file up to its first invalid item."""
    path = tmp_path / "objects.yaml"
    path.write_text(text)
    exit_code, out, err = ctl("apply-file", str(path), *CHANGE)
    assert exit_code == code
    assert message in out + err
    if code == 2:
        assert ctl("list")[1] == "no objects\n"
