"""View of the fleet for the order keeper, over the replicated state."""

from collections.abc import Mapping
from typing import Protocol

from wigeonspan.catalog import (
    CatalogObject,
    Engine,
    ModelService,
    ModelVersion,
    Policy,
)
from wigeonspan.common import EngineId, ServiceName, Version
from wigeonspan.distribution import Distributor, InFlight
from wigeonspan.orders._messages import OpenedOrder
from wigeonspan.orders._table import OrderTable


class CatalogReader(Protocol):
    """What the keeper reads of the catalogue."""

    @property
    def policy(self) -> Policy:
        """Settings of the decisions."""
        ...

    def get(self, kind: str, name: str) -> CatalogObject | None:
        """Return an object, or None."""
        ...

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind."""
        ...


class StateView:
    """Fleet as the replicated state and the entries' reports show it.

    Parameters
    ----------
    catalog : CatalogReader
        Configuration.
    table : OrderTable
        Open orders.
    distributor : Distributor
        Versions and leases of the entries, of the same term.
    """

    def __init__(
        self, catalog: CatalogReader, table: OrderTable, distributor: Distributor
    ) -> None:
        self._catalog = catalog
        self._table = table
        self._distributor = distributor

    def engines(self) -> list[Engine]:
        """Return all engines."""
        return [e for e in self._catalog.objects("engine") if isinstance(e, Engine)]

    def engine(self, name: EngineId) -> Engine | None:
        """Return an engine, or None."""
        value = self._catalog.get("engine", name)
        return value if isinstance(value, Engine) else None

    def service(self, name: ServiceName) -> ModelService | None:
        """Return a model service, or None."""
        value = self._catalog.get("model_service", name)
        return value if isinstance(value, ModelService) else None

    def weight_bytes(self, model: str, label: str) -> int:
        """Return the size of a model version in bytes; 0 when unknown."""
        value = self._catalog.get("model_version", f"{model}@{label}")
        return value.weight_bytes if isinstance(value, ModelVersion) else 0

    def policy(self) -> Policy:
        """Return the settings of the decisions."""
        return self._catalog.policy

    def opened(self) -> Mapping[EngineId, OpenedOrder]:
        """Return the open orders by engine."""
        return self._table.opened

    def in_force(self, version: Version, now: float) -> bool:
        """Whether no entry can route by an earlier version."""
        return self._distributor.in_force(version, now)

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests that entries with a lease have on an engine."""
        return self._distributor.in_flight(engine, now)
