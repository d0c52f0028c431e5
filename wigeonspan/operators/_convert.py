"""Conversion between msgspec structs and protobuf messages.

Structs and messages use the same field names and union tags. The conversion follows the
descriptors of the schema, so a new field needs no code here.
"""

from typing import Any, TypeVar

import msgspec
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from wigeonspan.common import ErrorKind, WigeonspanError

T = TypeVar("T")
M = TypeVar("M", bound=Message)


def to_message(value: Any, message_type: type[M]) -> M:
    """Convert a struct to a protobuf message.

    Parameters
    ----------
    value : Any
        Struct with the same field names as the message.
    message_type : type
        Class of the message.

    Returns
    -------
    Message
        Message with the values of the struct.
    """
    message = message_type()
    _fill_message(message, msgspec.to_builtins(value))
    return message


def from_message(message: Message, struct_type: Any) -> Any:
    """Convert a protobuf message to a struct.

    Parameters
    ----------
    message : Message
        Received message.
    struct_type : type
        Class of the struct, or union of tagged structs.

    Returns
    -------
    Any
        Struct; fields that are absent from the message have their default values.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when a required field is missing or a value is invalid.
    """
    try:
        return msgspec.convert(_to_builtins(message), struct_type)
    except msgspec.ValidationError as error:
        raise WigeonspanError(
            ErrorKind.BAD_REQUEST, _validation_message(message, error)
        ) from None


def _fill_message(message: Message, data: dict[str, Any]) -> None:
    if _is_union(message):
        variant = getattr(message, data["type"])
        variant.SetInParent()
        _fill_message(variant, data)
        return
    for name, field in message.DESCRIPTOR.fields_by_name.items():
        value = data.get(name)
        if value is None:
            continue
        if field.is_repeated:
            _append_items(message, field, value)
        elif field.message_type is not None:
            getattr(message, name).SetInParent()
            _fill_message(getattr(message, name), value)
        else:
            setattr(message, name, _to_field_value(field, value))


def _append_items(message: Message, field: FieldDescriptor, values: list[Any]) -> None:
    items = getattr(message, field.name)
    for value in values:
        if field.message_type is not None:
            _fill_message(items.add(), value)
        else:
            items.append(_to_field_value(field, value))


def _to_field_value(field: FieldDescriptor, value: Any) -> Any:
    if field.enum_type is None:
        return value
    names = field.enum_type.values_by_name
    return names[_enum_prefix(field) + str(value).upper()].number


def _to_builtins(message: Message) -> dict[str, Any]:
    if _is_union(message):
        variant_name = message.WhichOneof("kind")
        if variant_name is None:
            return {}
        return {"type": variant_name, **_to_builtins(getattr(message, variant_name))}
    data = {}
    for name, field in message.DESCRIPTOR.fields_by_name.items():
        value = getattr(message, name)
        if field.is_repeated:
            data[name] = [_from_value(field, item) for item in value]
        elif not field.has_presence or message.HasField(name):
            data[name] = _from_value(field, value)
    return data


def _from_value(field: FieldDescriptor, value: Any) -> Any:
    """Convert one value of a message field to a built-in type.

    An unknown enumeration number is returned as a string, which fails validation.
    """
    if field.message_type is not None:
        return _to_builtins(value)
    if field.enum_type is None:
        return value
    enum_value = field.enum_type.values_by_number.get(value)
    if enum_value is None:
        return str(value)
    return enum_value.name.removeprefix(_enum_prefix(field)).lower()


def _is_union(message: Message) -> bool:
    """Whether a message represents a union: it has a oneof named ``kind``."""
    return "kind" in message.DESCRIPTOR.oneofs_by_name


def _enum_prefix(field: FieldDescriptor) -> str:
    """Return the common prefix of the names of an enumeration's values."""
    return field.enum_type.values[0].name.removesuffix("UNSPECIFIED")


def _validation_message(message: Message, error: msgspec.ValidationError) -> str:
    """Return the text of a validation error, or a clearer one for an empty union."""
    text = str(error)
    if "`type`" in text:
        return f"{message.DESCRIPTOR.name} is empty"
    return text
