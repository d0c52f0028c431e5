"""Splitting of documents in which single elements cannot be decoded."""

import time

import msgspec
import pytest

from wigeonspan.common import (
    ErrorKind,
    WigeonspanError,
    decode,
    split_array,
    split_member_array,
    split_object,
)

DEEP = b"[" * 5000 + b"]" * 5000
DEEP_OBJECT = b'{"a":' * 5000 + b"1" + b"}" * 5000
ODD_VALUES = [
    DEEP,
    DEEP_OBJECT,
    b"1e999",
    b"9" * 5000,
    b'"\\ud800"',
    b'"\\udc00"',
    b'"\xff"',
    b'"\x01"',
    b"NaN",
    b'"\\x"',
    b"01",
    b'"]}\\"]"',
]


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_element_does_not_hide_the_others(odd):
    """An array was lost as a whole by one element that could not be decoded."""
    good = b'{"id":"a,]\\"}"}'
    split = split_array(b" [" + good + b" , " + odd + b",\n" + good + b"] ")
    assert [bytes(e) for e in split] == [good, odd, good]


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_member_does_not_hide_the_others(odd):
    """An object was lost as a whole by one value that could not be decoded."""
    split = split_object(b'{"a":[1,2],"odd" : ' + odd + b',"b":"x"}')
    assert bytes(split["odd"]).strip() == odd
    assert [decode(split[n], object) for n in "ab"] == [[1, 2], "x"]


@pytest.mark.parametrize(
    "wrong",
    [
        b"",
        b"{}",
        b"1",
        b"[",
        b'["a',
        b'["\\',
        b"[[1}]",
        b"[1}",
        b"[1]]",
        b"[1] x",
        b"[{]}",
        b'[{"a":[},{"b":1},{"c":]}]',
        DEEP[:-1],
        b'[{"a":1"},{"b":2},{"c":"3}]',
        b'[{"a":"x"y"},{"b":"z"},{"c":v"}]',
        b'[{"a":1}{"b":2}, NaN]',
        b'[{"a":1}4{"b":2}]',
        b"[{a:1}]",
        b"[\\]",
        b"[\xff]",
    ],
)
def test_document_without_clear_elements_is_refused(wrong):
    """A document that is cut or mismatched must not look like a shorter one."""
    with pytest.raises(WigeonspanError) as caught:
        split_array(wrong)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


GOOD = b'{"id":"a,]\\"}"}'
REST = b',"next":"p2","more":[1]}'


@pytest.mark.parametrize("odd", [*ODD_VALUES, b"\xff", b'"', b"[1", b'{"a":[1', b"]"])
def test_array_with_an_element_that_is_no_json_is_split(odd):
    """Only the elements that are objects can be found beside it."""
    data = b'{"first":{},"list" : [' + GOOD + b" , " + odd + b",\n" + GOOD + b"]" + REST
    elements, members = split_member_array(data, "list", "next")
    assert [bytes(e) for e in elements] == [GOOD, odd, GOOD]
    assert decode(members["next"], str) == "p2"
    assert set(members) == {"first", "next", "more"}


def test_sound_array_is_split_without_a_member_after_it():
    """The member after the array is needed only where an element is no JSON."""
    elements, members = split_member_array(b'{"list":[1,"]",{}]}', "list", "next")
    assert [bytes(e) for e in elements] == [b"1", b'"]"', b"{}"] and not members


@pytest.mark.parametrize(
    "wrong",
    [
        b'{"list":[{"a":1},\xff]}',
        b'{"list":[{"a":1},\xff],"other":1}',
        b'{"list":[{"a":1},\xff],"next":1',
        b'{"list":[{"a":1},\xff',
        b'{"next":1,"list":[{"a":1},\xff]}',
        b'{"list":7,"next":1}',
        b'{"other":[\xff],"next":1}',
        b"\xff",
        b"",
    ],
)
def test_array_whose_end_is_not_clear_is_refused(wrong):
    """A document that is cut must not look like a shorter one."""
    with pytest.raises(WigeonspanError) as caught:
        split_member_array(wrong, "list", "next")
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    "part",
    [
        b"\xff,{},",
        b'{"a":[,',
        b',{"a":',
        b',{"a":"',
        b"],",
        (b',{"a":[' * 300 + b"1," * 1000),
        b'{"a":' * 2000 + b",{},",
    ],
)
def test_search_for_elements_does_not_block_the_process(part):
    """The time to find elements in a document of any bytes must be limited."""
    data = b'{"list":[' + part * (4_000_000 // len(part)) + b'],"next":1}'
    started_at = time.perf_counter()
    with pytest.raises(WigeonspanError):
        split_member_array(data, "list", "next")
    assert time.perf_counter() - started_at < 5.0


def test_many_brackets_do_not_block_the_process():
    """The time to split a document that nests without end must be limited."""
    started_at = time.perf_counter()
    with pytest.raises(WigeonspanError):
        split_array(b"[" + b'{"a":' * 800_000)
    assert time.perf_counter() - started_at < 2.0


def test_deeply_nested_message_is_a_bad_request():
    """Its ``RecursionError`` was no error that the readers of messages expect."""
    for data in (DEEP, b'{"known":1,"unknown":' + DEEP + b"}"):
        with pytest.raises(WigeonspanError) as caught:
            decode(data, dict[str, msgspec.Raw] if data[:1] == b"{" else object)
        assert caught.value.kind is ErrorKind.BAD_REQUEST
