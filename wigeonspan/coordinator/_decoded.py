"""Newest committed configuration, decoded for the duties of a control host."""

from collections.abc import Callable

from wigeonspan.common import WigeonspanError
from wigeonspan.fleetconfig import FleetConfig, StoredConfig
from wigeonspan.trail import EventLog


class DecodedConfig:
    """Decode each version of the configuration once.

    Parameters
    ----------
    read : callable
        Decodes a configuration document.
    event_log : EventLog
        Decision log.
    """

    def __init__(
        self, read: Callable[[bytes], FleetConfig], event_log: EventLog
    ) -> None:
        self._read = read
        self._event_log = event_log
        self._version = 0
        self._config: FleetConfig | None = None

    def update(self, stored: StoredConfig) -> FleetConfig | None:
        """Return the decoded configuration; None before the first.

        One that cannot be decoded, such as one that an earlier release accepted, leaves
        the one before in force, as at the entries.
        """
        if stored.version == self._version:
            return self._config
        self._version = stored.version
        try:
            self._config = self._read(stored.document)
        except WigeonspanError as error:
            self._event_log.write(
                "config",
                "config_unreadable",
                failure=True,
                version=stored.version,
                why=str(error),
            )
        return self._config
