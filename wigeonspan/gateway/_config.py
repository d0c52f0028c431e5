"""Configuration that a gateway applies."""

from collections.abc import Callable

from wigeonspan.common import ServiceName, WigeonspanError
from wigeonspan.fleetconfig import FleetConfig, RouteTable, StoredConfig
from wigeonspan.placing import stream_priorities
from wigeonspan.tenants import KeyTable
from wigeonspan.trail import EventLog


class ConfigHolder:
    """Holder of the newest committed configuration that this process has received.

    Parameters
    ----------
    read : callable
        Decodes a configuration document that an operator wrote.
    event_log : EventLog
        Decision log.
    """

    def __init__(
        self, read: Callable[[bytes], FleetConfig], event_log: EventLog
    ) -> None:
        self._read = read
        self._event_log = event_log
        self._config: FleetConfig | None = None
        self._table: RouteTable | None = None
        self._keys: KeyTable | None = None
        # Most urgent priority level of services whose replicas may be ordered.
        self._urgent_levels: dict[ServiceName, int] = {}
        # Priorities of the streams by service, of the configuration in force.
        self._priorities: dict[ServiceName, frozenset[int]] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first configuration."""
        return 0 if self._config is None else self._config.version

    @property
    def config(self) -> FleetConfig | None:
        """Configuration in force; None before the first."""
        return self._config

    @property
    def table(self) -> RouteTable | None:
        """Routes in force; None before the first configuration."""
        return self._table

    @property
    def keys(self) -> KeyTable | None:
        """Keys in force; None when requests need no key."""
        return self._keys

    def most_urgent_priority(self, service: ServiceName) -> int | None:
        """Return the most urgent level of the routes of a service.

        None when the number of its replicas is fixed, so that nobody asks.
        """
        return self._urgent_levels.get(service)

    def priorities(self, service: ServiceName) -> frozenset[int]:
        """Return the priorities that streams of a service can have."""
        if self._config is None:
            return frozenset()
        if service not in self._priorities:
            self._priorities[service] = stream_priorities(self._config, service)
        return self._priorities[service]

    def has_service(self, service: ServiceName) -> bool:
        """Return whether the configuration in force has a service."""
        return self._config is not None and self._config.service(service) is not None

    def offer(self, stored: StoredConfig, source: str) -> bool:
        """Apply a committed configuration if it is newer and readable.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if stored.version <= self.version:
            return False
        try:
            config = self._read(stored.document)
        except WigeonspanError as error:
            self._event_log.write(
                "config",
                "config_unreadable",
                failure=True,
                version=stored.version,
                source=source,
                why=str(error),
            )
            return False
        before = self.version
        self._config, self._table = config, RouteTable(config)
        self._priorities = {}
        self._keys = None if config.tenants is None else KeyTable(config.tenants)
        self._urgent_levels = _most_urgent_levels(config)
        self._event_log.write(
            "config",
            "config_in_force",
            version=self.version,
            before=before,
            source=source,
        )
        return True


def _most_urgent_levels(config: FleetConfig) -> dict[ServiceName, int]:
    levels: dict[ServiceName, int] = {}
    scaled = {s.name for s in config.services if s.scaling is not None}
    for route in config.routes:
        for share in route.services:
            if share.service in scaled:
                level = levels.get(share.service, route.priority)
                levels[share.service] = min(level, route.priority)
    return levels
