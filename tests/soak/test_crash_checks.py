"""Tests of the checks of prompts with a part that crashes targets."""

import pytest
from standin import Journal, PromptCrash

from soak._evidence import BY_PROMPT, Scope
from tests.soak.samples import (
    ENTRY,
    SINGLE,
    make_arrival,
    make_call,
    make_call_record,
    make_evidence,
    rules,
)

CRASHING, SOUND = "a:30,m:30,b{}:40", "a:30,n:30,b{}:40"
FIFTH_AT = 14.0


def evidence_of(requests, *, crashes=5, parts=frozenset("m")):
    """Return the evidence of requests: number, prompt, time, status and whether sent.

    The crashes under the parts are a second apart; the fifth is at ``FIFTH_AT``.
    """
    calls = {n: make_call(n, SINGLE, prompt=p.format(n)) for n, p, *_ in requests}
    journal = Journal(
        [make_arrival(calls[n], at) for n, _, at, _, sent in requests if sent],
        prompt_crashes=[
            PromptCrash(FIFTH_AT - 4 + n, "t", "r1", parts) for n in range(crashes)
        ],
        crashing_parts=set(parts),
    )
    records = [
        make_call_record(
            calls[n], at, status=status, signature="t#1" if status == 200 else ""
        )
        for n, _, at, status, _ in requests
    ]
    evidence = make_evidence(journal=journal, calls=records)
    for crash in journal.prompt_crashes:
        evidence.record_disturbance(
            Scope.TARGETS, "t", BY_PROMPT, crash.at, crash.at + 1.0
        )
    return evidence


@pytest.mark.parametrize(
    ("sends", "crashes", "after_s", "disturbed", "is_violation"),
    [
        (3, 5, 3.1, None, False),
        (4, 5, 3.1, None, True),
        (4, 4, 3.1, None, False),
        (4, 5, 2.5, None, False),
        (4, 5, 3.1, (Scope.HOST, ENTRY), False),
        (4, 5, 3.1, (Scope.CORE, "control-1"), True),
    ],
)
def test_requests_that_go_on_crashing_targets_are_detected(
    sends, crashes, after_s, disturbed, is_violation
):
    """Each of these requests took a target and all of its streams down."""
    at = FIFTH_AT + after_s
    requests = [
        (n, CRASHING, at + 0.01 * (n - 1), 502, True) for n in range(1, sends + 1)
    ]
    requests += [(n, SOUND, at, 200, True) for n in range(20, 30)]
    evidence = evidence_of(requests, crashes=crashes)
    if disturbed is not None:
        evidence.record_disturbance(*disturbed, "killed", at - 1.0, at)
    assert ("crashing part" in rules(evidence)) is is_violation


def test_repeats_and_prefills_count_as_requests():
    """One request that is sent four times is no better than four requests."""
    evidence = evidence_of([(1, CRASHING, 20.0, 502, False)])
    call = make_call(1, SINGLE, prompt=CRASHING.format(1))
    evidence.journal.arrivals += [
        make_arrival(call, 20.0 + n, began_execution=False) for n in range(4)
    ]
    assert "crashing part" in rules(evidence)


@pytest.mark.parametrize(
    ("served", "beside", "prompt", "disturbed", "is_violation"),
    [
        (9, 20, SOUND, None, True),
        (10, 20, SOUND, None, False),
        (0, 19, SOUND, None, False),
        (0, 20, "x:30,n:30,b{}:40", None, False),
        (0, 20, SOUND, (Scope.HOST, ENTRY), False),
        (0, 20, SOUND, (Scope.TARGETS, "u"), False),
        (0, 20, SOUND, (Scope.CORE, "control-1"), True),
    ],
)
def test_sound_requests_that_are_not_served_are_detected(
    served, beside, prompt, disturbed, is_violation
):
    """Holding back all prompts with the first part would refuse sound ones as well."""
    # Nothing is served before the first one of these, which does not count.
    requests = [(99, SOUND, 0.5, 503, False), (98, SOUND, 0.6, 200, True)]
    requests += [(n, SOUND, 1.0 + 0.1 * n, 200, True) for n in range(1, 21)]
    for n in range(beside):
        is_served = n < served
        status = 200 if is_served else 503
        requests.append((100 + n, prompt, 20.1 + 0.1 * n, status, is_served))
    requests += [(90, CRASHING, 10.0, 502, True), (91, CRASHING, 23.0, 503, False)]
    evidence = evidence_of(requests)
    if disturbed is not None:
        evidence.record_disturbance(*disturbed, "killed", 20.0, 23.0)
    assert ("sound prompts" in rules(evidence)) is is_violation


def test_nothing_is_compared_after_the_last_crashing_request():
    """Low service after the end of such prompts has another cause."""
    requests = [(n, SOUND, 1.0 + 0.1 * n, 200, True) for n in range(1, 21)]
    requests += [(100 + n, SOUND, 20.1 + 0.1 * n, 503, False) for n in range(20)]
    requests.append((90, CRASHING, 19.0, 503, False))
    assert "sound prompts" not in rules(evidence_of(requests))


@pytest.mark.parametrize(
    ("unserved", "others_served", "is_violation"),
    [(10, 20, True), (9, 20, False), (10, 12, False), (19, 12, True)],
)
def test_sound_part_that_is_held_back_is_detected(
    unserved, others_served, is_violation
):
    """Targets that crashed by themselves were put down to a part of their prompts.

    Under overload, some parts have several refusals in a row by chance.
    """
    requests = [(0, SOUND, 11.0, 200, True)]
    for n in range(20):
        is_served = n * others_served % 20 < others_served
        status = 200 if is_served else 503
        requests.append((50 + n, "x:9,y:9,b{}:9", 12.0 + 0.1 * n, status, is_served))
    for n in range(20):
        is_served = n >= unserved
        status = 200 if is_served else 503
        requests.append((100 + n, SOUND, 12.0 + 0.1 * n, status, is_served))
    evidence = evidence_of(requests, crashes=0)
    assert ("harmless part" in rules(evidence)) is is_violation
