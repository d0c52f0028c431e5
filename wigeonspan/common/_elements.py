"""Split JSON arrays and objects so that each element can be decoded by itself.

A strict parser loses a whole document by one element that is nested too deeply or has
an invalid escape. The fallback here finds the ends of the elements without recursion.
"""

import re

from msgspec import Raw

from wigeonspan.common._codec import decode
from wigeonspan.common._errors import ErrorKind, WigeonspanError

MAX_STEPS = 50_000
"""Most steps of the fallback for one array or object; a step skips a run of brackets or
the bytes between two of them. It bounds the time to a third of a second. A list
of a thousand targets takes about five thousand steps."""

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
# Numbers and names of any value. Other text outside of strings shows that a quotation
# mark is missing or is one too many, so that the ends of the elements are not known.
_SCALAR = rb"[-+]?[0-9][-+.0-9eE]*+|true|false|null|NaN|[-+]?Infinity"
_BETWEEN_ELEMENTS = re.compile(
    rb"(?:[\s:]++|" + _STRING + rb"|" + _SCALAR + rb")*+", re.DOTALL
)
_INSIDE_ELEMENT = re.compile(
    rb"(?:[\s:,]++|" + _STRING + rb"|" + _SCALAR + rb")*+", re.DOTALL
)
_BRACKETS = re.compile(rb"[\[{]++|[\]}]++")
_MEMBER = re.compile(rb"(" + _STRING + rb")\s*+:(.*)", re.DOTALL)
_OPENING_OF = bytes.maketrans(b"]}", b"[{")
_WHITESPACE = b" \t\r\n"


def split_array(data: bytes | Raw) -> list[Raw]:
    """Return the encoded elements of a JSON array.

    The elements are not validated; decode each of them by itself.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the data is not an array whose elements can be told apart.
    """
    try:
        return decode(data, list[Raw])
    except WigeonspanError:
        return [Raw(element) for element in _scan(bytes(data), b"[")]


def split_object(data: bytes | Raw) -> dict[str, Raw]:
    """Return the encoded values of a JSON object by their names.

    The values are not validated; decode each of them by itself. A member whose name
    cannot be decoded is left out.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the data is not an object whose members can be told apart.
    """
    try:
        return decode(data, dict[str, Raw])
    except WigeonspanError:
        return dict(_scan_members(bytes(data)))


def _scan_members(data: bytes):
    for member in _scan(data, b"{"):
        match = _MEMBER.fullmatch(member)
        if match is None:
            raise _bad_request("a member of an object has no name or no value")
        try:
            name: str = decode(match[1], str)
        except WigeonspanError:
            continue
        yield name, Raw(match[2])


def _scan(data: bytes, opening: bytes) -> list[bytes]:
    """Return the elements of an array or the members of an object.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when the brackets do not match, a string does not end or there
        are more than ``MAX_STEPS`` steps.
    """
    begin = len(data) - len(data.lstrip(_WHITESPACE))
    if data[begin : begin + 1] != opening:
        raise _bad_request(f"the document does not begin with {opening.decode()}")
    elements: list[bytes] = []
    # Brackets that are open inside of the current element.
    open_brackets = bytearray()
    position = element_at = begin + 1
    for _ in range(MAX_STEPS):
        pattern = _INSIDE_ELEMENT if open_brackets else _BETWEEN_ELEMENTS
        matched = pattern.match(data, position)
        at = position if matched is None else matched.end()
        byte = data[at : at + 1]
        if byte in (b"", b'"'):
            raise _bad_request("the document ends inside an element")
        if byte not in b",[]{}":
            raise _bad_request("the document has text outside of its strings")
        run = _BRACKETS.match(data, at)
        if run is None or (not open_brackets and byte in b"]}"):
            # A comma between elements, or the end of the array or object.
            element = data[element_at:at].strip(_WHITESPACE)
            if element:
                elements.append(element)
            position = element_at = at + 1
            if run is None:
                continue
            if byte.translate(_OPENING_OF) != opening or data[position:].strip(
                _WHITESPACE
            ):
                raise _bad_request("the brackets of the document do not match")
            return elements
        if byte in b"[{":
            begun = data[element_at:at].strip(_WHITESPACE) if not open_brackets else b""
            if begun and opening == b"[":
                raise _bad_request("a comma between two elements is missing")
            open_brackets += run[0]
            position = run.end()
            continue
        closing = run[0][: len(open_brackets)]
        if open_brackets[: -len(closing) - 1 : -1] != closing.translate(_OPENING_OF):
            raise _bad_request("the brackets of the document do not match")
        del open_brackets[-len(closing) :]
        position = at + len(closing)
    raise _bad_request(f"the document takes more than {MAX_STEPS} steps to split")


def _bad_request(message: str) -> WigeonspanError:
    return WigeonspanError(ErrorKind.BAD_REQUEST, message)
