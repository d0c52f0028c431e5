"""Tests of the fair share of tenants within a priority."""

from wigeonspan.common import TenantName
from wigeonspan.placing import priority_band
from wigeonspan.placing._fair_share import MAX_TENANTS, TenantUse

URGENT, OTHER = (priority_band({0, 1}, priority) for priority in (0, 1))
LARGE, SMALL = TenantName("large"), TenantName("small")


def record(use, tenant, number, rank=0, work_ms=30.0, now=0.0):
    for _ in range(number):
        use.record(tenant, rank, work_ms, now)


def test_tenant_with_most_of_the_load_exceeds_its_share():
    """The requests of all others waited behind those of one tenant."""
    use = TenantUse()
    record(use, LARGE, 40)
    for number in range(10):
        record(use, TenantName(f"t{number}"), 1)
    assert use.exceeds(LARGE, URGENT, 0.0)
    assert not use.exceeds(TenantName("t1"), URGENT, 0.0)
    assert not use.exceeds(TenantName("unknown"), URGENT, 0.0)
    assert not use.exceeds(None, URGENT, 0.0)


def test_only_tenant_never_exceeds_its_share():
    """A tenant that is alone would give way to nobody."""
    use = TenantUse()
    record(use, LARGE, 100)
    assert not use.exceeds(LARGE, URGENT, 0.0)


def test_share_counts_within_a_priority():
    """Use of a less urgent kind would hold back a tenant's urgent requests."""
    use = TenantUse()
    record(use, LARGE, 40, rank=OTHER.first_rank)
    for tenant in (LARGE, SMALL):
        record(use, tenant, 2)
    for number in range(5):
        record(use, TenantName(f"t{number}"), 1, rank=OTHER.first_rank)
    assert not use.exceeds(LARGE, URGENT, 0.0)
    assert use.exceeds(LARGE, OTHER, 0.0)


def test_one_large_request_does_not_exceed_the_share():
    """Tenants with few large requests would be starved for their size."""
    use = TenantUse()
    record(use, LARGE, 1, work_ms=1500.0)
    for number in range(10):
        record(use, TenantName(f"t{number}"), 1)
    assert not use.exceeds(LARGE, URGENT, 0.0)


def test_use_is_forgotten():
    """A tenant would be held back long after its burst."""
    use = TenantUse()
    record(use, LARGE, 40)
    record(use, SMALL, 4, now=20.0)
    for number in range(5):
        record(use, TenantName(f"t{number}"), 4, now=20.0)
    assert use.exceeds(LARGE, URGENT, 1.0)
    assert not use.exceeds(LARGE, URGENT, 20.0)


def test_late_requests_of_other_tenants_are_spared():
    """In an overload by one tenant, the others were refused as often as it."""
    use = TenantUse()
    record(use, LARGE, 40)
    for number in range(10):
        record(use, TenantName(f"t{number}"), 1)
    assert use.spares(TenantName("t1"), URGENT, 0.0)
    assert not use.spares(LARGE, URGENT, 0.0)
    assert not use.spares(None, URGENT, 0.0)
    assert not use.spares(TenantName("t1"), OTHER, 0.0)


def test_state_is_bounded():
    """Datagrams with ever new names would fill the memory of an entry."""
    use = TenantUse()
    record(use, LARGE, 40)
    for number in range(3 * MAX_TENANTS):
        use.record(TenantName(f"t{number}"), number % 20, 1.5, 0.0)
    assert len(use) == MAX_TENANTS
    assert use.exceeds(LARGE, URGENT, 0.0)


def test_tenant_with_a_small_part_of_the_use_is_not_held_back():
    """Among many even tenants, two requests more than the mean are chance."""
    use = TenantUse()
    for number in range(40):
        record(use, TenantName(f"t{number}"), 4 if number == 0 else 1)
    assert not use.exceeds(TenantName("t0"), URGENT, 0.0)
