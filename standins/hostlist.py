"""Stand-in host list of the platform: ``python -m standins.hostlist --port N``.

``GET /hosts`` returns the hosts as they were ``lag_s`` seconds ago.
``POST /standin/hosts`` replaces the list.
"""

import asyncio
import time
from enum import Enum

import fire
import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from standins._serve import listen, serve_until_signal


class HostState(Enum):
    """State of a host on the list."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """Host name, address and state."""

    name: str
    address: str
    state: HostState = HostState.LIVE


class StandinHostList:
    """Host list whose changes become visible with a delay; needs a running event loop.

    Parameters
    ----------
    lag_s : float
        Delay in seconds until a change is visible.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, list[Host]]] = [(0.0, [])]
        self._server: HTTPServer | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Address and port of the started server."""
        return f"127.0.0.1:{self.port}"

    def start(self, port: int = 0) -> int:
        """Start serving and return the port."""
        context = {"hosts": self}
        application = Application(
            [
                ("/hosts", HostsHandler, context),
                ("/standin/hosts", ReplaceHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self._server, self.port = listen(application, port)
        return self.port

    async def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def replace(self, hosts: list[Host]) -> None:
        """Replace the list; the new one is visible after the delay."""
        self._versions.append((time.monotonic() + self._lag_s, hosts))

    def visible(self) -> list[Host]:
        """Return the list that is visible now."""
        now = time.monotonic()
        while len(self._versions) > 1 and self._versions[1][0] <= now:
            self._versions.pop(0)
        return self._versions[0][1]


class HostsHandler(RequestHandler):
    """Returns the list."""

    def initialize(self, hosts: StandinHostList) -> None:
        """Set the host list."""
        self.hosts = hosts

    def get(self) -> None:
        """Respond with the visible list."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.hosts.visible()))


class ReplaceHandler(HostsHandler):
    """Replaces the list."""

    def post(self) -> None:
        """Replace the list with the one in the body."""
        self.hosts.replace(msgspec.json.decode(self.request.body, type=list[Host]))
        self.finish({})


def main(port: int = 0, lag_s: float = 0.0) -> None:
    """Run a stand-in host list until SIGTERM.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 lets the operating system choose. The port is printed.
    lag_s : float
        Delay in seconds until a change is visible.
    """

    async def run() -> None:
        hosts = StandinHostList(lag_s)
        await serve_until_signal(lambda: hosts.start(port), hosts.stop)

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(main)
