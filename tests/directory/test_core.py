"""Tests of directory responses and of the timing of a drain."""

import random

import pytest

from wigeonspan.catalog import EntryHost, EntryState
from wigeonspan.directory import KEEP_S, Drain, list_entries

HOSTS = [
    EntryHost(f"{domain}-{i}", f"10.0.0.{i}:80", domain)
    for domain in ("szeged", "kecskemet", "szolnok")
    for i in range(2)
]
LIVE = {host.name for host in HOSTS}


def listed_hosts(domain=None, hosts=HOSTS, live=LIVE, excluded=(), seed=1):
    answer = list_entries(hosts, live, excluded, domain, random.Random(seed))
    return [entry.host for entry in answer.entries]


@pytest.mark.parametrize("seed", range(5))
def test_own_domain_comes_first_and_others_alternate(seed):
    """Hosts of the caller's domain must come first, then the other domains in turn.

    A caller whose own domain had failed once tried two hosts of the same other domain.
    """
    domains = [name.split("-")[0] for name in listed_hosts("szeged", seed=seed)]
    assert domains[:2] == ["szeged", "szeged"]
    assert set(domains[2:4]) == set(domains[4:6]) == {"kecskemet", "szolnok"}


def test_callers_are_spread_over_hosts():
    """The order of the hosts must be random.

    Otherwise every caller would connect to the first configured host.
    """
    first_hosts = {listed_hosts(seed=seed)[0] for seed in range(60)}
    assert first_hosts == LIVE


@pytest.mark.parametrize(
    ("hosts", "live", "excluded"),
    [
        ([EntryHost("szeged-0", "a", "szeged", EntryState.DRAINING)], LIVE, ()),
        (HOSTS[:1], set(), ()),
        (HOSTS[:1], LIVE, ("szeged-0",)),
        ([], LIVE, ()),
    ],
)
def test_hosts_that_must_not_be_used_are_not_listed(hosts, live, excluded):
    """New callers must not be sent to a draining or dead host."""
    assert listed_hosts("szeged", hosts, live, excluded) == []


def test_unknown_domain_gets_all_hosts():
    """A caller in an unknown domain must get all hosts, not an empty list."""
    assert set(listed_hosts("elsewhere")) == set(listed_hosts()) == LIVE


LEASE_S = 4.0


@pytest.mark.parametrize(
    ("notified_at", "skips_wait", "in_flight", "end"),
    [
        # Leader not notified: own lease until 13, leases of others, cached responses.
        (None, False, 0, 13.0 + LEASE_S + KEEP_S),
        (10.5, False, 0, 10.5 + LEASE_S + KEEP_S),
        (10.5, True, 0, 10.0),
        (10.5, False, 1, None),
        (10.5, True, 1, None),
    ],
)
def test_drain_outlasts_every_cached_response(notified_at, skips_wait, in_flight, end):
    """An entry must not exit while a cached response may list it.

    Otherwise a caller would connect to an entry that has exited.
    """
    drain = Drain(now=10.0, lease_until=13.0, lease_s=LEASE_S)
    if notified_at is not None:
        drain.record_leader_notified(notified_at)
    if skips_wait:
        drain.skip_wait()
    times = [10.0 + step / 2 for step in range(40)]
    allowed = [time for time in times if drain.may_exit(time, in_flight)]
    assert (allowed[0] if allowed else None) == end


def test_later_notice_does_not_extend_the_drain():
    """Further syncs of a draining entry must not postpone its exit."""
    drain = Drain(10.0, 13.0, LEASE_S)
    drain.record_leader_notified(10.5)
    drain.record_leader_notified(12.0)
    assert drain.stop_at == 10.5 + LEASE_S + KEEP_S
    assert not drain.may_refuse(19.4) and drain.may_refuse(19.5)
