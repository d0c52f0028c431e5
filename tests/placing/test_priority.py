"""Tests of the ranks of the engines by priority."""

import pytest

from wigeonspan.common import ServiceName, TenantName
from wigeonspan.fleetconfig import (
    CallKind,
    FleetConfig,
    Route,
    TenantSpec,
    WeightedService,
)
from wigeonspan.placing import priority_band, stream_priorities
from wigeonspan.placing._priority import SOLE_BAND

SERVICE = ServiceName("models")
LAXITIES_MS = (-1.0, 0.0, 149.0, 200.0, 400.0, 900.0)


def route(name, priority, kind=CallKind.STREAM, service=SERVICE, public=False):
    services = (WeightedService(service, 1.0),)
    return Route(
        name, "h", "/", kind, services, 1.0, 1.0, priority=priority, public=public
    )


def tenant(name, priority=None):
    return TenantSpec(TenantName(name), (), priority)


def test_one_priority_keeps_the_ranks_by_laxity():
    """Deployments without different priorities must be served as before."""
    assert priority_band({4}, 4) == SOLE_BAND
    assert [SOLE_BAND.rank(ms) for ms in LAXITIES_MS] == [5, 0, 0, 1, 2, 3]


@pytest.mark.parametrize("number", range(2, 11))
def test_late_urgent_request_goes_before_less_urgent_ones(number):
    """A late short question of the first priority went behind all other requests."""
    priorities = range(10, 10 + number)
    bands = [priority_band(priorities, priority) for priority in priorities]
    for urgent, other in zip(bands, bands[1:], strict=False):
        assert max(urgent.rank(ms) for ms in LAXITIES_MS) < min(
            other.rank(ms) for ms in LAXITIES_MS
        )
    assert bands[0].first_rank == 0
    assert max(bands[-1].rank(ms) for ms in LAXITIES_MS) <= 9


def test_within_a_band_the_least_laxity_goes_first():
    """A large prompt would wait behind small ones of its priority that have time."""
    band = priority_band({0, 1, 2}, 1)
    assert band.rank(50.0) < band.rank(900.0) < band.rank(-1.0)


def test_more_priorities_than_ranks_keep_their_order():
    """Engines refuse ranks above 9, and an order by digits would mix priorities."""
    priorities = range(25)
    ranks = [priority_band(priorities, p).rank(100.0) for p in priorities]
    assert ranks == sorted(ranks)
    assert ranks[0] == 0
    assert ranks[-1] == 9


def test_unknown_priority_is_treated_as_the_next_less_urgent():
    """A request that arrived before a change of the configuration would fail."""
    assert priority_band({0, 5}, 3) == priority_band({0, 5}, 5)
    assert priority_band({0, 5}, 9) == priority_band({0, 5}, 5)


def test_priorities_are_those_of_the_streams_of_a_service():
    """Plain calls and other services would take ranks that no stream uses."""
    routes = (
        route("a", 1),
        route("b", 2, CallKind.IDEMPOTENT),
        route("c", 3, service=ServiceName("other")),
    )
    config = FleetConfig(1, routes, (), tenants=(tenant("y"),))
    assert stream_priorities(config, SERVICE) == {1}


def test_deployment_without_tenants_is_ranked_by_laxity_alone():
    """Priorities of routes took time from the long requests of such deployments."""
    config = FleetConfig(1, (route("a", 1), route("b", 2)), ())
    assert priority_band(stream_priorities(config, SERVICE), 2) is SOLE_BAND


def test_priority_of_a_tenant_takes_precedence():
    """A tenant's requests would be ranked by the route."""
    routes = (route("a", 1), route("b", 2, public=True))
    tenants = (tenant("x", 0), tenant("y"))
    config = FleetConfig(1, routes, (), tenants=tenants)
    assert stream_priorities(config, SERVICE) == {0, 1, 2}
    config = FleetConfig(1, routes, (), tenants=(tenant("x", 0),))
    assert stream_priorities(config, SERVICE) == {0, 2}
