"""Helpers that run a gateway between callers and scripted targets over loopback."""

import asyncio
import os
import random
import time

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
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._serve import Server
from wigeonspan.placing import Placer, RetryBudget
from wigeonspan.pool import ConnectionPool
from wigeonspan.serving import RequestServer
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable
from wigeonspan.trail import ProcessMetrics

SERVICE = ServiceName("s")
# Each test process has its own address range.
NET = f"127.{64 + os.getpid() % 128}"
# Holds the target table and the server of the last gateway, for steps that use them.
shared_state = {}
SIGNED = [("Response-Signature", "sig")]


class Engine:
    """Target that answers each request by the next step of its script.

    The last step is used for all further requests.
    """

    def __init__(self, name, phase, *script):
        self.name = name
        self.phase = phase
        self.script = list(script)
        self.seen = []
        self.cancelled = 0

    async def serve(self, method, target, headers, body, caller):
        fields = {name.lower(): value for name, value in headers}
        self.seen.append((method, target, fields))
        step = self.script[0] if len(self.script) == 1 else self.script.pop(0)
        try:
            await step(fields, caller)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def echo(fields):
    return ("Request-Id", fields.get("request-id", ""))


def unexpected(error):
    raise error


def answers(status, body=b"ok", headers=SIGNED):
    async def step(fields, caller):
        await caller.send_response(status, [*headers, echo(fields)], body)

    return step


not_run = answers(503, b"", [("Not-Executed", "1")])
prefills = answers(200, b'{"transfer_handle":"ab"}', [])


async def resets(fields, caller):
    caller.abort()


async def hangs(fields, caller):
    await asyncio.sleep(30)


def streams(count, *, breaks=False):
    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        for n in range(int(fields.get("last-event-id", 0)) + 1, count + 1):
            await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
            await asyncio.sleep(0.005)
        if breaks:
            await caller.send(b"id: 99\nda")
            caller.abort()
        else:
            await caller.finish()

    return step


class NullRecorder:
    """Replacement for the link and the log: drops events and prints log lines."""

    def publish(self, event):
        pass

    def write(self, part, event, **fields):
        # pytest shows the output of a test that fails.
        print(round(time.monotonic(), 3), part, event, fields)


def start_gateway(
    route,
    engines,
    *,
    budget=50.0,
    seed=1,
    listed=True,
    front=None,
    host="e",
    targets_of=None,
):
    """Start engines and a gateway.

    Parameters
    ----------
    targets_of : GatewayContext
        Other gateway before the same engines, whose targets this one uses.

    Returns the gateway's context and all servers; the gateway's own server is the last.
    """
    clock, target_table, targets = SystemClock(), TargetTable(), []
    servers = []
    for number, engine in enumerate(engines):
        address = f"{NET}.0.{number + 1}:18080"
        if hasattr(engine, "listen"):
            engine.listen(address)
        else:
            server = RequestServer(engine.serve, unexpected)
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
    if targets_of is not None:
        target_table.update(Listing(tuple(targets_of.target_table.all())), 1.0)
    elif listed:
        target_table.update(Listing(tuple(targets)), 1.0)
    shared_state["target_table"] = target_table
    traits = EngineTraits(8, 100_000, 5.0, 3.0)
    is_model = any(t.phase is not Phase.NONE for t in target_table.all())
    is_model |= any(e.phase is not Phase.NONE for e in engines)
    spec = ServiceSpec(SERVICE, "/health", 100, traits if is_model else None)
    fleet_config = FleetConfig(1, (route,), (spec,))
    config = ConfigHolder(lambda document: fleet_config, NullRecorder())
    config.offer(StoredConfig(1, b""), "test")
    context = GatewayContext(
        host=HostId(host),
        clock=clock,
        protocol=PlatformProtocol(),
        config=config,
        target_table=target_table,
        placer=Placer(DomainName("d"), random.Random(seed)),
        budget=RetryBudget(0.0, budget, 10.0),
        pool=ConnectionPool(clock),
        link=NullRecorder(),
        event_log=NullRecorder(),
        metrics=ProcessMetrics(),
    )
    server = Server(context, random.Random(1))
    server.open()
    shared_state["server"] = server
    front_server = RequestServer(server.serve, unexpected)
    front_server.listen(front or f"{NET}.1.1:18081")
    servers.append(front_server)
    return context, servers


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
    """Send requests through a gateway and return their answers."""

    async def run():
        context, servers = start_gateway(route, engines, budget=budget, seed=seed)
        sends = [send(number, usage, leave_after_s) for number in range(times)]
        if together:
            results = await asyncio.gather(*sends)
        else:
            results = [await one for one in sends]
        await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        context.pool.close()
        return results

    return asyncio.run(run())


async def send(number, usage, leave_after_s, *, prefix="", gateway=1):
    reader, writer = await asyncio.open_connection(f"{NET}.1.{gateway}", 18081)
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


def plain_engines(*scripts):
    return [Engine(f"t{n}", Phase.NONE, *s) for n, s in enumerate(scripts)]


def status(answer):
    return int(answer.split(b" ")[1]) if answer else 0


def count_requests(engines):
    return sum(len(engine.seen) for engine in engines)


IDEMPOTENT, NON_IDEMPOTENT, STREAM = (
    CallKind.IDEMPOTENT,
    CallKind.NON_IDEMPOTENT,
    CallKind.STREAM,
)


def model_engines(prefill, decode, *more):
    engines = [Engine("p", Phase.PREFILL, *prefill), Engine("d", Phase.DECODE, *decode)]
    return engines + [Engine(f"d{n}", Phase.DECODE, *s) for n, s in enumerate(more)]
