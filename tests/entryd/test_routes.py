"""Tests of split prefill and decode, resent requests, limits, routing and metrics."""

import asyncio
import json

import pytest
from msgspec import structs

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from standins.plain import PlainFaults
from tests.entryd.harness import (
    FAST_RELAY,
    SETTINGS,
    EntryTestbed,
    error_of,
    run,
    text_of,
)
from wigeonspan.catalog import EnginePhase, Role, Tenant

PROMPT = " ".join(f"word{i}" for i in range(400))


async def _split_roles(testbed):
    """Make the first engine a prefill engine and the second one a decode engine."""
    for engine, role in zip(testbed.engines, (Role.PREFILL, Role.DECODE), strict=True):
        engine.role = role
        engine.settings = structs.replace(engine.settings, role=role)
    testbed.sync(version=2)


@pytest.mark.parametrize("fault", ["none", "refuses", "dead"])
def test_prompt_runs_on_a_prefill_engine(fault):
    """Guards against requests that fail with their prefill engine.

    The decode engine can run them alone.
    """

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            await _split_roles(testbed)
            prefill = testbed.engines[0]
            if fault == "refuses":
                prefill.set_faults(EngineFaults(refuse_status=503))
            elif fault == "dead":
                prefill.dead_until = prefill.now + 60
            response = await testbed.complete(PROMPT, 6)
            return response, prefill.completions, testbed.engines[1].handles

    response, prefills, handles = run(work)
    assert text_of(response) == answer_text(PROMPT, 6)
    used = fault == "none"
    assert (prefills, list(handles.values())) == (int(used), [400] * used)


def test_same_request_id_on_another_entry_gives_the_complete_response():
    """Guards against a partial response after a caller changes to another entry."""

    async def work():
        slow = EngineSettings(token_interval_s=0.01)
        async with (
            EntryTestbed(engine=slow) as first,
            EntryTestbed(engine=slow) as second,
        ):
            disconnected = asyncio.create_task(
                first.complete("a b", 30, timeout_s=0.1, X_Request_Id="r1")
            )
            await disconnected
            second.daemon.entry._admission.update_slots("note", 3)
            again = await second.complete("a b", 30, X_Request_Id="r1")
            same = []
            for _ in range(2):
                resends = [
                    second.complete("a b", 5, X_Request_Id="r1") for _ in range(3)
                ]
                same += await asyncio.gather(*resends)
            # Waits forever if the resent requests have not released their slots.
            later = await second.complete("a b", 5)
            return again, [*same, later]

    again, same = run(work)
    assert text_of(again) == answer_text("a b", 30)
    assert again.headers["X-Request-Id"] == "r1"
    assert [text_of(r) for r in same] == [answer_text("a b", 5)] * 7


def test_unknown_tenants_share_limits():
    """Guards against callers that evade their limit with new tenant names."""

    async def work():
        async with EntryTestbed() as testbed:
            limits = Tenant("default", rate_per_s=0.001, burst=2.0)
            testbed.sync([*testbed.objects(), limits], version=2)
            return [await testbed.complete(X_Tenant=f"t{i}") for i in range(4)]

    responses = run(work)
    assert [r.code for r in responses] == [200, 200, 429, 429]
    error = error_of(responses[-1])
    assert (error["kind"], error["ran"]) == ("rate_limited", "no")
    assert error["retry_after_s"] > 0 and int(responses[-1].headers["Retry-After"]) > 0


def test_queued_request_is_refused_when_its_deadline_cannot_be_met():
    """Guards against a request that waits in the queue until its deadline."""

    async def work():
        engine = EngineSettings(token_interval_s=0.02)
        async with EntryTestbed(engine=engine) as testbed:
            testbed.daemon.entry._admission.update_slots("note", 1)
            long = asyncio.create_task(testbed.complete(max_tokens=60))
            while not testbed.engines[0].batch.running:
                await asyncio.sleep(0.01)
            short = await testbed.complete(max_tokens=8, X_Deadline_Ms="400")
            running = not long.done()
            await long
            return short, running, testbed.engines[0].completions

    short, running, completions = run(work)
    assert running and completions == 1
    error = error_of(short)
    assert (error["kind"], error["ran"]) == ("deadline_too_short", "no")
    assert error["retry_after_s"] > 0


def test_disconnected_caller_leaves_the_queue():
    """Guards against slots that are taken by requests of disconnected callers."""

    async def work():
        async with EntryTestbed(
            engine=EngineSettings(token_interval_s=0.02)
        ) as testbed:
            testbed.daemon.entry._admission.update_slots("note", 1)
            first = asyncio.create_task(testbed.complete(max_tokens=40))
            while not testbed.engines[0].batch.running:
                await asyncio.sleep(0.01)
            await testbed.complete(max_tokens=8, timeout_s=0.2)
            while testbed.daemon.entry.in_flight > 1:
                await asyncio.sleep(0.01)
            waiting = len(testbed.daemon.entry._admission._waiting)
            await first
            last = await testbed.complete(max_tokens=8)
            return waiting, last, testbed.engines[0].completions

    waiting, last, completions = run(work)
    assert waiting == 0
    assert text_of(last) == answer_text("plate 7 is", 8)
    assert completions == 2


def test_timings_are_reported_per_tenant_and_class():
    """Guards against timings without the tenant and priority class in their names."""

    async def work():
        async with EntryTestbed() as testbed:
            testbed.sync([*testbed.objects(), Tenant("archive")], version=2)
            await testbed.complete(
                max_tokens=40, X_Tenant="archive", X_Priority_Class="quote"
            )
            await testbed.complete(max_tokens=2)
            return testbed.metrics.timings, testbed.daemon.entry.observe()

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


