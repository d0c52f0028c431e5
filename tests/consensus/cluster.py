"""Voters with real sockets and folders, for tests of ``LogTask``."""

import asyncio
import random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonspan.common import SystemClock
from wigeonspan.consensus import BootstrapMember, LogTask
from wigeonspan.http import make_client


class WordList:
    """State machine that keeps the list of all commands."""

    def __init__(self):
        self.words = []

    def apply(self, index, command):
        self.words.append(command.decode())
        return len(self.words)

    def snapshot(self):
        return "\n".join(self.words).encode()

    def restore(self, data):
        self.words = data.decode().split("\n") if data else []

    def flush(self):
        pass


class Host:
    """One voter and its HTTP server."""

    def __init__(self, name, folder, seed=1):
        self.name = name
        self.folder = folder / name
        self.rng = random.Random(f"{name}-{seed}")
        self.sockets = bind_sockets(0, "127.0.0.1")
        self.port = self.sockets[0].getsockname()[1]
        self.machine = WordList()
        self.log = None

    @property
    def member(self):
        return BootstrapMember(self.name, f"127.0.0.1:{self.port}", "szeged")

    async def start(self, bootstrap, **options):
        self.machine = WordList()
        self.client = make_client(32)
        self.log = LogTask(
            self.name,
            self.member.address,
            "szeged",
            bootstrap,
            self.folder,
            self.machine,
            SystemClock(),
            self.rng,
            self.client,
            **options,
        )
        await self.log.start()
        if not self.sockets:
            self.sockets = bind_sockets(self.port, "127.0.0.1")
        self.server = HTTPServer(Application(self.log.handlers()))
        self.server.add_sockets(self.sockets)
        self.sockets = []

    async def stop(self):
        await self.log.stop()
        await self._close_server()

    async def kill(self):
        """Stop without handing leadership over."""
        await self.log._driver.close()
        await self._close_server()

    async def _close_server(self):
        self.server.stop()
        await self.server.close_all_connections()
        self.client.close()


async def wait_until(condition, timeout_s=30.0):
    """Wait until a condition holds; the timeout only ends a test that hangs."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_for_leader(hosts):
    await wait_until(lambda: any(h.log.is_leader for h in hosts))
    return next(h for h in hosts if h.log.is_leader)


async def start_group(folder, names, **options):
    hosts = [Host(name, folder) for name in names]
    bootstrap = [host.member for host in hosts]
    for host in hosts:
        await host.start(bootstrap, **options)
    return hosts
