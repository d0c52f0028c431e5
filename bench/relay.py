"""Measure the cost of the relay compared with direct connections to the engines.

Run with ``python -m bench.relay``. Three stand-in engines, one entry daemon and the
callers run in separate processes. While costs are measured, the engines add no delay.
Processor time is that of the entry process; the time per token comes from the
difference between answers of 101 and of 1 token. Memory is the resident set size of the
entry with streams that wait for tokens; requests queued by admission do not count as
running on an engine.
"""

import asyncio
import json
import multiprocessing
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager

from bench.entry_process import MODEL, serve_entry
from bench.usage import cpu_time_s, percentile, resident_mb
from wigeonspan.entryd import RelaySettings

TOKENS = (1, 101)
"""Answer lengths in tokens; the difference of 100 gives the cost per token."""

SERIAL_REQUESTS = 500
PARALLEL_REQUESTS = 3_000
CALLERS = 64

STREAMS = (0, 1_000, 4_000)
"""Numbers of open streams for which memory is measured."""

SETTLE_S = 8.0
"""Time in seconds from opening the last stream to reading the memory."""


@contextmanager
def running_engines(count: int, *options: str) -> Iterator[list[str]]:
    """Start stand-in engines and yield their addresses."""
    command = [sys.executable, "-m", "standins.engine", "--batch_limit=8192"]
    command += ["--prefill_tokens_per_s=1e9", "--decode_tokens_per_s=1e9", *options]
    processes = [
        subprocess.Popen(
            [*command, f"--name=engine-{number}"], stdout=subprocess.PIPE, text=True
        )
        for number in range(count)
    ]
    try:
        ports = [process.stdout.readline().strip() for process in processes]
        yield [f"127.0.0.1:{port}" for port in ports]
    finally:
        for process in processes:
            process.terminate()
            process.wait()


@contextmanager
def running_entry(engines: list[str]) -> Iterator[tuple[str, int]]:
    """Start an entry daemon and yield its address and process id."""
    relay = RelaySettings(progress_timeout_s=60.0, max_streams=8_192)
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=serve_entry, args=(engines, relay, child_pipe))
    process.start()
    try:
        address = parent_pipe.recv()
        # Wait for the first load reports.
        time.sleep(1.0)
        yield address, process.pid or 0
    finally:
        process.terminate()
        process.join()


def make_request(tokens: int, model: str) -> bytes:
    """Return a streaming completion request as HTTP/1.1 bytes.

    Requests sent directly to an engine also carry the extension that the relay adds.
    """
    extension = {"attempt": "bench", "priority": "desk", "deadline_ms": 3_600_000}
    body = {
        "model": model,
        "prompt": "describe plate 1907-44",
        "max_tokens": tokens,
        "stream": True,
    }
    if model == MODEL:
        body["wigeonspan"] = extension
    data = json.dumps(body).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


class Caller:
    """Connection that sends requests one after the other."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    def send(self, request: bytes) -> None:
        """Send a request."""
        self._writer.write(request)

    async def receive(self) -> None:
        """Read a complete answer.

        Raises
        ------
        RuntimeError
            The status is not 200, or the stream ends without ``[DONE]``.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head:
            raise RuntimeError((head + await self._reader.read(300)).decode())
        answer = await self._reader.readuntil(b"0\r\n\r\n")
        if b"[DONE]" not in answer:
            raise RuntimeError(answer[:300].decode())

    async def run(self, request: bytes, count: int, times: list[float]) -> None:
        """Send requests one after the other and append their latencies in seconds."""
        for _ in range(count):
            begun = time.perf_counter()
            self.send(request)
            await self.receive()
            times.append(time.perf_counter() - begun)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def run_load(addresses: list[str], request: bytes, callers: int, total: int):
    """Send requests over several connections.

    Returns the latencies and the total duration in seconds. Each connection first sends
    two requests that are not measured.
    """
    connections = [Caller(addresses[i % len(addresses)]) for i in range(callers)]
    for connection in connections:
        await connection.connect()
        await connection.run(request, 2, [])
    times: list[float] = []
    begun = time.perf_counter()
    share = total // callers
    await asyncio.gather(*(c.run(request, share, times) for c in connections))
    elapsed = time.perf_counter() - begun
    for connection in connections:
        connection.close()
    return times, elapsed


def measure_costs(engines: list[str], entry: str, pid: int) -> None:
    """Print latency, throughput and processor time of direct and relayed requests."""
    print(
        f"{'path':>7} {'callers':>8} {'tokens':>7} {'p50 ms':>8} {'p95 ms':>8} "
        f"{'requests/s':>11} {'entry cpu us':>13} {'entry busy':>11}"
    )
    costs = {}
    for callers, total in ((1, SERIAL_REQUESTS), (CALLERS, PARALLEL_REQUESTS)):
        for tokens in TOKENS:
            for path, addresses, model in (
                ("direct", engines, MODEL),
                ("relay", [entry], "note"),
            ):
                used = cpu_time_s(pid)
                request = make_request(tokens, model)
                times, elapsed = asyncio.run(
                    run_load(addresses, request, callers, total)
                )
                used = cpu_time_s(pid) - used
                if path == "relay":
                    costs[callers, tokens] = used / len(times) * 1e6
                cost = f"{used / len(times) * 1e6:.0f}" if path == "relay" else "-"
                print(
                    f"{path:>7} {callers:>8} {tokens:>7} "
                    f"{percentile(times, 0.5) * 1e3:>8.2f} "
                    f"{percentile(times, 0.95) * 1e3:>8.2f} "
                    f"{len(times) / elapsed:>11.0f} {cost:>13} "
                    f"{used / elapsed:>10.0%}"
                )
    for callers in (1, CALLERS):
        first, second = (costs[callers, tokens] for tokens in TOKENS)
        token = (second - first) / (TOKENS[1] - TOKENS[0])
        print(
            f"{callers} callers: {token:.1f} us of processor time per token, "
            f"{first - token:.0f} us per request"
        )


def count_running(engines: list[str]) -> int:
    """Return the number of requests that run on the engines."""
    running = 0
    for address in engines:
        with urllib.request.urlopen(f"http://{address}/wigeonspan/load") as response:
            running += json.load(response)["running"]
    return running


async def measure_memory(address: str, pid: int, engines: list[str]) -> None:
    """Print the entry's memory for increasing numbers of open streams."""
    request = make_request(10_000, "note")
    connections: list[Caller] = []
    print(f"{'callers':>8} {'on engines':>11} {'entry MB':>9}")
    for count in STREAMS:
        while len(connections) < count:
            connections.append(Caller(address))
            await connections[-1].connect()
            connections[-1].send(request)
        await asyncio.sleep(SETTLE_S if count else 0)
        running = await asyncio.to_thread(count_running, engines)
        print(f"{count:>8} {running:>11} {resident_mb(pid):>9.1f}")
    for connection in connections:
        connection.close()


def main() -> None:
    """Measure the costs and the memory."""
    with running_engines(3, "--token_interval_s=0") as engines:
        with running_entry(engines) as (address, pid):
            measure_costs(engines, address, pid)
    with running_engines(3, "--token_interval_s=1") as engines:
        with running_entry(engines) as (address, pid):
            asyncio.run(measure_memory(address, pid, engines))


if __name__ == "__main__":
    main()
