"""Tests that each check finds its violations and reports none in a correct run."""

import pytest
from standin import (
    CallEnding,
    Journal,
    MemoryOverflow,
    NamedLimit,
    OrderRecord,
    Purpose,
)

from soak._checks import find_violations
from soak._evidence import Departure, Probe, Scope, SentConfig, VersionRead
from tests.soak.samples import (
    BOOK,
    ENTRY,
    READ,
    RESUMABLE,
    SINGLE,
    make_arrival,
    make_call,
    make_call_record,
    make_evidence,
    rules,
)


def test_correct_run_has_no_violations():
    """A check that always reported a violation would hide the others."""
    assert find_violations(make_evidence()) == []


TWO_RUNS = b"id: 1\ndata: r2 1 t#1\n\nid: 2\ndata: r2 2 u#2\n\n"


@pytest.mark.parametrize(
    ("path", "changes"),
    [
        (SINGLE, {"body": b"id: 1\ndata: r2 1 t#1\n\n"}),
        (SINGLE, {"body": b"id: 1\ndata: r2 1 t#1\n\nid: 1\ndata: r2 1 t#1\n\n"}),
        (SINGLE, {"body": TWO_RUNS}),
        (SINGLE, {"signature": ""}),
        (SINGLE, {"answered_request_id": "r9"}),
        (SINGLE, {"ending": CallEnding.UNREADABLE}),
        (SINGLE, {"status": 502}),
        (BOOK, {"body": b"r9 t#1"}),
    ],
)
def test_wrong_answers_are_detected(path, changes):
    """The cases are a missing event, a repeated event, two runs in one answer, no
    signature, another request's answer, unreadable bytes, a changed status and another
    request's body."""
    request = make_call(2, path)
    evidence = make_evidence(calls=[make_call_record(request, **changes)])
    evidence.journal = Journal([make_arrival(request)])
    assert "answer" in rules(evidence)


def test_resumed_stream_may_join_two_runs():
    """A resumed stream continues at another target after its last event."""
    request = make_call(2, RESUMABLE)
    evidence = make_evidence(calls=[make_call_record(request, body=TWO_RUNS)])
    evidence.journal = Journal([make_arrival(request)])
    assert rules(evidence) == set()


def test_second_run_is_detected():
    """A call that is not idempotent must not run twice, such as releasing a loan."""
    evidence = make_evidence()
    evidence.journal.arrivals.append(make_arrival(make_call(1, BOOK), target="u"))
    assert "runs once" in rules(evidence)


@pytest.mark.parametrize("path", [BOOK, READ, SINGLE, RESUMABLE])
def test_false_refusal_is_detected(path):
    """After such a refusal the caller would retry a request that has already run.

    A late copy of a refusal was read as the answer to an idempotent call that ran.
    """
    call = make_call(1, path)
    evidence = make_evidence(calls=[make_call_record(call, status=503, signature="")])
    evidence.journal = Journal([make_arrival(call)])
    assert "refusal" in rules(evidence)


@pytest.mark.parametrize(
    "changes",
    [
        {"path": "/other/"},
        {"body": b""},
        {"service": "apps"},
        {"wrong_prompt": True},
        {"request": "r99"},
    ],
)
def test_requests_that_no_caller_sent_are_detected(changes):
    """The cases are a changed path, a changed body, the wrong service, the prompt of
    another request and a request that nobody sent."""
    evidence = make_evidence()
    evidence.journal.arrivals.append(make_arrival(make_call(2, SINGLE), **changes))
    assert "unasked" in rules(evidence)


def test_too_long_deadline_at_a_target_is_detected():
    """The target would continue to work after the caller's deadline."""
    evidence = make_evidence()
    evidence.journal.arrivals[0].deadline_ms = 6000.0
    assert "time left" in rules(evidence)


@pytest.mark.parametrize(
    ("disturbed", "is_violation"),
    [(None, True), (Scope.HOST, False), (Scope.LIST, False), (Scope.CORE, False)],
)
def test_work_for_a_leaving_target_is_detected_at_undisturbed_hosts(
    disturbed, is_violation
):
    """Such work would be cut off when the target stops."""
    evidence = make_evidence(departures=[Departure("t", 6.0)])
    if disturbed is not None:
        evidence.record_disturbance(disturbed, ENTRY, "cut", 7.0, 8.0)
    assert ("departure" in rules(evidence)) is is_violation


def test_report_of_an_old_configuration_is_detected():
    """A control host that was cut off from the others may report an old version."""
    reads = [VersionRead(2.0, "control-1", 1), VersionRead(9.0, "control-1", 1)]
    sent_configs = [
        SentConfig(1, 0.0, acknowledged_at=0.1),
        SentConfig(2, 1.0, acknowledged_at=1.5),
    ]
    evidence = make_evidence(sent_configs=sent_configs, reads=reads, last_version=2)
    assert len(find_violations(evidence)) == 1


