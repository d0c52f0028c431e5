"""Checks of a whole configuration before it is stored."""

from collections.abc import Iterator

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.fleetconfig._messages import FleetConfig, Route


def check_config(config: FleetConfig) -> None:
    """Refuse a configuration that cannot be in force.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` that names every fault.
    """
    faults = list(_faults(config))
    if faults:
        raise WigeonspanError(ErrorKind.BAD_REQUEST, "; ".join(faults))


def _faults(config: FleetConfig) -> Iterator[str]:
    if config.version < 1:
        yield f"version {config.version} is not positive"
    names = [service.name for service in config.services]
    for name in sorted({n for n in names if names.count(n) > 1}):
        yield f"service {name!r} is defined twice"
    places: set[tuple[str, str]] = set()
    for route in config.routes:
        yield from _route_faults(route, set(names))
        place = (route.host.lower(), route.prefix)
        if place in places:
            yield f"route {route.name!r} repeats {route.host}{route.prefix}"
        places.add(place)


def _route_faults(route: Route, services: set[str]) -> Iterator[str]:
    for share in route.services:
        if share.service not in services:
            yield f"route {route.name!r} names the unknown service {share.service!r}"
        if share.weight < 0:
            yield f"route {route.name!r} has a negative weight"
    if sum(share.weight for share in route.services) <= 0:
        yield f"the weights of route {route.name!r} add up to 0"
    if route.timeout_s <= 0:
        yield f"the timeout of route {route.name!r} is not positive"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"the prefix of route {route.name!r} lacks a slash at an end"
