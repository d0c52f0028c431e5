"""Plain calls and generations against targets that fail, over loopback."""

import asyncio
import os
import random

import msgspec
import pytest
from adapter import PlatformProtocol

from wigeonspan.common import DomainName, HostId, ServiceName, SystemClock
from wigeonspan.fleetconfig import (
    CallKind,
    EngineTraits,
    FleetConfig,
    Route,
    ServiceSpec,
    StoredConfig,
    WeightedService,
)
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._parts import Parts
from wigeonspan.gateway._serve import Server
from wigeonspan.placing import Placer, PromptPart, RetryBudget, Work, WorkKind
from wigeonspan.pool import ConnectionPool
from wigeonspan.serving import RequestServer
from wigeonspan.targets import Listing, Phase, Target, TargetBoard, TargetId
from wigeonspan.trail import Meters

SERVICE = ServiceName("s")
# An address range of its own for each test process.
NET = f"127.{64 + os.getpid() % 128}"
world = {}
SIGNED = [("Response-Signature", "sig")]


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch):
    """Keep a test process that is not scheduled for half a second from taking its own
    engines for silent; connection limits have tests of their own."""
    monkeypatch.setattr("wigeonspan.pool._pool.CONNECT_S", 5.0)


class Engine:
    """Target that answers by its script, one step a request; the last one repeats."""

    def __init__(self, name, phase, *script):
        self.name = name
        self.phase = phase
        self.script = list(script)
        self.seen = []
        self.gone = 0

    async def serve(self, method, target, headers, body, caller):
        fields = {name.lower(): value for name, value in headers}
        self.seen.append((method, target, fields))
        step = self.script[0] if len(self.script) == 1 else self.script.pop(0)
        try:
            await step(fields, caller)
        except asyncio.CancelledError:
            self.gone += 1
            raise


def _echo(fields):
    return ("Request-Id", fields.get("request-id", ""))


def _unexpected(error):
    raise error


def answers(status, body=b"ok", headers=SIGNED):
    async def step(fields, caller):
        await caller.answer(status, [*headers, _echo(fields)], body)

    return step


not_run = answers(503, b"", [("Not-Executed", "1")])
reads = answers(200, b'{"transfer_handle":"ab"}', [])


async def resets(fields, caller):
    caller.break_off()


async def hangs(fields, caller):
    await asyncio.sleep(30)


def streams(count, *, breaks=False):
    async def step(fields, caller):
        await caller.begin(200, [*SIGNED, _echo(fields)])
        for n in range(int(fields.get("last-event-id", 0)) + 1, count + 1):
            await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
            await asyncio.sleep(0.005)
        if breaks:
            await caller.send(b"id: 99\nda")
            caller.break_off()
        else:
            await caller.finish()

    return step


class Nobody:
    """Link and log that go nowhere."""

    def tell(self, event):
        pass

    def note(self, part, event, **fields):
        pass


def start_gateway(route, engines, *, budget=50.0, seed=1, listed=True):
    """Start engines and a gateway; return its parts and all servers, its own last."""
    clock, board, targets = SystemClock(), TargetBoard(), []
    servers = []
    for number, engine in enumerate(engines):
        server = RequestServer(engine.serve, _unexpected)
        address = f"{NET}.0.{number + 1}:18080"
        server.listen(address)
        servers.append(server)
        targets.append(
            Target(
                TargetId(engine.name),
                SERVICE,
                address,
                DomainName("d"),
                8,
                phase=engine.phase,
            )
        )
    if listed:
        board.update(Listing(tuple(targets)), 1.0)
    world["board"] = board
    traits = EngineTraits(8, 100_000, 5.0, 3.0)
    is_model = any(e.phase is not Phase.NONE for e in engines)
    spec = ServiceSpec(SERVICE, "/health", 100, traits if is_model else None)
    whole = FleetConfig(1, (route,), (spec,))
    config = ConfigHolder(lambda document: whole, Nobody())
    config.offer(StoredConfig(1, b""), "test")
    parts = Parts(
        host=HostId("e"),
        clock=clock,
        protocol=PlatformProtocol(),
        config=config,
        board=board,
        placer=Placer(DomainName("d"), random.Random(seed)),
        budget=RetryBudget(0.0, budget, 10.0),
        pool=ConnectionPool(clock),
        link=Nobody(),
        trail=Nobody(),
        meters=Meters(),
    )
    server = Server(parts, random.Random(1))
    server.open()
    front = RequestServer(server.serve, _unexpected)
    front.listen(f"{NET}.1.1:18081")
    servers.append(front)
    return parts, servers


