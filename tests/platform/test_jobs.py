"""Plain calls and generations against targets that fail."""

import asyncio

import msgspec
import pytest

from tests.platform.jobs import (
    CALL,
    LOAN,
    NET,
    SIGNED,
    STREAM,
    answers,
    hangs,
    model,
    not_run,
    plain,
    reads,
    resets,
    route,
    runs,
    send,
    serve,
    start_gateway,
    status,
    streams,
    world,
)
from wigeonspan.targets import Listing


@pytest.mark.parametrize("kind", [CALL, LOAN])
def test_call_that_did_not_run_goes_to_another_target(kind):
    """A full target is no reason to refuse while another one is free."""
    engines = plain([not_run], [answers(200)])
    for answer in serve(route(kind), engines, usage=None, times=4):
        assert status(answer) == 200


def test_loan_that_may_have_run_is_not_sent_again():
    """A reset after the request was sent proves nothing; it must not run twice, and a
    refusal that says not run would be false."""
    engines = plain([resets], [resets])
    answer = serve(route(LOAN), engines, usage=None)[0]
    assert runs(engines) == 1
    assert status(answer) == 502 and b'"ran":"unknown"' in answer


def test_lookup_is_sent_again_after_a_reset():
    """What may run again is not lost with one target."""
    engines = plain([resets], [answers(200)])
    assert all(
        status(a) == 200 for a in serve(route(CALL), engines, usage=None, times=4)
    )


def test_error_of_a_target_is_passed_on_with_its_signature():
    """When all attempts fail the caller gets the target's own answer."""
    engines = plain([answers(500, b"bad")], [answers(500, b"bad")])
    answer = serve(route(CALL), engines, usage=None)[0]
    assert status(answer) == 500 and b"sig" in answer and answer.endswith(b"bad")
    assert runs(engines) == 2


def test_attempts_are_limited_by_the_route():
    """A route says on how many targets a request may run."""
    engines = plain([resets], [resets], [resets])
    serve(route(CALL, attempts=2), engines, usage=None)
    assert runs(engines) == 2


def test_success_without_a_signature_is_not_passed_on():
    """Bytes of a faulty target are nobody's answer."""
    engines = plain([answers(200, b"x", [])])
    answer = serve(route(LOAN), engines, usage=None)[0]
    assert status(answer) == 502


def test_repeats_stop_with_the_budget():
    """Repeats must not multiply the load of a failing service."""
    engines = plain([resets], [resets])
    serve(route(CALL), engines, usage=None, times=6, budget=4.0)
    assert runs(engines) == 6 + 3


def test_no_target_is_a_refusal_that_did_not_run():
    """A truthful refusal tells when to come back."""
    answer = serve(route(LOAN), [], usage=None)[0]
    assert status(answer) == 503
    assert b"Retry-After" in answer and b'"ran":"no"' in answer


def test_prompt_is_read_by_one_engine_and_answered_by_another():
    """Both phases, with the prompt handed over."""
    engines = model([reads], [streams(3)])
    answer = serve(route(STREAM), engines)[0]
    assert answer.count(b"data: ") == 3 and answer.endswith(b"0\r\n\r\n")
    assert engines[0].seen[0][2]["stage"] == "prefill"
    assert engines[1].seen[0][2]["kv-source"] == f"{NET}.0.1:18080/ab"


def test_stream_goes_on_at_another_engine_without_a_double_event():
    """A resumable stream survives its engine; the caller sees one stream."""
    engines = model([reads], [], [])
    # The engine that comes first breaks off, whichever it is.
    engines[1].script = engines[2].script = [streams(2, breaks=True), streams(5)]
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert b"id: 99" not in answer and answer.endswith(b"0\r\n\r\n")


def test_stream_that_may_not_run_twice_breaks_off():
    """Its answer must not look complete, and no other engine may get it."""
    engines = model([reads], [streams(2, breaks=True)], [streams(2, breaks=True)])
    answer = serve(route(STREAM), engines)[0]
    assert b"id: 2" in answer and not answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


def test_lapsed_prompt_is_read_again():
    """A handle may lapse before it is fetched; the stream has not run then."""
    engines = model([reads], [not_run, streams(3)], [not_run, streams(3)])
    answer = serve(route(STREAM), engines)[0]
    assert status(answer) in (200, 503)
    if status(answer) == 200:
        assert answer.count(b"data: ") == 3
    else:
        assert b'"ran":"no"' in answer


