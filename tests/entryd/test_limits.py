"""Tests of targets that limit the requests of all entries."""

import asyncio

import pytest

from standins.engine import EngineFaults
from standins.plain import PlainFaults
from tests.entryd.harness import EntryTestbed, error_of, run, text_of

SPAN_S = 4.0


def allowed(rate):
    return 1.5 * rate * SPAN_S + 5


def test_engine_that_names_a_limit_gets_no_more():
    """The daemon ignored the limit, and the engine got all requests as before."""

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            limited = testbed.engines[0]
            limited.set_faults(EngineFaults(request_limit="2"))
            for _ in range(40):
                text_of(await testbed.complete(max_tokens=2))
            return limited.completions

    assert run(work) <= allowed(2.0)


@pytest.mark.parametrize("path", ["/sheets/a", "/bookings"])
def test_service_that_names_a_limit_gets_no_more(path):
    """Calls that are refused are told when to return, one after the other."""

    async def work():
        async with EntryTestbed(plain=1) as testbed:
            service = testbed.plain[0]
            service.set_faults(PlainFaults(request_limit="2"))
            refused = []
            for number in range(40):
                body = None if path == "/sheets/a" else f"b{number}"
                response = await testbed.fetch(
                    f"/v1/services/dispatch{path}",
                    body,
                    Idempotency_Key=f"k{number}",
                )
                if response.code == 503:
                    refused.append(error_of(response))
            return service.arrivals, refused

    arrivals, refused = run(work)
    assert arrivals <= allowed(2.0)
    assert len(refused) == 40 - arrivals
    returns = [error["retry_after_s"] for error in refused]
    assert all(error["ran"] == "no" for error in refused)
    # Later ones are told the longest time that callers wait.
    assert returns[:15] == sorted(returns[:15]) and returns[14] > returns[0] + 5.0


@pytest.mark.parametrize("value", ["", "many", "0", "-1", "inf"])
def test_target_without_a_readable_limit_gets_all_requests(value):
    """An unreadable value must not stop the requests to a target."""

    async def work():
        async with EntryTestbed(plain=1) as testbed:
            testbed.plain[0].set_faults(PlainFaults(request_limit=value))
            path = "/v1/services/dispatch/sheets/a"
            codes = [(await testbed.fetch(path)).code for _ in range(10)]
            return codes

    assert run(work) == [200] * 10


def test_limit_ends_with_an_answer_without_it():
    """The daemon would send its part only, long after the target has recovered."""

    async def work():
        async with EntryTestbed(plain=1) as testbed:
            service, path = testbed.plain[0], "/v1/services/dispatch/sheets/a"
            service.set_faults(PlainFaults(request_limit="4"))
            codes = [(await testbed.fetch(path)).code for _ in range(3)]
            assert codes == [200, 200, 503]
            service.set_faults(PlainFaults())
            await asyncio.sleep(0.3)
            return [(await testbed.fetch(path)).code for _ in range(10)]

    assert run(work) == [200] * 10
