"""Validation of a configuration before it is stored."""

from collections import Counter
from collections.abc import Iterable, Iterator

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.fleetconfig._messages import (
    ApiKey,
    FleetConfig,
    Route,
    ServiceSpec,
    TenantSpec,
)

MAX_REPLICAS = 1000
"""Largest number of replicas of a service in a failure domain; each is billed, and a
larger number is a mistake."""


def check_config(config: FleetConfig) -> None:
    """Check that a configuration is valid.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` with all errors in the configuration.
    """
    errors = list(_find_errors(config))
    if errors:
        raise WigeonspanError(ErrorKind.BAD_REQUEST, "; ".join(errors))


def _find_errors(config: FleetConfig) -> Iterator[str]:
    if config.version < 1:
        yield f"version {config.version} is not positive"
    names = [service.name for service in config.services]
    for name in sorted(n for n, count in Counter(names).items() if count > 1):
        yield f"service {name!r} is defined twice"
    for service in config.services:
        yield from _find_scaling_errors(service)
    known_names = set(names)
    seen_prefixes: set[tuple[str, str]] = set()
    for route in config.routes:
        yield from _find_route_errors(route, known_names)
        host_and_prefix = (route.host.lower(), route.prefix)
        if host_and_prefix in seen_prefixes:
            yield f"route {route.name!r} repeats {route.host}{route.prefix}"
        seen_prefixes.add(host_and_prefix)
    yield from _find_tenant_errors(config.tenants or ())


def _find_scaling_errors(service: ServiceSpec) -> Iterator[str]:
    scaling = service.scaling
    if scaling is None:
        return
    if not 0 <= scaling.least <= scaling.most or not scaling.most:
        yield (
            f"service {service.name!r} has from {scaling.least} to {scaling.most} "
            "replicas in a failure domain"
        )
    if scaling.most > MAX_REPLICAS:
        yield (
            f"service {service.name!r} may have {scaling.most} replicas in a failure "
            f"domain; the most is {MAX_REPLICAS}"
        )
    if scaling.boot_s < 0 or scaling.reclaimable_price < 0:
        yield f"service {service.name!r} has a negative boot time or price"
    if any(price < 0 for price in scaling.domain_prices.values()):
        yield f"service {service.name!r} has a failure domain with a negative price"


def _find_tenant_errors(tenants: Iterable[TenantSpec]) -> Iterator[str]:
    """Yield what is wrong with tenants, without the texts of keys."""
    holders: dict[ApiKey, TenantSpec] = {}
    names: set[str] = set()
    for tenant in tenants:
        if not tenant.name:
            yield "a tenant has no name"
        if tenant.name in names:
            yield f"tenant {tenant.name!r} is defined twice"
        names.add(tenant.name)
        for key in tenant.api_keys:
            if not key.text:
                yield f"tenant {tenant.name!r} has an empty key"
            holder = holders.setdefault(key, tenant)
            if holder is not tenant:
                yield f"tenants {holder.name!r} and {tenant.name!r} share a key"


def _find_route_errors(route: Route, services: set[str]) -> Iterator[str]:
    for weighted in route.services:
        if weighted.service not in services:
            yield f"route {route.name!r} names the unknown service {weighted.service!r}"
        if weighted.weight < 0:
            yield f"route {route.name!r} has a negative weight"
    if sum(weighted.weight for weighted in route.services) <= 0:
        yield f"the weights of route {route.name!r} add up to 0"
    if route.timeout_s <= 0:
        yield f"the timeout of route {route.name!r} is not positive"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"the prefix of route {route.name!r} lacks a slash at an end"
