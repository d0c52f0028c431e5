"""The stand-in plain service counts executions correctly."""

import asyncio

import pytest
from tornado.httpclient import HTTPClientError

from standins.plain import PlainFaults, StandinPlain
from wigeonspan.http import make_client


@pytest.mark.parametrize(
    ("faults", "status", "executions"),
    [
        ({}, 201, 1),
        ({"close_before": True}, 599, 0),
        ({"close_after": True}, 599, 1),
        ({"status": 500}, 500, 0),
        ({"slow_s": 0.01}, 201, 1),
        ({"close_after": True, "requests": 0}, 201, 1),
    ],
)
def test_faults_keep_the_count_correct(faults, status, executions):
    """Tests of at-most-once calls rely on a count without requests that did not run."""

    async def run():
        service = StandinPlain()
        service.start()
        service.set_faults(PlainFaults(**faults))
        url = f"http://{service.address}/loans"
        try:
            answer = await make_client(1).fetch(url, method="POST", body="plate 7")
            code = answer.code
        except HTTPClientError as error:
            code = error.code
        await service.stop()
        return code, service.executions["loans plate 7"]

    assert asyncio.run(run()) == (status, executions)
