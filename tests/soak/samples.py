"""Evidence of made-up soak runs, for tests of the checks."""

from standin import Arrival, Call, CallEnding, CallRecord, Journal, Purpose

from soak._checks import find_violations
from soak._evidence import Evidence, SentConfig
from wigeonspan.fleetconfig import CallKind

ENTRY = "gateway-1"
ADDRESS = "127.1.1.1:1"
BOOK, READ, SINGLE, RESUMABLE = "book", "read", "single", "resumable"


def make_call(number, path, *, abandon_after_s=None, prompt="a:100"):
    stream = path in (SINGLE, RESUMABLE)
    plain = CallKind.IDEMPOTENT if path == READ else CallKind.NON_IDEMPOTENT
    kind = CallKind.STREAM if stream else plain
    return Call(
        f"r{number}",
        kind,
        f"/{path}/x",
        5.0,
        resumable=path == RESUMABLE,
        tokens=100 if stream else 0,
        events=2 if stream else 0,
        prompt=prompt if stream else "",
        abandon_after_s=abandon_after_s,
    )


def make_call_record(call, began=10.0, took_s=0.1, **changes):
    run = "t#1"
    events = [f"id: {n}\ndata: {call.request} {n} {run}\n\n" for n in (1, 2)]
    body = "".join(events) if call.tokens else f"{call.request} {run}"
    made = CallRecord(
        call,
        ADDRESS,
        began,
        CallEnding.ANSWERED,
        began + took_s,
        sent=True,
        sent_at=began,
        status=200,
        signature=run,
        answered_request_id=call.request,
        body=body.encode(),
    )
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def make_arrival(call, arrived_at=10.0, **changes):
    stream = call.tokens
    made = Arrival(
        arrived_at,
        call.request,
        "t",
        "models" if stream else "apps",
        Purpose.RUN if stream else Purpose.CALL,
        call.path,
        f"body of {call.request}".encode(),
        f"{call.tokens},{call.events} {call.prompt}" if stream else " ",
        4000.0,
        "",
        began_execution=True,
        ended=arrived_at + 0.1,
    )
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def make_evidence(**changes):
    """Return the evidence of a run without violations."""
    book, stream = make_call(1, BOOK), make_call(2, SINGLE)
    made = Evidence(
        Journal([make_arrival(book), make_arrival(stream)], [], {}),
        [make_call_record(book), make_call_record(stream)],
        sent_configs=[SentConfig(1, 0.0, acknowledged_at=0.1)],
        host_by_address={ADDRESS: ENTRY},
        last_version=1,
        recovered_by=5.0,
        evaluation_ends=50.0,
        retry_ratio=0.2,
        retry_minimum=2,
    )
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def rules(evidence):
    return {found.rule for found in find_violations(evidence)}
