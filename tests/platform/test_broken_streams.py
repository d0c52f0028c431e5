"""Tests of the answers of other engines to streams that have broken off."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    SIGNED,
    STREAM,
    answers,
    echo,
    model_engines,
    prefills,
    route,
    serve,
    status,
    streams,
)
from tests.platform.test_silences import SILENCE_S
from tests.platform.test_stalls import slow_stream

EVENTS = 20
"""Events of a complete stream: the output tokens of the harness's prompt."""
BROKEN_AFTER = 4

breaks_off = streams(BROKEN_AFTER, breaks=True)
continues = streams(EVENTS)
EVENT_STREAM = ("Content-Type", "text/event-stream")
JSON = ("Content-Type", "application/json")


def sends(body, *headers):
    """Send a head of a stream and the same body whatever the caller has."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, *headers, echo(fields)])
        if body:
            await caller.send(body)
        await caller.finish()

    return step


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


# Answers to a resumed send that do not continue the stream.
WRONG_ANSWERS = {
    "400": answers(400, b"error: no such event"),
    "404": answers(404, b"error: unknown prompt"),
    "404 unsigned": answers(404, b"error: unknown prompt", []),
    "409": answers(409, b"error: conflict\n\n"),
    "302": answers(302, b"error: moved", [*SIGNED, ("Location", "/r/y")]),
    "204": answers(204, b""),
    "500": answers(500, b"error: failed"),
    "429 not run": answers(429, b"error: busy", [("Not-Executed", "1")]),
    "JSON": answers(200, b'{"error": 1}', [*SIGNED, JSON]),
    "JSON with events": answers(200, b"data: error\n\n", [*SIGNED, JSON]),
    "text in a stream": sends(b"error: busy"),
    "comment in a stream": sends(b"error: busy\n\n"),
    "event without an id": sends(b"data: error\n\n"),
    "empty stream": sends(b""),
    "empty body": answers(200, b""),
    "no new event": sends(events(1, BROKEN_AFTER)),
    "gap": sends(events(BROKEN_AFTER + 3, EVENTS)),
}


def decode_engines(count, steps):
    """Return engines that decode and answer by one script, whichever is chosen."""
    engines = model_engines([prefills], [], *([] for _ in range(count - 1)))
    remaining = list(steps)

    async def answer(fields, caller):
        step = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        await step(fields, caller)

    for engine in engines[1:]:
        engine.script = [answer]
    return engines


def serve_stream(steps, *, attempts=3, seed=1):
    engines = decode_engines(3, steps)
    resumable = route(STREAM, attempts=attempts, resumable=True)
    return serve(resumable, engines, seed=seed)[0]


def event_counts(answer):
    return [answer.count(b"id: %d\n" % n) for n in range(1, EVENTS + 1)]


def is_complete(answer):
    return answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("wrong", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS)
def test_answer_that_does_not_continue_a_stream_is_not_passed_on(wrong):
    """The text of an error stood in the caller's stream, which ended as complete."""
    answer = serve_stream([breaks_off, wrong])
    assert event_counts(answer) == [1] * BROKEN_AFTER + [0] * (EVENTS - BROKEN_AFTER)
    assert b"error" not in answer and not is_complete(answer)


@pytest.mark.parametrize("wrong", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS)
def test_stream_goes_on_at_the_engine_after_a_wrong_answer(wrong):
    """A stream that could go on ended with the wrong answer of another engine."""
    answer = serve_stream([breaks_off, wrong, continues])
    assert event_counts(answer) == [1] * EVENTS
    assert b"error" not in answer and is_complete(answer)


def test_stream_is_complete_when_only_its_end_was_missing():
    """A stream that broke off after its last event has no event left to resume with."""
    answer = serve_stream([streams(EVENTS, breaks=True), sends(b"")])
    assert event_counts(answer) == [1] * EVENTS and is_complete(answer)


def test_resumed_stream_that_starts_again_repeats_no_event():
    """An engine may send a stream from its start; the caller must not get it twice."""
    answer = serve_stream([breaks_off, sends(events(1, EVENTS))])
    assert event_counts(answer) == [1] * EVENTS and is_complete(answer)


def test_last_event_without_an_id_is_passed_on():
    """Some streams end with an event that has no id, after a resume as well."""
    last = b"data: [DONE]\n\n"
    answer = serve_stream([breaks_off, sends(events(5, EVENTS) + last)])
    assert event_counts(answer) == [1] * EVENTS
    assert answer.count(last) == 1 and is_complete(answer)


@pytest.mark.parametrize("code", [400, 404, 409, 302])
def test_first_answer_of_an_engine_is_passed_on_whole(code):
    """Before any event, an error is an answer to the caller like any other."""
    answer = serve_stream([answers(code, b"whole")])
    assert status(answer) == code and answer.endswith(b"5\r\nwhole\r\n0\r\n\r\n")


async def silent_head(fields, caller):
    """Begin a stream after a silence, with the head as well."""
    await asyncio.sleep(SILENCE_S)
    await continues(fields, caller)


SILENT = {
    "without a head": silent_head,
    "before an event": slow_stream([SILENCE_S] + [0.005] * (EVENTS - 1)),
    "after an event": slow_stream([0.005, SILENCE_S] + [0.005] * (EVENTS - 2)),
}
REPLACING = ["400", "404", "409", "302", "204", "JSON", "empty stream"]


@pytest.mark.parametrize("silent", SILENT.values(), ids=SILENT)
@pytest.mark.parametrize("name", REPLACING)
def test_wrong_answer_does_not_replace_a_silent_run(silent, name):
    """The error of a second engine ended the stream of one that was only silent."""
    answer = serve_stream([silent, WRONG_ANSWERS[name]])
    assert status(answer) == 200 and event_counts(answer) == [1] * EVENTS
    assert b"error" not in answer and is_complete(answer)


def test_resumed_stream_has_the_media_type_of_the_first_one():
    """The parameters and the case of a media type do not make it another one."""

    async def cut(fields, caller):
        await caller.send_head(200, [*SIGNED, EVENT_STREAM, echo(fields)])
        await caller.send(events(1, BROKEN_AFTER))
        caller.abort()

    other = ("Content-Type", "Text/Event-Stream; charset=utf-8")
    answer = serve_stream([cut, sends(events(1, EVENTS), other)])
    assert event_counts(answer) == [1] * EVENTS and is_complete(answer)


def without_ids(pauses_s, *, breaks=False):
    """Send events without ids, each after its pause in seconds."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        for number, pause_s in enumerate(pauses_s, 1):
            await asyncio.sleep(pause_s)
            await caller.send(b"data: %d\n\n" % number)
        if breaks:
            caller.abort()
        else:
            await caller.finish()

    return step


def test_stream_without_ids_is_not_sent_again_from_its_start():
    """A caller got the events of two runs one after the other.

    No engine can go on with a stream whose events have no ids.
    """
    cut = without_ids([0.005] * 3, breaks=True)
    answer = serve_stream([cut, without_ids([0.005] * 6)])
    assert [answer.count(b"data: %d\n" % n) for n in range(1, 7)] == [1] * 3 + [0] * 3
    assert not is_complete(answer)


def test_silent_stream_without_ids_is_not_sent_again_from_its_start():
    """A caller got the events of a second engine while the first was only silent."""
    silent = without_ids([0.005, SILENCE_S, 0.005])
    answer = serve_stream([silent, without_ids([0.005] * 6)])
    assert [answer.count(b"data: %d\n" % n) for n in range(1, 7)] == [1] * 3 + [0] * 3
    assert is_complete(answer)
