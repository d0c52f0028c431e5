"""Configuration at one version."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import TypeVar

from wigeonspan.catalog import CatalogObject, Engine, ObjectUpdate
from wigeonspan.common import EngineId, Version

T = TypeVar("T")

ObjectKey = tuple[str, str]
"""Kind and name that identify an object."""


def object_kind(value: CatalogObject | type) -> str:
    """Return the kind of an object or object type, for example ``engine``."""
    return str(value.__struct_config__.tag)  # type: ignore[union-attr]


class Configuration:
    """Hold an immutable copy of the complete configuration at one version.

    A request keeps the instance that it started with, so it uses the same version
    throughout.

    Parameters
    ----------
    version : Version
        Version of the configuration.
    objects : iterable of CatalogObject
        All objects of that version.
    """

    def __init__(
        self, version: Version = Version(0), objects: Iterable[CatalogObject] = ()
    ) -> None:
        self._version = version
        self._objects = {(object_kind(o), o.name): o for o in objects}

    @property
    def version(self) -> Version:
        """Version of the configuration; 0 when empty."""
        return self._version

    @property
    def objects(self) -> Mapping[ObjectKey, CatalogObject]:
        """All objects by kind and name."""
        return MappingProxyType(self._objects)

    def get(self, kind: type[T], name: str) -> T | None:
        """Return one object by type and name, or None."""
        return self._objects.get((object_kind(kind), name))  # type: ignore[return-value]

    def all(self, kind: type[T]) -> list[T]:
        """Return the objects of one type, sorted by name."""
        tag = object_kind(kind)
        keys = sorted(key for key in self._objects if key[0] == tag)
        return [self._objects[key] for key in keys]  # type: ignore[misc]

    def engine(self, name: EngineId) -> Engine | None:
        """Return an engine by name, or None."""
        return self.get(Engine, name)

    def with_updates(
        self, version: Version, updates: Iterable[ObjectUpdate]
    ) -> "Configuration":
        """Return a copy at a later version.

        Parameters
        ----------
        version : Version
            Version after the updates.
        updates : iterable of ObjectUpdate
            Updates in order; those up to the current version are skipped.
        """
        copy = Configuration(version)
        copy._objects = dict(self._objects)
        for update in updates:
            if update.version <= self._version:
                continue
            if update.value is None:
                copy._objects.pop((update.kind, update.name), None)
            else:
                copy._objects[update.kind, update.name] = update.value
        return copy
