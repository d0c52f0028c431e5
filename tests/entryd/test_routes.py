"""Tests of split prompts, resends, limits and metrics."""

import asyncio
import json

import pytest
from msgspec import structs

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from standins.plain import PlainFaults
from tests.entryd.harness import FAST, SETTINGS, World, error_of, run, text_of
from wigeonspan.catalog import EnginePhase, Role, Tenant

PROMPT = " ".join(f"word{i}" for i in range(400))


async def _split_world(world):
    """Make the first engine prefill and the second decode."""
    for engine, role in zip(world.engines, (Role.PREFILL, Role.DECODE), strict=True):
        engine.role = role
        engine.settings = structs.replace(engine.settings, role=role)
    world.sync(version=2)


@pytest.mark.parametrize("fault", ["none", "refuses", "dead"])
def test_prompt_runs_on_a_prefill_engine(fault):
    """A failing prefill engine failed requests that the decode engine can run."""

    async def work():
        async with World(engines=2) as world:
            await _split_world(world)
            prefill = world.engines[0]
            if fault == "refuses":
                prefill.set_faults(EngineFaults(refuse_status=503))
            elif fault == "dead":
                prefill.dead_until = prefill.now + 60
            response = await world.complete(PROMPT, 6)
            return response, prefill.completions, world.engines[1].handles

    response, prefills, handles = run(work)
    assert text_of(response) == answer_text(PROMPT, 6)
    used = fault == "none"
    assert (prefills, list(handles.values())) == (int(used), [400] * used)


def test_same_request_id_on_another_entry_gives_the_whole_answer():
    """A caller whose entry was killed received only the rest of its answer."""

    async def work():
        slow = EngineSettings(token_interval_s=0.01)
        async with World(engine=slow) as first, World(engine=slow) as second:
            cut = asyncio.create_task(
                first.complete("a b", 30, timeout_s=0.1, X_Request_Id="r1")
            )
            await cut
            second.daemon.entry._admission.update_slots("note", 3)
            again = await second.complete("a b", 30, X_Request_Id="r1")
            same = []
            for _ in range(2):
                resends = [
                    second.complete("a b", 5, X_Request_Id="r1") for _ in range(3)
                ]
                same += await asyncio.gather(*resends)
            # Slots that the resends had not given back would hold this one up.
            later = await second.complete("a b", 5)
            return again, [*same, later]

    again, same = run(work)
    assert text_of(again) == answer_text("a b", 30)
    assert again.headers["X-Request-Id"] == "r1"
    assert [text_of(r) for r in same] == [answer_text("a b", 5)] * 7


def test_tenants_share_limits_of_unknown_names():
    """A caller evaded its limit with a new tenant name for each request."""

    async def work():
        async with World() as world:
            limits = Tenant("default", rate_per_s=0.001, burst=2.0)
            world.sync([*world.objects(), limits], version=2)
            return [await world.complete(X_Tenant=f"t{i}") for i in range(4)]

    responses = run(work)
    assert [r.code for r in responses] == [200, 200, 429, 429]
    error = error_of(responses[-1])
    assert (error["kind"], error["ran"]) == ("rate_limited", "no")
    assert error["retry_after_s"] > 0 and int(responses[-1].headers["Retry-After"]) > 0


def test_queued_request_is_refused_when_its_deadline_cannot_be_met():
    """A request was held in the queue until its deadline."""

    async def work():
        engine = EngineSettings(token_interval_s=0.02)
        async with World(engine=engine) as world:
            world.daemon.entry._admission.update_slots("note", 1)
            long = asyncio.create_task(world.complete(max_tokens=60))
            while not world.engines[0].batch.running:
                await asyncio.sleep(0.01)
            short = await world.complete(max_tokens=8, X_Deadline_Ms="400")
            running = not long.done()
            await long
            return short, running, world.engines[0].completions

    short, running, completions = run(work)
    assert running and completions == 1
    error = error_of(short)
    assert (error["kind"], error["ran"]) == ("deadline_too_short", "no")
    assert error["retry_after_s"] > 0


def test_waiting_caller_that_goes_away_leaves_the_queue():
    """A request whose caller had gone took a slot."""

    async def work():
        async with World(engine=EngineSettings(token_interval_s=0.02)) as world:
            world.daemon.entry._admission.update_slots("note", 1)
            first = asyncio.create_task(world.complete(max_tokens=40))
            while not world.engines[0].batch.running:
                await asyncio.sleep(0.01)
            await world.complete(max_tokens=8, timeout_s=0.2)
            while world.daemon.entry.in_flight > 1:
                await asyncio.sleep(0.01)
            waiting = len(world.daemon.entry._admission._waiting)
            await first
            last = await world.complete(max_tokens=8)
            return waiting, last, world.engines[0].completions

    waiting, last, completions = run(work)
    assert waiting == 0
    assert text_of(last) == answer_text("plate 7 is", 8)
    assert completions == 2


def test_timings_are_reported_per_tenant_and_class():
    """Histograms mixed tenants and classes."""

    async def work():
        async with World() as world:
            world.sync([*world.objects(), Tenant("archive")], version=2)
            await world.complete(
                max_tokens=40, X_Tenant="archive", X_Priority_Class="quote"
            )
            await world.complete(max_tokens=2)
            return world.metrics.timings, world.daemon.entry.observe()

    timings, observed = run(work)
    assert timings == {
        "ttft.archive.quote": 1,
        "time_between_tokens.archive.quote": 2,
        "request.archive.quote": 1,
        "ttft.default.desk": 1,
        "request.default.desk": 1,
    }
    demand = {(d.service, d.priority.value): d for d in observed.demand}
    assert demand["note", "quote"].output_tokens == 40
    assert demand["note", "desk"].finished == 1
    assert set(observed.tenant_rates) == {"archive", "default"}


