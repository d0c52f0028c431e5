"""Tests of directory answers and of the timing of a drain."""

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


def names(domain=None, hosts=HOSTS, live=LIVE, excluded=(), seed=1):
    answer = list_entries(hosts, live, excluded, domain, random.Random(seed))
    return [entry.host for entry in answer.entries]


@pytest.mark.parametrize("seed", range(5))
def test_own_domain_comes_first_and_others_alternate(seed):
    """After the caller's domain failed, both next tries hit the same other domain."""
    domains = [name.split("-")[0] for name in names("szeged", seed=seed)]
    assert domains[:2] == ["szeged", "szeged"]
    assert set(domains[2:4]) == set(domains[4:6]) == {"kecskemet", "szolnok"}


def test_callers_are_spread_over_hosts():
    """Every caller was sent to the first host of the list."""
    firsts = {names(seed=seed)[0] for seed in range(60)}
    assert firsts == LIVE


@pytest.mark.parametrize(
    ("hosts", "live", "excluded"),
    [
        ([EntryHost("szeged-0", "a", "szeged", EntryState.DRAINING)], LIVE, ()),
        (HOSTS[:1], set(), ()),
        (HOSTS[:1], LIVE, ("szeged-0",)),
        ([], LIVE, ()),
    ],
)
def test_hosts_that_must_not_be_used_are_not_named(hosts, live, excluded):
    """A draining or dead host received new callers."""
    assert names("szeged", hosts, live, excluded) == []


def test_unknown_domain_gets_all_hosts():
    """A caller that named no known domain got an empty answer."""
    assert set(names("elsewhere")) == set(names()) == LIVE


LEASE_S = 4.0


@pytest.mark.parametrize(
    ("noticed_at", "hurried", "in_flight", "end"),
    [
        # Without notice: own lease to 13, others' leases, kept answers.
        (None, False, 0, 13.0 + LEASE_S + KEEP_S),
        (10.5, False, 0, 10.5 + LEASE_S + KEEP_S),
        (10.5, True, 0, 10.0),
        (10.5, False, 1, None),
        (10.5, True, 1, None),
    ],
)
def test_drain_outlives_every_kept_answer(noticed_at, hurried, in_flight, end):
    """A caller with a kept answer connected to an entry that had ended."""
    drain = Drain(now=10.0, lease_until=13.0, lease_s=LEASE_S)
    if noticed_at is not None:
        drain.noticed(noticed_at)
    if hurried:
        drain.hurry()
    times = [10.0 + step / 2 for step in range(40)]
    allowed = [time for time in times if drain.may_end(time, in_flight)]
    assert (allowed[0] if allowed else None) == end


def test_later_notice_does_not_extend_the_drain():
    """Each sync of a draining entry put off its end."""
    drain = Drain(10.0, 13.0, LEASE_S)
    drain.noticed(10.5)
    drain.noticed(12.0)
    assert drain.stop_at == 10.5 + LEASE_S + KEEP_S
    assert not drain.may_refuse(19.4) and drain.may_refuse(19.5)
