"""Tests of the choice of the caller that is refused or closed."""

import pytest

from wigeonspan.serving._bounds import CallerRules, held_bytes_limit, process_limits
from wigeonspan.serving._shedding import (
    HEAD_MARGIN_S,
    IDLE_MARGIN_S,
    LINGER_S,
    SMALL_BYTES,
    STALLED_S,
    CloseReason,
    ConnectionPhase,
    Holding,
    choose_for_connections,
    order_for_memory,
    overdue,
)

MIB = 1024 * 1024
IDLE, HEAD, BODY, RUNNING, REFUSED = ConnectionPhase
RULES = CallerRules(body_bytes=4 * MIB, header_timeout_s=3.0, idle_timeout_s=15.0)


def body(mib, slow_s=0.0):
    return Holding(BODY, int(mib * MIB), slow_s=slow_s)


def response(mib, slow_s=0.0):
    return Holding(RUNNING, int(mib * MIB), slow_s=slow_s, reads_response=True)


def choose_for_memory(holdings):
    return next(iter(order_for_memory(holdings)), None)


def choose_for_connection(holdings):
    return next(iter(choose_for_connections(holdings, 1)), None)


def test_stalled_callers_go_before_those_that_progress():
    """Bodies that stopped short of their end held the room of sound uploads."""
    holdings = {"new": body(0.2), "stalled": body(3, 2.0), "old": body(3.5)}
    assert choose_for_memory(holdings) == "stalled"


def test_those_that_hold_most_for_longest_go_first():
    """Closing stalled callers in any order could close many small ones for nothing."""
    holdings = {"a": body(1, 2.0), "b": body(4, 1.0), "c": response(3, 2.0)}
    assert choose_for_memory(holdings) == "c"


def test_upload_near_its_end_is_not_refused_for_one_that_begins():
    """Refusing the largest or oldest upload refused each one before its end."""
    holdings = {"first": body(3.9), "second": body(2.0), "last": body(0.1)}
    assert choose_for_memory(holdings) == "last"


def test_small_request_goes_on_beside_large_ones():
    """Ordinary callers were refused for the memory that others hold."""
    small = Holding(BODY, SMALL_BYTES, slow_s=9.0)
    assert choose_for_memory({"small": small, "large": body(0.5)}) == "large"
    assert choose_for_memory({"small": small}) == "small"


def test_large_upload_that_begins_is_not_taken_for_a_small_request():
    """Each upload that began had one refused that was near its end."""
    begins = Holding(BODY, 1000, announced_bytes=4 * MIB)
    assert choose_for_memory({"old": body(3.9), "begins": begins}) == "begins"


def test_request_that_runs_is_not_given_up():
    """A refusal promises that the request has not run, which is not known any more."""
    running = Holding(RUNNING, 8 * MIB, slow_s=9.0)
    assert choose_for_memory({"running": running}) is None


def test_reader_that_takes_nothing_goes_before_one_that_reads():
    """Responses to callers that read nothing filled the memory."""
    holdings = {"reads": response(4), "takes_nothing": response(1, STALLED_S)}
    assert choose_for_memory(holdings) == "takes_nothing"


def test_responses_go_after_bodies_that_arrive():
    """A response was cut while a body could still be refused truthfully."""
    assert choose_for_memory({"reads": response(4), "body": body(0.5)}) == "body"


@pytest.mark.parametrize(
    ("sooner", "later"),
    [
        (Holding(REFUSED), Holding(IDLE, phase_s=9.0)),
        (Holding(IDLE), Holding(IDLE, phase_s=9.0, requests=1)),
        (Holding(HEAD, phase_s=2.0), Holding(HEAD, phase_s=1.0)),
        (Holding(IDLE, requests=1), body(1, 9.0)),
        (body(1, 9.0), response(1, STALLED_S)),
        (response(1, STALLED_S), body(1)),
    ],
)
def test_new_connection_replaces_the_least_useful(sooner, later):
    """Silent connections kept ordinary callers out, or these replaced each other."""
    holdings = {"later": later, "sooner": sooner, "running": Holding(RUNNING)}
    assert choose_for_connection(holdings) == "sooner"


def test_no_connection_in_use_is_replaced():
    """A new connection ended a request that was being served or read."""
    in_use = {"body": body(1), "reads": response(1), "running": Holding(RUNNING)}
    assert choose_for_connection(in_use) is None


def test_only_connections_without_a_use_are_closed_together():
    """A crowd of silent connections ended the kept connections of ordinary callers."""
    silent = {number: Holding(IDLE, phase_s=number) for number in range(10)}
    kept = {"kept": Holding(IDLE, phase_s=99.0, requests=1)}
    assert choose_for_connections(silent | kept, 3) == [9, 8, 7]
    assert choose_for_connections(kept | {"more": kept["kept"]}, 3) == ["kept"]


@pytest.mark.parametrize(
    ("holding", "reason"),
    [
        (Holding(IDLE, phase_s=15.0 + IDLE_MARGIN_S), None),
        (Holding(IDLE, phase_s=15.1 + IDLE_MARGIN_S), CloseReason.IDLE),
        (Holding(HEAD, phase_s=3.0 + HEAD_MARGIN_S), None),
        (Holding(HEAD, phase_s=3.1 + HEAD_MARGIN_S), CloseReason.SLOW_HEAD),
        (Holding(BODY, phase_s=99.0, silent_s=15.0, slow_s=99.0), None),
        (Holding(BODY, silent_s=15.1), CloseReason.STALLED_BODY),
        (Holding(RUNNING, phase_s=99.0, silent_s=99.0), None),
        (
            Holding(RUNNING, silent_s=15.1, reads_response=True),
            CloseReason.SLOW_READER,
        ),
        (Holding(REFUSED, phase_s=9.0, silent_s=LINGER_S), None),
        (Holding(REFUSED, silent_s=LINGER_S + 0.1), CloseReason.AFTER_REFUSAL),
        (Holding(REFUSED, phase_s=15.1), CloseReason.AFTER_REFUSAL),
        (Holding(REFUSED, discarded_bytes=4 * MIB + 1), CloseReason.AFTER_REFUSAL),
    ],
)
def test_only_callers_beyond_their_limits_are_overdue(holding, reason):
    """Stalled connections stayed for ever, or ones within the limits were closed."""
    assert overdue(holding, RULES) is reason


@pytest.mark.parametrize("memory_mb", [0.5, 112.0, 160.0, 300.0])
def test_limits_grow_with_the_machine_and_leave_room(memory_mb):
    """A bound that does not depend on the machine is too large for the smallest."""
    limits = process_limits(memory_mb, 1638)
    larger = process_limits(memory_mb + 64, 16380)
    assert 0 < limits.held_bytes < larger.held_bytes
    assert 0 < limits.connections < larger.connections
    assert limits.held_bytes < max(memory_mb, 64.0) * MIB
    assert limits.connections <= 819


def test_one_request_of_the_largest_size_always_fits():
    """At low load, a request inside the limits was refused for lack of memory."""
    rules = CallerRules(body_bytes=100 * MIB)
    assert held_bytes_limit(process_limits(160.0, 1638), rules) >= 200 * MIB
