"""Checks of all guarantees against what callers, targets and operators saw.

Time limits apply only to hosts that were not disturbed; all other rules always apply.
"""

from collections import defaultdict

from standin import Arrival

from soak import (
    _crash_checks,
    _fleet_checks,
    _request_checks,
    _stop_checks,
    _tenant_checks,
)
from soak._check_types import Check, Index, Violation
from soak._evidence import Evidence
from wigeonspan.common import RequestId

CHECKS: tuple[Check, ...] = (
    _request_checks.check_answers,
    _request_checks.check_single_runs,
    _request_checks.check_refusals,
    _request_checks.check_forwarded_requests,
    _request_checks.check_retry_budget,
    _request_checks.check_deadlines,
    _request_checks.check_abandoned_requests,
    _request_checks.check_lost_requests,
    _crash_checks.check_crashing_parts,
    _crash_checks.check_sound_prompts,
    _crash_checks.check_harmless_parts,
    _fleet_checks.check_departures,
    _fleet_checks.check_engine_memory,
    _fleet_checks.check_limits,
    _fleet_checks.check_read_versions,
    _fleet_checks.check_applied_versions,
    _fleet_checks.check_stored_versions,
    _fleet_checks.check_order_holders,
    _fleet_checks.check_planned_stops,
    _stop_checks.check_stopped_entries,
    _tenant_checks.check_keys,
    _tenant_checks.check_written_keys,
    _tenant_checks.check_revoked_keys,
    _tenant_checks.check_unauthorized,
    _tenant_checks.check_usage_contents,
    _tenant_checks.check_duty_holders,
    _tenant_checks.check_usage_counts,
    _fleet_checks.check_recovery,
    _fleet_checks.check_unexpected_exits,
)


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return all violations of a run."""
    arrivals: dict[RequestId, list[Arrival]] = defaultdict(list)
    for arrival in evidence.journal.arrivals:
        arrivals[arrival.request].append(arrival)
    index = Index({record.call.request: record for record in evidence.calls}, arrivals)
    return [found for check in CHECKS for found in check(evidence, index)]