def test_return_to_an_older_configuration_is_detected():
    """Returning to an older version without a restart is a violation, even while
    control hosts are disturbed."""
    probes = [
        Probe(1.0, 1.1, ENTRY, 1, 1, True),
        Probe(9.0, 9.1, ENTRY, 1, 1, False),
        Probe(9.0, 9.1, ENTRY, 2, 1, False),
    ]
    evidence = make_evidence(probes=probes)
    evidence.record_disturbance(Scope.CORE, "", "killed", 0.0, 9.0)
    assert len(find_violations(evidence)) == 1


def test_entry_without_an_acknowledged_configuration_is_detected():
    """Only the probe more than two seconds after the acknowledgement is a violation."""
    probes = [Probe(2.0, 2.05, ENTRY, 1, 1, False), Probe(2.3, 2.4, ENTRY, 1, 1, False)]
    assert len(find_violations(make_evidence(probes=probes))) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"last_version": None},
        {"last_version": 0},
        {"last_version": 7},
        {"last_version": None, "sent_configs": []},
        {"sent_configs": [SentConfig(1, 0.0, refused=True)]},
        {"sent_configs": [SentConfig(1, 0.0, valid=False, acknowledged_at=1.0)]},
    ],
)
def test_lost_or_wrong_configurations_are_detected(changes):
    """The cases are lost versions, one that nobody sent, a valid one that was refused
    and an invalid one that was accepted."""
    assert rules(make_evidence(**changes)) & {"configuration", "configuration kept"}


def test_retries_beyond_the_budget_are_detected():
    """Retries beyond the budget would make an overload worse."""
    evidence = make_evidence()
    again = [
        make_arrival(make_call(2, SINGLE), 10.0 + n, began_execution=False)
        for n in range(3)
    ]
    evidence.journal.arrivals.extend(again[:2])
    assert rules(evidence) == set()
    evidence.journal.arrivals.extend(again[2:])
    assert rules(evidence) == {"retry budget"}


@pytest.mark.parametrize(
    ("second", "is_violation"),
    [
        (OrderRecord(11.0, "u", "a", 1, True), False),
        (OrderRecord(14.0, "u", "b", 2, True), False),
        (OrderRecord(14.0, "u", "b", 1, True), True),
        (OrderRecord(11.0, "u", "b", 2, True), True),
        (OrderRecord(11.0, "u", "b", 2, True, late=True), False),
    ],
)
def test_two_holders_are_detected(second, is_violation):
    """Two holders must not share a fencing token, nor give orders within one lease."""
    evidence = make_evidence()
    evidence.journal.orders = [OrderRecord(10.0, "t", "a", 1, True), second]
    assert ("one holder" in rules(evidence)) is is_violation


def test_request_lost_by_a_planned_stop_is_detected():
    """The loss is not a violation if a target was disturbed at the same time."""
    cut = make_call_record(
        make_call(1, BOOK), ending=CallEnding.CUT, status=0, signature=""
    )
    evidence = make_evidence(calls=[cut])
    evidence.record_disturbance(Scope.HOST, ENTRY, "stopped", 9.0, 19.0, planned=True)
    assert "planned work" in rules(evidence)
    evidence.record_disturbance(Scope.TARGETS, "t", "crashed", 9.5, 9.6)
    assert "planned work" not in rules(evidence)


@pytest.mark.parametrize(("took_s", "is_violation"), [(4.9, True), (4.96, False)])
def test_request_at_its_deadline_is_not_lost_by_a_planned_stop(took_s, is_violation):
    """Slow streams that ended at their deadline were reported (trial, seed 11)."""
    cut = make_call_record(make_call(2, SINGLE), ending=CallEnding.CUT, took_s=took_s)
    evidence = make_evidence(calls=[cut])
    evidence.record_disturbance(Scope.HOST, ENTRY, "stopped", 9.0, 17.0, planned=True)
    assert ("planned work" in rules(evidence)) is is_violation


@pytest.mark.parametrize(
    ("sent_after_s", "is_violation"), [(0.0, True), (1.7, True), (1.9, False)]
)
def test_slow_body_counts_from_its_last_byte_at_a_planned_stop(
    sent_after_s, is_violation
):
    """A body that took 2 s to send was reported, though it crossed the close."""
    cut = make_call_record(
        make_call(5, BOOK), ending=CallEnding.CUT, took_s=2.0, status=0, signature=""
    )
    cut.sent_at += sent_after_s
    evidence = make_evidence(calls=[cut])
    evidence.record_disturbance(Scope.HOST, ENTRY, "stopped", 9.0, 17.0, planned=True)
    assert ("planned work" in rules(evidence)) is is_violation


def test_answers_after_the_deadline_are_detected():
    """More than the tolerated cases and more than half of the requests are late."""
    calls = [
        make_call_record(make_call(n, BOOK), took_s=5.55, status=0) for n in range(4)
    ]
    assert "deadline" in rules(make_evidence(calls=calls))


