"""Tests of the fleet configuration: validation, route lookup and replicated state."""

import msgspec
import pytest

from wigeonspan.common import ErrorKind, ServiceName, WigeonspanError
from wigeonspan.fleetconfig import (
    CallKind,
    ConfigStateMachine,
    FleetConfig,
    Route,
    RouteTable,
    ServiceSpec,
    StoredConfig,
    WeightedService,
    check_config,
    encode_store_command,
)

SERVICES = (WeightedService(ServiceName("s"), 1.0),)


def route(name="r", prefix="/a/", **fields):
    values = {"host": "h.example", "kind": CallKind.IDEMPOTENT, "services": SERVICES}
    values |= {"timeout_s": 1.0, "objective_s": 0.1} | fields
    return Route(name=name, prefix=prefix, **values)


def config(*routes, version=1):
    return FleetConfig(version, routes, (ServiceSpec(ServiceName("s"), "/health", 10),))


INVALID_CONFIGS = [
    (config(route(services=(WeightedService(ServiceName("x"), 1.0),))), "unknown"),
    (config(route(services=(WeightedService(ServiceName("s"), 0.0),))), "add up to 0"),
    (config(route(services=())), "add up to 0"),
    (config(route(services=(WeightedService(ServiceName("s"), -1.0),))), "negative"),
    (config(route(timeout_s=0.0)), "timeout"),
    (config(route("a"), route("b")), "repeats"),
    (config(route("a"), route("b", host="H.EXAMPLE")), "repeats"),
    (config(route(prefix="/a")), "slash"),
    (config(route(), version=0), "not positive"),
]


@pytest.mark.parametrize(("invalid", "expected_text"), INVALID_CONFIGS)
def test_invalid_configuration_is_refused_with_its_cause(invalid, expected_text):
    """An invalid configuration must be refused with an error that names the cause."""
    with pytest.raises(WigeonspanError) as caught:
        check_config(invalid)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert expected_text in caught.value.message


def test_every_error_is_reported():
    """All errors must be reported at once.

    Operators once had to fix them one by one, because only the first was reported.
    """
    invalid = config(route("a", timeout_s=0.0), route("b", timeout_s=0.0, prefix="/b/"))
    with pytest.raises(WigeonspanError) as caught:
        check_config(invalid)
    assert "'a'" in caught.value.message and "'b'" in caught.value.message


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/x", "short"),
        ("h.example", "/a/b/x", "long"),
        ("h.example:80", "/a/b/", "long"),
        ("H.Example", "/a/", "short"),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("other", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_is_selected(host, path, name):
    """A shorter prefix or a route of another host must not be selected."""
    table = RouteTable(config(route("short"), route("long", "/a/b/")))
    matched = table.match(host, path)
    assert (matched.name if matched else None) == name


def stored(version, text):
    return StoredConfig(version, text)


def test_state_keeps_the_highest_version():
    """An older configuration that is applied again must change nothing."""
    machine = ConfigStateMachine()
    machine.apply(1, encode_store_command(stored(5, b"five")))
    assert machine.apply(2, encode_store_command(stored(3, b"three"))) == stored(
        5, b"five"
    )
    assert machine.apply(3, encode_store_command(stored(9, b"nine"))) == stored(
        9, b"nine"
    )


def test_first_document_of_a_version_is_kept():
    """All members must store the same one of two documents with the same version.

    Two operators may send different documents under one version.
    """
    machine = ConfigStateMachine()
    machine.apply(1, encode_store_command(stored(5, b"one")))
    assert machine.apply(2, encode_store_command(stored(5, b"other"))) == stored(
        5, b"one"
    )


def test_snapshot_contains_the_complete_state():
    """A member that restores a snapshot must have the same state as the others."""
    machine, copy = ConfigStateMachine(), ConfigStateMachine()
    machine.apply(1, encode_store_command(stored(5, b"five")))
    copy.restore(machine.snapshot())
    assert copy.stored == stored(5, b"five")


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (CallKind.IDEMPOTENT, False, True),
        (CallKind.NON_IDEMPOTENT, False, False),
        (CallKind.NON_IDEMPOTENT, True, False),
        (CallKind.STREAM, False, False),
        (CallKind.STREAM, True, True),
    ],
)
def test_only_idempotent_and_resumable_requests_are_repeatable(
    kind, resumable, repeatable
):
    """A non-idempotent request must not run twice.

    A loan release that ran twice would lend one original to two borrowers.
    """
    changed_route = msgspec.structs.replace(route(), kind=kind, resumable=resumable)
    assert changed_route.repeatable is repeatable
