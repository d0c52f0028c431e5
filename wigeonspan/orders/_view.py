"""Fleet view of the order controller, backed by the replicated state."""

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
    """Interface through which the controller reads the catalog."""

    @property
    def policy(self) -> Policy:
        """Policy settings."""
        ...

    def get(self, kind: str, name: str) -> CatalogObject | None:
        """Return an object, or None if it does not exist."""
        ...

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind."""
        ...


class StateView:
    """Fleet view from the replicated state and the entries' reports.

    Parameters
    ----------
    catalog : CatalogReader
        Configuration.
    table : OrderTable
        Open orders.
    distributor : Distributor
        Versions and leases of the entries in the current term.
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
        """Return an engine, or None if it does not exist."""
        value = self._catalog.get("engine", name)
        return value if isinstance(value, Engine) else None

    def service(self, name: ServiceName) -> ModelService | None:
        """Return a model service, or None if it does not exist."""
        value = self._catalog.get("model_service", name)
        return value if isinstance(value, ModelService) else None

    def weight_bytes(self, model: str, label: str) -> int:
        """Return the size of a model version in bytes; 0 when unknown."""
        value = self._catalog.get("model_version", f"{model}@{label}")
        return value.weight_bytes if isinstance(value, ModelVersion) else 0

    def policy(self) -> Policy:
        """Return the policy settings."""
        return self._catalog.policy

    def opened(self) -> Mapping[EngineId, OpenedOrder]:
        """Return the open orders by engine."""
        return self._table.opened

    def in_force(self, version: Version, now: float) -> bool:
        """Return whether no entry can still route by an earlier version."""
        return self._distributor.in_force(version, now)

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests in flight on an engine from entries that hold a lease."""
        return self._distributor.in_flight(engine, now)
