"""Run role changes under load with real processes: ``python -m bench.roles``.

Six mixed engines receive long prompts that they cannot prefill and decode in time. The
leader's planner assigns some of them to prefill and decode. Each of these engines is
drained and then ordered to change its role while requests continue. The output shows
the outcomes of the requests, the final roles and the recorded decisions.
"""

import asyncio
import json
import random
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from standins.engine import answer_text
from testbed import MODEL_SERVICE, Deployment, DeploymentOptions, ProcessGroup

WORDS = 1_500
"""Words per prompt; the stand-in engine prefills 3,000 tokens per second."""

TOKENS = 60
"""Tokens per answer; 1.8 s at the token interval of the engines."""

OPTIONS = (
    "--token_interval_s=0.03",
    "--order_s=1.0",
    "--prefill_tokens_per_s=3000",
    "--batch_limit=16",
)


def main(seconds: float = 80.0, rate: float = 9.0, seed: int = 1) -> None:
    """Run the load and print the outcomes.

    Parameters
    ----------
    seconds : float
        Length of the load in seconds.
    rate : float
        Requests per second.
    seed : int
        Seed for the choice of the entries.
    """
    with tempfile.TemporaryDirectory(prefix="wigeonspan-roles-") as name:
        with ProcessGroup(Path(name)) as processes:
            options = DeploymentOptions(entries=2, engines=6, engine_options=OPTIONS)
            deployment = Deployment(processes, Path(name), options)
            deployment.start()
            deployment.ctl(
                "put",
                "policy",
                "policy",
                "--role-change-price=1.0",
                "--minimum-stay-s=20.0",
            )
            outcomes = asyncio.run(_run_load(deployment, seconds, rate, seed))
            _print_report(deployment, outcomes)


async def _run_load(
    deployment: Deployment, seconds: float, rate: float, seed: int
) -> Counter[str]:
    """Send requests at a fixed rate and count their outcomes."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=1000)
    rng = random.Random(seed)
    began, tasks = time.monotonic(), []
    while time.monotonic() < began + seconds:
        address = rng.choice(deployment.entries)
        tasks.append(asyncio.ensure_future(_send_request(client, address, len(tasks))))
        pause_s = began + len(tasks) / rate - time.monotonic()
        await asyncio.sleep(max(0.0, pause_s))
    return Counter(await asyncio.gather(*tasks))


async def _send_request(client: CurlAsyncHTTPClient, address: str, number: int) -> str:
    """Send one request without retries and return its outcome."""
    prompt = " ".join(f"w{number}x{word}" for word in range(WORDS))
    body = {"model": MODEL_SERVICE, "prompt": prompt, "max_tokens": TOKENS}
    request = HTTPRequest(
        f"http://{address}/v1/completions",
        method="POST",
        headers={
            "Content-Type": "application/json",
            "X-Tenant": "archive",
            "X-Deadline-Ms": "8000",
            "X-Priority-Class": "quote",
        },
        body=json.dumps(body),
        request_timeout=12.0,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError) as error:
        return f"no answer: {error}"
    answer = json.loads(response.body)
    if response.code != 200:
        return f"refused: {answer['error']['kind']}, ran {answer['error']['ran']}"
    text = answer["choices"][0]["text"]
    return "whole" if text == answer_text(prompt, TOKENS) else "wrong"


def _print_report(deployment: Deployment, outcomes: Counter[str]) -> None:
    for outcome, count in outcomes.most_common():
        print(f"{count:6d} {outcome}")
    cut = sum(
        deployment.get_json(address, "/standin/stats")["cut_urgent"]
        for address in deployment.engines
    )
    print(f"{cut:6d} urgent requests interrupted by orders")
    for engine in deployment.query("list", "engine"):
        print(f"{engine['name']}: {engine['role']}, {engine['phase']}")
    print(deployment.show("record", "--kind=decision"))


if __name__ == "__main__":
    fire.Fire(main)