def test_router_records_the_first_token_when_it_arrives():
    """Guards against wrong rates from samples that count the decoding as prefill."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01, prefill_tokens_per_s=10_000.0)
        async with EntryTestbed(engine=engine) as testbed:
            await testbed.complete(PROMPT, 40)
            return testbed.daemon.entry.observe().engines

    (sample,) = run(work)
    assert sample.decode_tokens >= 39
    assert sample.decode_s > sample.prefill_s > 0


def test_request_keeps_the_service_configured_at_its_arrival():
    """Guards against resuming a request on a different model version."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01)
        async with EntryTestbed(engines=2, engine=engine) as testbed:
            stream = asyncio.create_task(testbed.complete(max_tokens=30))
            while not any(e.batch.running for e in testbed.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            busy = 0 if testbed.engines[0].batch.running else 1
            objects = [
                structs.replace(o, model_version="2")
                if getattr(o, "name", "") in ("note", f"e{1 - busy}")
                else o
                for o in testbed.objects()
            ]
            testbed.sync(objects, version=2)
            testbed.engines[busy].dead_until = testbed.engines[busy].now + 60
            testbed.engines[busy].crash()
            response = await stream
            return response, testbed.engines[1 - busy].completions

    response, others = run(work)
    last = [x for x in response.body.decode().splitlines() if x.startswith("data: ")]
    assert json.loads(last[-1][6:])["error"]["kind"] == "target_failed"
    assert others == 0


def test_engine_that_closes_during_the_prefill_gets_no_work():
    """Guards against work for a decode engine that closes.

    The entry confirms the configuration with the closing engine during the prefill.
    """

    async def work():
        slow = EngineSettings(prefill_tokens_per_s=1000.0)
        async with EntryTestbed(engines=2, engine=slow) as testbed:
            await _split_roles(testbed)
            completion = asyncio.create_task(testbed.complete(PROMPT, 6))
            while not testbed.engines[0].batch.running:
                await asyncio.sleep(0.01)
            objects = [
                structs.replace(o, phase=EnginePhase.CLOSING)
                if getattr(o, "name", "") == "e1"
                else o
                for o in testbed.objects()
            ]
            testbed.sync(objects, version=3)
            return await completion, testbed.engines[1].completions

    response, completions = run(work)
    assert completions == 0
    # The prefill engine runs the complete request.
    assert text_of(response) == answer_text(PROMPT, 6)


def test_removed_plain_target_gets_no_retry():
    """Guards against sending a running call to a target that was removed meanwhile."""

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            for plain in testbed.plain:
                plain.set_faults(PlainFaults(slow_s=0.3, close_before=False))
            path = "/v1/services/dispatch/sheets/a"
            call = asyncio.create_task(testbed.fetch(path, X_Deadline_Ms="1500"))
            while not any(p.arrivals for p in testbed.plain):
                await asyncio.sleep(0.01)
            first = 0 if testbed.plain[0].arrivals else 1
            service = next(o for o in testbed.objects() if o.name == "dispatch")
            remaining = (service.targets[first],)
            testbed.sync([structs.replace(service, targets=remaining)], version=2)
            await testbed.plain[first].stop()
            await call
            return testbed.plain[1 - first].arrivals

    assert run(work) == 0


def test_fault_inside_the_relay_ends_the_stream_with_an_error_event():
    """Guards against a stream without an error event after an internal error."""

    async def work():
        async with EntryTestbed(
            engine=EngineSettings(token_interval_s=0.02)
        ) as testbed:
            completion = asyncio.create_task(testbed.complete(max_tokens=30))
            while not testbed.engines[0].batch.running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            context = testbed.daemon.entry._context
            context.router.choose = None
            testbed.engines[0].crash()
            return await completion

    events = [x for x in run(work).body.decode().split("\n\n") if x]
    assert events[-1].startswith("event: error")
    assert json.loads(events[-1].split("data: ")[1])["error"]["kind"] == "internal"


def test_streams_are_bounded():
    """Guards against streams above the limit that wait instead of being refused."""

    async def work():
        settings = structs.replace(
            SETTINGS, relay=structs.replace(FAST_RELAY, max_streams=2)
        )
        engine = EngineSettings(token_interval_s=0.02)
        async with EntryTestbed(settings=settings, engine=engine) as testbed:
            return await asyncio.gather(
                *(testbed.complete(max_tokens=20) for _ in range(3))
            )

    codes = sorted(r.code for r in run(work))
    assert codes == [200, 200, 503]


@pytest.mark.parametrize(("priority", "moved"), [("batch", True), ("quote", False)])
def test_only_batch_streams_leave_a_closing_engine(priority, moved):
    """Guards against a change that aborts a batch stream or moves an urgent one."""

    async def work():
        engine = EngineSettings(token_interval_s=0.01)
        async with EntryTestbed(engines=2, engine=engine) as testbed:
            stream = asyncio.create_task(
                testbed.complete(max_tokens=60, X_Priority_Class=priority)
            )
            while not any(e.batch.running for e in testbed.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            busy = 0 if testbed.engines[0].batch.running else 1
            objects = [
                structs.replace(o, phase=EnginePhase.CLOSING)
                if getattr(o, "name", "") == f"e{busy}"
                else o
                for o in testbed.objects()
            ]
            testbed.sync(objects, version=2)
            response = await stream
            faults = [n for n in testbed.metrics.counts if n.startswith("attempt")]
            return response, testbed.engines[1 - busy].completions, faults

    response, others, faults = run(work)
    assert text_of(response) == answer_text("plate 7 is", 60)
    assert (others, faults) == (int(moved), [])
