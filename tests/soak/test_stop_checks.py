"""Tests of the check on requests that are lost around a planned stop."""

import pytest
from standin import CallEnding

from soak._evidence import STARTED, STOPPED, Scope
from tests.soak.samples import (
    BOOK,
    ENTRY,
    SINGLE,
    make_arrival,
    make_call,
    make_call_record,
    make_evidence,
    rules,
)

STOP_AT = 20.0

STREAM = make_call(3, SINGLE)


def make_cut(sent_after_s, ended_after_s, call=STREAM, **changes):
    """Return a request that was cut, with times in seconds after the stop signal."""
    return make_call_record(
        call,
        STOP_AT + sent_after_s,
        ended_after_s - sent_after_s,
        ending=CallEnding.CUT,
        **changes,
    )


def make_stop(cut, *, arrivals=(), disturbances=(), refused=None):
    evidence = make_evidence(calls=[cut], refused_connections=refused or {})
    evidence.journal.arrivals = list(arrivals)
    evidence.record_disturbance(
        Scope.HOST, ENTRY, STOPPED, STOP_AT, STOP_AT + 8.0, planned=True
    )
    for scope, name, what, begins, until in disturbances:
        evidence.record_disturbance(scope, name, what, begins, until)
    return rules(evidence)


@pytest.mark.parametrize(
    ("sent_after_s", "ended_after_s", "worked_until_s", "is_violation"),
    [
        (3.2, 7.5, 7.5, True),
        (2.9, 7.5, 7.5, False),
        (2.9, 7.5, 6.6, True),
        (2.6, 7.6, 7.6, False),
        (4.3, 8.9, 8.9, True),
        (4.3, 9.1, 9.1, False),
        (-0.3, 3.0, 2.9, True),
    ],
)
def test_streams_that_a_stop_cut_are_told_from_excused_ones(
    sent_after_s, ended_after_s, worked_until_s, is_violation
):
    """Streams sent 3.2 to 5.5 s after SIGTERM were cut, and no soak run showed it.

    Excused are those sent up to 3 s after it whose target worked after 6.67 s, those
    whose deadline of 5 s was reached, and those that end later than 9 s after it.
    """
    cut = make_cut(sent_after_s, ended_after_s)
    arrival = make_arrival(STREAM, cut.began, ended=STOP_AT + worked_until_s)
    assert ("lost at a stop" in make_stop(cut, arrivals=[arrival])) is is_violation


@pytest.mark.parametrize(("ended_after_s", "is_violation"), [(4.1, False), (4.3, True)])
def test_unanswered_requests_that_were_not_passed_on_are_lost(
    ended_after_s, is_violation
):
    """A process that ended beside a request on an open connection left it unanswered.

    A request that crosses the close of its connection is not lost.
    """
    cut = make_cut(4.0, ended_after_s, make_call(3, BOOK), status=0, signature="")
    assert ("lost at a stop" in make_stop(cut)) is is_violation


@pytest.mark.parametrize(
    ("disturbance", "is_violation"),
    [
        ((Scope.HOST, ENTRY, "frozen", 20.2, 21.1), False),
        ((Scope.HOST, ENTRY, "frozen", 20.2, 20.9), True),
        ((Scope.HOST, "gateway-2", "frozen", 24.0, 25.0), True),
        ((Scope.CORE, "", "killed", 24.0, 25.0), False),
        ((Scope.TARGETS, "t+4", "crashed", 24.0, 25.0), False),
        ((Scope.TARGETS, "u", "crashed", 24.0, 25.0), True),
        ((Scope.HOST, ENTRY, STARTED, 27.99, 28.5), True),
        ((Scope.HOST, ENTRY, STARTED, 21.0, 24.5), False),
    ],
)
def test_only_disturbances_of_the_request_excuse_its_loss(disturbance, is_violation):
    """A kill after the grace period starts the next process before callers see the end.

    Counted as a disturbance, that start would excuse each request that a kill loses.
    """
    cut = make_cut(4.0, 8.0)
    arrival = make_arrival(STREAM, cut.began, ended=cut.ended)
    found = make_stop(cut, arrivals=[arrival], disturbances=[disturbance])
    assert ("lost at a stop" in found) is is_violation


@pytest.mark.parametrize(
    ("refused", "is_violation"),
    [({}, True), ({"c:1": 24.1}, False), ({"c:1": 23.9}, True), ({"c:2": 24.1}, True)],
)
def test_connections_that_a_proxy_could_not_forward_are_not_lost(refused, is_violation):
    """Probes of a stopped entry were reported on a busy machine (seeds 1018, 1024).

    The proxy had accepted their connections, and no process read their requests.
    """
    call = make_call(3, BOOK)
    cut = make_cut(4.0, 4.3, call, status=0, signature="", caller="c:1")
    found = make_stop(cut, refused=refused) & {"lost at a stop", "planned work"}
    assert found == ({"lost at a stop", "planned work"} if is_violation else set())
