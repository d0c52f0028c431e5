"""Stand-in plain service: ``python -m standins.plain --port N``.

``POST /loans`` and ``POST /bookings`` must not be repeated; each execution is counted
by path and body. ``/sheets/{name}`` may be repeated.
"""

import asyncio
from collections import Counter

import fire
import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, RequestHandler

from standins._serve import listen, serve_until_signal


class PlainFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/fault``; an empty body clears all faults.

    Parameters
    ----------
    close_before : bool
        The request is read and the connection closed; it is not carried out.
    close_after : bool
        The request is carried out and the connection closed without an answer.
    slow_s : float
        Seconds before the request is carried out.
    status : int
        Status to answer with, without carrying the request out; 0 for none.
    requests : int
        Number of requests that the faults hit; negative for all.
    """

    close_before: bool = False
    close_after: bool = False
    slow_s: float = 0.0
    status: int = 0
    requests: int = -1


class StandinPlain:
    """Plain service that counts executions; usable in a running event loop."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.arrivals = 0
        self.sheets: dict[str, str] = {}
        self.port = 0
        self._faults = PlainFaults()
        self._faults_left = -1
        self._server: HTTPServer | None = None

    @property
    def address(self) -> str:
        """Address and port of the running service."""
        return f"127.0.0.1:{self.port}"

    def start(self, port: int = 0) -> int:
        """Serve and return the port."""
        context = {"service": self}
        application = Application(
            [
                ("/(loans|bookings)", NonIdempotentHandler, context),
                ("/sheets/([^/]+)", SheetHandler, context),
                ("/standin/executions", ExecutionsHandler, context),
                ("/standin/arrivals", ArrivalsHandler, context),
                ("/standin/fault", FaultHandler, context),
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

    def set_faults(self, faults: PlainFaults) -> None:
        """Replace the fault switches."""
        self._faults = faults
        self._faults_left = faults.requests

    def next_faults(self) -> PlainFaults:
        """Return the faults that hit the next request, and count it."""
        self.arrivals += 1
        if self._faults_left == 0:
            return PlainFaults()
        self._faults_left -= 1
        return self._faults


class PlainHandler(RequestHandler):
    """Base of the handlers: faults around the execution."""

    def initialize(self, service: StandinPlain) -> None:
        """Take the service."""
        self.service = service

    def answer(self, status: int, message: object) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def drop_connection(self) -> None:
        """Close the connection without an answer and end the handler."""
        self.request.connection.stream.close()
        raise Finish

    async def fault_before(self) -> PlainFaults:
        """Apply the faults that come before the execution and return them."""
        faults = self.service.next_faults()
        if faults.close_before:
            self.drop_connection()
        if faults.status:
            self.answer(faults.status, {"error": "fault switch"})
            raise Finish
        await asyncio.sleep(faults.slow_s)
        return faults


class NonIdempotentHandler(PlainHandler):
    """Loan releases and crew bookings."""

    async def post(self, kind: str) -> None:
        """Carry the call out once more, whatever its body."""
        faults = await self.fault_before()
        body = self.request.body.decode()
        self.service.executions[f"{kind} {body}"] += 1
        if faults.close_after:
            self.drop_connection()
        number = sum(self.service.executions.values())
        self.answer(201, {"kind": kind, "number": number})


class SheetHandler(PlainHandler):
    """Job sheets."""

    async def get(self, name: str) -> None:
        """Answer with a sheet; an unknown one is empty."""
        await self.fault_before()
        self.answer(200, {"sheet": name, "text": self.service.sheets.get(name, "")})

    async def put(self, name: str) -> None:
        """Replace a sheet."""
        await self.fault_before()
        self.service.sheets[name] = self.request.body.decode()
        self.answer(200, {"sheet": name})


class ExecutionsHandler(PlainHandler):
    """Counts of executions, for tests."""

    def get(self) -> None:
        """Answer with the count by path and body."""
        self.answer(200, dict(self.service.executions))


class ArrivalsHandler(PlainHandler):
    """Count of requests that arrived, carried out or not, for tests."""

    def get(self) -> None:
        """Answer with the count."""
        self.answer(200, {"arrivals": self.service.arrivals})


class FaultHandler(PlainHandler):
    """Sets the fault switches."""

    def post(self) -> None:
        """Replace all switches."""
        faults = msgspec.json.decode(self.request.body, type=PlainFaults)
        self.service.set_faults(faults)
        self.answer(200, {})


def main(port: int = 0) -> None:
    """Run a stand-in plain service until SIGTERM.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 lets the operating system choose. It is printed.
    """

    async def run() -> None:
        service = StandinPlain()
        await serve_until_signal(lambda: service.start(port), service.stop)

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(main)
