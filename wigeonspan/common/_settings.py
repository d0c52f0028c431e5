"""YAML settings files, which are validated completely before any value is used."""

import math
from pathlib import Path
from typing import Any, TypeVar, get_args

import msgspec
import yaml

T = TypeVar("T")


class SettingsFault(Exception):
    """One invalid value in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    key : str
        Dotted path of the key; empty when the fault concerns the whole file.
    expected : str
        Description of a valid value.
    found : str
        Description of the actual value.
    """

    def __init__(self, file: str, key: str, expected: str, found: str) -> None:
        super().__init__(
            f"{file}: {key or '(file)'}: expected {expected}, found {found}"
        )
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found


class SettingsErrors(ExceptionGroup[SettingsFault]):
    """All invalid values of one settings file."""

    def derive(self, excs: Any) -> "SettingsErrors":
        """Return a group of the same type with other faults."""
        return SettingsErrors(self.message, excs)

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.exceptions)


# Errors of the constructors of the YAML reader for texts that look like a date or a
# number but are none, and for deep nesting.
_CONSTRUCTOR_ERRORS = (ValueError, AttributeError, RecursionError)


def load_settings(path: str | Path, kind: type[T]) -> T:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        YAML file.
    kind : type
        msgspec struct that describes the settings.

    Returns
    -------
    T
        The settings.

    Raises
    ------
    SettingsErrors
        With all faults of the file, so that an operator can correct them together.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
        data = yaml.safe_load(text)
    except (OSError, yaml.YAMLError, *_CONSTRUCTOR_ERRORS) as error:
        fault = SettingsFault(file, "", "a readable YAML file", str(error))
        raise SettingsErrors("settings are not valid", [fault]) from error
    faults: list[SettingsFault] = []
    value = _convert(file, "", data, kind, faults)
    if faults:
        raise SettingsErrors("settings are not valid", faults)
    return value


def _convert(
    file: str, key: str, data: Any, kind: Any, faults: list[SettingsFault]
) -> Any:
    """Convert a value to a type and append a fault for each invalid value in it."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _convert_struct(file, key, data, kind, faults)
    item_type = _list_item_type(kind)
    if item_type is not None and isinstance(data, list):
        return [
            _convert(file, f"{key}[{index}]", value, item_type, faults)
            for index, value in enumerate(data)
        ]
    try:
        value = msgspec.convert(data, kind)
        # Non-finite numbers compare as neither too small nor too large.
        if isinstance(value, float) and not math.isfinite(value):
            raise msgspec.ValidationError("Expected a finite number")
        # YAML can spell lone surrogates, which no file or message can carry.
        if isinstance(value, str):
            value.encode()
        return value
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        faults.append(SettingsFault(file, key, str(error), _shorten_repr(data)))
        return None


def _convert_struct(
    file: str,
    key: str,
    data: Any,
    kind: type[msgspec.Struct],
    faults: list[SettingsFault],
) -> Any:
    if not isinstance(data, dict):
        faults.append(SettingsFault(file, key, "a mapping", _shorten_repr(data)))
        return None
    faults_before = len(faults)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in data:
        if name not in fields:
            expected = "one of " + ", ".join(sorted(fields))
            faults.append(
                SettingsFault(file, _join_key(key, name), expected, "unknown key")
            )
    values = {}
    for name, field in fields.items():
        if name in data:
            field_key = _join_key(key, name)
            values[field.name] = _convert(
                file, field_key, data[name], field.type, faults
            )
        elif field.required:
            faults.append(
                SettingsFault(file, _join_key(key, name), "a value", "nothing")
            )
    if len(faults) > faults_before:
        return None
    try:
        return kind(**values)
    except ValueError as error:
        faults.append(SettingsFault(file, key, str(error), _shorten_repr(data)))
        return None


def _list_item_type(kind: Any) -> Any:
    """Return the item type of a list type, or None."""
    if getattr(kind, "__origin__", None) is list:
        return get_args(kind)[0]
    return None


def _join_key(key: str, name: Any) -> str:
    return f"{key}.{name}" if key else str(name)


def _shorten_repr(data: Any) -> str:
    try:
        text = repr(data)
    except ValueError:
        # Python refuses to print integers of thousands of digits.
        text = "a number that is too large"
    return text if len(text) <= 60 else text[:57] + "..."
