"""Split JSON arrays and objects so that each element can be decoded by itself.

A strict parser loses a whole document by one element that is nested too deeply or has
an invalid escape. The fallback here finds the ends of the elements without recursion.
Around elements that are no JSON at all, another one finds those that are objects.
"""

import json
import re

from msgspec import Raw

from wigeonspan.common._codec import decode
from wigeonspan.common._errors import ErrorKind, WigeonspanError

MAX_STEPS = 50_000
"""Most steps of the fallback for one array or object; a step skips a run of brackets or
the bytes between two of them. It bounds the time to a third of a second. A list
of a thousand targets takes about five thousand steps."""

MAX_UNREADABLE = 1_000
"""Most elements of one array that are no JSON; with ``MAX_SEARCHED_BYTES`` it bounds
the time in which the objects around them are found to about a second."""

MAX_SEARCHED_BYTES = 32 * 1024 * 1024
"""Most bytes that are read, repeated ones included, to find the objects of one array;
eight times the largest response. An array with one element that is no JSON takes about
its own size."""

DEEP_NESTING_BYTES = 256 * 1024
"""Bytes that count as read when an element is nested too deeply. The parser does not
tell how far it came."""

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
_OBJECT = re.compile(r"[ \t\r\n]*\{")
_AFTER_ELEMENT = re.compile(r"[ \t\r\n]*([,\]])")
# Where the next object may begin or the array may end after bytes that are no JSON.
_RESUME = re.compile(r",(?=[ \t\r\n]*\{)|\](?=[ \t\r\n]*,)")
# Long integers would raise an error, and control characters concern one element only.
_JSON = json.JSONDecoder(parse_int=float, strict=False)
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


def split_member_array(
    data: bytes | Raw, name: str, following: str
) -> tuple[list[Raw], dict[str, Raw]]:
    """Return the encoded elements of an array in an object, and the other members.

    Unlike :func:`split_array`, this function finds the objects in the array also when
    it has elements that are no JSON, such as bytes outside of strings, or a string or a
    bracket that is left open. Such bytes are returned as elements, too, which cannot be
    decoded. They end before a comma and an object, or at the end of the array. A member
    after the array shows where it ends: a document that is cut may end like a sound one
    with the array of its last element.

    Parameters
    ----------
    data : bytes
        Encoded object.
    name : str
        Name of the member with the array.
    following : str
        Name of a member after the array; needed only when an element is no JSON.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when there is no such array, its end cannot be found, or the
        search exceeds a limit.
    """
    try:
        members = split_object(data)
        return split_array(members.pop(name)), members
    except KeyError as error:
        raise _bad_request(f"the document has no member {error}") from error
    except WigeonspanError:
        return _ElementSearch(bytes(data), name, following).run()


class _ElementSearch:
    """Search for the objects of an array that has elements that are no JSON.

    Parameters
    ----------
    data : bytes
        Encoded object.
    name, following : str
        Names of the member with the array and of one after it.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when there is no such array.
    """

    def __init__(self, data: bytes, name: str, following: str) -> None:
        opening = re.search(rb'"%s"\s*:\s*\[' % re.escape(name.encode()), data)
        if opening is None:
            raise _bad_request(f"the document has no array {name}")
        self._data, self._following = data, following
        # One character for each byte, so that positions are the same in both.
        self._text = data.decode("latin-1")
        self._begin = opening.end()
        self._before = split_object(data[: self._begin] + b"]}")
        self._before.pop(name, None)
        self._searched_bytes = 0

    def run(self) -> tuple[list[Raw], dict[str, Raw]]:
        """Return the elements and the other members; see :func:`split_member_array`."""
        elements: list[bytes] = []
        unreadable = 0
        position = self._begin
        while unreadable <= MAX_UNREADABLE:
            end = self._end_of_object(position)
            if end is None:
                unreadable += 1
                end = self._resume_at(position)
            elements.append(self._data[position:end].strip(_WHITESPACE))
            if self._text[end] == "]":
                members = self._members(end)
                assert members is not None
                return [Raw(element) for element in elements if element], members
            position = end + 1
        raise _bad_request("the document has too many elements that are no JSON")

    def _end_of_object(self, position: int) -> int | None:
        """Return where the comma or bracket after the next object is, if it is one.

        Another value is not taken for an element: a bracket that is left open would
        make one of all elements after it.
        """
        begin = _OBJECT.match(self._text, position)
        if begin is None:
            return None
        at = begin.end() - 1
        try:
            _, end = _JSON.raw_decode(self._text, at)
        except json.JSONDecodeError as error:
            self._spend(error.pos - at)
            return None
        except RecursionError:
            self._spend(DEEP_NESTING_BYTES)
            return None
        self._spend(end - at)
        after = _AFTER_ELEMENT.match(self._text, end)
        if after is None:
            return None
        is_end = after[1] == "]"
        if is_end and self._members(after.start(1)) is None:
            return None
        return after.start(1)

    def _resume_at(self, position: int) -> int:
        """Return where the array ends, or where the next comma before an object is.

        Raises
        ------
        WigeonspanError
            ``BAD_REQUEST`` when the document has neither.
        """
        for found in _RESUME.finditer(self._text, position):
            if found[0] == "," or self._members(found.start()) is not None:
                return found.start()
        raise _bad_request("the document ends inside an array")

    def _spend(self, read_bytes: int) -> None:
        self._searched_bytes += read_bytes
        if self._searched_bytes > MAX_SEARCHED_BYTES:
            raise _bad_request("the search for elements takes too long")

    def _members(self, end: int) -> dict[str, Raw] | None:
        """Return the other members if the array ends at a position, or None."""
        self._spend(len(self._data) - end)
        try:
            after = split_object(b'{"":0' + self._data[end + 1 :])
        except WigeonspanError:
            return None
        after.pop("", None)
        return self._before | after if self._following in after else None


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
