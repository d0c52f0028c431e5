"""Tests of the decision whether a request may run, and for which tenant."""

import traceback

import pytest

from wigeonspan.common import ServiceName, TenantName
from wigeonspan.fleetconfig import ApiKey, CallKind, Route, TenantSpec, WeightedService
from wigeonspan.tenants import Access, KeyFault, KeyTable, authenticate, key_error

KEY = ApiKey("k-secret-1")


def route(*, public=False, priority=2):
    services = (WeightedService(ServiceName("s"), 1.0),)
    return Route(
        "r",
        "h",
        "/r/",
        CallKind.STREAM,
        services,
        1.0,
        0.3,
        priority=priority,
        public=public,
    )


def table(priority=None):
    return KeyTable(
        [
            TenantSpec(TenantName("a"), (KEY, ApiKey("k2")), priority),
            TenantSpec(TenantName("b"), (ApiKey("k3"),)),
        ]
    )


@pytest.mark.parametrize(
    "credential, public, expected",
    [
        (KEY, False, Access("a", 2)),
        (ApiKey("k3"), False, Access("b", 2)),
        (KEY, True, Access("a", 2)),
        (KeyFault.MISSING, True, Access(None, 2)),
        (ApiKey("other"), True, Access(None, 2)),
        (KeyFault.MISSING, False, KeyFault.MISSING),
        (KeyFault.MALFORMED, False, KeyFault.MALFORMED),
        (ApiKey("other"), False, KeyFault.UNKNOWN),
        (ApiKey("k-secret-"), False, KeyFault.UNKNOWN),
        (ApiKey(""), False, KeyFault.UNKNOWN),
    ],
)
def test_only_a_known_key_opens_a_route_that_is_not_public(
    credential, public, expected
):
    """A prefix of a key, or a key of no tenant, must not open a route."""
    assert authenticate(table(), route(public=public), credential) == expected


@pytest.mark.parametrize("priority, expected", [(None, 2), (0, 0), (5, 5)])
def test_priority_of_the_tenant_goes_before_that_of_the_route(priority, expected):
    """A tenant with priority 0 was served behind others when 0 counted as absent."""
    access = authenticate(table(priority), route(), KEY)
    assert access == Access("a", expected)


def test_key_does_not_show():
    """Keys must not reach logs by way of representations, errors or tracebacks."""
    tenant = TenantSpec(TenantName("a"), (KEY,))
    try:
        raise key_error(KeyFault.UNKNOWN) from ValueError(repr(tenant))
    except Exception as error:
        shown = "".join(traceback.format_exception(error))
    assert "k-secret-1" not in shown + repr(KEY) + str(KEY) + f"{KEY}" + repr(tenant)
    assert "k-secret-1" not in repr(vars(KeyTable([tenant])))