def test_work_for_callers_that_left_is_detected():
    """Work for callers that disconnected takes capacity from other requests."""
    evidence = make_evidence()
    for number in range(10, 14):
        request = make_call(number, SINGLE, abandon_after_s=0.2)
        left = make_call_record(
            request, ending=CallEnding.ABANDONED, took_s=0.2, status=0, signature=""
        )
        evidence.calls.append(left)
        evidence.journal.arrivals.append(make_arrival(request, ended=12.0))
    assert "caller left" in rules(evidence)


def test_missing_recovery_and_unexpected_exits_are_detected():
    """Under a quarter of the requests are served, and a process ended by itself."""
    failed = [
        make_call_record(make_call(n, BOOK), status=503, signature="") for n in range(9)
    ]
    evidence = make_evidence(
        calls=failed, unexpected_exits=["control-1 ended with status 1"]
    )
    evidence.journal = Journal()
    assert rules(evidence) == {"recovery", "own end"}


@pytest.mark.parametrize(
    ("rate", "disturbed", "is_violation"),
    [(2.0, "", True), (5.0, "", False), (2.0, ENTRY, False)],
)
def test_requests_beyond_a_named_limit_are_found(rate, disturbed, is_violation):
    """Targets in need got as much as before; disturbed entries are excused."""
    calls = [make_call(n, BOOK) for n in range(30)]
    arrivals = [make_arrival(c, 14.0 + 0.1 * n) for n, c in enumerate(calls)]
    evidence = make_evidence(
        journal=Journal(arrivals, [], {}, [NamedLimit("t", rate, 10.0, 20.0)]),
        calls=[make_call_record(c, 14.0 + 0.1 * n) for n, c in enumerate(calls)],
    )
    if disturbed:
        evidence.record_disturbance(Scope.HOST, disturbed, "killed", 12.0, 12.5)
    assert ("limit" in rules(evidence)) is is_violation


@pytest.mark.parametrize(
    ("record", "arrival", "disturbed", "is_violation"),
    [
        ({"ending": CallEnding.CUT}, {}, None, True),
        ({"status": 502, "signature": ""}, {}, None, True),
        ({"status": 502, "signature": ""}, {"completed": True}, None, False),
        ({"status": 503, "signature": ""}, {}, None, False),
        ({"ending": CallEnding.CUT, "took_s": 5.0}, {}, None, False),
        ({"ending": CallEnding.CUT}, {"ended": 9.0}, None, False),
        ({"ending": CallEnding.CUT}, {}, (Scope.TARGETS, "t+7", False), False),
        ({"ending": CallEnding.CUT}, {}, (Scope.TARGETS, "u", False), True),
        ({"ending": CallEnding.CUT}, {}, (Scope.HOST, ENTRY, False), False),
        ({"ending": CallEnding.CUT}, {}, (Scope.HOST, ENTRY, True), True),
    ],
)
def test_request_lost_while_its_target_is_silent_is_detected(
    record, arrival, disturbed, is_violation
):
    """A stream whose target was only silent was cut off with most of its time left."""
    call = make_call(2, RESUMABLE)
    evidence = make_evidence(calls=[make_call_record(call, **record)])
    evidence.journal = Journal([make_arrival(call, **arrival)])
    if disturbed is not None:
        scope, name, planned = disturbed
        evidence.record_disturbance(scope, name, "faulty", 9.0, 9.5, planned=planned)
    assert ("lost" in rules(evidence)) is is_violation


@pytest.mark.parametrize(
    ("prefill_at", "crashed", "is_violation"),
    [(10.2, "u", False), (10.4, "u", True), (10.2, "w", True)],
)
def test_prefill_from_before_the_last_run_is_no_work_to_wait_for(
    prefill_at, crashed, is_violation
):
    """A second prefill was still running when the engine of the run crashed.

    It was reported as the work of a sound target (seed 1024).
    """
    call = make_call(2, RESUMABLE)
    cut = make_call_record(call, ending=CallEnding.CUT, took_s=0.6)
    run = make_arrival(call, 10.3, target="u", ended=10.55)
    prefill = make_arrival(call, prefill_at, purpose=Purpose.PREFILL, ended=10.6)
    evidence = make_evidence(calls=[cut])
    evidence.journal = Journal([run, prefill])
    evidence.record_disturbance(Scope.TARGETS, crashed, "crashed", 10.5, 11.0)
    assert ("lost" in rules(evidence)) is is_violation


@pytest.mark.parametrize("crashed", [False, True])
def test_engine_that_ends_because_of_its_memory_is_a_violation(crashed):
    """Entries that know the memory must not fill it; preemptions are no violation."""
    evidence = make_evidence()
    overflow = MemoryOverflow(10.0, "t", 1010, 1000, crashed, 3, 0)
    evidence.journal.overflows.append(overflow)
    assert ("memory" in rules(evidence)) is crashed
