"""Tests of the simulated replica; the soak test relies on the faults that it plays."""

import asyncio
import random
import time

import pytest
from standin import (
    EngineSpeed,
    InjectedFaults,
    Journal,
    MemoryLimit,
    Moment,
    Replica,
)

from tests.platform.process_harness import NET
from wigeonspan.targets import Phase

ADDRESS = f"{NET}.4.1:17166"
SILENCE_S = 0.6
EVENTS = 4


def with_replica(test, phase=Phase.DECODE, **faults):
    async def run():
        journal = Journal([], [], {}, [], [], [], set())
        replica = Replica(
            *("i-1", "models", ADDRESS, ADDRESS, "z1", journal, random.Random(1)),
            phase=phase,
        )
        replica.injected_faults = InjectedFaults(**faults)
        await replica.start()
        try:
            return await test(replica, journal)
        finally:
            if replica.running:
                replica.crash()
            await asyncio.sleep(0.01)

    return asyncio.run(run())


async def send(request, *fields, prompt="a:100,b:100", events=EVENTS):
    """Send a request; return the bytes of the answer and the longest wait for them."""
    host, _, port = ADDRESS.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = "".join(f"{field}\r\n" for field in fields)
    head += f"Token-Usage: 200,{events}\r\nPrompt-Prefix: {prompt}\r\n"
    head += f"Request-Id: {request}\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n"
    writer.write(f"POST /x HTTP/1.1\r\n{head}\r\n".encode())
    answer, longest_s, at = b"", 0.0, time.monotonic()
    try:
        async with asyncio.timeout(3.0):
            while not answer.endswith(b"\r\n0\r\n\r\n") and b"\r\n\r\n{" not in answer:
                data = await reader.read(65536)
                answer += data
                longest_s, at = max(longest_s, time.monotonic() - at), time.monotonic()
                if not data:
                    break
    except (TimeoutError, ConnectionError):
        # The test looks at what has come.
        pass
    writer.close()
    return answer, longest_s


@pytest.mark.parametrize(
    ("moment", "phase", "head_is_out"),
    [
        (Moment.ANY, Phase.DECODE, False),
        (Moment.PREFILL, Phase.PREFILL, False),
        (Moment.FIRST_EVENT, Phase.DECODE, True),
        (Moment.LATER_EVENT, Phase.DECODE, True),
    ],
)
def test_silent_replica_sends_nothing_and_goes_on(moment, phase, head_is_out):
    """A silence that cut or lost an answer would be a fault of the replica."""

    async def test(replica, journal):
        replica.fall_silent(moment, SILENCE_S)
        fields = ["Stage: prefill"] if phase is Phase.PREFILL else []
        first = asyncio.create_task(send("r1", *fields))
        await asyncio.sleep(SILENCE_S / 2)
        second = asyncio.create_task(send("r2", *fields))
        return await first, await second, journal

    (answer, longest_s), (later, _), journal = with_replica(test, phase)
    for text in (answer, later):
        assert text.startswith(b"HTTP/1.1 200")
        assert phase is Phase.PREFILL or text.count(b"data: r") == EVENTS
    assert SILENCE_S - 0.1 < longest_s < SILENCE_S + 0.4
    assert len(journal.silences) == 1
    begins = journal.silences[0].began_at
    assert (begins > journal.arrivals[0].arrived_at) is (moment is not Moment.ANY)
    # The second request came during the silence and waited until its end.
    assert journal.arrivals[1].arrived_at < journal.silences[0].ended_at - 0.1
    assert journal.arrivals[1].ended >= journal.silences[0].ended_at


def test_plain_call_is_answered_after_a_silence():
    """A call that was refused after a silence would seem not to have run."""

    async def test(replica, journal):
        replica.fall_silent(Moment.CALL, SILENCE_S)
        host, _, port = ADDRESS.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /x HTTP/1.1\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n\r\n")
        began = time.monotonic()
        answer = await reader.readuntil(b"r1 i-1#")
        writer.close()
        return answer, time.monotonic() - began

    answer, took_s = with_replica(test, Phase.NONE)
    assert answer.startswith(b"HTTP/1.1 200")
    assert took_s > SILENCE_S


@pytest.mark.parametrize("seed", range(4))
def test_crashing_part_breaks_all_streams_before_its_first_event(seed):
    """A crash that spared the sound streams, or came with prefills, would be milder."""

    async def test(replica, journal):
        replica._rng.seed(seed)
        journal.crashing_parts.add("m")
        born = replica.entry["born"]
        prompt = "a:50,m:50,b:100"
        read = await send("r1", "Stage: prefill", prompt=prompt)
        assert read[0].startswith(b"HTTP/1.1 200")
        sound = asyncio.create_task(send("r2", prompt="a:50,n:50,b:100", events=40))
        await asyncio.sleep(0.1)
        crashed, _ = await send("r3", prompt=prompt)
        broken, _ = await sound
        assert not replica.running
        await replica.start()
        assert replica.entry["born"] > born
        again, _ = await send("r4", prompt="a:50,n:50,b:100")
        return crashed, broken, again, journal

    crashed, broken, again, journal = with_replica(test)
    assert b"data: " not in crashed
    assert 0 < broken.count(b"data: r2") < 40
    assert again.count(b"data: r4") == EVENTS
    assert [(each.request, each.parts) for each in journal.prompt_crashes] == [
        ("r3", {"m"})
    ]


