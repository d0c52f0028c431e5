"""Several entries before engines that crash under a part of a prompt."""

import asyncio
import random
import time

from tests.platform.gateway_harness import (
    NET,
    SIGNED,
    STREAM,
    Engine,
    echo,
    prefills,
    route,
    shared_state,
    start_gateway,
    unexpected,
)
from wigeonspan.serving import RequestServer
from wigeonspan.targets import Phase

BAD = "bad"
DOWN_S = 1.0
FRONT_PORT = 18081


def shared_parts(fields):
    entries = fields.get("prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries[:-1]]


class CrashingEngine(Engine):
    """Decode engine that ends when it begins to write an answer on a bad part.

    All its connections break; it is back after ``DOWN_S``.
    """

    def __init__(self, name, *, is_bad=lambda parts: BAD in parts):
        super().__init__(name, Phase.DECODE, self._stream)
        self.crashes = []
        self._is_bad = is_bad
        self._callers = set()
        self._server = None

    def listen(self, address):
        self._address = address
        self._server = RequestServer(self.serve, unexpected)
        self._server.listen(address)

    async def crash(self):
        if self._server is None:
            return
        self.crashes.append(time.monotonic())
        server, self._server = self._server, None
        for caller in list(self._callers):
            caller.abort()
        await server.close()
        await asyncio.sleep(DOWN_S)
        self.listen(self._address)

    async def close(self):
        while self._server is None:
            await asyncio.sleep(0.05)
        await self._server.close()

    async def _stream(self, fields, caller):
        self._callers.add(caller)
        try:
            await asyncio.sleep(0.03)
            if self._is_bad(shared_parts(fields)):
                shared_state["tasks"].append(asyncio.create_task(self.crash()))
                await asyncio.sleep(DOWN_S)
            await caller.send_head(200, [*SIGNED, echo(fields)])
            for n in range(int(fields.get("last-event-id", 0)) + 1, 9):
                await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
                await asyncio.sleep(0.02)
            await caller.finish()
        finally:
            self._callers.discard(caller)


class Fleet:
    """Entries that tell each other what they know, with datagrams that are late.

    Parameters
    ----------
    entries : int
        Number of entries.
    decode : int
        Number of decode engines, beside two that prefill.
    """

    def __init__(self, entries, decode=4, *, resumable=False, is_bad=None, loss=0.0):
        options = {} if is_bad is None else {"is_bad": is_bad}
        self.decode = [CrashingEngine(f"d{n}", **options) for n in range(decode)]
        self.prefill = [Engine(f"p{n}", Phase.PREFILL, prefills) for n in range(2)]
        self.arrivals = []
        self.contexts = []
        self._route = route(STREAM, resumable=resumable)
        self._entries = entries
        self._servers = []
        self._loss = loss
        self._rng = random.Random(1)
        shared_state["tasks"] = []

    async def _update(self):
        while True:
            for context in self.contexts:
                context.update_quarantine()
            await asyncio.sleep(0.1)

    async def __aenter__(self):
        engines = [*self.prefill, *self.decode]
        for engine in engines:
            self._record_arrivals(engine)
        for number in range(self._entries):
            self._start_entry(number, engines if number == 0 else [])
        for rank, context in enumerate(self.contexts):
            context.quarantine.set_entries(rank, self._entries, time.monotonic())
        self._updates = asyncio.create_task(self._update())
        return self

    async def __aexit__(self, *error):
        self._updates.cancel()
        for server in self._servers:
            await server.close()
        for engine in self.decode:
            await engine.close()
        for context in self.contexts:
            context.pool.close()
        await asyncio.gather(*shared_state["tasks"])

    def _record_arrivals(self, engine):
        serve = engine.serve

        async def record(method, target, headers, body, caller):
            fields = {name.lower(): value for name, value in headers}
            self.arrivals.append((time.monotonic(), shared_parts(fields)))
            await serve(method, target, headers, body, caller)

        engine.serve = record

    def _start_entry(self, number, engines):
        context, servers = start_gateway(
            self._route,
            engines,
            seed=number,
            front=f"{NET}.1.{number + 1}:{FRONT_PORT}",
            targets_of=self.contexts[0] if self.contexts else None,
            host=f"e{number}",
        )
        context.link.publish = lambda event: self._publish(context, event)
        self.contexts.append(context)
        self._servers.extend(servers)

    def _publish(self, sender, event):
        loop = asyncio.get_running_loop()
        for context in self.contexts:
            if context is not sender and self._rng.random() >= self._loss:
                loop.call_later(0.01, context.apply_event, event)

    async def request(self, number, parts):
        """Send one request; return whether it began to be answered."""
        entry = self._rng.randrange(self._entries)
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own{number}"])
        reader, writer = await asyncio.open_connection(
            f"{NET}.1.{entry + 1}", FRONT_PORT
        )
        head = f"POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
        head += f"Token-Usage: 600,20\r\nPrompt-Prefix: {prefix}\r\n"
        head += "Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        answer = b""
        try:
            async with asyncio.timeout(2.0):
                while part := await reader.read(65536):
                    answer += part
                    if b"data:" in answer or b"Content-Length" in answer:
                        break
        except TimeoutError:
            pass
        writer.close()
        return b"data:" in answer

    async def run_traffic(
        self, seconds, sound_per_s, sound_parts, bad_per_s, bad_parts
    ):
        """Send both kinds of requests; return time and outcome of the sound ones."""
        results, sends = [], []

        async def send(number, parts, is_sound):
            at = time.monotonic()
            served = await self.request(number, parts)
            if is_sound:
                results.append((at, served))

        async def stream(rate, make_parts, is_sound, first):
            for n in range(int(seconds * rate)):
                sends.append(
                    asyncio.create_task(send(first + n, make_parts(n), is_sound))
                )
                await asyncio.sleep(1.0 / rate)

        kinds = [stream(sound_per_s, sound_parts, True, 0)]
        if bad_per_s:
            kinds.append(stream(bad_per_s, bad_parts, False, 100_000))
        await asyncio.gather(*kinds)
        await asyncio.gather(*sends)
        return results

    def crashes(self):
        """Times at which engines crashed, in order."""
        return sorted(at for engine in self.decode for at in engine.crashes)

    def bad_arrivals_after(self, since, bad=BAD):
        """Number of requests with a bad part that reached targets after a time."""
        return sum(1 for at, parts in self.arrivals if at > since and bad in parts)


def served_share(results, since):
    """Share of the sound requests sent after a time that were served."""
    outcomes = [served for at, served in results if at > since]
    return sum(outcomes) / len(outcomes)
