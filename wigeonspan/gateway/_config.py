"""Configuration in force at a gateway."""

from collections.abc import Callable

from wigeonspan.common import WigeonspanError
from wigeonspan.fleetconfig import FleetConfig, RouteTable, StoredConfig
from wigeonspan.trail import Trail


class ConfigHolder:
    """Newest committed configuration that this process has seen.

    Parameters
    ----------
    read : callable
        Decodes an operator's document.
    trail : Trail
        Log.
    """

    def __init__(self, read: Callable[[bytes], FleetConfig], trail: Trail) -> None:
        self._read = read
        self._trail = trail
        self._config: FleetConfig | None = None
        self._table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self._config is None else self._config.version

    @property
    def config(self) -> FleetConfig | None:
        """Configuration in force."""
        return self._config

    @property
    def table(self) -> RouteTable | None:
        """Routes in force."""
        return self._table

    def offer(self, stored: StoredConfig, source: str) -> bool:
        """Take a committed configuration if it is newer; return whether it was."""
        if stored.version <= self.version:
            return False
        try:
            config = self._read(stored.document)
        except WigeonspanError as error:
            self._trail.note(
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
        self._trail.note(
            "config",
            "config_in_force",
            version=self.version,
            before=before,
            source=source,
        )
        return True
