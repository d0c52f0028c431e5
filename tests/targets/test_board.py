"""Tests of the targets from a list that lags behind."""

import pytest

from wigeonspan.common import DomainName, ServiceName
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable
from wigeonspan.targets._table import MAX_LEAVING

SERVICE = ServiceName("s")


def target(name, **fields):
    return Target(TargetId(name), SERVICE, f"{name}:80", DomainName("a"), 4, **fields)


def names(table):
    return sorted(t.target for t in table.usable(SERVICE))


def test_leaving_target_gets_no_new_work():
    """A target that is listed as leaving must not get requests."""
    table = TargetTable()
    table.update(Listing((target("t1"), target("t2", leaving=True))), 1.0)
    assert names(table) == ["t1"]


def test_older_listing_is_dropped():
    """Guards against restoring a removed target from another entry's older copy."""
    table = TargetTable()
    table.update(Listing((target("t1"),)), 2.0)
    assert not table.update(Listing((target("t1"), target("t2"))), 1.0)
    assert names(table) == ["t1"]


def test_leaving_is_not_reverted_by_a_later_read_of_a_stale_list():
    """The lag of the list differs from read to read."""
    table = TargetTable()
    table.update(Listing((target("t1", leaving=True, born_ms=5),)), 1.0)
    table.update(Listing((target("t1", born_ms=5),)), 2.0)
    assert names(table) == []


def test_restarted_target_is_usable():
    """A target may restart under the same name and is then no longer leaving."""
    table = TargetTable()
    table.update(Listing((target("t1", leaving=True, born_ms=5),)), 1.0)
    table.update(Listing((target("t1", born_ms=9),)), 2.0)
    assert names(table) == ["t1"]


def test_target_missing_from_the_list_is_removed():
    """The address of a target that is no longer listed may be in use by another one."""
    table = TargetTable()
    table.update(Listing((target("t1"), target("t2"))), 1.0)
    table.update(Listing((target("t1"),)), 2.0)
    assert names(table) == ["t1"]
    assert table.get(TargetId("t2")) is None


def test_confirmed_digest_keeps_the_list_fresh():
    """For an unchanged list, entries share only its digest."""
    table = TargetTable()
    listing = Listing((target("t1"),))
    table.update(listing, 1.0)
    assert table.confirm(listing.digest, 5.0)
    assert table.read_at == 5.0
    assert not table.confirm("other", 6.0)
    assert table.read_at == 5.0


@pytest.mark.parametrize("phase", [Phase.PREFILL, Phase.DECODE])
def test_switching_target_gets_no_new_work(phase):
    """An engine that changes its phase refuses work that has not started."""
    table = TargetTable()
    table.update(Listing((target("t1", phase=phase), target("t2"))), 1.0)
    table.set_switching([TargetId("t1")])
    assert names(table) == ["t2"]


def test_digest_does_not_depend_on_the_order():
    """The pages of the list may arrive in any order."""
    one, two = target("t1"), target("t2")
    assert Listing((one, two)).digest == Listing((two, one)).digest


def test_target_that_reports_leaving_stays_unusable():
    """The list still shows it as ready, omits it once, and then shows it again."""
    table = TargetTable()
    ready = Listing((target("t1", born_ms=5), target("t2")))
    table.update(ready, 1.0)
    assert table.record_leaving(TargetId("t1"), 5)
    assert not table.record_leaving(TargetId("t1"), 5)
    for at, listing in enumerate((Listing((target("t2"),)), ready), 2):
        table.update(listing, float(at))
        assert names(table) == ["t2"]
    table.update(Listing((target("t1", born_ms=9), target("t2"))), 4.0)
    assert names(table) == ["t1", "t2"]


def test_number_of_stored_leaving_targets_is_limited():
    """Guards against a memory leak of one record per replaced target."""
    table = TargetTable()
    for number in range(MAX_LEAVING + 10):
        table.record_leaving(TargetId(f"t{number}"), 1)
    table.update(Listing((target("t0", born_ms=1), target("t20", born_ms=1))), 1.0)
    assert names(table) == ["t0"]
