"""Lookup of the route of a request."""

from collections.abc import Iterator

from wigeonspan.fleetconfig._messages import FleetConfig, Route


class RouteTable:
    """Index of the routes of one configuration by host name and path prefix.

    Parameters
    ----------
    config : FleetConfig
        Configuration with the routes.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._routes = {(r.host.lower(), r.prefix): r for r in config.routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host name in the request, with or without a port.
        path : str
            Path of the request without the query.
        """
        name = host.lower()
        for candidate in (name, name.partition(":")[0]):
            for prefix in _prefixes(path):
                route = self._routes.get((candidate, prefix))
                if route is not None:
                    return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = len(path)
    while (slash := path.rfind("/", 0, end)) >= 0:
        yield path[: slash + 1]
        end = slash
