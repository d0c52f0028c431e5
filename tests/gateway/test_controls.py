"""Tests of the state of control hosts and of the choice of the relay."""

import pytest

from wigeonspan.common import DomainName
from wigeonspan.gateway._controls import (
    FALLBACK_DELAY_S,
    FORGET_AFTER_S,
    MAX_PENDING_VERSIONS,
    ControlHosts,
)

OWN, FAR = DomainName("own"), DomainName("far")


def make_controls(*hosts):
    """Return the state after each host, given by name and domain, has replied."""
    controls = ControlHosts(OWN)
    for address, domain in hosts:
        controls.add(address, 0.0)
        controls.record_reply(address, domain, 1, [], 0.0)
    return controls


def test_relay_is_in_the_own_domain():
    """Datagrams and configurations must not cross domains once for each entry."""
    assert make_controls(("a", FAR), ("b", OWN), ("c", OWN)).relay == "b"
    assert make_controls(("a", FAR)).relay == "a"
    assert make_controls().relay == ""


def test_another_relay_is_chosen_while_one_is_silent():
    """Entries whose domain has lost its control host must still receive datagrams."""
    controls = make_controls(("a", FAR), ("b", OWN))
    assert controls.record_missed_reply("b") and not controls.record_missed_reply("b")
    assert controls.relay == "a"
    assert controls.record_reply("b", OWN, 1, [], 1.0)
    assert controls.relay == "b"


def test_only_one_host_sends_changes():
    """A configuration must not arrive from every host.

    Five hosts sent a configuration of a third of a megabyte to each entry. Over a link
    of five megabits a second it arrived too late.
    """
    controls = make_controls(("a", FAR), ("b", OWN), ("c", FAR))
    assert [controls.wants_changes(x, 1, 5.0) for x in "abc"] == [False, True, False]


def test_first_configuration_is_taken_from_any_host():
    """An entry without a configuration refuses all requests."""
    controls = make_controls(("a", FAR), ("b", OWN))
    assert controls.wants_changes("a", 0, 5.0)


@pytest.mark.parametrize(
    ("after_s", "wanted"), [(FALLBACK_DELAY_S - 0.1, False), (1.0, True)]
)
def test_host_with_a_newer_configuration_sends_changes(after_s, wanted):
    """The relay may lag because it is cut off from the group."""
    controls = make_controls(("a", FAR), ("b", OWN))
    controls.record_reply("a", FAR, 2, [], 5.0)
    controls.record_reply("a", FAR, 2, [], 5.4)
    assert controls.wants_changes("a", 1, 5.0 + after_s) is wanted
    assert not controls.wants_changes("a", 2, 5.0 + after_s)


def test_versions_that_follow_each_other_do_not_restart_the_wait():
    """The leader was never asked: each of its replies had another version."""
    controls = make_controls(("a", FAR), ("b", OWN))
    for n in range(4):
        controls.record_reply("a", FAR, 2 + n, [], 5.0 + 0.5 * n)
    assert not controls.wants_changes("a", 1, 5.0 + FALLBACK_DELAY_S - 0.1)
    assert controls.wants_changes("a", 1, 5.0 + FALLBACK_DELAY_S)
    # Version 3 was reported later, so the relay has more time for it.
    assert controls.fallback_at("a", 2) == 5.5 + FALLBACK_DELAY_S
    assert controls.fallback_at("b", 2) is None
    assert controls.fallback_at("a", 5) is None


def test_newest_version_is_requested_after_hundreds_that_were_not_delivered():
    """Reports beyond the remembered number must not hide the newest version."""
    controls = make_controls(("a", FAR), ("b", OWN))
    last = MAX_PENDING_VERSIONS + 50
    for version in range(2, last + 1):
        controls.record_reply("a", FAR, version, [], 5.0 + version)
    assert controls.wants_changes("a", last - 1, 10.0 + last)
    assert not controls.wants_changes("a", last, 10.0 + last)


def test_host_that_is_cut_off_from_its_group_is_no_relay():
    """It gets no new configuration and no datagrams from the other domains."""
    controls = make_controls(("a", FAR), ("b", OWN))
    controls.record_reply("b", OWN, 1, [], 1.0, in_group=False)
    assert controls.relay == "a"
    controls.record_reply("a", FAR, 1, [], 1.0, in_group=False)
    assert controls.relay == "b"
    controls.record_reply("a", FAR, 1, [], 2.0)
    controls.record_reply("b", OWN, 1, [], 2.0)
    assert controls.relay == "b"


def test_silent_host_is_forgotten_unless_it_is_a_seed():
    """Heartbeats must stop for removed hosts, but not for those in the settings."""
    controls = make_controls(("a", OWN), ("b", OWN))
    controls.set_seeds(["a"])
    late = FORGET_AFTER_S + 1.0
    assert controls.should_send_heartbeats(
        "a", late
    ) and not controls.should_send_heartbeats("b", late)
    controls.drop("a")
    assert controls.relay == "b"


def test_phase_changes_reported_by_a_silent_host_are_dropped():
    """Otherwise the engines that it reported would get no more work."""
    controls = make_controls(("a", OWN))
    controls.record_reply("a", OWN, 1, ["t"], 0.0)
    assert controls.switching == ["t"]
    controls.record_missed_reply("a")
    assert controls.switching == []


def test_hosts_that_neither_lead_nor_relay_get_fewer_heartbeats():
    """Frequent heartbeats to every host add up to a high load.

    Two hundred entries sent two heartbeats a second to each of five hosts.
    """
    controls = make_controls(("a", FAR), ("b", OWN), ("c", FAR))
    for address in "ac":
        controls.record_reply(address, FAR, 1, [], 1.0, leads=address == "c")
    controls.record_reply("b", OWN, 1, [], 1.0, leads=False)
    assert [controls.needs_frequent_heartbeats(x) for x in "abc"] == [False, True, True]
    controls.record_missed_reply("a")
    assert controls.needs_frequent_heartbeats("a")
