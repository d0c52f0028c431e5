"""Promises, judged from what callers, targets and operators saw.

Time limits bind only hosts that were not disturbed; all else holds at any time.
"""

from collections import defaultdict

from standin import Arrival

from soak import _fleet_checks, _request_checks
from soak._evidence import Evidence
from soak._verdict import Break, Check, Index
from wigeonspan.common import RequestId

CHECKS: tuple[Check, ...] = (
    _request_checks.check_answers,
    _request_checks.check_runs,
    _request_checks.check_refusals,
    _request_checks.check_unasked,
    _request_checks.check_budget,
    _request_checks.check_deadlines,
    _request_checks.check_left,
    _fleet_checks.check_departures,
    _fleet_checks.check_reads,
    _fleet_checks.check_effects,
    _fleet_checks.check_stored,
    _fleet_checks.check_holders,
    _fleet_checks.check_planned,
    _fleet_checks.check_recovery,
    _fleet_checks.check_own_ends,
)


def judge(evidence: Evidence) -> list[Break]:
    """Return all broken promises of a day."""
    arrivals: dict[RequestId, list[Arrival]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        arrivals[arrival.request].append(arrival)
    index = Index({seen.call.request: seen for seen in evidence.calls}, arrivals)
    return [found for check in CHECKS for found in check(evidence, index)]