def serve(
    route,
    engines,
    *,
    usage="600,20",
    times=1,
    leave_after_s=None,
    budget=50.0,
    together=False,
    seed=1,
):
    """Send requests through a gateway's server and return their answers."""

    async def run():
        parts, servers = start_gateway(route, engines, budget=budget, seed=seed)
        sends = [send(number, usage, leave_after_s) for number in range(times)]
        if together:
            results = await asyncio.gather(*sends)
        else:
            results = [await one for one in sends]
        await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        parts.pool.close()
        return results

    return asyncio.run(run())


async def send(number, usage, leave_after_s, *, prefix=""):
    reader, writer = await asyncio.open_connection(f"{NET}.1.1", 18081)
    head = f"POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
    head += f"Token-Usage: {usage}\r\n" if usage else ""
    head += f"Prompt-Prefix: {prefix}\r\n" if prefix else ""
    head += "Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n"
    writer.write(head.encode())
    answer = b""
    try:
        async with asyncio.timeout(leave_after_s or 3.0):
            while part := await reader.read(65536):
                answer += part
                if answer.endswith(b"0\r\n\r\n") or b"Content-Length" in answer:
                    break
    except TimeoutError:
        pass
    writer.close()
    return answer


def route(kind, *, attempts=2, resumable=False):
    return Route(
        "r",
        "h",
        "/r/",
        kind,
        (WeightedService(SERVICE, 1.0),),
        timeout_s=2.0,
        objective_s=0.3,
        pause_objective_s=0.2,
        max_attempts=attempts,
        resumable=resumable,
    )


def plain(*scripts):
    return [Engine(f"t{n}", Phase.NONE, *s) for n, s in enumerate(scripts)]


def status(answer):
    return int(answer.split(b" ")[1]) if answer else 0


def runs(engines):
    return sum(len(engine.seen) for engine in engines)


CALL, LOAN, STREAM = CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT, CallKind.STREAM


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


def model(prefill, decode, *more):
    engines = [Engine("p", Phase.PREFILL, *prefill), Engine("d", Phase.DECODE, *decode)]
    return engines + [Engine(f"d{n}", Phase.DECODE, *s) for n, s in enumerate(more)]


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


def slow_stream(pauses_s):
    """Send events with pauses; the last pause is before the end."""

    async def step(fields, caller):
        await caller.begin(200, [*SIGNED, _echo(fields)])
        begin = int(fields.get("last-event-id", 0)) + 1
        for n, pause_s in list(enumerate(pauses_s, 1))[begin - 1 :]:
            await asyncio.sleep(pause_s)
            await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
        await caller.finish()

    return step


def trickle(data, pause_s=0.2):
    """Send one event, and then the same bytes for ever."""

    async def step(fields, caller):
        await caller.begin(200, [*SIGNED, _echo(fields)])
        if not fields.get("last-event-id"):
            await caller.send(b"id: 1\ndata: 1\n\n")
        while not caller.gone:
            await caller.send(data)
            await asyncio.sleep(pause_s)

    return step


TRICKLES = {
    "a byte now and then": b"x",
    "comments": b": ping\n\n",
    "half events": b"id: 2\ndata: 2\n",
    "the same event": b"id: 1\ndata: 1\n\n",
}


@pytest.mark.parametrize("data", TRICKLES.values(), ids=TRICKLES)
@pytest.mark.parametrize("pause_s", [0.0, 0.2])
def test_stalled_stream_that_sends_bytes_goes_on_elsewhere(data, pause_s):
    """Any byte counted as progress, so that such a stream was never resumed."""
    engines = model([reads], [], [])
    for engine in engines[1:]:
        engine.script = [trickle(data, pause_s)]
    engines[1].script = engines[2].script = [trickle(data, pause_s), streams(5)]
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert answer.endswith(b"0\r\n\r\n")
    # What the stalled engine sent after its last event is no part of the answer.
    assert b"ping" not in answer


def test_comments_of_a_whole_stream_are_passed_on():
    """The caller gets the target's body as it is."""

    async def step(fields, caller):
        await caller.begin(200, [*SIGNED, _echo(fields)])
        await caller.send(b": one\n\nid: 1\ndata: 1\n\n: two\n\n")
        await caller.finish()

    answer = serve(route(STREAM), model([reads], [step]))[0]
    assert answer.count(b"one") == answer.count(b"two") == 1
    assert answer.index(b"one") < answer.index(b"data: 1") < answer.index(b"two")


@pytest.mark.parametrize("data", TRICKLES.values(), ids=TRICKLES)
def test_stalled_stream_that_may_not_run_twice_ends(data):
    """It ends with the caller's time, and not as a complete answer."""
    engines = model([reads], [trickle(data)], [trickle(data)])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


def test_slow_but_sound_stream_is_not_cut():
    """A stream at a tenth of its usual pace is served by its engine to the end."""
    engines = model([reads], [slow_stream([0.4] * 4)], [slow_stream([0.4] * 4)])
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert answer.count(b"data: ") == 4 and answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


