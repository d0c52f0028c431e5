"""Conversion between the system's structs and the messages of the schema file.

Field names and union tags are the same on both sides, so the conversion follows the
descriptors of the schema and a new field needs no code here.
"""

from typing import Any, TypeVar

import msgspec
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from wigeonspan.common import ErrorKind, WigeonspanError

T = TypeVar("T")
M = TypeVar("M", bound=Message)


def to_message(value: Any, kind: type[M]) -> M:
    """Convert a struct to a message.

    Parameters
    ----------
    value : Any
        Struct whose fields have the names of the message's fields.
    kind : type
        Class of the message.

    Returns
    -------
    Message
        The message.
    """
    message = kind()
    _fill(message, msgspec.to_builtins(value))
    return message


def from_message(message: Message, kind: Any) -> Any:
    """Convert a message to a struct.

    Parameters
    ----------
    message : Message
        Received message.
    kind : type
        Struct, or union of tagged structs.

    Returns
    -------
    Any
        The struct; fields that the message leaves out have their defaults.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when a required field is absent or a value does not fit.
    """
    try:
        return msgspec.convert(_read(message), kind)
    except msgspec.ValidationError as error:
        raise WigeonspanError(ErrorKind.BAD_REQUEST, _explain(message, error)) from None


def _fill(message: Message, data: dict[str, Any]) -> None:
    if _is_union(message):
        member = getattr(message, data["type"])
        member.SetInParent()
        _fill(member, data)
        return
    for name, field in message.DESCRIPTOR.fields_by_name.items():
        value = data.get(name)
        if value is None:
            continue
        if field.is_repeated:
            _extend(message, field, value)
        elif field.message_type is not None:
            getattr(message, name).SetInParent()
            _fill(getattr(message, name), value)
        else:
            setattr(message, name, _to_scalar(field, value))


def _extend(message: Message, field: FieldDescriptor, values: list[Any]) -> None:
    target = getattr(message, field.name)
    for value in values:
        if field.message_type is not None:
            _fill(target.add(), value)
        else:
            target.append(_to_scalar(field, value))


def _to_scalar(field: FieldDescriptor, value: Any) -> Any:
    if field.enum_type is None:
        return value
    names = field.enum_type.values_by_name
    return names[_enum_prefix(field) + str(value).upper()].number


def _read(message: Message) -> dict[str, Any]:
    if _is_union(message):
        tag = message.WhichOneof("kind")
        if tag is None:
            return {}
        return {"type": tag, **_read(getattr(message, tag))}
    data = {}
    for name, field in message.DESCRIPTOR.fields_by_name.items():
        value = getattr(message, name)
        if field.is_repeated:
            data[name] = [_from_item(field, item) for item in value]
        elif not field.has_presence or message.HasField(name):
            data[name] = _from_item(field, value)
    return data


def _from_item(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return _read(value)
    if field.enum_type is None:
        return value
    known = field.enum_type.values_by_number.get(value)
    if known is None:
        return str(value)
    return known.name.removeprefix(_enum_prefix(field)).lower()


def _is_union(message: Message) -> bool:
    return "kind" in message.DESCRIPTOR.oneofs_by_name


def _enum_prefix(field: FieldDescriptor) -> str:
    """Return the part that the names of an enumeration's values share."""
    return field.enum_type.values[0].name.removesuffix("UNSPECIFIED")


def _explain(message: Message, error: msgspec.ValidationError) -> str:
    text = str(error)
    if "`type`" in text:
        return f"{message.DESCRIPTOR.name} is empty"
    return text