def test_only_resumed_streams_are_answered_with_errors():
    """An error before the first event is another case, played by ``error_rate``."""

    async def test(replica, journal):
        new = await send("r1")
        resumed = [await send(f"r{n}", "Last-Event-Id: 2") for n in range(2, 12)]
        return new[0], [answer for answer, _ in resumed]

    new, resumed = with_replica(test, resume_error_rate=1.0)
    assert new.count(b"data: r1") == EVENTS
    statuses = {answer[9:12] for answer in resumed}
    assert statuses <= {b"302", b"400", b"404", b"409", b"500"}
    assert len(statuses) > 2


def test_refusal_comes_a_second_time_with_and_without_its_id():
    """Only copies without an id can be taken for the answer to the next request."""

    # The connections stay open after refusals, so all that comes in 3 s is read.
    async def test(replica, journal):
        sends = (send(f"r{n}") for n in range(6))
        return [answer for answer, _ in await asyncio.gather(*sends)]

    answers = with_replica(test, refusal_rate=1.0, refusal_repeat_rate=1.0)
    assert all(answer.count(b"HTTP/1.1 503") == 2 for answer in answers)
    with_id = sum(b"Request-Id" in answer for answer in answers)
    assert 0 < with_id < len(answers)


@pytest.mark.parametrize(
    ("phase", "speed", "slows"),
    [
        (Phase.PREFILL, EngineSpeed(prefill=100.0), True),
        (Phase.PREFILL, EngineSpeed(decode=100.0), False),
        (Phase.DECODE, EngineSpeed(decode=4.0), True),
        (Phase.DECODE, EngineSpeed(prefill=4.0), False),
    ],
)
def test_prefill_and_decode_have_speeds_of_their_own(phase, speed, slows):
    """With one factor for both, an entry could not tell which phase is slow."""

    async def test(replica, journal):
        replica.speed = speed
        fields = ["Stage: prefill"] if phase is Phase.PREFILL else []
        began = time.monotonic()
        await send("r1", *fields)
        return time.monotonic() - began

    assert (with_replica(test, phase) > 0.35) is slows


def test_brief_slowdown_ends():
    """An engine that stayed slow would be another fault than one slow for a moment."""

    async def test(replica, journal):
        replica.brief_slowdown = 6.0
        slow = await send("r1")
        replica.brief_slowdown = 1.0
        return slow, await send("r2")

    (slow, slow_wait_s), (usual, usual_wait_s) = with_replica(test)
    assert slow.count(b"data:") == usual.count(b"data:") == EVENTS
    assert slow_wait_s > 0.2 > usual_wait_s


def send_four(*, tokens, crashes):
    """Send four streams of 208 tokens to an engine; return answers and overflows.

    Each has 40 events at most, and they begin one after the other.
    """

    async def test(replica, journal):
        replica._memory_limit = MemoryLimit(tokens, crashes, handle_ttl_s=5.0)
        replica._reset("decode")
        sends = []
        for number in range(4):
            sends.append(asyncio.create_task(send(f"r{number}", events=20)))
            await asyncio.sleep(0.02)
        answers = [answer for answer, _ in await asyncio.gather(*sends)]
        return answers, journal.overflows, replica.running

    return with_replica(test)


def test_engine_with_room_neither_waits_nor_preempts():
    """Overflows of sound engines would be taken for faults of the entries."""
    answers, overflows, running = send_four(tokens=4 * 228, crashes=True)
    assert [answer.count(b"data:") for answer in answers] == [20] * 4
    assert (overflows, running) == ([], True)


def test_engine_over_its_memory_crashes_once():
    """A run would show no violation if the engine went on with too many tokens."""
    answers, overflows, running = send_four(tokens=3 * 228, crashes=True)
    assert not any(answer.endswith(b"0\r\n\r\n") for answer in answers)
    assert [overflow.crashed for overflow in overflows] == [True]
    assert overflows[0].held > overflows[0].limit == 3 * 228
    assert not running


def test_engine_over_its_memory_preempts_and_completes():
    """A preempted stream that was lost or repeated would be a fault of the replica."""
    answers, overflows, running = send_four(tokens=4 * 215, crashes=False)
    for answer in answers:
        assert [answer.count(f"id: {n}\n".encode()) for n in range(1, 21)] == [1] * 20
    assert overflows and not any(overflow.crashed for overflow in overflows)
    assert running


def test_stored_prompt_takes_memory_until_its_time_is_over():
    """Stored prompts would have no limit, and prefill engines never lack room."""

    async def test(replica, journal):
        replica._memory_limit = MemoryLimit(300, False, handle_ttl_s=0.3)
        replica._reset("prefill")
        await send("r1", "Stage: prefill")
        kept = len(journal.handles)
        _, wait_s = await send("r2", "Stage: prefill")
        return kept, list(journal.handles.values()), wait_s

    kept, left, wait_s = with_replica(test, Phase.PREFILL)
    assert (kept, left) == (1, ["r2"])
    assert wait_s > 0.25