def test_router_sees_the_first_token_when_it_comes():
    """Samples counted the whole answer as prefill, and rates were learned wrongly."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01, prefill_tokens_per_s=10_000.0)
        async with World(engine=engine) as world:
            await world.complete(PROMPT, 40)
            return world.daemon.entry.observe().engines

    (sample,) = run(work)
    assert sample.decode_tokens >= 39
    assert sample.decode_s > sample.prefill_s > 0


def test_request_keeps_the_service_of_its_arrival():
    """A request was resumed on another model version than it had started on."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01)
        async with World(engines=2, engine=engine) as world:
            stream = asyncio.create_task(world.complete(max_tokens=30))
            while not any(e.batch.running for e in world.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            busy = 0 if world.engines[0].batch.running else 1
            objects = [
                structs.replace(o, model_version="2")
                if getattr(o, "name", "") in ("note", f"e{1 - busy}")
                else o
                for o in world.objects()
            ]
            world.sync(objects, version=2)
            world.engines[busy].dead_until = world.engines[busy].now + 60
            world.engines[busy].crash()
            response = await stream
            return response, world.engines[1 - busy].completions

    response, others = run(work)
    last = [x for x in response.body.decode().splitlines() if x.startswith("data: ")]
    assert json.loads(last[-1][6:])["error"]["kind"] == "target_failed"
    assert others == 0


def test_engine_that_closes_during_the_prefill_gets_no_work():
    """A decode engine received work after the entry had confirmed that it closes."""

    async def work():
        slow = EngineSettings(prefill_tokens_per_s=1000.0)
        async with World(engines=2, engine=slow) as world:
            await _split_world(world)
            answer = asyncio.create_task(world.complete(PROMPT, 6))
            while not world.engines[0].batch.running:
                await asyncio.sleep(0.01)
            objects = [
                structs.replace(o, phase=EnginePhase.CLOSING)
                if getattr(o, "name", "") == "e1"
                else o
                for o in world.objects()
            ]
            world.sync(objects, version=3)
            return await answer, world.engines[1].completions

    response, completions = run(work)
    assert completions == 0
    # The other engine runs the request alone.
    assert text_of(response) == answer_text(PROMPT, 6)


def test_plain_target_that_left_gets_no_retry():
    """A call that began earlier was sent to a target that had been removed."""

    async def work():
        async with World(plain=2) as world:
            for plain in world.plain:
                plain.set_faults(PlainFaults(slow_s=0.3, close_before=False))
            path = "/v1/services/dispatch/sheets/a"
            answer = asyncio.create_task(world.fetch(path, X_Deadline_Ms="1500"))
            while not any(p.arrivals for p in world.plain):
                await asyncio.sleep(0.01)
            first = 0 if world.plain[0].arrivals else 1
            service = next(o for o in world.objects() if o.name == "dispatch")
            kept = (service.targets[first],)
            world.sync([structs.replace(service, targets=kept)], version=2)
            await world.plain[first].stop()
            await answer
            return world.plain[1 - first].arrivals

    assert run(work) == 0


def test_fault_inside_the_relay_ends_the_stream_with_an_error_event():
    """A stream that failed inside the entry ended without a word."""

    async def work():
        async with World(engine=EngineSettings(token_interval_s=0.02)) as world:
            answer = asyncio.create_task(world.complete(max_tokens=30))
            while not world.engines[0].batch.running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            context = world.daemon.entry._context
            context.router.choose = None
            world.engines[0].crash()
            return await answer

    events = [x for x in run(work).body.decode().split("\n\n") if x]
    assert events[-1].startswith("event: error")
    assert json.loads(events[-1].split("data: ")[1])["error"]["kind"] == "internal"


def test_streams_are_bounded():
    """Streams above the limit of the target client waited without an answer."""

    async def work():
        settings = structs.replace(SETTINGS, relay=structs.replace(FAST, max_streams=2))
        engine = EngineSettings(token_interval_s=0.02)
        async with World(settings=settings, engine=engine) as world:
            return await asyncio.gather(
                *(world.complete(max_tokens=20) for _ in range(3))
            )

    codes = sorted(r.code for r in run(work))
    assert codes == [200, 200, 503]


@pytest.mark.parametrize(("priority", "moved"), [("batch", True), ("quote", False)])
def test_only_batch_streams_leave_a_closing_engine(priority, moved):
    """A planned change cut a batch stream, or moved an urgent one."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01)
        async with World(engines=2, engine=engine) as world:
            stream = asyncio.create_task(
                world.complete(max_tokens=60, X_Priority_Class=priority)
            )
            while not any(e.batch.running for e in world.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            busy = 0 if world.engines[0].batch.running else 1
            objects = [
                structs.replace(o, phase=EnginePhase.CLOSING)
                if getattr(o, "name", "") == f"e{busy}"
                else o
                for o in world.objects()
            ]
            world.sync(objects, version=2)
            response = await stream
            faults = [n for n in world.metrics.counts if n.startswith("attempt")]
            return response, world.engines[1 - busy].completions, faults

    response, others, faults = run(work)
    assert text_of(response) == answer_text("plate 7 is", 60)
    assert (others, faults) == (int(moved), [])
