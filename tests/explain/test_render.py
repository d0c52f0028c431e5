"""Tests of explanations as text."""

from wigeonspan.common import HostId, ServiceName, TenantName
from wigeonspan.explain import (
    Explanation,
    MatchedRoute,
    ServiceExplanation,
    Verdict,
    render,
)
from wigeonspan.placing import GenerationFigures, TargetFigures
from wigeonspan.targets import TargetId

ROUTE = MatchedRoute("r1", "/r/", "stream", 2, 800, 10_000, False)


def figures(name, **changes):
    values = {
        "target": TargetId(name),
        "phase": "prefill",
        "domain": "a",
        "available": True,
        "pause_s": 0.0,
        "limited_s": 0.0,
        "penalty_ms": 0.0,
        "slowness": 1.25,
        "slots": 64,
        "work": 3,
        "streams": 2,
        "pace_limit": None,
        "generation": GenerationFigures(120.4, 80.6, 500, 100, 0, 7.0, 4.0, 1),
    }
    return TargetFigures(**values | changes)


def test_verdict_and_figures_are_shown():
    """Guards against a table that leaves out what decided."""
    verdict = Verdict(
        "placed",
        how="split",
        prefill="p0",
        decode="d0",
        rank=1,
        wait_ms=120.4,
        cost_ms=80.6,
        slot_wait_ms=7.0,
        first_ms=250.0,
    )
    targets = [
        figures("p0"),
        figures("p1", available=False, pace_limit=4),
        figures("p2", pause_s=1.25, generation=None),
    ]
    service = ServiceExplanation(ServiceName("s"), 0.5, verdict, targets, ["p9"])
    text = render(
        Explanation(HostId("e1"), 7, 120, ROUTE, TenantName("t"), 0, services=[service])
    )
    assert "split, prefill at p0, decode at d0, rank 1, first event in 250 ms" in text
    assert "tenant t, priority 0 (route 2)" in text
    rows = {line.split()[0]: line.split() for line in text.splitlines() if line.strip()}
    assert rows["p0"][3:10] == ["available", "120", "81", "500", "100", "0", "7"]
    assert rows["p0"][-1] == "yes"
    assert rows["p1"][3] == "suspended" and rows["p1"][-1] == "4"
    assert rows["p2"][3:5] == ["pauses", "1.2s"]
    assert "not for new work: p9" in text


def test_refusals_are_shown_with_their_retry_time():
    """Guards against a refusal that is not told from a place."""
    refusal = Verdict("refused", "the key is missing", "unauthorized")
    text = render(Explanation(HostId("e1"), 7, None, ROUTE, refusal=refusal))
    assert "refused (unauthorized): the key is missing" in text
    late = Verdict("refused", "late", "time", 1.5, rank=5)
    service = ServiceExplanation(ServiceName("s"), 1.0, late, [], [])
    text = render(Explanation(HostId("e1"), 7, None, services=[service]))
    assert "refused (time): late, retry after 1.50 s, rank 5" in text
