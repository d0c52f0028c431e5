"""Tests of the caller interface with stand-in targets."""

import json

import pytest

from standins._text import answer_text
from standins.engine import EngineSettings
from tests.entryd.harness import EntryTestbed, error_of, run, text_of


def test_streamed_completion_is_complete():
    """Guards against a stream that ends normally without its last token."""

    async def work():
        async with EntryTestbed() as testbed:
            return await testbed.complete(max_tokens=12)

    response = run(work)
    assert response.code == 200
    assert text_of(response) == answer_text("plate 7 is", 12)


@pytest.mark.parametrize("tokens", [1, 5, 2000])
def test_complete_response_has_usage(tokens):
    """Guards against an unstreamed response that waits for a reader forever."""

    async def work():
        engine = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=50_000.0)
        async with EntryTestbed(engine=engine) as testbed:
            return await testbed.complete(max_tokens=tokens, stream=False)

    body = json.loads(run(work).body)
    assert body["choices"][0]["text"] == answer_text("plate 7 is", tokens)
    assert body["usage"]["completion_tokens"] == tokens


def test_plain_calls_run_and_stored_responses_are_returned_again():
    """Guards against running a resent booking twice."""

    async def work():
        async with EntryTestbed() as testbed:
            sheet = await testbed.fetch("/v1/services/dispatch/sheets/a")
            path = "/v1/services/dispatch/bookings"
            refused = await testbed.fetch(path, "stall 4")
            first = await testbed.fetch(path, "stall 4", Idempotency_Key="k1")
            again = await testbed.fetch(path, "stall 4", Idempotency_Key="k1")
            other = await testbed.fetch(path, "stall 5", Idempotency_Key="k1")
            return sheet, refused, first, again, other, testbed.plain[0].executions

    sheet, refused, first, again, other, executions = run(work)
    assert (sheet.code, first.code, again.code) == (200, 201, 201)
    assert error_of(refused)["kind"] == "key_required"
    assert again.body == first.body
    assert again.headers["X-Wigeonspan-Stored"] == "whole"
    assert error_of(other)["kind"] == "key_conflict"
    assert executions == {"bookings stall 4": 1}


def test_directory_names_live_entries():
    """Guards against a directory that lists entries without a lease."""

    async def work():
        async with EntryTestbed() as testbed:
            before = await testbed.fetch("/v1/directory?domain=szeged")
            testbed.sync(version=2, live=())
            return before, await testbed.fetch("/v1/directory")

    before, after = run(work)
    assert [e["host"] for e in json.loads(before.body)["entries"]] == ["entry-1"]
    assert json.loads(after.body) == {"entries": [], "keep_s": 5.0}
