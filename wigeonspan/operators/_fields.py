"""Parsing of command-line fields and YAML files into configuration objects."""

from typing import Any

import msgspec
import yaml

from wigeonspan.catalog import CatalogObject, Engine, ModelVersion, Role, object_kinds
from wigeonspan.common import Version

_STRUCT_BY_KIND = {str(k.__struct_config__.tag): k for k in CatalogObject.__args__}

_SETTABLE_ENGINE_FIELDS = frozenset(
    {"name", "address", "domain", "checks_fence", "service"}
)
"""Engine fields that a put may set; other commands and orders change the rest."""


class UsageError(Exception):
    """Invalid command line or input file; nothing was sent."""


def normalize_kind(kind: str) -> str:
    """Replace hyphens in a kind by underscores and check that the kind exists.

    Raises
    ------
    UsageError
        When the kind does not exist.
    """
    name = kind.replace("-", "_")
    if name not in _STRUCT_BY_KIND:
        raise UsageError(f"kind {kind!r} is not one of {', '.join(object_kinds())}")
    return name


def split_key(key: str) -> tuple[str, str]:
    """Split a key of the form ``kind/name`` into kind and name.

    Raises
    ------
    UsageError
        When the key has another form or the kind does not exist.
    """
    kind, slash, name = key.partition("/")
    if not slash or not name:
        raise UsageError(f"{key!r} is not of the form kind/name")
    return normalize_kind(kind), name


def parse_fields(kind: str, fields: dict[str, str]) -> dict[str, Any]:
    """Convert field values from text to the types of the fields.

    Parameters
    ----------
    kind : str
        Kind of the object.
    fields : dict of str to str
        Field values as typed on the command line. Lists and mappings are written in
        YAML, for example ``[a, b]``.

    Returns
    -------
    dict of str to Any
        Field values as built-in types.

    Raises
    ------
    UsageError
        When a field does not exist or its value is invalid.
    """
    fields_by_name = {f.name: f for f in msgspec.structs.fields(_STRUCT_BY_KIND[kind])}
    data = {}
    for name, text in fields.items():
        if name not in fields_by_name or name == "version":
            names = ", ".join(_settable_field_names(kind))
            raise UsageError(f"{kind} has no field {name!r}; fields: {names}")
        data[name] = _parse_value(f"{kind}.{name}", text, fields_by_name[name].type)
    return data


def merge_object(
    kind: str, name: str, current: CatalogObject | None, data: dict[str, Any]
) -> CatalogObject:
    """Build an object from its current state and new field values.

    Parameters
    ----------
    kind, name : str
        Kind and name of the object.
    current : CatalogObject or None
        Current object, or None to create it; its fields are kept unless ``data``
        has them.
    data : dict of str to Any
        New field values as built-in types.

    Returns
    -------
    CatalogObject
        Object to put.

    Raises
    ------
    UsageError
        When a required field is missing, a value is invalid or a field of an engine
        is read-only.
    """
    base = (
        msgspec.to_builtins(current)
        if current is not None
        else _identity_fields(kind, name)
    )
    base.pop("version", None)
    if kind == "engine":
        read_only = sorted(data.keys() - _SETTABLE_ENGINE_FIELDS - {"type"})
        if read_only:
            raise UsageError(
                f"engine fields {', '.join(read_only)} are state; use pin-role, "
                "drain-engine or withdraw-engine"
            )
        base = {key: base[key] for key in base if key in _SETTABLE_ENGINE_FIELDS}
    merged = {**base, **data, "type": kind}
    try:
        return msgspec.convert(merged, _STRUCT_BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise UsageError(f"{kind}/{name}: {error}") from None


def load_objects(path: str) -> list[CatalogObject]:
    """Load objects from a YAML file that contains a list.

    Parameters
    ----------
    path : str
        Path of the file. Each item has ``kind`` and the fields of that kind; an engine
        may have ``pinned_role``.

    Returns
    -------
    list of CatalogObject
        Objects in the order of the file.

    Raises
    ------
    UsageError
        When the file is invalid; the message has one line for each invalid item.
    """
    try:
        with open(path, encoding="utf-8") as file:
            items = yaml.safe_load(file)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise UsageError(f"{path}: {error}") from None
    if not isinstance(items, list):
        raise UsageError(f"{path}: expected a list of objects")
    objects, errors = [], []
    for position, item in enumerate(items):
        try:
            objects.append(_parse_item(item))
        except UsageError as error:
            errors.append(f"{path}: item {position + 1}: {error}")
    if errors:
        raise UsageError("\n".join(errors))
    return objects


def settable_values(value: CatalogObject) -> dict[str, Any]:
    """Return the fields of an object that a put may set, as built-in types."""
    data = msgspec.to_builtins(value)
    data.pop("version", None)
    if isinstance(value, Engine):
        return {key: data[key] for key in data if key in _SETTABLE_ENGINE_FIELDS}
    data.pop("state", None)
    return data


def _parse_item(item: Any) -> CatalogObject:
    """Convert one item of a YAML file to an object."""
    if not isinstance(item, dict) or "kind" not in item:
        raise UsageError("expected a mapping with the key 'kind'")
    data = dict(item)
    kind = normalize_kind(str(data.pop("kind")))
    names = {f.name for f in msgspec.structs.fields(_STRUCT_BY_KIND[kind])} - {
        "version"
    }
    unknown = sorted(str(key) for key in data if key not in names)
    if unknown:
        raise UsageError(
            f"{kind} has no field {', '.join(unknown)}; "
            f"fields: {', '.join(_settable_field_names(kind))}"
        )
    pinned_role = data.pop("pinned_role", None) if kind == "engine" else None
    value = merge_object(kind, str(data.get("name", "")), None, data)
    if pinned_role is None:
        return value
    try:
        role = msgspec.convert(pinned_role, Role)
    except msgspec.ValidationError as error:
        raise UsageError(f"pinned_role: {error}") from None
    return msgspec.structs.replace(value, pinned_role=role)


def _identity_fields(kind: str, name: str) -> dict[str, Any]:
    """Return the fields that the name of an object determines."""
    if _STRUCT_BY_KIND[kind] is ModelVersion:
        model, at, label = name.partition("@")
        return {"model": model, "label": label} if at else {}
    return {"name": name} if name else {}


def _settable_field_names(kind: str) -> list[str]:
    """Return the names of the fields that a put of this kind may set."""
    if kind == "engine":
        return sorted(_SETTABLE_ENGINE_FIELDS)
    fields = msgspec.structs.fields(_STRUCT_BY_KIND[kind])
    return [f.name for f in fields if f.name != "version"]


def _parse_value(field_path: str, text: str, field_type: Any) -> Any:
    # Try the plain text before YAML, which would read the names 7 and yes as a number
    # and a boolean.
    try:
        return msgspec.to_builtins(msgspec.convert(text, field_type, strict=False))
    except msgspec.ValidationError as error:
        text_error = error
    try:
        value = yaml.safe_load(text)
        return msgspec.to_builtins(msgspec.convert(value, field_type, strict=False))
    except (msgspec.ValidationError, yaml.YAMLError):
        raise UsageError(f"{field_path}: {text!r}: {text_error}") from None


def parse_version(text: str) -> Version:
    """Convert text to a version.

    Raises
    ------
    UsageError
        When the text is not a non-negative integer.
    """
    if not (text.isascii() and text.isdigit()):
        raise UsageError(f"version {text!r} is not a whole number")
    return Version(int(text))