def test_engine_that_refuses_to_read_is_not_the_end():
    """Without a prefill engine a decode engine reads the prompt itself."""
    engines = model([not_run], [streams(3)])
    answer = serve(route(STREAM), engines)[0]
    assert answer.count(b"data: ") == 3
    assert "kv-source" not in engines[1].seen[0][2]


async def reads_late(fields, caller):
    await asyncio.sleep(1.15)
    await caller.answer(200, [], b'{"transfer_handle":"ab"}')


async def reads_soon(fields, caller):
    await asyncio.sleep(0.6)
    await caller.answer(200, [], b'{"transfer_handle":"cd"}')


def test_prompt_is_not_read_again_while_its_engine_finishes_others():
    """Engines that were behind were given up and suspended, and the prompts that were
    read again elsewhere put the others behind as well."""
    engines = model([reads_late, reads_soon], [streams(2)])
    answers = serve(route(STREAM), engines, times=2, together=True)
    assert [a.count(b"data: ") for a in answers] == [2, 2]
    assert all("kv-source" in fields for _, _, fields in engines[1].seen)


def test_engine_that_leaves_while_a_prompt_is_read_gets_nothing():
    """The decode engine was chosen before a read of three seconds and had left when the
    stream was sent to it (hunt on the first site, mix seed 876268253400)."""
    engines = model([], [streams(3)], [streams(3)])

    async def reads_while_others_leave(fields, caller):
        world["board"].update(
            Listing(
                tuple(
                    msgspec.structs.replace(t, leaving=t.target == "d")
                    for t in world["board"].all()
                )
            ),
            2.0,
        )
        await caller.answer(200, [], b'{"transfer_handle":"ab"}')

    engines[0].script = [reads_while_others_leave]
    # Some of the seeds plan for the engine that leaves.
    for seed in range(8):
        answer = serve(route(STREAM), engines, seed=seed)[0]
        assert answer.count(b"data: ") == 3
    assert engines[1].seen == [] and len(engines[2].seen) == 8


def test_caller_that_leaves_frees_its_engine():
    """Engines went on with streams that nobody read."""
    engines = model([reads], [hangs])
    serve(route(STREAM), engines, leave_after_s=0.3)
    assert engines[1].gone == 1


def test_prompt_that_nobody_fetches_is_freed():
    """A prompt that is kept takes memory until its time to live is over."""
    engines = model([reads], [not_run])
    serve(route(STREAM), engines)
    assert any(method == "DELETE" for method, _, _ in engines[0].seen)


@pytest.mark.parametrize("kind", [CALL, LOAN])
@pytest.mark.parametrize("encoding", ["gzip", "br"])
def test_answer_with_a_content_coding_is_not_passed_on(kind, encoding):
    """Callers ask for bodies as they are; another coding is not the target's body."""
    headers = [*SIGNED, ("Content-Encoding", encoding)]
    answer = serve(route(kind), plain([answers(200, b"x", headers)]), usage=None)[0]
    assert status(answer) == 502


def test_request_that_is_open_at_the_end_of_the_process_is_told_whether_it_ran():
    """A planned stop cut the last requests off without an answer."""

    async def run():
        parts, front = start_gateway(route(LOAN), plain([hangs]))
        asking = asyncio.create_task(send(0, None, None))
        await asyncio.sleep(0.2)
        front[-1].stop_accepting()
        await front[-1].end_requests()
        answer = await asking
        for server in front:
            await server.close()
        parts.pool.close()
        return answer

    answer = asyncio.run(run())
    assert status(answer) == 502 and b'"ran":"unknown"' in answer


@pytest.mark.parametrize("kind", [LOAN, STREAM])
def test_request_before_the_list_of_targets_is_refused(kind):
    """Its age was infinite, and the request of a caller that came within a few
    milliseconds of a start was cut off by an unexpected error."""

    async def run():
        parts, servers = start_gateway(route(kind), model([reads], []), listed=False)
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        parts.pool.close()
        return answer

    answer = asyncio.run(run())
    assert status(answer) == 503 and b'"ran":"no"' in answer
