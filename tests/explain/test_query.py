"""Tests of questions as query strings."""

import pytest

from wigeonspan.common import ErrorKind, TenantName, WigeonspanError
from wigeonspan.explain import ExplainQuery, format_query, parse_query
from wigeonspan.placing import PromptPart


def test_question_is_read_as_it_was_written():
    """Guards against a command and an entry that understand different questions."""
    query = ExplainQuery(
        "a.example",
        "/chat/x?y=1&z=2",
        TenantName("hule 930"),
        6000,
        40,
        (PromptPart("sys:1", 5000), PromptPart("own", 1000)),
        20_000,
        1900,
    )
    assert parse_query(format_query(query)) == query
    assert parse_query("host=h&path=/") == ExplainQuery("h", "/")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "host=h",
        "host=h&path=x",
        "host=h&path=/&host=g",
        "host=h&path=/&input_tokens=-1",
        "host=h&path=/&input_tokens=SECRET",
        "host=h&path=/&part=SECRET",
        "host=h&path=/&part=a:SECRET",
        "host=h&path=/&api_key=SECRET",
        "host=h&path=/&SECRET",
        "host=h&path=/" + "&part=a:1" * 400,
    ],
)
def test_wrong_question_is_refused_without_repeating_it(text):
    """Guards against a key in an answer because someone gave it as a field."""
    with pytest.raises(WigeonspanError) as raised:
        parse_query(text)
    assert raised.value.kind is ErrorKind.BAD_REQUEST
    error = raised.value
    while error is not None:
        assert "SECRET" not in str(error)
        error = error.__cause__
