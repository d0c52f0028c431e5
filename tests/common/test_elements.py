"""Splitting of documents in which single elements cannot be decoded."""

import time

import msgspec
import pytest

from wigeonspan.common import (
    ErrorKind,
    WigeonspanError,
    decode,
    split_array,
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