@pytest.mark.parametrize("size", range(1, 15))
def test_stream_without_length_that_ends_in_an_event_is_not_complete(size):
    """The end of the connection in the middle of an event passed for the end."""
    events = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"

    async def ends_early(fields, caller):
        stream = caller._connection.stream
        name, value = _echo(fields)
        head = f"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n{name}: {value}\r\n\r\n"
        await stream.write(head.encode() + events[: 15 + size])
        stream.close()

    engines = model([reads], [ends_early])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")


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


def test_prompt_leaves_an_engine_that_another_request_finds_silent():
    """Prompts waited for a dark engine until their callers had left."""

    async def run():
        engines = [
            Engine("p", Phase.PREFILL, hangs),
            Engine("p2", Phase.PREFILL, reads),
            Engine("d", Phase.DECODE, streams(3)),
        ]
        parts, servers = start_gateway(route(STREAM), engines)
        # All prompts go to the engine that hangs.
        parts.placer.prefixes.note(TargetId("p"), (PromptPart("s", 9000),), 9000)
        began = parts.clock.now()
        asking = asyncio.create_task(send(0, "9600,20", None, prefix="s:9000,o:600"))
        await asyncio.sleep(0.2)
        assert len(engines[0].seen) == 1
        parts.placer.health.suspend(TargetId("p"), parts.clock.now())
        answer = await asking
        took_s = parts.clock.now() - began
        for server in servers:
            await server.close()
        parts.pool.close()
        return answer, took_s

    answer, took_s = asyncio.run(run())
    assert answer.count(b"data: ") == 3
    assert took_s < 0.6


@pytest.mark.parametrize("finishes", [True, False])
def test_prompt_waits_for_an_engine_that_finishes_others(finishes):
    """Reading it again elsewhere would add to the work that all are behind with."""

    async def run():
        engines = [
            Engine("p", Phase.PREFILL, hangs),
            Engine("p2", Phase.PREFILL, hangs),
            Engine("d", Phase.DECODE, streams(3)),
        ]
        parts, servers = start_gateway(route(STREAM), engines)
        asking = asyncio.create_task(send(0, "600,20", None))
        for n in range(16):
            await asyncio.sleep(0.1)
            if finishes:
                now = parts.clock.now()
                for name in ("p", "p2"):
                    work = Work(
                        f"w{n}{name}",
                        HostId("o"),
                        TargetId(name),
                        WorkKind.PREFILL,
                        20.0,
                        0,
                    )
                    parts.placer.ledger.begin(work, now - 0.02)
                    parts.placer.ledger.end(work.work, now, completed=True)
        seen = len(engines[0].seen) + len(engines[1].seen)
        asking.cancel()
        for server in servers:
            await server.close()
        parts.pool.close()
        return seen

    assert asyncio.run(run()) == (1 if finishes else 2)


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


def wait_behind(name, parts, work_ms):
    """Make an engine look busy with a prompt that goes first."""
    work = Work(f"b{name}", HostId("o"), TargetId(name), WorkKind.PREFILL, work_ms, 0)
    parts.placer.ledger.begin(work, parts.clock.now())


def finish_some(parts, number):
    """Let both engines finish a small prompt, as engines that are behind do."""
    now = parts.clock.now()
    for name in ("p", "p2"):
        work = Work(
            f"s{number}{name}", HostId("o"), TargetId(name), WorkKind.PREFILL, 20.0, 0
        )
        parts.placer.ledger.begin(work, now - 0.02)
        parts.placer.ledger.end(work.work, now, completed=True)


def ask_overtaken(engines):
    """Send a prompt that is overtaken at its engine; return the answer and its time."""

    async def run():
        parts, servers = start_gateway(route(STREAM), engines)
        parts.placer.prefixes.note(TargetId("p"), (PromptPart("s", 9000),), 9000)
        began = parts.clock.now()
        asking = asyncio.create_task(send(0, "9600,20", None, prefix="s:9000,o:600"))
        ended = []
        asking.add_done_callback(lambda _: ended.append(parts.clock.now()))
        await asyncio.sleep(0.15)
        wait_behind("p", parts, 60_000.0)
        wait_behind("p2", parts, 60_000.0)
        number = 0
        while not asking.done():
            number += 1
            finish_some(parts, number)
            await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        parts.pool.close()
        return asking.result(), ended[0] - began

    return asyncio.run(run())


def test_overtaken_prompt_is_refused_before_its_caller_leaves():
    """In a burst, late prompts were overtaken until their callers left; now the caller
    hears that nothing has run, and when to come back."""
    engines = [
        Engine("p", Phase.PREFILL, hangs),
        Engine("p2", Phase.PREFILL, hangs),
        Engine("d", Phase.DECODE, streams(3)),
    ]
    answer, took_s = ask_overtaken(engines)
    assert status(answer) == 503 and b'"ran":"no"' in answer
    assert b"Retry-After" in answer
    assert took_s < 1.9
