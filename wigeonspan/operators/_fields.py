"""Turns the text of command lines and files into configuration objects."""

from typing import Any

import msgspec
import yaml

from wigeonspan.catalog import CatalogObject, Engine, ModelVersion, Role, object_kinds
from wigeonspan.common import Version

_BY_KIND = {str(k.__struct_config__.tag): k for k in CatalogObject.__args__}

_ENGINE_FIELDS = frozenset({"name", "address", "domain", "checks_fence", "service"})
"""Fields of an engine that operators put; the rest is state that orders change."""


class UsageError(Exception):
    """Wrong command line or file; nothing was sent."""


def known_kind(kind: str) -> str:
    """Return a kind with underscores, checked.

    Raises
    ------
    UsageError
        When there is no such kind.
    """
    name = kind.replace("-", "_")
    if name not in _BY_KIND:
        raise UsageError(f"kind {kind!r} is not one of {', '.join(object_kinds())}")
    return name


def split_key(key: str) -> tuple[str, str]:
    """Split ``kind/name``.

    Raises
    ------
    UsageError
        When the text is not of this form.
    """
    kind, slash, name = key.partition("/")
    if not slash or not name:
        raise UsageError(f"{key!r} is not of the form kind/name")
    return known_kind(kind), name


def parse_fields(kind: str, fields: dict[str, str]) -> dict[str, Any]:
    """Convert field values from text to the types of an object's fields.

    Parameters
    ----------
    kind : str
        Kind of the object.
    fields : dict of str to str
        Values as typed. Lists and mappings are YAML, for example ``[a, b]``.

    Returns
    -------
    dict of str to Any
        Plain data.

    Raises
    ------
    UsageError
        When a field does not exist or its value does not fit.
    """
    known = {f.name: f for f in msgspec.structs.fields(_BY_KIND[kind])}
    data = {}
    for name, text in fields.items():
        if name not in known or name == "version":
            names = ", ".join(_settable(kind))
            raise UsageError(f"{kind} has no field {name!r}; fields: {names}")
        data[name] = _parse_value(f"{kind}.{name}", text, known[name].type)
    return data


def merge_object(
    kind: str, name: str, present: CatalogObject | None, data: dict[str, Any]
) -> CatalogObject:
    """Build an object from its present state and new field values.

    Parameters
    ----------
    kind, name : str
        Key of the object.
    present : CatalogObject or None
        The object now; its fields stay unless ``data`` has them.
    data : dict of str to Any
        New field values as plain data.

    Returns
    -------
    CatalogObject
        The object to put.

    Raises
    ------
    UsageError
        When a required field is missing or a value does not fit.
    """
    base = msgspec.to_builtins(present) if present is not None else _named(kind, name)
    base.pop("version", None)
    if kind == "engine":
        refused = sorted(data.keys() - _ENGINE_FIELDS - {"type"})
        if refused:
            raise UsageError(
                f"engine fields {', '.join(refused)} are state; use pin-role, "
                "drain-engine or withdraw-engine"
            )
        base = {key: base[key] for key in base if key in _ENGINE_FIELDS}
    merged = {**base, **data, "type": kind}
    try:
        return msgspec.convert(merged, _BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise UsageError(f"{kind}/{name}: {error}") from None


def load_objects(path: str) -> list[CatalogObject]:
    """Read a YAML file with a list of objects.

    Parameters
    ----------
    path : str
        File. Each item has ``kind`` and the fields of that kind; an engine may have
        ``pinned_role``.

    Returns
    -------
    list of CatalogObject
        Objects in the order of the file.

    Raises
    ------
    UsageError
        With every fault of the file, one a line.
    """
    try:
        with open(path, encoding="utf-8") as file:
            items = yaml.safe_load(file)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise UsageError(f"{path}: {error}") from None
    if not isinstance(items, list):
        raise UsageError(f"{path}: expected a list of objects")
    objects, faults = [], []
    for position, item in enumerate(items):
        try:
            objects.append(_load_object(item))
        except UsageError as error:
            faults.append(f"{path}: item {position + 1}: {error}")
    if faults:
        raise UsageError("\n".join(faults))
    return objects


def put_fields(value: CatalogObject) -> dict[str, Any]:
    """Return the fields of an object that a put takes, as plain data."""
    data = msgspec.to_builtins(value)
    data.pop("version", None)
    if isinstance(value, Engine):
        return {key: data[key] for key in data if key in _ENGINE_FIELDS}
    data.pop("state", None)
    return data


def _load_object(item: Any) -> CatalogObject:
    if not isinstance(item, dict) or "kind" not in item:
        raise UsageError("expected a mapping with the key kind")
    data = dict(item)
    kind = known_kind(str(data.pop("kind")))
    known = {f.name for f in msgspec.structs.fields(_BY_KIND[kind])} - {"version"}
    unknown = sorted(str(key) for key in data if key not in known)
    if unknown:
        raise UsageError(
            f"{kind} has no field {', '.join(unknown)}; "
            f"fields: {', '.join(_settable(kind))}"
        )
    pinned = data.pop("pinned_role", None) if kind == "engine" else None
    value = merge_object(kind, str(data.get("name", "")), None, data)
    if pinned is None:
        return value
    try:
        role = msgspec.convert(pinned, Role)
    except msgspec.ValidationError as error:
        raise UsageError(f"pinned_role: {error}") from None
    return msgspec.structs.replace(value, pinned_role=role)


def _named(kind: str, name: str) -> dict[str, Any]:
    """Return the fields that an object's name sets."""
    if _BY_KIND[kind] is ModelVersion:
        model, at, label = name.partition("@")
        return {"model": model, "label": label} if at else {}
    return {"name": name} if name else {}


def _settable(kind: str) -> list[str]:
    if kind == "engine":
        return sorted(_ENGINE_FIELDS)
    fields = msgspec.structs.fields(_BY_KIND[kind])
    return [f.name for f in fields if f.name != "version"]


def _parse_value(where: str, text: str, kind: Any) -> Any:
    # Text comes first: a name such as 7 or yes is no number or flag for YAML to guess.
    try:
        return msgspec.to_builtins(msgspec.convert(text, kind, strict=False))
    except msgspec.ValidationError as error:
        first = error
    try:
        value = yaml.safe_load(text)
        return msgspec.to_builtins(msgspec.convert(value, kind, strict=False))
    except (msgspec.ValidationError, yaml.YAMLError):
        raise UsageError(f"{where}: {text!r}: {first}") from None


def parse_version(text: str) -> Version:
    """Convert a version from text.

    Raises
    ------
    UsageError
        When it is not a whole number of at least 0.
    """
    if not (text.isascii() and text.isdigit()):
        raise UsageError(f"version {text!r} is not a whole number")
    return Version(int(text))
